// JSON forms of the intent API's requests and answers.
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

// The body of POST /v1/plans. `base_revision` 0 means the one in force.
std::optional<PlanDocument> ReadPlanRequest(std::string_view body,
                                            std::string* error);

// The member "document" of a body; other members are ignored, so that the
// answer to a plan request can be sent back as it is.
std::optional<SignedDocument> ReadDocument(std::string_view body,
                                           std::string* error);

config::Json PlanToJson(const Plan& plan,
                        const PlanDocument& document,
                        const SignedDocument& signed_document);
config::Json StatusToJson(const config::Deployment& deployment,
                          const std::vector<MemberStatus>& members,
                          const std::optional<TargetLoads>& load);
config::Json HistoryToJson(const config::Deployment& deployment);

// Adds "outcome" and "reasons" and makes the answer.
PlanServiceResponse MakeAnswer(PlanServiceOutcome outcome,
                               const std::vector<std::string>& reasons,
                               config::Json json = config::Json::object());

}  // namespace marjoramhall::control

#endif  // MARJORAMHALL_CONTROL_PLAN_JSON_H_
