// Adapts request::RequestPlane to RequestCore.
#include "src/net/request_proxy_core.h"

#include <memory>
#include <utility>

namespace marjoramhall::net {

RequestCoreFactory MakeRequestPlane(request::RequestPlaneOptions options,
                                    VmId self,
                                    Incarnation incarnation,
                                    SendToPeer send,
                                    DecisionHook decide,
                                    uint64_t seed) {
  return [options, self, incarnation, send = std::move(send),
          decide = std::move(decide), seed](request::RequestHooks hooks) {
    auto core = std::make_shared<request::RequestPlane>(
        options, self, incarnation, std::move(hooks), send, decide, seed);
    RequestCore out;
    out.on_view = [core](config::ControlViewPtr view, TimePoint now) {
      core->OnView(std::move(view), now);
    };
    out.on_peer_message = [core](VmId from, std::string_view payload,
                                 TimePoint now) {
      core->OnPeerMessage(from, payload, now);
    };
    out.on_request = [core](const request::RequestInfo& info, TimePoint now) {
      core->OnRequest(info, now);
    };
    out.on_attempt_end = [core](request::RequestId id, uint32_t attempt,
                                const request::AttemptResult& result,
                                TimePoint now) {
      core->OnAttemptEnd(id, attempt, result, now);
    };
    out.on_caller_disconnected = [core](request::RequestId id, TimePoint now) {
      core->OnCallerDisconnected(id, now);
    };
    out.on_range_store_reply =
        [core](bool ok, const std::vector<request::KeyRangeRecord>& records,
               TimePoint now) { core->OnRangeStoreReply(ok, records, now); };
    out.on_tick = [core](TimePoint now) { core->OnTick(now); };
    out.begin_drain = [core](TimePoint now) { core->BeginDrain(now); };
    out.is_drained = [core] { return core->IsDrained(); };
    out.stats = [core] { return core->Stats(); };
    return out;
  };
}

}  // namespace marjoramhall::net
