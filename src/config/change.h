// Changes of a deployment: operations that operators ask for, and what they
// make of a base deployment.
#ifndef MARJORAMHALL_CONFIG_CHANGE_H_
#define MARJORAMHALL_CONFIG_CHANGE_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "src/base/enum_names.h"
#include "src/config/deployment.h"

namespace marjoramhall::config {

enum class OperationKind {
  kAddService,
  kChangeService,
  kRemoveService,
  kAddTarget,
  kChangeTarget,
  kRemoveTarget,
  kDrainTarget,
  kUndrainTarget,
  kSetWeight,
  kAddDomain,
  kChangeDomain,
  kRemoveDomain,
};
inline constexpr EnumName<OperationKind> kOperationKindNames[] = {
    {OperationKind::kAddService, "add-service"},
    {OperationKind::kChangeService, "change-service"},
    {OperationKind::kRemoveService, "remove-service"},
    {OperationKind::kAddTarget, "add-target"},
    {OperationKind::kChangeTarget, "change-target"},
    {OperationKind::kRemoveTarget, "remove-target"},
    {OperationKind::kDrainTarget, "drain-target"},
    {OperationKind::kUndrainTarget, "undrain-target"},
    {OperationKind::kSetWeight, "set-weight"},
    {OperationKind::kAddDomain, "add-domain"},
    {OperationKind::kChangeDomain, "change-domain"},
    {OperationKind::kRemoveDomain, "remove-domain"},
};
constexpr std::span<const EnumName<OperationKind>> NamesOf(OperationKind) {
  return kOperationKindNames;
}

// One operation. Objects are named by their names, which are unique in the
// deployment. Only the members of the kind are used.
struct Operation {
  OperationKind kind = OperationKind::kDrainTarget;
  std::string name;          // the object; for added objects as well
  std::string service;       // kAddTarget: the service that gets it
  Service new_service;       // kAddService, with its targets
  Target new_target;         // kAddTarget
  FailureDomain new_domain;  // kAddDomain
  std::string set;           // kChange...: JSON object of the members to set
  uint32_t weight = 0;       // kSetWeight

  bool operator==(const Operation&) const = default;
};

// What an accepted change is recorded with.
struct ChangeInfo {
  std::string change_id;
  std::string author;
  std::string reason;
  int64_t accepted_at = 0;  // Unix time, seconds
};

struct ChangeResult {
  // Usable only when there is no error.
  Deployment deployment;
  std::vector<std::string> errors;
};

// At most this many operations make up one change.
inline constexpr size_t kLargestChange = 1000;

// JSON form of operations: an array of objects such as
//   {"op": "add-target", "service": "s", "target": {...}}
//   {"op": "change-target", "name": "t", "set": {"slots": 4}}
//   {"op": "drain-target", "name": "t"}
//   {"op": "set-weight", "name": "t", "weight": 50}
std::string OperationsToJson(std::span<const Operation> operations);

// Reads that form. Every fault is named with its path in `*error`, which starts
// with `path`. Ids in added objects are faults, because Apply() allots them.
std::optional<std::vector<Operation>> OperationsFromJson(
    std::string_view text,
    const std::string& path,
    std::string* error);

// "drain target t1", for histories and plans.
std::string DescribeOperation(const Operation& operation);

// Applies operations in their order. The result has the next revision, allotted
// ids, a history record, and all addresses that the change releases on the
// released list; a released address that is assigned again leaves the list.
// Draining a target that drains already is no error, but a change without any
// effect is one.
// Errors name the operation and also contain those of ValidateDeployment().
// Whether a released address may be assigned again is checked by
// CheckQuarantine() (quarantine.h).
ChangeResult ApplyChange(const Deployment& base,
                         std::span<const Operation> operations,
                         const ChangeInfo& info);

// Turns a deployment written by hand into the first revision of a new lineage:
// allots all ids anew and records the change.
ChangeResult MakeInitialDeployment(Deployment written,
                                   const std::string& lineage,
                                   const ChangeInfo& info);

}  // namespace marjoramhall::config

#endif  // MARJORAMHALL_CONFIG_CHANGE_H_
