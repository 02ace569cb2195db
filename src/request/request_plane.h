// The request plane core of one VM: admission, queueing, target selection,
// retries, rate limits, and at-most-once execution of requests with idempotency
// keys. It does no I/O and uses no threads or clock; net::RequestProxy drives
// it.
#ifndef MARJORAMHALL_REQUEST_REQUEST_PLANE_H_
#define MARJORAMHALL_REQUEST_REQUEST_PLANE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string_view>
#include <vector>

#include "src/base/decision.h"
#include "src/base/ids.h"
#include "src/base/peer_channel.h"
#include "src/base/time.h"
#include "src/config/control_view.h"
#include "src/request/request_events.h"
#include "src/request/request_options.h"

namespace marjoramhall::request {

// Counters since construction, then gauges.
struct RequestStats {
  uint64_t requests = 0;
  uint64_t answered = 0;
  uint64_t replayed = 0;
  uint64_t refused_not_run = 0;
  uint64_t refused_may_have_run = 0;
  uint64_t caller_disconnects = 0;
  uint64_t attempts = 0;
  uint64_t retries = 0;
  uint64_t peer_messages_sent = 0;
  uint64_t peer_bytes_sent = 0;
  uint64_t bad_peer_messages = 0;
  // Gauges.
  uint64_t live_requests = 0;
  uint64_t waiting_short = 0;
  uint64_t waiting_long = 0;
  uint64_t slots_held = 0;
  uint64_t slots_in_use = 0;
  uint64_t targets_ejected = 0;
  uint64_t ranges_owned = 0;
  uint64_t ranges_backed_up = 0;
  uint64_t keys = 0;
  uint64_t stored_answer_bytes = 0;
  // Attempts in flight from this VM, by target. Targets without attempts are
  // absent.
  std::map<TargetId, uint64_t> in_progress;
};

// All methods must be called on one thread. Hooks are called from within
// methods and must not call back. `now` must never decrease.
//
// A request ends exactly once: by `refuse`, by `replay`, by OnAttemptEnd() with
// kAnswered, or without a hook after OnCallerDisconnected().
class RequestPlane {
 public:
  RequestPlane(RequestPlaneOptions options,
               VmId self,
               Incarnation incarnation,
               RequestHooks hooks,
               SendToPeer send,
               DecisionHook decide,
               uint64_t seed);
  ~RequestPlane();
  RequestPlane(const RequestPlane&) = delete;
  RequestPlane& operator=(const RequestPlane&) = delete;

  void OnView(config::ControlViewPtr view, TimePoint now);

  // Handles a message on PeerChannel::kRequest. Malformed messages are counted
  // and dropped.
  void OnPeerMessage(VmId from, std::string_view payload, TimePoint now);

  // Handles a new request. May call `start_attempt`, `refuse` or `replay`
  // before it returns. Ids must be unique.
  void OnRequest(const RequestInfo& info, TimePoint now);

  // Handles the end of an attempt. When the core calls `refuse` after answer
  // headers were sent, the adapter must reset the caller's stream.
  void OnAttemptEnd(RequestId id,
                    uint32_t attempt,
                    const AttemptResult& result,
                    TimePoint now);

  // Handles a reset of the caller's stream or connection. A running attempt is
  // cancelled. Neither `refuse` nor `replay` follows.
  void OnCallerDisconnected(RequestId id, TimePoint now);

  // Handles the reply to record_ranges or read_ranges, of which at most one is
  // outstanding. `ok` for record_ranges means that the store holds all proposed
  // records, and for read_ranges that `records` is the whole table. Without
  // `ok` the call may or may not have taken effect, and `records` is the
  // current table or empty.
  void OnRangeStoreReply(bool ok,
                         const std::vector<KeyRangeRecord>& records,
                         TimePoint now);

  // Must be called every 10 ms. Cost: linear in the services and in the work
  // that is due.
  void OnTick(TimePoint now);

  // Refuses new requests (kDraining, not run), finishes the live ones, and
  // hands over slots and key ranges.
  void BeginDrain(TimePoint now);
  // True when no request is live and either everything is handed over, or 5 s
  // have passed since the last request ended.
  bool IsDrained() const;

  // Cost: linear in the live requests.
  RequestStats Stats() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace marjoramhall::request

#endif  // MARJORAMHALL_REQUEST_REQUEST_PLANE_H_
