// The decision core of packet forwarding: takes packets with a time, returns
// where each goes. Later packets of a flow carry the token of their target, so
// VMs share no state of flows.
#ifndef MARJORAMHALL_FORWARD_FORWARDER_H_
#define MARJORAMHALL_FORWARD_FORWARDER_H_

#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <unordered_map>

#include "src/base/decision.h"
#include "src/base/time.h"
#include "src/forward/admission.h"
#include "src/forward/flow_tracker.h"
#include "src/forward/packet.h"
#include "src/forward/target_picker.h"
#include "src/forward/target_table.h"
#include "src/forward/view.h"

namespace marjoramhall::forward {

enum class PacketAction { kForward, kReset, kDrop };

// Why a packet was not forwarded, or an opening sent again.
enum class Reason {
  kNone,
  kNoView,        // this VM knows no configuration or no target yet
  kNoRoute,       // no route has this address
  kNoTarget,      // no target of the service takes new flows
  kOverload,      // the targets have more work than they finish in time
  kUnknownToken,  // the token names no known target
  kForeignReset,  // a reset of a client that names no target
  kLateCopy,      // a copy of an opening that has been answered
  kStaleOpening,  // an opening that waited while this VM stood still
  kUnanswered,    // the target did not answer the opening
  kCount,
};
inline constexpr EnumName<Reason> kReasonNames[] = {
    {Reason::kNone, "none"},
    {Reason::kNoView, "no-view"},
    {Reason::kNoRoute, "no-route"},
    {Reason::kNoTarget, "no-target"},
    {Reason::kOverload, "overload"},
    {Reason::kUnknownToken, "unknown-token"},
    {Reason::kForeignReset, "reset-without-target"},
    {Reason::kLateCopy, "late-copy"},
    {Reason::kStaleOpening, "stale-opening"},
    {Reason::kUnanswered, "unanswered"},
};
constexpr std::span<const EnumName<Reason>> NamesOf(Reason) {
  return kReasonNames;
}

struct PacketVerdict {
  PacketAction action = PacketAction::kDrop;
  const Target* target = nullptr;  // of kForward; valid until the next view
  Reason reason = Reason::kNone;
};

struct ForwardCounters {
  uint64_t packets = 0;
  uint64_t syn_packets = 0;    // first packets of flows, copies included
  uint64_t placed_flows = 0;   // flows that were given a target
  uint64_t resent_syns = 0;    // openings sent again by this VM
  uint64_t answered_syns = 0;  // openings whose target answered
  uint64_t responses = 0;      // requests whose response began
  std::array<uint64_t, static_cast<size_t>(Reason::kCount)> refused{};
};

struct ForwarderOptions {
  PickerOptions picker;
  AdmissionOptions admission;
  size_t tracked_flows = 16'384;
  uint64_t seed = 1;
};

// Called on the traffic thread; must not block.
struct ForwarderHooks {
  // Sends an opening to a target once more.
  std::function<void(const HeaderOnlyPacket& opening, const Target&)> resend;
  DecisionHook decide;
  // Whether a decision about a flow may be logged now; asked before its line is
  // made. Exceptional: not placed at the first try.
  std::function<bool(bool exceptional, TimePoint now)> may_log;
  // Time from a request to the begin of its response.
  std::function<void(Duration)> on_response;
};

class Forwarder {
 public:
  Forwarder(ForwarderOptions options, ForwarderHooks hooks);

  void OnView(ViewPtr view);
  // The view was current at this time; log lines tell its age.
  void OnViewConfirmed(TimePoint at) { confirmed_at_ = at; }

  // To be called before waiting packets are handed in, with BootTimeNow().
  // After a long gap, as when this VM was suspended, openings are dropped until
  // the next OnTick(): their clients have sent copies, and the flow may be open
  // at a target of another VM's choice by now.
  void OnReceiveBatch(TimePoint boot_now);

  // Decides about one packet; `datagram` is the packet as it stands on the
  // wire. Cost: two hash lookups, and for an opening one pass over the targets
  // of the service.
  PacketVerdict OnPacket(const PacketHeader& header,
                         std::span<const uint8_t> datagram,
                         TimePoint now);

  // Repeats unanswered openings and forgets old flows. To be called after all
  // waiting packets have been handed in, at least every 20 ms.
  void OnTick(TimePoint now);

  const ForwardCounters& counters() const { return counters_; }
  size_t tracked_flow_count() const { return flows_.size(); }
  TargetTable& targets() { return targets_; }

 private:
  PacketVerdict OnOpening(const PacketHeader& header,
                          std::span<const uint8_t> datagram,
                          TimePoint now);
  PacketVerdict OnLaterPacket(const PacketHeader& header, TimePoint now);
  PacketVerdict Refuse(const PacketHeader& header,
                       Reason reason,
                       TimePoint now);
  ServiceId ChooseService(const Route& route, const FlowKey& key) const;
  // Requests of this VM at the targets of a service that answer.
  uint32_t InProgress(ServiceId service) const;
  // What decided about admission, for a log line.
  std::string DescribeLoad(const FlowKey& key) const;
  TargetEntry* Place(const FlowKey& key, TrackedFlow& flow, TimePoint now);
  void RepeatOpening(const FlowKey& key, TrackedFlow& flow, TimePoint now);
  void CountUnanswered(TrackedFlow& flow, TimePoint now);
  void Observe(const PacketHeader& header, TargetEntry& entry, TimePoint now);
  void BeginWork(const PacketHeader& header,
                 const TargetEntry& entry,
                 TrackedFlow& flow,
                 TimePoint now);
  void OnResponse(TrackedFlow& flow, TimePoint now);
  // How long a request took, or has taken without a response so far.
  void TellAdmission(const TrackedFlow& flow, TimePoint now);
  void Release(TrackedFlow& flow);
  void LogPlacement(const FlowKey& key,
                    const TrackedFlow& flow,
                    const TargetEntry& entry,
                    TimePoint now);
  std::string DescribeFlow(const FlowKey& key, TimePoint now) const;

  const ForwarderHooks hooks_;
  TargetPicker picker_;
  Admission admission_;
  ViewPtr view_;
  TimePoint confirmed_at_;
  TimePoint woken_at_;           // of BootTimeNow()
  TimePoint resumed_at_;         // after the last long gap
  bool queue_is_stale_ = false;  // until the packets that waited are handed in
  TargetTable targets_;
  FlowTracker flows_;
  // Usual response time of a route in microseconds, smoothed.
  std::unordered_map<uint64_t, double> usual_time_;
  ForwardCounters counters_;
};

}  // namespace marjoramhall::forward

#endif  // MARJORAMHALL_FORWARD_FORWARDER_H_
