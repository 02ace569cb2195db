// Tracks the flows of which this VM sees a SYN or a request. Only load counting
// and health checks use this state: packets after the SYN carry a token that
// names their target.
#ifndef MARJORAMHALL_FORWARD_FLOW_TRACKER_H_
#define MARJORAMHALL_FORWARD_FLOW_TRACKER_H_

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <unordered_map>

#include "src/base/time.h"
#include "src/forward/packet.h"
#include "src/forward/target_silence.h"
#include "src/forward/view.h"

namespace marjoramhall::forward {

// Number of targets that one SYN may be sent to.
inline constexpr size_t kMaxSynAttempts = 4;
// When clients retransmit an unanswered SYN for the first and the second time,
// and when they give up, from the first SYN on.
inline constexpr Duration kFirstSynRetransmission =
    std::chrono::milliseconds(200);
inline constexpr Duration kSecondSynRetransmission =
    std::chrono::milliseconds(600);
inline constexpr Duration kSynTimeout = std::chrono::milliseconds(1400);
// Time from a SYN that was retransmitted this often to the next one.
constexpr Duration UntilNextSyn(uint32_t retransmissions) {
  switch (retransmissions) {
    case 0:
      return kFirstSynRetransmission;
    case 1:
      return kSecondSynRetransmission - kFirstSynRetransmission;
    default:
      return kSynTimeout - kSecondSynRetransmission;
  }
}
// Lifetime of a tracked flow after its last request began. It exceeds the
// request deadlines of all deployments.
inline constexpr Duration kTrackedFlowTimeout = std::chrono::seconds(8);
// Intervals at which the timeouts of a flow and its unanswered SYN are checked.
inline constexpr Duration kExpiryCheckInterval = std::chrono::milliseconds(200);

inline constexpr Duration kSynCheckInterval = std::chrono::milliseconds(20);

enum class FlowPhase {
  kSynHeld,            // the SYN waits for its turn (SynQueue)
  kSynSent,            // a SYN was sent to a target
  kRequestInProgress,  // the target may be working on a request
  kRequestOverdue,     // as before, but no longer counted as load
  kResponded,          // the response has begun
};

struct TrackedFlow {
  FlowPhase phase = FlowPhase::kSynSent;
  TargetToken token = TargetToken::kNone;  // target that the flow is sent to
  // Whether the flow counts as an outstanding request of that target.
  bool is_outstanding = false;
  uint32_t priority_level = 0;  // of the outstanding request
  uint64_t route_key = 0;       // RouteKeyOf()
  TimePoint added_at;
  TimePoint assigned_at;  // when the SYN was first sent to the target
  // When the client sends its SYN again, or gives up, at the earliest, if it
  // gets no answer.
  TimePoint next_client_syn_at;
  TimePoint request_started_at;
  // From the SYN to the next packet of the flow. 0 if this VM did not see both
  // or has resent the SYN.
  Duration handshake{0};
  Duration overdue_after = kTrackedFlowTimeout;  // of the request in progress
  uint32_t request_sequence = 0;  // of the request's first packet
  // Sequence number after the last byte that this VM has seen. Valid from the
  // first request on.
  uint32_t next_sequence = 0;
  // Acknowledgment number of the request's first packet. The number changes
  // when the client has received the start of the response.
  uint32_t request_acknowledged = 0;
  // Targets in the order of use. The first `attempts` elements are set.
  std::array<TargetToken, kMaxSynAttempts> tried_targets{};
  uint8_t attempts = 0;
  bool is_syn_resent = false;  // by this VM, to the current target
  // The client has retransmitted the SYN just after a gap in reception, so that
  // the answer may be on its way.
  bool is_retransmission_unjudged = false;
  // Until when a SYN may be held, and what it waits for.
  TimePoint held_until;
  bool waits_for_link = false;
  // A held SYN has its turn, and goes to a target with its next retransmission
  // if there is room then. It is not in the queue meanwhile.
  bool has_turn = false;
  // Copies of a held SYN that came through this VM.
  uint32_t syn_copies = 0;
  uint32_t syn_sequence = 0;  // valid if `attempts` is not 0
  HeaderOnlyPacket syn_packet{};
};

class FlowTracker {
 public:
  explicit FlowTracker(size_t max_flows) : max_flows_(max_flows) {}

  // Returns null when the flow is not tracked.
  TrackedFlow* Find(const FlowKey& key);
  // Adds a flow. Returns null when the maximum number of flows is reached. The
  // pointer is valid until the flow is removed.
  TrackedFlow* Add(const FlowKey& key, TimePoint now);
  void Remove(const FlowKey& key);

  // Calls `on_overdue` for each flow whose request becomes overdue and then
  // sets its phase. Calls `on_expired` for each flow that times out and then
  // removes it.
  using FlowCallback = std::function<void(const FlowKey&, TrackedFlow&)>;
  void Expire(TimePoint now,
              const FlowCallback& on_overdue,
              const FlowCallback& on_expired);

  // Starts the checks of an unanswered SYN, at intervals of kSynCheckInterval.
  void ScheduleSynCheck(const FlowKey& key, TimePoint now) {
    syn_checks_.push_back({key, now + kSynCheckInterval});
  }
  // Calls `check` for the flows that are due and still wait for an answer to
  // their SYN. It returns whether to go on with the checks of the flow.
  using SynCheck = std::function<bool(const FlowKey&, TrackedFlow&)>;
  void RunSynChecks(TimePoint now, const SynCheck& check);

  size_t size() const { return flows_.size(); }

 private:
  struct Timer {
    FlowKey key;
    TimePoint at;
  };

  const size_t max_flows_;
  std::unordered_map<FlowKey, TrackedFlow, FlowKeyHash> flows_;
  // Both are ordered by time, since all delays of a queue are the same.
  std::deque<Timer> expiry_checks_;
  std::deque<Timer> syn_checks_;
};

}  // namespace marjoramhall::forward

#endif  // MARJORAMHALL_FORWARD_FLOW_TRACKER_H_
