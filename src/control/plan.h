// The effects of a change before it is made: differences, the share of new
// flows that changes targets, remaining capacity, warnings, and the rules that
// forbid the change.
#ifndef MARJORAMHALL_CONTROL_PLAN_H_
#define MARJORAMHALL_CONTROL_PLAN_H_

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "src/base/enum_names.h"
#include "src/config/change.h"
#include "src/config/quarantine.h"

namespace marjoramhall::control {

// Current flows and requests at a target.
struct TargetLoad {
  uint64_t flows = 0;
  uint64_t requests = 0;
};

// Current load of all targets, as far as it is known.
struct TargetLoads {
  std::map<TargetId, TargetLoad> targets;
  // False when flows and requests of some live VM are not counted.
  bool complete = false;
};

enum class WarningKind {
  kLastTarget,
  kSeveralDrains,
  kThirdOfDomain,
  kCapacity,
  kCountsIncomplete,
};
inline constexpr EnumName<WarningKind> kWarningKindNames[] = {
    {WarningKind::kLastTarget, "last-target"},
    {WarningKind::kSeveralDrains, "several-drains"},
    {WarningKind::kThirdOfDomain, "third-of-domain"},
    {WarningKind::kCapacity, "capacity"},
    {WarningKind::kCountsIncomplete, "counts-incomplete"},
};
constexpr std::span<const EnumName<WarningKind>> NamesOf(WarningKind) {
  return kWarningKindNames;
}

struct PlanWarning {
  WarningKind kind = WarningKind::kLastTarget;
  std::string object;  // service or failure domain, or empty
  std::string text;

  // For example "last-target yardbook". Identifies the warning when the plan is
  // confirmed.
  std::string Code() const;
  // True for warnings about the configuration itself. A confirmation is refused
  // when it has a structural warning that the plan did not have. Other warnings
  // vary with the load.
  bool IsStructural() const;
};

struct ServiceEffect {
  std::string service;
  // Share of new flows that goes to a different target than before, 0 to 1.
  double moved_share = 0;
  // Current load of targets that the change drains. It finishes there
  // undisturbed.
  uint64_t flows = 0;
  uint64_t requests = 0;
  // Sum of the slots of active targets.
  uint64_t slots_before = 0;
  uint64_t slots_after = 0;
  // Requests in progress at all targets of the service.
  uint64_t slots_in_use = 0;
};

struct Plan {
  std::vector<std::string> additions;
  std::vector<std::string> changes;
  std::vector<std::string> removals;
  std::vector<ServiceEffect> services;  // changed services only
  std::vector<PlanWarning> warnings;
  // Reasons that forbid the change; empty when it can be confirmed.
  std::vector<std::string> refusals;
  config::Deployment next;
};

// Plans operations against `base`. No plan cuts flows or requests: a target may
// be removed only while it is draining and has no known flows or requests.
// `load` is nothing when the load is unknown. `members` are all VMs that may
// still handle packets (quarantine.h).
Plan MakePlan(const config::Deployment& base,
              std::span<const config::Operation> operations,
              const config::ChangeInfo& info,
              const std::optional<TargetLoads>& load,
              std::span<const config::KnownMember> members);

}  // namespace marjoramhall::control

#endif  // MARJORAMHALL_CONTROL_PLAN_H_
