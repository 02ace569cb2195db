// The request plane core of one VM: admission, queueing, choice of target,
// retries, limits and the at-most-once ledger. It holds no socket, thread or
// clock; net::RequestPath drives it.
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

// Counters since construction, and gauges.
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
  // Attempts in flight from this VM, by target; targets without any are absent.
  std::map<TargetId, uint64_t> in_progress;
};

// Every method must be called on one thread; hooks are called from within a
// method and must not call back. `now` must not fall. A request ends exactly
// once: by `refuse`, by `replay`, by OnAttemptEnd(kAnswered), or silently after
// OnCallerDisconnected.
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

  // A message on PeerChannel::kRequest. Malformed ones are counted and dropped.
  void OnPeerMessage(VmId from, std::string_view payload, TimePoint now);

  // May start an attempt, refuse or replay before it returns. Ids must not be
  // reused.
  void OnRequest(const RequestInfo& info, TimePoint now);

  // Reports the end of an attempt. When the core answers with `refuse` although
  // answer headers were sent, the adapter resets the caller's stream.
  void OnAttemptEnd(RequestId id,
                    uint32_t attempt,
                    const AttemptResult& result,
                    TimePoint now);

  // The caller reset its stream or connection. A running attempt is cancelled;
  // neither `refuse` nor `replay` follows.
  void OnCallerDisconnected(RequestId id, TimePoint now);

  // Answers record_ranges or read_ranges, of which at most one is outstanding.
  // `ok` of record_ranges: all proposed records are in the store. `ok` of
  // read_ranges: `records` is the whole table. When not ok, nothing is known of
  // the outcome beyond `records`, which may be the current table or empty.
  void OnRangeStoreReply(bool ok,
                         const std::vector<KeyRangeRecord>& records,
                         TimePoint now);

  // Must be called every 10 ms. Cost: linear in services and due work.
  void OnTick(TimePoint now);

  // Refuses new requests (kDraining, not run), finishes the live ones, hands
  // slots and key ranges over.
  void BeginDrain(TimePoint now);
  // True when no request is live and everything was handed over, or its
  // hand-over has failed for too long (5 s after the last request).
  bool IsDrained() const;

  // Cost: linear in the live requests.
  RequestStats Stats() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace marjoramhall::request

#endif  // MARJORAMHALL_REQUEST_REQUEST_PLANE_H_
