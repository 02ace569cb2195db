// Counters of the flow plane.
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
  kPackets,        // packets and hop datagrams taken in
  kHits,           // routed by an entry of this VM
  kNewFlows,       // flows decided here
  kSettledDirect,  // unknown packets sent to a settled placement
  kAsked,          // unknown packets sent to the owner
  kConfirmed,      // entries put to the owner for confirmation
  kRecorded,       // entries taken over from a hop header
  kCorrected,      // decisions made anew under a newer revision
  kWalks,          // walks started as owner
  kWalkFound,      // walks answered by this VM
  kWalkLost,       // walks that found nothing
  kHeld,           // fragments held for their first fragment
  kUntracked,      // flows without an entry because the table is full
  kControlMessages,
  kControlBytes,  // including kMessageOverhead per message
  kControlPaced,  // messages put off by the byte budget
  kExceptionsSent,
  kExceptionsApplied,
  kDropNoConfiguration,
  kDropNoService,
  kDropNoTarget,      // the service has no target that takes new flows
  kDropTargetGone,    // the decided target is not in the configuration
  kDropUnknownPeer,   // hop packet of a VM that is not a member
  kDropOldPeer,       // hop packet of an earlier incarnation
  kDropOtherService,  // header and packet name different services
  kDropHopLimit,
  kDropWalkBudget,
  kDropUnknownFlow,  // ICMP error about a flow that is not known
  kDropFragmentLimit,
  kDropFragmentLate,  // first fragment did not arrive in time
};
inline constexpr size_t kFlowCounterCount = 30;
inline constexpr EnumName<FlowCounter> kFlowCounterNames[] = {
    {FlowCounter::kPackets, "packets"},
    {FlowCounter::kHits, "hits"},
    {FlowCounter::kNewFlows, "new-flows"},
    {FlowCounter::kSettledDirect, "settled-direct"},
    {FlowCounter::kAsked, "asked"},
    {FlowCounter::kConfirmed, "confirmed"},
    {FlowCounter::kRecorded, "recorded"},
    {FlowCounter::kCorrected, "corrected"},
    {FlowCounter::kWalks, "walks"},
    {FlowCounter::kWalkFound, "walk-found"},
    {FlowCounter::kWalkLost, "walk-lost"},
    {FlowCounter::kHeld, "held"},
    {FlowCounter::kUntracked, "untracked"},
    {FlowCounter::kControlMessages, "control-messages"},
    {FlowCounter::kControlBytes, "control-bytes"},
    {FlowCounter::kControlPaced, "control-paced"},
    {FlowCounter::kExceptionsSent, "exceptions-sent"},
    {FlowCounter::kExceptionsApplied, "exceptions-applied"},
    {FlowCounter::kDropNoConfiguration, "drop-no-configuration"},
    {FlowCounter::kDropNoService, "drop-no-service"},
    {FlowCounter::kDropNoTarget, "drop-no-target"},
    {FlowCounter::kDropTargetGone, "drop-target-gone"},
    {FlowCounter::kDropUnknownPeer, "drop-unknown-peer"},
    {FlowCounter::kDropOldPeer, "drop-old-peer"},
    {FlowCounter::kDropOtherService, "drop-other-service"},
    {FlowCounter::kDropHopLimit, "drop-hop-limit"},
    {FlowCounter::kDropWalkBudget, "drop-walk-budget"},
    {FlowCounter::kDropUnknownFlow, "drop-unknown-flow"},
    {FlowCounter::kDropFragmentLimit, "drop-fragment-limit"},
    {FlowCounter::kDropFragmentLate, "drop-fragment-late"},
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
