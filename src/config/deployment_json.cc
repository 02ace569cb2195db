// JSON conversion of whole deployments.
#include "src/config/deployment_json.h"

#include "src/config/deployment_fields.h"
#include "src/config/json_reader.h"

namespace marjoramhall::config {
namespace {

Json ReleasedToJson(const ReleasedAddress& it) {
  return {{"endpoint", it.endpoint.ToString()},
          {"service", ToInteger(it.service)},
          {"released_in", it.released_in}};
}

void ReadReleased(JsonObjectReader& reader, ReleasedAddress* out) {
  for (const char* it : {"endpoint", "service", "released_in"}) {
    reader.Require(it);
  }
  reader.Read("endpoint", &out->endpoint);
  reader.ReadId("service", &out->service);
  reader.Read("released_in", &out->released_in);
}

Json ChangeToJson(const ChangeRecord& it) {
  return {{"change_id", it.change_id}, {"author", it.author},
          {"reason", it.reason},       {"accepted_at", it.accepted_at},
          {"revision", it.revision},   {"summary", it.summary}};
}

void ReadChange(JsonObjectReader& reader, ChangeRecord* out) {
  for (const char* it : {"change_id", "revision"}) {
    reader.Require(it);
  }
  reader.Read("change_id", &out->change_id);
  reader.Read("author", &out->author);
  reader.Read("reason", &out->reason);
  reader.Read("accepted_at", &out->accepted_at);
  reader.Read("revision", &out->revision);
  reader.Read("summary", &out->summary);
}

}  // namespace

std::string ToJson(const Deployment& deployment) {
  Json json = {{"lineage", deployment.lineage},
               {"revision", deployment.revision},
               {"next_service_id", deployment.next_service_id},
               {"next_target_id", deployment.next_target_id},
               {"domains", Json::array()},
               {"services", Json::array()}};
  for (const FailureDomain& it : deployment.domains) {
    json["domains"].push_back(DomainToJson(it));
  }
  for (const Service& it : deployment.services) {
    json["services"].push_back(ServiceToJson(it));
  }
  for (const ReleasedAddress& it : deployment.released) {
    json["released"].push_back(ReleasedToJson(it));
  }
  for (const ChangeRecord& it : deployment.history) {
    json["history"].push_back(ChangeToJson(it));
  }
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<Deployment> FromJson(std::string_view text, std::string* error) {
  JsonErrors errors;
  Deployment result;
  if (const auto json = ParseStrict(text, &errors)) {
    JsonObjectReader reader(*json, "", &errors);
    reader.Read("lineage", &result.lineage);
    reader.Read("revision", &result.revision);
    reader.Read("next_service_id", &result.next_service_id);
    reader.Read("next_target_id", &result.next_target_id);
    reader.ReadList("domains", &result.domains, ReadDomain);
    reader.ReadList("services", &result.services, ReadService);
    reader.ReadList("released", &result.released, ReadReleased);
    reader.ReadList("history", &result.history, ReadChange);
    reader.Finish();
  }
  if (errors.empty()) {
    return result;
  }
  if (error != nullptr) {
    *error = errors.Text();
  }
  return std::nullopt;
}

}  // namespace marjoramhall::config
