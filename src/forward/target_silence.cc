// Combines unanswered SYNs.
#include "src/forward/target_silence.h"

#include <algorithm>

namespace marjoramhall::forward {

void TargetSilence::OnUnansweredSyn(TimePoint sent_at) {
  if (unanswered_ > 0 && sent_at - last_sent_at_ < kAnswerDue) {
    return;  // the same change of the rotation may explain both
  }
  const bool was_suspect = IsSuspect();
  is_confirmed_ = unanswered_ > 0 &&
                  sent_at - last_sent_at_ <=
                      (was_suspect ? kSilenceLifetime : kConfirmationWindow);
  unanswered_ = was_suspect || is_confirmed_ ? kSuspectThreshold : 1;
  last_sent_at_ = sent_at;
}

void TargetSilence::OnClientRetransmission(TimePoint now) {
  unanswered_ = kSuspectThreshold;
  is_confirmed_ = true;
  last_sent_at_ = std::max(last_sent_at_, now);
}

}  // namespace marjoramhall::forward
