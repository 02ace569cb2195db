// Decides for each packet whether and where it is forwarded. It does no I/O and
// gets the time as an argument. Packets after the SYN carry the token of their
// target, so VMs share no flow state.
#ifndef MARJORAMHALL_FORWARD_FORWARDER_H_
#define MARJORAMHALL_FORWARD_FORWARDER_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>

#include "src/base/decision.h"
#include "src/base/time.h"
#include "src/forward/admission.h"
#include "src/forward/bulk_admission.h"
#include "src/forward/flow_tracker.h"
#include "src/forward/link_queue.h"
#include "src/forward/packet.h"
#include "src/forward/quick_failure.h"
#include "src/forward/syn_queue.h"
#include "src/forward/target_picker.h"
#include "src/forward/target_table.h"
#include "src/forward/view.h"
#include "src/forward/warm_up_limiter.h"

namespace marjoramhall::forward {

enum class PacketAction {
  kForward,
  kReset,
  kDrop,
  kHold,  // a SYN that is sent later, with ForwarderHooks::resend_syn
};

// Why a packet was not forwarded, or a SYN was resent.
enum class Reason {
  kNone,
  kNoView,              // no configuration or no target is known yet
  kNoRoute,             // no route has this address
  kNoTarget,            // no target of the service takes new flows
  kEvacuated,           // all targets of the service are evacuated
  kTargetsCold,         // the limit of cold targets keeps the flow from them
  kOverload,            // admission control refused the flow
  kLinkFull,            // too many bulk transfers for the link of this VM
  kUnknownToken,        // the token names no known target
  kResetWithoutTarget,  // a reset whose token names no known target
  kDuplicateSyn,        // retransmitted SYN of a flow that is already open
  kStaleSyn,            // the SYN waited while this VM was suspended
  kUnanswered,          // the target did not answer the SYN
  kQuickResponse,       // the target responds without doing the usual work
  kTargetGone,          // the target of an open flow has left or ended
  kCount,
};
inline constexpr EnumName<Reason> kReasonNames[] = {
    {Reason::kNone, "none"},
    {Reason::kNoView, "no-view"},
    {Reason::kNoRoute, "no-route"},
    {Reason::kNoTarget, "no-target"},
    {Reason::kEvacuated, "evacuated"},
    {Reason::kTargetsCold, "targets-cold"},
    {Reason::kOverload, "overload"},
    {Reason::kLinkFull, "link-full"},
    {Reason::kUnknownToken, "unknown-token"},
    {Reason::kResetWithoutTarget, "reset-without-target"},
    {Reason::kDuplicateSyn, "late-copy"},
    {Reason::kStaleSyn, "stale-opening"},
    {Reason::kUnanswered, "unanswered"},
    {Reason::kQuickResponse, "quick-response"},
    {Reason::kTargetGone, "target-gone"},
};
constexpr std::span<const EnumName<Reason>> NamesOf(Reason) {
  return kReasonNames;
}

struct PacketVerdict {
  PacketAction action = PacketAction::kDrop;
  const Target* target = nullptr;  // set for kForward; valid until OnView()
  Reason reason = Reason::kNone;
};

struct ForwardCounters {
  uint64_t packets = 0;
  uint64_t syn_packets = 0;   // including retransmissions by clients
  uint64_t requests = 0;      // that have arrived, also if they were refused
  uint64_t placed_flows = 0;  // flows that were assigned a target
  uint64_t held_syns = 0;     // flows that waited for room
  // SYNs that the limit of a cold target kept from it.
  uint64_t held_back_syns = 0;
  uint64_t resent_syns = 0;    // SYNs that this VM sent again
  uint64_t moved_syns = 0;     // of these, to another target
  uint64_t answered_syns = 0;  // SYNs that the target answered
  uint64_t responses = 0;      // requests whose response began
  // Packets that were reset or dropped, by Reason.
  std::array<uint64_t, static_cast<size_t>(Reason::kCount)> refused{};
};

struct ForwarderOptions {
  PickerOptions picker;
  AdmissionOptions admission;
  BulkAdmissionOptions bulk;
  SynQueueOptions syn_queue;
  QuickFailureOptions quick_failure;
  WarmUpLimiterOptions warm_up;
  size_t max_tracked_flows = 16'384;
  uint64_t seed = 1;
};

// Called on the traffic thread. Must not block.
struct ForwarderHooks {
  // Sends a SYN to a target again, or one that was held.
  std::function<void(const HeaderOnlyPacket& syn, const Target&)> resend_syn;
  DecisionHook log_decision;
  // Returns whether a decision about a flow may be logged now. Called before
  // the log line is built. All decisions are exceptional but the assignment of
  // a target at the first attempt.
  std::function<bool(bool exceptional, TimePoint now)> may_log;
  // Receives the time from a request to the start of its response.
  std::function<void(Duration)> on_response;
};

class Forwarder {
 public:
  Forwarder(ForwarderOptions options, ForwarderHooks hooks);

