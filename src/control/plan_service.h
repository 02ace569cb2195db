// The operators' API without its transport: plans, confirmations, status and
// history. Requests and responses are JSON.
#ifndef MARJORAMHALL_CONTROL_PLAN_SERVICE_H_
#define MARJORAMHALL_CONTROL_PLAN_SERVICE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "src/base/decision.h"
#include "src/base/enum_names.h"
#include "src/config/deployment.h"
#include "src/control/plan.h"
#include "src/control/plan_document.h"
#include "src/control/store_reconciler.h"

namespace marjoramhall::control {

enum class PlanServiceOutcome {
  kOk,
  kBadRequest,   // malformed; nothing was done
  kRefused,      // well-formed but not allowed now; nothing was done
  kUnavailable,  // no configuration or no store; nothing was done
  kUnknown,      // may have taken effect; confirm again to learn the outcome
};
inline constexpr EnumName<PlanServiceOutcome> kPlanServiceOutcomeNames[] = {
    {PlanServiceOutcome::kOk, "ok"},
    {PlanServiceOutcome::kBadRequest, "bad-request"},
    {PlanServiceOutcome::kRefused, "refused"},
    {PlanServiceOutcome::kUnavailable, "unavailable"},
    {PlanServiceOutcome::kUnknown, "unknown"},
};
constexpr std::span<const EnumName<PlanServiceOutcome>> NamesOf(
    PlanServiceOutcome) {
  return kPlanServiceOutcomeNames;
}

struct PlanServiceResponse {
  PlanServiceOutcome outcome = PlanServiceOutcome::kOk;
  // Has "outcome" and, unless ok, "reasons".
  std::string json;
};

using PlanServiceCallback = std::function<void(const PlanServiceResponse&)>;

// A VM as shown to operators.
struct MemberStatus {
  std::string name;
  std::string domain;
  std::string state;  // alive, suspect, leaving or removed
  Revision revision = 0;
};

struct PlanServiceHooks {
  // The deployment in force here. Null or revision 0 means none.
  std::function<config::DeploymentPtr()> current;
  // All VMs that may still handle packets. Includes those that were removed
  // less than 24 h ago and of which no later incarnation was seen.
  std::function<std::vector<MemberStatus>()> members;
  // Current load of the targets; nothing when it is unknown.
  std::function<std::optional<TargetLoads>()> load;
  // See StoreReconciler::Propose.
  std::function<void(const config::Deployment& next,
                     const std::string& change_id,
                     ProposeCallback done)>
      propose;
  std::function<int64_t()> unix_time;  // seconds
  std::function<uint64_t()> random;
  DecisionHook decide;
};

struct PlanServiceOptions {
  std::string vm;               // name of this VM
  std::string key;              // signs plans; the same on all VMs
  int64_t plan_lifetime = 600;  // seconds
};

// Not thread-safe; use on the control thread. Plans are self-contained, so that
// any VM can confirm them. Cost of a plan or confirmation: a few passes over
// the deployment (about 10 ms for 3,800 targets).
class PlanService {
 public:
  PlanService(PlanServiceOptions options, PlanServiceHooks hooks);
  PlanService(const PlanService&) = delete;
  PlanService& operator=(const PlanService&) = delete;

  // Body: {"author", "reason", "base_revision" (optional), "operations"}. An ok
  // response has the plan with its "plan_id", "expires_at" and "document". A
  // base revision that is no longer in force is refused, and the response has a
  // plan for the one in force as "new_plan".
  PlanServiceResponse CreatePlan(std::string_view body);

  // Body: an object with the "document" of the plan, such as the response of
  // CreatePlan(). It may be empty at the VM that made the plan, while the plan
  // is among its recent ones. A confirmed plan takes effect exactly once, no
  // matter how often and at which VMs it is confirmed. `done` is called exactly
  // once, possibly before this returns, unless the service is destroyed first.
  void Confirm(const std::string& plan_id,
               std::string_view body,
               PlanServiceCallback done);

  PlanServiceResponse Status() const;
  PlanServiceResponse History() const;

 private:
  struct Confirmation {
    std::string plan_id;
    PlanDocument document;
    std::vector<PlanServiceCallback> callbacks;
    int attempts = 0;
    // The plan was applied to a later revision than its base.
    bool merged = false;
  };
  using ConfirmationPtr = std::shared_ptr<Confirmation>;

  config::DeploymentPtr Current() const;
  std::vector<config::KnownMember> KnownMembers() const;
  PlanServiceResponse BuildPlanResponse(const PlanDocument& request);
  std::optional<SignedDocument> FindDocument(const std::string& plan_id,
                                             std::string_view body,
                                             std::string* error) const;
  void TryConfirm(const ConfirmationPtr& it);
  // Returns the reasons why the plan cannot be confirmed on `current`. When
  // there are none, `*next` is the deployment to propose.
  std::vector<std::string> CheckConfirmation(const Confirmation& it,
                                             const config::Deployment& current,
                                             config::Deployment* next) const;
  void OnProposed(const ConfirmationPtr& it, const ProposeResult& result);
  void Reject(const ConfirmationPtr& it, std::vector<std::string> reasons);
  void Finish(const ConfirmationPtr& it, const PlanServiceResponse& response);
  void Log(std::string_view outcome,
           Revision revision,
           const std::string& detail) const;

  const PlanServiceOptions options_;
  const PlanServiceHooks hooks_;
  // Confirmations in progress, by plan id. Further calls for the same id wait
  // for the same result.
  std::map<std::string, ConfirmationPtr> confirming_;
  // The last plans made here, for confirmations without a document. The ids are
  // in order of creation.
  std::map<std::string, SignedDocument> recent_plans_;
  std::vector<std::string> recent_plan_ids_;
  // Callbacks of proposals hold a weak reference, to detect destruction.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace marjoramhall::control

#endif  // MARJORAMHALL_CONTROL_PLAN_SERVICE_H_
