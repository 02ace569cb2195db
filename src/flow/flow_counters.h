// Counters of the flow plane. The names in kFlowCounterNames are the values of
// a metric label.
#ifndef MARJORAMHALL_FLOW_FLOW_COUNTERS_H_
#define MARJORAMHALL_FLOW_FLOW_COUNTERS_H_

#include <array>
#include <cstdint>
#include <span>

#include "src/base/enum_names.h"
#include "src/flow/packet.h"
#include "src/protocol/hop_header.h"

namespace marjoramhall::flow {

enum class FlowCounter : uint8_t {
  kPackets,        // packets from the fabric and hop datagrams received
  kTableHits,      // routed by an entry of this VM
  kNewFlows,       // flows whose target this VM chose
  kSettledDirect,  // without an entry, sent to the target of a settled bucket
  kOwnerQueries,   // without an entry, sent to the owner of the bucket
  kConfirmations,  // entries sent to the owner for confirmation
  kFlowsRecorded,  // flows that another VM asked this one to record
  kDecisionsCorrected,  // decisions of an owner replaced by its backup
  kSearches,            // searches for a flow on all VMs, started as owner
  kSearchHits,          // searches that ended at an entry of this VM
  kSearchMisses,        // searches that found no entry on any VM
  kFragmentsHeld,       // held until their first fragment arrives
  kUntrackedFlows,      // flows without an entry because the table is full
  kControlMessages,
  kControlBytes,     // including kMessageOverheadBytes per message
  kControlDeferred,  // messages deferred by the byte budget
  kExceptionsSent,   // including resent ones
  kExceptionsApplied,
  kDropNoConfiguration,
  kDropNoService,
  kDropNoTarget,          // the service has no target that takes new flows
  kDropTargetGone,        // the chosen target is not in the configuration
  kDropUnknownPeer,       // hop packet of a VM that is not a member
  kDropStaleIncarnation,  // hop packet of an earlier incarnation of a VM
  kDropServiceMismatch,   // chosen target or hop header is of another service
  kDropHopLimit,
  kDropSearchBudget,
  kDropUnknownFlow,      // ICMP error about a flow that is not known
  kDropFragmentLimit,    // no room to hold another fragment
  kDropFragmentTimeout,  // the first fragment did not arrive in time
};
inline constexpr size_t kFlowCounterCount = 30;
inline constexpr EnumName<FlowCounter> kFlowCounterNames[] = {
    {FlowCounter::kPackets, "packets"},
    {FlowCounter::kTableHits, "hits"},
    {FlowCounter::kNewFlows, "new-flows"},
    {FlowCounter::kSettledDirect, "settled-direct"},
    {FlowCounter::kOwnerQueries, "asked"},
    {FlowCounter::kConfirmations, "confirmed"},
    {FlowCounter::kFlowsRecorded, "recorded"},
    {FlowCounter::kDecisionsCorrected, "corrected"},
    {FlowCounter::kSearches, "walks"},
    {FlowCounter::kSearchHits, "walk-found"},
    {FlowCounter::kSearchMisses, "walk-lost"},
    {FlowCounter::kFragmentsHeld, "held"},
    {FlowCounter::kUntrackedFlows, "untracked"},
    {FlowCounter::kControlMessages, "control-messages"},
    {FlowCounter::kControlBytes, "control-bytes"},
    {FlowCounter::kControlDeferred, "control-paced"},
    {FlowCounter::kExceptionsSent, "exceptions-sent"},
    {FlowCounter::kExceptionsApplied, "exceptions-applied"},
    {FlowCounter::kDropNoConfiguration, "drop-no-configuration"},
    {FlowCounter::kDropNoService, "drop-no-service"},
    {FlowCounter::kDropNoTarget, "drop-no-target"},
    {FlowCounter::kDropTargetGone, "drop-target-gone"},
    {FlowCounter::kDropUnknownPeer, "drop-unknown-peer"},
    {FlowCounter::kDropStaleIncarnation, "drop-old-peer"},
    {FlowCounter::kDropServiceMismatch, "drop-other-service"},
    {FlowCounter::kDropHopLimit, "drop-hop-limit"},
    {FlowCounter::kDropSearchBudget, "drop-walk-budget"},
    {FlowCounter::kDropUnknownFlow, "drop-unknown-flow"},
    {FlowCounter::kDropFragmentLimit, "drop-fragment-limit"},
    {FlowCounter::kDropFragmentTimeout, "drop-fragment-late"},
};
static_assert(std::size(kFlowCounterNames) == kFlowCounterCount);
constexpr std::span<const EnumName<FlowCounter>> NamesOf(FlowCounter) {
  return kFlowCounterNames;
}

struct FlowCounters {
  std::array<uint64_t, kFlowCounterCount> values{};
  std::array<uint64_t, std::size(kParseErrorNames)> parse_errors{};
  std::array<uint64_t, std::size(protocol::kHopErrorNames)> hop_errors{};

  uint64_t& operator[](FlowCounter counter) {
    return values[static_cast<size_t>(counter)];
  }
  uint64_t operator[](FlowCounter counter) const {
    return values[static_cast<size_t>(counter)];
  }
};

}  // namespace marjoramhall::flow

#endif  // MARJORAMHALL_FLOW_FLOW_COUNTERS_H_
