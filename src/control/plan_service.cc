// Creates and confirms plans.
#include "src/control/plan_service.h"

#include <algorithm>
#include <utility>

#include "src/control/plan_json.h"

namespace marjoramhall::control {
namespace {

using config::Deployment;
using config::Json;

// Concurrent confirmations compete by compare-and-swap; one that loses tries
// again on the new revision.
constexpr int kMaxConfirmAttempts = 8;
constexpr size_t kMaxRecentPlans = 64;

const config::ChangeRecord* FindChange(const Deployment& deployment,
                                       const std::string& change_id) {
  for (const config::ChangeRecord& it : deployment.history) {
    if (it.change_id == change_id) {
      return &it;
    }
  }
  return nullptr;
}

PlanServiceResponse AcceptedResponse(const std::string& plan_id,
                                     Revision revision,
                                     bool merged) {
  return MakeResponse(
      PlanServiceOutcome::kOk, {},
      {{"plan_id", plan_id}, {"revision", revision}, {"merged", merged}});
}

PlanServiceResponse NoConfigurationResponse() {
  return MakeResponse(PlanServiceOutcome::kUnavailable,
                      {"no configuration is in force at this VM"});
}

}  // namespace

PlanService::PlanService(PlanServiceOptions options, PlanServiceHooks hooks)
    : options_(std::move(options)), hooks_(std::move(hooks)) {}

config::DeploymentPtr PlanService::Current() const {
  config::DeploymentPtr current = hooks_.current();
  return current != nullptr && current->revision > 0 ? current : nullptr;
}

std::vector<config::KnownMember> PlanService::KnownMembers() const {
  std::vector<config::KnownMember> known;
  for (const MemberStatus& it : hooks_.members()) {
    known.push_back({it.name, it.revision});
  }
  return known;
}

PlanServiceResponse PlanService::CreatePlan(std::string_view body) {
  std::string error;
  const auto request = ReadPlanRequest(body, &error);
  if (!request) {
    return MakeResponse(PlanServiceOutcome::kBadRequest, {error});
  }
  const config::DeploymentPtr current = Current();
  if (current == nullptr) {
    return NoConfigurationResponse();
  }
  PlanServiceResponse response = BuildPlanResponse(*request);
  const Revision stated = request->base_revision;
  if (stated == 0 || stated == current->revision) {
    return response;
  }
  Json json;
  if (response.outcome == PlanServiceOutcome::kOk) {
    json["new_plan"] = Json::parse(response.json);
  }
  return MakeResponse(
      PlanServiceOutcome::kRefused,
      {"the stated base revision is " + std::to_string(stated) +
       " but revision " + std::to_string(current->revision) + " is in force"},
      std::move(json));
}

// Plans the request's operations against the deployment in force.
PlanServiceResponse PlanService::BuildPlanResponse(
    const PlanDocument& request) {
  const config::DeploymentPtr current = Current();
  if (current == nullptr) {
    return NoConfigurationResponse();
  }
  PlanDocument document = request;
  document.lineage = current->lineage;
  document.base_revision = current->revision;
  document.expires_at = hooks_.unix_time() + options_.plan_lifetime;
  document.nonce = hooks_.random();
  document.fingerprints =
      config::FingerprintObjects(*current, document.operations);
  document.warnings.clear();
  const Plan plan = MakePlan(*current, document.operations,
                             {"plan", document.author, document.reason, 0},
                             hooks_.load(), KnownMembers());
  if (!plan.refusals.empty()) {
    return MakeResponse(PlanServiceOutcome::kRefused, plan.refusals);
  }
  for (const PlanWarning& it : plan.warnings) {
    document.warnings.push_back(it.Code());
  }
  const SignedDocument signed_document = SignDocument(document, options_.key);
  const std::string plan_id = signed_document.PlanId();
  recent_plans_[plan_id] = signed_document;
  recent_plan_ids_.push_back(plan_id);
  if (recent_plan_ids_.size() > kMaxRecentPlans) {
    recent_plans_.erase(recent_plan_ids_.front());
    recent_plan_ids_.erase(recent_plan_ids_.begin());
  }
  Log("planned", current->revision,
      "plan " + plan_id + " by " + document.author);
  return MakeResponse(PlanServiceOutcome::kOk, {},
                      PlanToJson(plan, document, signed_document));
}

std::optional<SignedDocument> PlanService::FindDocument(
    const std::string& plan_id,
    std::string_view body,
    std::string* error) const {
  if (!body.empty()) {
    return ReadDocument(body, error);
  }
  const auto it = recent_plans_.find(plan_id);
  if (it == recent_plans_.end()) {
    *error = "this VM does not have the plan; send its document";
    return std::nullopt;
  }
  return it->second;
}

void PlanService::Confirm(const std::string& plan_id,
                          std::string_view body,
                          PlanServiceCallback done) {
  const auto running = confirming_.find(plan_id);
  std::string error;
  const auto signed_document = FindDocument(plan_id, body, &error);
  if (!signed_document) {
    done(MakeResponse(PlanServiceOutcome::kBadRequest, {error}));
    return;
  }
  auto document = VerifyDocument(*signed_document, options_.key);
  if (!document || signed_document->PlanId() != plan_id) {
    done(
        MakeResponse(PlanServiceOutcome::kBadRequest,
                     {"the document is not a plan of this deployment with id " +
                      plan_id.substr(0, 64)}));
    return;
  }
  if (running != confirming_.end()) {
    running->second->callbacks.push_back(std::move(done));
    return;
  }
  auto it = std::make_shared<Confirmation>();
  it->plan_id = plan_id;
  it->document = std::move(*document);
  it->callbacks.push_back(std::move(done));
  confirming_[plan_id] = it;
  TryConfirm(it);
}

void PlanService::TryConfirm(const ConfirmationPtr& it) {
  const config::DeploymentPtr current = Current();
  if (current == nullptr) {
    Finish(it, NoConfigurationResponse());
    return;
  }
  if (const auto* record = FindChange(*current, it->plan_id)) {
    Finish(it, AcceptedResponse(it->plan_id, record->revision, it->merged));
    return;
  }
  Deployment next;
  std::vector<std::string> reasons = CheckConfirmation(*it, *current, &next);
  if (!reasons.empty()) {
    Reject(it, std::move(reasons));
    return;
  }
  ++it->attempts;
  it->merged = current->revision != it->document.base_revision;
  hooks_.propose(next, it->plan_id,
                 [this, it, alive = std::weak_ptr<bool>(alive_)](
                     const ProposeResult& result) {
                   if (!alive.expired()) {
                     OnProposed(it, result);
                   }
                 });
}

std::vector<std::string> PlanService::CheckConfirmation(
    const Confirmation& it,
    const Deployment& current,
    Deployment* next) const {
  const PlanDocument& document = it.document;
  if (document.lineage != current.lineage) {
    return {"the plan is of another lineage"};
  }
  const int64_t now = hooks_.unix_time();
  if (now > document.expires_at) {
    return {"the plan has expired"};
  }
  if (!config::HistoryCovers(current, document.base_revision)) {
    return {"the history no longer reaches back to the plan's base revision " +
            std::to_string(document.base_revision) +
            ", so that an earlier confirmation of it cannot be excluded"};
  }
  std::vector<std::string> reasons;
  for (const std::string& object :
       config::FindConflicts(current, document.fingerprints)) {
    reasons.push_back(object + " was changed since revision " +
                      std::to_string(document.base_revision));
  }
  if (!reasons.empty()) {
    return reasons;
  }
  Plan plan = MakePlan(current, document.operations,
                       {it.plan_id, document.author, document.reason, now},
                       hooks_.load(), KnownMembers());
  for (const PlanWarning& warning : plan.warnings) {
    const auto& shown = document.warnings;
    if (warning.IsStructural() &&
        std::find(shown.begin(), shown.end(), warning.Code()) == shown.end()) {
      plan.refusals.push_back("the plan was made without this warning: " +
                              warning.text);
    }
  }
  *next = std::move(plan.next);
  return std::move(plan.refusals);
}

void PlanService::OnProposed(const ConfirmationPtr& it,
                             const ProposeResult& result) {
  switch (result.outcome) {
    case ProposeOutcome::kAccepted:
      Finish(it, AcceptedResponse(it->plan_id, result.revision, it->merged));
      return;
    case ProposeOutcome::kConflict:
      if (it->attempts < kMaxConfirmAttempts) {
        TryConfirm(it);
      } else {
        Reject(it, {"other changes kept coming first; nothing was written"});
      }
      return;
    case ProposeOutcome::kInvalid:
      Reject(it, {result.reason});
      return;
    case ProposeOutcome::kUnavailable:
      Finish(it, MakeResponse(PlanServiceOutcome::kUnavailable,
                              {"nothing was written: " + result.reason}));
      return;
    case ProposeOutcome::kUnknown:
      Finish(it, MakeResponse(
                     PlanServiceOutcome::kUnknown,
                     {"the change may have been accepted: " + result.reason +
                      "; confirm the same plan again to learn the outcome"}));
      return;
  }
}

// Responds with the reasons and, when the operations can still be applied, with
// a new plan for them.
void PlanService::Reject(const ConfirmationPtr& it,
                         std::vector<std::string> reasons) {
  const PlanServiceResponse plan = BuildPlanResponse(it->document);
  Json json = {{"plan_id", it->plan_id}};
  const Json response = Json::parse(plan.json);
  if (plan.outcome == PlanServiceOutcome::kOk) {
    json["new_plan"] = response;
  } else {
    for (const Json& reason : response.at("reasons")) {
      reasons.push_back("no new plan: " + reason.get<std::string>());
    }
  }
  Finish(it,
         MakeResponse(PlanServiceOutcome::kRefused, reasons, std::move(json)));
}

void PlanService::Finish(const ConfirmationPtr& it,
                         const PlanServiceResponse& response) {
  confirming_.erase(it->plan_id);
  const config::DeploymentPtr current = Current();
  Log(NameOf(response.outcome), current == nullptr ? 0 : current->revision,
      "confirm plan " + it->plan_id + " by " + it->document.author);
  for (const PlanServiceCallback& done : std::exchange(it->callbacks, {})) {
    done(response);
  }
}

PlanServiceResponse PlanService::Status() const {
  const config::DeploymentPtr current = Current();
  const Deployment none;
  Json json = StatusToJson(current == nullptr ? none : *current,
                           hooks_.members(), hooks_.load());
  json["vm"] = options_.vm;
  return MakeResponse(PlanServiceOutcome::kOk, {}, std::move(json));
}

PlanServiceResponse PlanService::History() const {
  const config::DeploymentPtr current = Current();
  if (current == nullptr) {
    return NoConfigurationResponse();
  }
  return MakeResponse(PlanServiceOutcome::kOk, {}, HistoryToJson(*current));
}

void PlanService::Log(std::string_view outcome,
                      Revision revision,
                      const std::string& detail) const {
  if (hooks_.decide) {
    Decision decision;
    decision.kind = DecisionKind::kConfiguration;
    decision.outcome = outcome;
    decision.revision = revision;
    decision.detail = detail;
    hooks_.decide(decision);
  }
}

}  // namespace marjoramhall::control
