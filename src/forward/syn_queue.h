// SYNs that wait for their turn because there is too little room now, for
// requests at the targets of their service or for transfers on the link of the
// VM.
//
// It answers loads above what targets or link can bear for a short time. A
// client that is refused has few attempts, and uses them up within a moment,
// while a short wait still leaves its request within the latency objective. The
// order is that of what a delay costs callers: urgent routes first; of equally
// urgent ones those that need less work, so that more callers are served; then
// the one that has to begin soonest. Wait times are bounded: a flow that would
// wait too long is refused when it arrives.
#ifndef MARJORAMHALL_FORWARD_SYN_QUEUE_H_
#define MARJORAMHALL_FORWARD_SYN_QUEUE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <unordered_map>

#include "src/base/ids.h"
#include "src/base/time.h"
#include "src/forward/packet.h"
#include "src/forward/view.h"

namespace marjoramhall::forward {

struct SynQueueOptions {
  // Longest wait for room on the link, as a fraction of the latency objective
  // of the route.
  double max_link_wait_fraction = 0.4;
  // The same for room at the targets. Short, because a client that is refused
  // by one VM tries another one at once, and its waits add up.
  double max_target_wait_fraction = 0.1;
  // Upper bound of the longest wait. Less than the time after which clients
  // give up a SYN, so that a refusal reaches them before.
  Duration max_wait = std::chrono::milliseconds(600);
};

struct WaitingSyn {
  FlowKey key;
  uint64_t route_key = 0;
  ServiceId service = ServiceId::kNone;
  uint32_t priority = 0;        // 0 is the highest
  Duration usual_work{0};       // of the route's requests; 0 if unknown
  TimePoint due_at;             // end of the longest wait
  bool waits_for_link = false;  // rather than for the targets of the service
};

// Not thread-safe. Costs are logarithmic in the number of waiting flows, except
// where stated.
class SynQueue {
 public:
  explicit SynQueue(SynQueueOptions options) : options_(options) {}

  // Longest time that a SYN of the route may wait, for room on the link or at
  // the targets.
  Duration LongestWait(const Route& route, bool for_link) const;

  // Number of waiting flows that need the same room, on the link or at the
  // targets of a service, and whose turn comes before that of a new flow. Cost:
  // linear in the number of waiting flows.
  size_t CountBefore(const WaitingSyn& syn) const;

  // The flow must not be waiting.
  void Add(const WaitingSyn& syn);
  // Does nothing if the flow is not waiting.
  void Remove(const FlowKey& key);

  // Passes all waiting flows to `begin`, in order. It returns whether the flow
  // has begun, and the flow is then removed. `begin` must not change the queue.
  void Release(const std::function<bool(const WaitingSyn&)>& begin);

  size_t size() const { return by_turn_.size(); }

 private:
  struct Turn {
    uint32_t priority = 0;
    int work_class = 0;  // binary logarithm of the usual work
    TimePoint due_at;
    uint64_t arrival = 0;  // unique
    bool operator<(const Turn& other) const;
  };
  static Turn TurnOf(const WaitingSyn& syn, uint64_t arrival);

  const SynQueueOptions options_;
  std::map<Turn, WaitingSyn> by_turn_;
  std::unordered_map<FlowKey, Turn, FlowKeyHash> turns_;  // of by_turn_
  uint64_t arrivals_ = 0;
};

}  // namespace marjoramhall::forward

#endif  // MARJORAMHALL_FORWARD_SYN_QUEUE_H_
