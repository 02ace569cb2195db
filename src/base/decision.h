// The record behind each line of the decision log: one for each flow or request
// that is routed, and for each placement, slot or membership decision.
#ifndef MARJORAMHALL_BASE_DECISION_H_
#define MARJORAMHALL_BASE_DECISION_H_

#include <cstdint>
#include <functional>
#include <span>

#include "src/base/borrowed_text.h"
#include "src/base/enum_names.h"
#include "src/base/ids.h"

namespace marjoramhall {

enum class DecisionKind {
  kRouteFlow,
  kDropPacket,
  kRouteRequest,
  kRefuseRequest,
  kEndRequest,
  kPlaceBuckets,
  kMoveSlots,
  kTargetHealth,
  kKeyRange,
  kMembership,
  kConfiguration,
};

inline constexpr EnumName<DecisionKind> kDecisionKindNames[] = {
    {DecisionKind::kRouteFlow, "route-flow"},
    {DecisionKind::kDropPacket, "drop-packet"},
    {DecisionKind::kRouteRequest, "route-request"},
    {DecisionKind::kRefuseRequest, "refuse-request"},
    {DecisionKind::kEndRequest, "end-request"},
    {DecisionKind::kPlaceBuckets, "place-buckets"},
    {DecisionKind::kMoveSlots, "move-slots"},
    {DecisionKind::kTargetHealth, "target-health"},
    {DecisionKind::kKeyRange, "key-range"},
    {DecisionKind::kMembership, "membership"},
    {DecisionKind::kConfiguration, "configuration"},
};
constexpr std::span<const EnumName<DecisionKind>> NamesOf(DecisionKind) {
  return kDecisionKindNames;
}

// The string views are valid only during the hook call. Fields that do not
// apply keep their defaults and are omitted from the log line.
struct Decision {
  DecisionKind kind = DecisionKind::kRouteFlow;
  // Flow hash or request id. It is the same on every VM that handles the flow
  // or request, so log lines of different VMs can be correlated.
  uint64_t subject = 0;
  ServiceId service = ServiceId::kNone;
  TargetId target = TargetId::kNone;
  VmId vm = VmId::kNone;
  Revision revision = 0;
  // Number of the store's history to which the revision belongs, if it is one
  // of the platform's store.
  uint64_t store_epoch = 0;
  // What was decided and why. Both come from a fixed set of short phrases.
  BorrowedText outcome;
  BorrowedText reason;
  // Free text for rare events such as membership and configuration changes.
  BorrowedText detail;
};

// Called on the thread of the plane that makes the decision. Must not block.
using DecisionHook = std::function<void(const Decision&)>;

}  // namespace marjoramhall

#endif  // MARJORAMHALL_BASE_DECISION_H_
