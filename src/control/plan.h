// What a change would do: differences, share of flows that moves, capacity
// left, warnings, and the rules that forbid it.
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

// Present work at a target.
struct TargetLoad {
  uint64_t flows = 0;
  uint64_t requests = 0;
};

// Present work as far as it is known.
struct TargetLoads {
  std::map<TargetId, TargetLoad> targets;
  // False when the work of some live VM is not counted.
  bool complete = false;
};

enum class PlanWarning {
  kLastTarget,
  kSeveralDrains,
  kThirdOfDomain,
  kCapacity,
  kCountsIncomplete,
};
inline constexpr EnumName<PlanWarning> kPlanWarningNames[] = {
    {PlanWarning::kLastTarget, "last-target"},
    {PlanWarning::kSeveralDrains, "several-drains"},
    {PlanWarning::kThirdOfDomain, "third-of-domain"},
    {PlanWarning::kCapacity, "capacity"},
    {PlanWarning::kCountsIncomplete, "counts-incomplete"},
};
constexpr std::span<const EnumName<PlanWarning>> NamesOf(PlanWarning) {
  return kPlanWarningNames;
}

struct Warning {
  PlanWarning kind = PlanWarning::kLastTarget;
  std::string object;  // service or failure domain, or empty
  std::string text;

  // "last-target yardbook". Identifies a warning between plan and confirm.
  std::string Code() const;
  // True for warnings about the configuration itself, which must not be new at
  // the confirmation. Others vary with the load.
  bool IsStructural() const;
};

struct ServiceEffect {
  std::string service;
  // Share of new flows that goes to another target than before, 0 to 1.
  double moved_share = 0;
  // Work at targets that the change drains; it ends there undisturbed.
  uint64_t flows = 0;
  uint64_t requests = 0;
  // Slots of active targets.
  uint64_t slots_before = 0;
  uint64_t slots_after = 0;
  // Requests in progress at all targets of the service.
  uint64_t slots_in_use = 0;
};

struct Plan {
  std::vector<std::string> additions;
  std::vector<std::string> changes;
  std::vector<std::string> removals;
  std::vector<ServiceEffect> services;  // those that the change touches
  std::vector<Warning> warnings;
  // Rules that forbid the change; empty when it can be confirmed.
  std::vector<std::string> refusals;
  config::Deployment next;
};

// Makes a plan of operations against `base`. No plan cuts flows or requests: a
// target may be removed only while it is draining and has no work left.
Plan MakePlan(const config::Deployment& base,
              std::span<const config::Operation> operations,
              const config::ChangeInfo& info,
              const std::optional<TargetLoads>& load,
              std::span<const config::KnownMember> members);

}  // namespace marjoramhall::control

#endif  // MARJORAMHALL_CONTROL_PLAN_H_
