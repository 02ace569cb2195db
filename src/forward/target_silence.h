// Tells a silent target from a flow whose packets take another way.
//
// A VM learns that a target has answered a SYN from the next packet of the
// flow. That packet may come through another VM, because VMs have joined or
// left the rotation meanwhile. No number of unanswered SYNs proves that their
// target is silent: VMs join and leave in groups, and each change may explain
// one SYN. Two SYNs that no single change explains make the target suspect,
// which takes nothing from flows that have a target already. Only a
// retransmission by the client proves that it has received no answer.
#ifndef MARJORAMHALL_FORWARD_TARGET_SILENCE_H_
#define MARJORAMHALL_FORWARD_TARGET_SILENCE_H_

#include <chrono>
#include <cstdint>

#include "src/base/time.h"

namespace marjoramhall::forward {

// A SYN without an answer after this time may count against the target. A round
// trip to a client and a target takes less than 10 ms on the deployments. The
// rest allows for a busy VM.
inline constexpr Duration kSynAnswerTimeout = std::chrono::milliseconds(40);
// A VM that still receives packets this long after a SYN has not left the
// rotation before the answer was due. Also the least time between two SYNs that
// no single change of the rotation leaves unanswered.
inline constexpr Duration kAnswerDue = kSynAnswerTimeout / 2;
// A VM that has received no packet for this time judges no target by what came
// to it meanwhile: its network may have stood still, or it has little traffic.
inline constexpr Duration kReceptionGap = std::chrono::milliseconds(100);
// Longest time between two unanswered SYNs that make a target suspect. Clients
// retransmit after this time, which is better evidence.
inline constexpr Duration kSuspicionWindow = std::chrono::milliseconds(200);
// How long a target that is known to be silent may stay without another
// unanswered SYN until its silence has to be proven anew. Longer than the
// interval between two health checks.
inline constexpr Duration kSilenceLifetime = std::chrono::seconds(5);
// Number of consecutive unanswered SYNs after which a target is suspect. A
// single one may be a lost packet or a flow that has moved to another VM.
inline constexpr uint32_t kSuspectThreshold = 2;

class TargetSilence {
 public:
  // A SYN that was sent at `sent_at` has no answer that this VM has seen.
  void OnUnansweredSyn(TimePoint sent_at);
  // A client has sent its SYN again through this VM.
  void OnClientRetransmission(TimePoint now);
  void OnAnswer() { *this = {}; }

  // A SYN has no answer so far that this VM has seen, or the target is suspect.
  bool MayBeSilent() const { return unanswered_ > 0; }
  // The target should get no more flows than needed to check its health.
  bool IsSuspect() const { return unanswered_ >= kSuspectThreshold; }
  // A client has proven it, and SYNs have been unanswered since. A SYN that
  // waits for this target may be sent to another one.
  bool IsProven() const { return is_proven_; }

 private:
  uint32_t unanswered_ = 0;  // SYNs that no single change explains
  bool is_proven_ = false;   // only while suspect
  TimePoint last_sent_at_;   // of these SYNs; valid if unanswered_ > 0
};

}  // namespace marjoramhall::forward

#endif  // MARJORAMHALL_FORWARD_TARGET_SILENCE_H_
