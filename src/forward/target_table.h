// Targets of the current view together with what this VM observed of each: work
// in progress, answers, pace. Observations survive a change of the view.
#ifndef MARJORAMHALL_FORWARD_TARGET_TABLE_H_
#define MARJORAMHALL_FORWARD_TARGET_TABLE_H_

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "src/base/time.h"
#include "src/forward/view.h"

namespace marjoramhall::forward {

// An opening that got no answer this long after it was sent counts against the
// target. A round trip to a client and a target takes under 10 ms on the
// deployments; the rest allows for a busy VM.
inline constexpr Duration kAnswerTimeout = std::chrono::milliseconds(40);
// Consecutive unanswered openings after which a target is suspect. One may be a
// lost packet.
inline constexpr uint32_t kSuspectAfter = 2;
// A suspect target gets one new flow in this time, to see whether it answers.
inline constexpr Duration kProbeInterval = std::chrono::seconds(1);

struct TargetEntry {
  Target target;
  uint32_t outstanding = 0;  // requests of this VM without a response so far
  uint32_t unanswered = 0;   // consecutive openings without an answer
  TimePoint last_answer;
  TimePoint last_probe;
  // Response time over the usual one of the same route, smoothed; 1 is normal.
  double slowness = 1.0;

  bool IsSuspect() const { return unanswered >= kSuspectAfter; }
};

class TargetTable {
 public:
  // Takes over the targets of a view. Cost: linear in the targets.
  void Replace(const View& view);

  // The entry of a token, or null. Valid until the next Replace().
  TargetEntry* Find(TargetToken token);

  // Targets of a service that are not retired, in the order of the view.
  const std::vector<TargetEntry*>& OfService(ServiceId service) const;

  size_t size() const { return entries_.size(); }

 private:
  std::unordered_map<uint32_t, TargetEntry> entries_;  // by token
  // Points into entries_, whose elements do not move.
  std::unordered_map<uint32_t, std::vector<TargetEntry*>> services_;
};

}  // namespace marjoramhall::forward

#endif  // MARJORAMHALL_FORWARD_TARGET_TABLE_H_
