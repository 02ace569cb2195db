// Parses requests and writes responses of the plan service.
#include "src/control/plan_json.h"

#include <algorithm>
#include <cmath>

namespace marjoramhall::control {
namespace {

using config::Json;
using config::JsonErrors;
using config::JsonObjectReader;

constexpr size_t kMaxAuthorBytes = 64;
constexpr size_t kMaxReasonBytes = 200;
constexpr double kFlowBuckets = 4096;  // flow buckets of a service

bool IsComplete(const Plan& plan) {
  return std::none_of(plan.warnings.begin(), plan.warnings.end(),
                      [](const PlanWarning& it) {
                        return it.kind == WarningKind::kCountsIncomplete;
                      });
}

Json EffectToJson(const ServiceEffect& it) {
  return {{"service", it.service},
          {"moved_share", std::round(it.moved_share * 10000) / 10000},
          {"moved_buckets", std::lround(it.moved_share * kFlowBuckets)},
          {"flows_at_draining_targets", it.flows},
          {"requests_at_draining_targets", it.requests},
          {"flows_cut", 0},
          {"requests_cut", 0},
          {"slots_before", it.slots_before},
          {"slots_after", it.slots_after},
          {"slots_in_use", it.slots_in_use}};
}

Json TargetStatus(const config::Target& target,
                  const std::optional<TargetLoads>& load) {
  Json json = {{"name", target.name},
               {"domain", target.domain},
               {"state", std::string(NameOf(target.state))},
               {"weight", target.weight},
               {"slots", target.slots}};
  if (load) {
    const auto it = load->targets.find(target.id);
    const TargetLoad target_load =
        it == load->targets.end() ? TargetLoad{} : it->second;
    json["flows"] = target_load.flows;
    json["requests"] = target_load.requests;
  }
  return json;
}

}  // namespace

std::optional<PlanDocument> ReadPlanRequest(std::string_view body,
                                            std::string* error) {
  JsonErrors errors;
  PlanDocument result;
  const auto json = config::ParseStrict(body, &errors);
  if (json) {
    JsonObjectReader reader(*json, "", &errors);
    reader.Require("author");
    reader.Require("operations");
    reader.Read("author", &result.author);
    reader.Read("reason", &result.reason);
    reader.Read("base_revision", &result.base_revision);
    const bool has_operations = reader.Has("operations");
    if (result.author.empty() || result.author.size() > kMaxAuthorBytes) {
      reader.Report("author", "expected 1 to 64 bytes");
    }
    if (result.reason.size() > kMaxReasonBytes) {
      reader.Report("reason", "expected at most 200 bytes");
    }
    if (has_operations) {
      std::string problem;
      auto operations = config::OperationsFromJson(
          json->at("operations").dump(), "operations", &problem);
      if (operations) {
        result.operations = std::move(*operations);
      } else {
        errors.Add("", problem);
      }
    }
    reader.Ignore("operations");
    reader.Finish();
  }
  if (errors.empty()) {
    return result;
  }
  *error = errors.Text();
  return std::nullopt;
}

std::optional<SignedDocument> ReadDocument(std::string_view body,
                                           std::string* error) {
  JsonErrors errors;
  SignedDocument result;
  if (const auto json = config::ParseStrict(body, &errors)) {
    JsonObjectReader reader(*json, "", &errors);
    reader.Require("document");
    if (const Json* it = reader.ReadObject("document")) {
      JsonObjectReader document(*it, "document", &errors);
      document.Require("payload");
      document.Require("signature");
      document.Read("payload", &result.payload);
      document.Read("signature", &result.signature);
      document.Finish();
    }
  }
  if (errors.empty()) {
    return result;
  }
  *error = errors.Text();
  return std::nullopt;
}

Json PlanToJson(const Plan& plan,
                const PlanDocument& document,
                const SignedDocument& signed_document) {
  Json json = {{"plan_id", signed_document.PlanId()},
               {"base_revision", document.base_revision},
               {"expires_at", document.expires_at},
               {"author", document.author},
               {"reason", document.reason},
               {"additions", plan.additions},
               {"changes", plan.changes},
               {"removals", plan.removals},
               {"services", Json::array()},
               {"warnings", Json::array()},
               {"counts_complete", IsComplete(plan)},
               {"document",
                {{"payload", signed_document.payload},
                 {"signature", signed_document.signature}}}};
  for (const ServiceEffect& it : plan.services) {
    json["services"].push_back(EffectToJson(it));
  }
  for (const PlanWarning& it : plan.warnings) {
    json["warnings"].push_back({{"code", it.Code()}, {"text", it.text}});
  }
  return json;
}

Json StatusToJson(const config::Deployment& deployment,
                  const std::vector<MemberStatus>& members,
                  const std::optional<TargetLoads>& load) {
  Json json = {{"lineage", deployment.lineage},
               {"revision", deployment.revision},
               {"members", Json::array()},
               {"behind", Json::array()},
               {"services", Json::array()},
               {"released_addresses", deployment.released.size()},
               {"counts_complete", load && load->complete}};
  for (const MemberStatus& it : members) {
    json["members"].push_back({{"name", it.name},
                               {"domain", it.domain},
                               {"state", it.state},
                               {"revision", it.revision}});
    if (it.revision < deployment.revision) {
      json["behind"].push_back(it.name);
    }
  }
  for (const config::Service& it : deployment.services) {
    Json service = {{"name", it.name},
                    {"flow_address", it.flow_address.ToString()},
                    {"host", it.host},
                    {"targets", Json::array()}};
    for (const config::Target& target : it.targets) {
      service["targets"].push_back(TargetStatus(target, load));
    }
    json["services"].push_back(std::move(service));
  }
  return json;
}

Json HistoryToJson(const config::Deployment& deployment) {
  Json json = {{"lineage", deployment.lineage},
               {"revision", deployment.revision},
               {"changes", Json::array()}};
  for (const config::ChangeRecord& it : deployment.history) {
    json["changes"].push_back({{"change_id", it.change_id},
                               {"revision", it.revision},
                               {"author", it.author},
                               {"reason", it.reason},
                               {"accepted_at", it.accepted_at},
                               {"summary", it.summary}});
  }
  return json;
}

PlanServiceResponse MakeResponse(PlanServiceOutcome outcome,
                                 const std::vector<std::string>& reasons,
                                 Json json) {
  json["outcome"] = std::string(NameOf(outcome));
  if (outcome != PlanServiceOutcome::kOk) {
    json["reasons"] = reasons;
  }
  return {outcome, json.dump(-1, ' ', false, Json::error_handler_t::replace)};
}

}  // namespace marjoramhall::control
