// JSON forms of the requests and responses of the plan service.
#ifndef MARJORAMHALL_CONTROL_PLAN_JSON_H_
#define MARJORAMHALL_CONTROL_PLAN_JSON_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "src/config/json_reader.h"
#include "src/control/plan_document.h"
#include "src/control/plan_service.h"

namespace marjoramhall::control {

// Reads the body of POST /v1/plans. A `base_revision` of 0 means the revision
// in force. Returns nothing and sets `*error` when the body is malformed.
std::optional<PlanDocument> ReadPlanRequest(std::string_view body,
                                            std::string* error);

// Reads the member "document" of a body. Other members are ignored, so that the
// response to a plan request can be sent back unchanged. Returns nothing and
// sets `*error` when the body is malformed.
std::optional<SignedDocument> ReadDocument(std::string_view body,
                                           std::string* error);

config::Json PlanToJson(const Plan& plan,
                        const PlanDocument& document,
                        const SignedDocument& signed_document);
config::Json StatusToJson(const config::Deployment& deployment,
                          const std::vector<MemberStatus>& members,
                          const std::optional<TargetLoads>& load);
config::Json HistoryToJson(const config::Deployment& deployment);

// Adds "outcome" and, unless ok, "reasons" to `json` and returns the response.
PlanServiceResponse MakeResponse(PlanServiceOutcome outcome,
                                 const std::vector<std::string>& reasons,
                                 config::Json json = config::Json::object());

}  // namespace marjoramhall::control

#endif  // MARJORAMHALL_CONTROL_PLAN_JSON_H_
