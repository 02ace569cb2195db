// Combines unanswered SYNs.
#include "src/forward/target_silence.h"

#include <algorithm>

namespace marjoramhall::forward {

void TargetSilence::OnUnansweredSyn(TimePoint sent_at) {
  if (unanswered_ > 0 && sent_at - last_sent_at_ < kAnswerDue) {
    return;  // the same change of the rotation may explain both
  }
  const bool was_suspect = IsSuspect();
  const bool is_recent =
      unanswered_ > 0 &&
      sent_at - last_sent_at_ <=
          (was_suspect ? kSilenceLifetime : kSuspicionWindow);
  is_proven_ = is_proven_ && is_recent;
  unanswered_ = was_suspect || is_recent ? kSuspectThreshold : 1;
  last_sent_at_ = sent_at;
}

void TargetSilence::OnClientRetransmission(TimePoint now) {
  unanswered_ = kSuspectThreshold;
  is_proven_ = true;
  last_sent_at_ = std::max(last_sent_at_, now);
}

}  // namespace marjoramhall::forward
