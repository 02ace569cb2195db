// Changes of a deployment: the operations that operators request, and their
// application to a base deployment.
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

// One operation. Objects are identified by their names, which are unique in the
// deployment. Each kind uses only the members stated for it.
struct Operation {
  OperationKind kind = OperationKind::kDrainTarget;
  std::string name;          // the changed, removed or added object
  std::string service;       // kAddTarget: the service of the target
  Service new_service;       // kAddService, with its targets
  Target new_target;         // kAddTarget
  FailureDomain new_domain;  // kAddDomain
  std::string set;           // kChange...: JSON object of the members to set
  uint32_t weight = 0;       // kSetWeight

  bool operator==(const Operation&) const = default;
};

// Data recorded in the history with an accepted change.
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

// Largest number of operations in one change.
inline constexpr size_t kMaxOperationsPerChange = 1000;

// JSON form of operations: an array of objects such as
//   {"op": "add-target", "service": "s", "target": {...}}
//   {"op": "change-target", "name": "t", "set": {"slots": 4}}
//   {"op": "drain-target", "name": "t"}
//   {"op": "set-weight", "name": "t", "weight": 50}
std::string OperationsToJson(std::span<const Operation> operations);

// Reads the form that OperationsToJson() writes. `*error` lists each error with
// its path, which starts with `path`; `error` may be null. Added objects must
// not have ids, because ApplyChange() assigns them.
std::optional<std::vector<Operation>> OperationsFromJson(
    std::string_view text,
    const std::string& path,
    std::string* error);

// Describes an operation in histories and plans, for example "drain target t1".
std::string DescribeOperation(const Operation& operation);

// Applies operations in the given order. The result has the next revision, new
// ids for added objects and a new history record. Addresses that the change
// releases are added to the released list, and those that it assigns again are
// removed from it.
// Draining a target that is already draining is not an error, but a change
// without any effect is one.
// The errors name the operation that caused them and include those of
// ValidateDeployment(). CheckQuarantine() (quarantine.h) checks whether a
// released address may be assigned again.
ChangeResult ApplyChange(const Deployment& base,
                         std::span<const Operation> operations,
                         const ChangeInfo& info);

// Makes the first revision of a new lineage from a deployment file. Assigns new
// ids to all objects and records the change in the history.
ChangeResult MakeInitialDeployment(Deployment written,
                                   const std::string& lineage,
                                   const ChangeInfo& info);

}  // namespace marjoramhall::config

#endif  // MARJORAMHALL_CONFIG_CHANGE_H_