  void OnView(ViewPtr view);
  // The view was current at this time. Used for its age in log lines.
  void OnViewConfirmed(TimePoint at) { view_confirmed_at_ = at; }

  // Part of all requests that arrive at this VM; 0 if unknown, as in small
  // deployments.
  void OnTrafficShare(double share) {
    traffic_share_ = share;
    admission_.OnTrafficShare(share);
    warm_up_.OnTrafficShare(share);
  }

  // Must be called with BootTimeNow() after packets are received and before
  // they are passed in, and again before each SYN of the batch. SYNs are
  // dropped if they may have waited for long, for instance because this VM was
  // suspended or got no processor, until the next OnTick(): their clients have
  // retransmitted them, so another VM may have opened the flow at a target of
  // its choice. Returns whether they may. More packets may have waited then
  // than the receive call saw.
  bool OnReceiveBatch(TimePoint boot_now);
  // All packets that had arrived at this time, of the same clock, have been
  // passed in. The others have waited since then at most.
  void OnSocketEmptied(TimePoint boot_time) { waiting_since_ = boot_time; }

  // Decides about one packet. `datagram` is the packet in wire format.
  // Cost: two hash lookups, and for a SYN one pass over the targets of the
  // service.
  PacketVerdict OnPacket(const PacketHeader& header,
                         std::span<const uint8_t> datagram,
                         TimePoint now);

  // Resends unanswered SYNs and removes expired flows. Must be called after all
  // waiting packets have been passed in, at least every 20 ms.
  void OnTick(TimePoint now);

  const ForwardCounters& counters() const { return counters_; }
  size_t bulk_transfers() const { return bulk_.transfers(); }
  size_t waiting_syns() const { return waiting_.size(); }
  size_t tracked_flow_count() const { return flows_.size(); }
  TargetTable& targets() { return targets_; }

