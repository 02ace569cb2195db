// The intent API without its transport: plans, confirmations, status and
// history, as JSON in and out.
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
  kUnknown,      // may have taken effect; confirming again tells
};
inline constexpr EnumName<PlanServiceOutcome> kIntentOutcomeNames[] = {
    {PlanServiceOutcome::kOk, "ok"},
    {PlanServiceOutcome::kBadRequest, "bad-request"},
    {PlanServiceOutcome::kRefused, "refused"},
    {PlanServiceOutcome::kUnavailable, "unavailable"},
    {PlanServiceOutcome::kUnknown, "unknown"},
};
constexpr std::span<const EnumName<PlanServiceOutcome>> NamesOf(
    PlanServiceOutcome) {
  return kIntentOutcomeNames;
}

struct PlanServiceResponse {
  PlanServiceOutcome outcome = PlanServiceOutcome::kOk;
  // Has "outcome" and, unless ok, "reasons".
  std::string json;
};

using PlanServiceCallback = std::function<void(const PlanServiceResponse&)>;

// A VM as the operators see it.
struct MemberStatus {
  std::string name;
  std::string domain;
  std::string state;  // alive, suspect, leaving or removed
  Revision revision = 0;
};

struct PlanServiceHooks {
  // The deployment in force here. Null or revision 0: none.
  std::function<config::DeploymentPtr()> current;
  // All VMs that may still handle packets, with those removed less than 24 h
  // ago without a later incarnation seen (design section 5.6).
  std::function<std::vector<MemberStatus>()> members;
  // Present work; nothing when it is not known.
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

// Not thread-safe; belongs to the control thread. Keeps no state that other VMs
// need: plans are self-contained. Cost of a plan or confirmation: a few passes
// over the deployment (about 10 ms for 3,800 targets).
class PlanService {
 public:
  PlanService(PlanServiceOptions options, PlanServiceHooks hooks);
  PlanService(const PlanService&) = delete;
  PlanService& operator=(const PlanService&) = delete;

  // Body: {"author", "reason", "base_revision" (optional), "operations"}. Ok
  // answers have the plan with its "plan_id", "expires_at" and "document". A
  // base revision that is no longer in force is refused with a new plan.
  PlanServiceResponse CreatePlan(std::string_view body);

  // Body: an object whose "document" is that of the plan, such as the answer of
  // CreatePlan(); may be empty at the VM that made the plan. Takes effect
  // exactly once per plan id, however often and wherever it is called. `done`
  // is called exactly once, possibly before this returns, and not after the
  // service is destroyed.
  void Confirm(const std::string& plan_id,
               std::string_view body,
               PlanServiceCallback done);

  PlanServiceResponse Status() const;
  PlanServiceResponse History() const;

 private:
  struct Confirmation {
    std::string plan_id;
    PlanDocument document;
    std::vector<PlanServiceCallback> waiting;
    int attempts = 0;
    bool merged = false;
  };
  using ConfirmationPtr = std::shared_ptr<Confirmation>;

  config::DeploymentPtr Current() const;
  std::vector<config::KnownMember> KnownMembers() const;
  PlanServiceResponse AnswerPlan(const PlanDocument& wish);
  std::optional<SignedDocument> FindDocument(const std::string& plan_id,
                                             std::string_view body,
                                             std::string* error) const;
  void Attempt(const ConfirmationPtr& it);
  // Reasons why the plan cannot be confirmed on `current`; on success fills
  // `*next`.
  std::vector<std::string> Check(const Confirmation& it,
                                 const config::Deployment& current,
                                 config::Deployment* next) const;
  void OnProposed(const ConfirmationPtr& it, const ProposeResult& result);
  void Refuse(const ConfirmationPtr& it, std::vector<std::string> reasons);
  void Finish(const ConfirmationPtr& it, const PlanServiceResponse& answer);
  void Log(std::string_view outcome,
           Revision revision,
           const std::string& detail) const;

  const PlanServiceOptions options_;
  const PlanServiceHooks hooks_;
  // Confirmations under way, by plan id; later calls for the same id wait.
  std::map<std::string, ConfirmationPtr> confirming_;
  // Recent plans made here, so that a confirmation may omit the document.
  std::map<std::string, SignedDocument> recent_;
  std::vector<std::string> recent_order_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace marjoramhall::control

#endif  // MARJORAMHALL_CONTROL_PLAN_SERVICE_H_
