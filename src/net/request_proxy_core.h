// Interface of the request plane core as a set of functions, so that tests can
// replace the core.
#ifndef MARJORAMHALL_NET_REQUEST_PROXY_CORE_H_
#define MARJORAMHALL_NET_REQUEST_PROXY_CORE_H_

#include <functional>
#include <string_view>
#include <vector>

#include "src/base/decision.h"
#include "src/base/ids.h"
#include "src/base/peer_channel.h"
#include "src/base/time.h"
#include "src/config/control_view.h"
#include "src/request/request_events.h"
#include "src/request/request_plane.h"

namespace marjoramhall::net {

// The functions of request::RequestPlane. All must be set.
struct RequestCore {
  std::function<void(config::ControlViewPtr, TimePoint)> on_view;
  std::function<void(VmId, std::string_view, TimePoint)> on_peer_message;
  std::function<void(const request::RequestInfo&, TimePoint)> on_request;
  std::function<void(request::RequestId,
                     uint32_t attempt,
                     const request::AttemptResult&,
                     TimePoint)>
      on_attempt_end;
  std::function<void(request::RequestId, TimePoint)> on_caller_disconnected;
  std::function<
      void(bool ok, const std::vector<request::KeyRangeRecord>&, TimePoint)>
      on_range_store_reply;
  std::function<void(TimePoint)> on_tick;
  std::function<void(TimePoint)> begin_drain;
  std::function<bool()> is_drained;
  std::function<request::RequestStats()> stats;
};

using RequestCoreFactory = std::function<RequestCore(request::RequestHooks)>;

// Returns a factory that creates a request::RequestPlane.
RequestCoreFactory MakeRequestPlane(request::RequestPlaneOptions options,
                                    VmId self,
                                    Incarnation incarnation,
                                    SendToPeer send,
                                    DecisionHook decide,
                                    uint64_t seed);

}  // namespace marjoramhall::net

#endif  // MARJORAMHALL_NET_REQUEST_PROXY_CORE_H_