 private:
  PacketVerdict OnSyn(const PacketHeader& header,
                      std::span<const uint8_t> datagram,
                      TimePoint now);
  PacketVerdict OnNonSyn(const PacketHeader& header, TimePoint now);
  // Counts and logs the packet, and returns kReset or kDrop. `is_closed`: no VM
  // has opened the flow, although the client has sent its SYN several times.
  PacketVerdict Refuse(const PacketHeader& header,
                       Reason reason,
                       TimePoint now,
                       bool is_closed = false);
  ServiceId SelectService(const Route& route, const FlowKey& key) const;
  // Load of a service that counts for flows of the route.
  ServiceLoad LoadOf(ServiceId service, const Route& route) const;
  // The inputs of admission control, for a log line.
  std::string DescribeLoad(const FlowKey& key) const;
  std::string DescribeLink() const;
  WaitingSyn DescribeSyn(const FlowKey& key,
                         uint64_t route_key,
                         const Route& route,
                         TimePoint now) const;
  // Why a new flow may not begin now: kOverload, kLinkFull, or kNone if it may.
  Reason LackOfRoom(const WaitingSyn& syn, const Route& route);
  // Whether a flow that lacks room may wait for it.
  bool MayWait(const WaitingSyn& syn,
               Reason lack,
               std::span<const uint8_t> datagram,
               TimePoint now) const;
  PacketVerdict Hold(const WaitingSyn& syn,
                     Reason lack,
                     TrackedFlow& flow,
                     TimePoint now);
  // Counts a flow whose SYN is about to be sent to a target.
  void BeginFlow(const WaitingSyn& syn, TimePoint now);
  // Returns the verdict of the retransmission of a held SYN, or nothing if it
  // is the flow's turn.
  std::optional<PacketVerdict> OnHeldSyn(const PacketHeader& header,
                                         const Route& route,
                                         TrackedFlow& flow,
                                         TimePoint now);
  // Stops holding all SYNs. Their clients have retransmitted them during a
  // suspension of this VM, so another VM may have placed the flows.
  void ForgetHeldSyns();
  // Sends held SYNs for which there is room.
  void ReleaseHeldSyns(TimePoint now);
  // Returns whether the flow does not wait any more.
  bool ReleaseHeldSyn(const WaitingSyn& syn, TimePoint now);
  // Stops tracking a flow.
  void RemoveFlow(const FlowKey& key, TrackedFlow& flow);
  // Why no target of the flow's service takes new flows.
  Reason ReasonForNoTarget(uint64_t route_key, const FlowKey& key) const;
  // Earliest time at which the client of a SYN that has just arrived sends it
  // again. The SYN may have waited in the link of this VM.
  TimePoint NextClientSynAt(const PacketHeader& syn, TimePoint now) const;
  // Returns the target of a SYN that the client has retransmitted, or null when
  // no target of the service takes new flows.
  TargetEntry* OnRetransmittedSyn(const PacketHeader& header,
                                  TrackedFlow& flow,
                                  TimePoint now);
  // Assigns a target that the flow has not tried. Returns null when no target
  // of the service takes new flows.
  TargetEntry* AssignTarget(const FlowKey& key,
                            TrackedFlow& flow,
                            TimePoint now);
  // Returns the constraint of the limits of cold targets. Sets `held_back` when
  // it keeps the flow from one. Is unset if nothing is limited.
  std::function<bool(TargetEntry&)> WarmUpConstraint(bool* held_back,
                                                     TimePoint now);
  // Resends an unanswered SYN: to another target only if that of the flow is
  // known to be silent. Returns whether to check the flow again.
  bool CheckSynAnswer(const FlowKey& key, TrackedFlow& flow, TimePoint now);
  // Whether the flow would have been answered through this VM, as far as it can
  // tell, and its target has answered nobody since.
  bool IsTargetSilent(const TrackedFlow& flow, const TargetEntry& entry) const;
  // Adds evidence that a target is silent, and logs when it becomes suspect.
  void RecordSilence(TargetEntry& entry,
                     const std::function<void(TargetSilence&)>& record,
                     TimePoint now);
  // Whether the flow's target is gone and the client still sends the first
  // packet of a request that may run elsewhere.
  bool IsAbandoned(const PacketHeader& header,
                   const TargetEntry& entry,
                   TimePoint now);
  // Updates the flow and the entry of its target from a packet after the SYN.
  void TrackPacket(const PacketHeader& header,
                   TargetEntry& entry,
                   TimePoint now);
  void BeginRequest(const PacketHeader& header,
                    TargetEntry& entry,
                    TrackedFlow& flow,
                    TimePoint now);
  // Whether packets of the flow have passed another VM since its request began,
  // so that the time of the response is unknown.
  static bool HasMissedPackets(const PacketHeader& header,
                               const TrackedFlow& flow);
  void OnResponse(const PacketHeader& header, TrackedFlow& flow, TimePoint now);
  // Avoids a target that responded without doing the usual work.
  void CheckForQuickFailure(const TrackedFlow& flow,
                            TargetEntry& entry,
                            TimePoint now);
  void LogHold(const FlowKey& key, Reason lack, TimePoint now);
  void LogTargetHealth(const TargetEntry& entry,
                       std::string_view outcome,
                       Reason reason,
                       TimePoint now);
  // Passes the time that a request took, or has taken so far, to admission
  // control.
  void ReportResponseTime(const TrackedFlow& flow, TimePoint now);
  // Counts the flow's request as outstanding at a target.
  void CountRequest(TrackedFlow& flow, TargetEntry& entry);
  // Stops counting the flow's request as outstanding.
  void ReleaseRequest(TrackedFlow& flow);
  void LogAssignment(const FlowKey& key,
                     const TrackedFlow& flow,
                     const TargetEntry& entry,
                     TimePoint now);
  std::string DescribeFlow(const FlowKey& key, TimePoint now) const;

  const ForwarderHooks hooks_;
  TargetPicker picker_;
  AdmissionController admission_;
  BulkAdmission bulk_;
  LinkQueue link_queue_;
  WarmUpLimiter warm_up_;
  SynQueue waiting_;
  ViewPtr view_;
  TimePoint view_confirmed_at_;
  double traffic_share_ = 0;  // see OnTrafficShare()
  TimePoint last_packet_at_;
  TimePoint reception_resumed_at_;  // end of the last kReceptionGap
  // See OnSocketEmptied(). Not set before the first call.
  std::optional<TimePoint> waiting_since_;
  TimePoint resumed_at_;  // when packets last stopped waiting for long
  // Set from a long wait until the next OnTick(). By then all packets that
  // waited have been passed in.
  bool resuming_ = false;
  TargetTable targets_;
  FlowTracker flows_;
  // Smoothed response time by route key.
  std::unordered_map<uint64_t, double> route_response_us_;
  QuickFailureDetector quick_failures_;
  ForwardCounters counters_;
};

}  // namespace marjoramhall::forward

#endif  // MARJORAMHALL_FORWARD_FORWARDER_H_
