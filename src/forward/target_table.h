// Targets of the current view together with what this VM has observed of each:
// requests in progress, answers to SYNs, response times. Observations are kept
// when the view changes.
#ifndef MARJORAMHALL_FORWARD_TARGET_TABLE_H_
#define MARJORAMHALL_FORWARD_TARGET_TABLE_H_

#include <array>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "src/base/time.h"
#include "src/forward/target_silence.h"
#include "src/forward/view.h"

namespace marjoramhall::forward {

// A suspect target gets one new flow per interval, as a health check.
inline constexpr Duration kProbeInterval = std::chrono::seconds(1);

// Priorities from this one on are counted together. 0 is the highest.
inline constexpr uint32_t kPriorityLevels = 4;

// Of a target while it is cold (WarmUpLimiter).
struct WarmUpState {
  TimePoint next_flow_at;  // of this VM
  TimePoint held_back_at;  // when a new flow was last kept from the target
};

struct TargetEntry {
  Target target;
  uint32_t outstanding_requests = 0;  // of this VM, without a response so far
  // The same by priority of their routes. Their sum is outstanding_requests.
  std::array<uint32_t, kPriorityLevels> outstanding_by_priority{};
  TargetSilence silence;
  TimePoint last_answer_at;
  TimePoint last_probe_at;
  // Smoothed ratio of the response time to the average of the same route. 1 is
  // normal.
  double relative_latency = 1.0;
  // The target fails requests at once (QuickFailureDetector) and gets new flows
  // again after this time. The next avoidance is twice as long.
  TimePoint avoided_until;
  Duration avoidance{0};
  WarmUpState warm_up;
};

class TargetTable {
 public:
  // Replaces the targets by those of a view. Cost: linear in the number of
  // targets.
  void Replace(const View& view);

  // Returns the entry of a token, or null. Valid until the next Replace().
  TargetEntry* Find(TargetToken token);

  // Targets of a service that are not retired, in the order of the view.
  const std::vector<TargetEntry*>& TargetsOf(ServiceId service) const;

  size_t size() const { return entries_.size(); }

 private:
  std::unordered_map<uint32_t, TargetEntry> entries_;  // by token
  // Points to elements of entries_, whose addresses are stable.
  std::unordered_map<uint32_t, std::vector<TargetEntry*>> by_service_;
};

}  // namespace marjoramhall::forward

#endif  // MARJORAMHALL_FORWARD_TARGET_TABLE_H_
