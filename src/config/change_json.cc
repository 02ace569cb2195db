// JSON form of operations.
#include "src/config/change.h"
#include "src/config/deployment_fields.h"
#include "src/config/json_reader.h"

namespace marjoramhall::config {
namespace {

Json OperationToJson(const Operation& it) {
  Json json = {{"op", std::string(NameOf(it.kind))}};
  switch (it.kind) {
    case OperationKind::kAddService:
      json["service"] = ServiceToJson(it.new_service);
      return json;
    case OperationKind::kAddTarget:
      json["service"] = it.service;
      json["target"] = TargetToJson(it.new_target);
      return json;
    case OperationKind::kAddDomain:
      json["domain"] = DomainToJson(it.new_domain);
      return json;
    case OperationKind::kChangeService:
    case OperationKind::kChangeTarget:
    case OperationKind::kChangeDomain:
      json["set"] = Json::parse(it.set, nullptr, false);
      break;
    case OperationKind::kSetWeight:
      json["weight"] = it.weight;
      break;
    default:
      break;
  }
  json["name"] = it.name;
  return json;
}

// Reads a required member that is an object.
template <typename T, typename ReadItem>
void ReadRequiredObject(JsonObjectReader& reader,
                        const char* key,
                        T* out,
                        ReadItem read) {
  reader.Require(key);
  const Json* json = reader.ReadObject(key);
  if (json == nullptr) {
    return;
  }
  JsonObjectReader item(*json, reader.PathOf(key), reader.errors());
  read(item, out);
  item.Finish();
}

// Reads "set" as text. Checks its members by reading them into an object that
// is discarded.
template <typename T, typename ReadItem>
void ReadChangedMembers(JsonObjectReader& reader,
                        std::string* out,
                        ReadItem read) {
  T scratch;
  ReadRequiredObject(reader, "set", &scratch, read);
  if (const Json* json = reader.ReadObject("set")) {
    if (json->empty()) {
      reader.Report("set", "expected at least one member");
    }
    *out = json->dump();
  }
}

void RejectIds(JsonObjectReader& reader, const Operation& it) {
  bool has_id = it.new_service.id != ServiceId::kNone ||
                it.new_target.id != TargetId::kNone;
  for (const Target& target : it.new_service.targets) {
    has_id = has_id || target.id != TargetId::kNone;
  }
  if (has_id) {
    reader.Report("op",
                  "an added object must not have an id; ids are assigned");
  }
}

void ReadOperation(JsonObjectReader& reader, Operation* out) {
  reader.Require("op");
  reader.ReadEnum("op", &out->kind);
  switch (out->kind) {
    case OperationKind::kAddService:
      ReadRequiredObject(reader, "service", &out->new_service, ReadService);
      out->name = out->new_service.name;
      break;
    case OperationKind::kAddTarget:
      reader.Require("service");
      reader.Read("service", &out->service);
      ReadRequiredObject(reader, "target", &out->new_target, ReadTarget);
      out->name = out->new_target.name;
      break;
    case OperationKind::kAddDomain:
      ReadRequiredObject(reader, "domain", &out->new_domain, ReadDomain);
      out->name = out->new_domain.name;
      break;
    default:
      reader.Require("name");
      reader.Read("name", &out->name);
      break;
  }
  if (out->kind == OperationKind::kChangeService) {
    ReadChangedMembers<Service>(reader, &out->set, ReadServiceSettings);
  } else if (out->kind == OperationKind::kChangeTarget) {
    ReadChangedMembers<Target>(reader, &out->set, ReadTargetSettings);
  } else if (out->kind == OperationKind::kChangeDomain) {
    ReadChangedMembers<FailureDomain>(reader, &out->set, ReadDomainSettings);
  } else if (out->kind == OperationKind::kSetWeight) {
    reader.Require("weight");
    reader.Read("weight", &out->weight);
  }
  RejectIds(reader, *out);
}

}  // namespace

std::string OperationsToJson(std::span<const Operation> operations) {
  Json json = Json::array();
  for (const Operation& it : operations) {
    json.push_back(OperationToJson(it));
  }
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<std::vector<Operation>> OperationsFromJson(
    std::string_view text,
    const std::string& path,
    std::string* error) {
  JsonErrors errors;
  std::vector<Operation> result;
  if (const auto json = ParseStrict(text, &errors)) {
    if (!json->is_array() || json->empty() ||
        json->size() > kMaxOperationsPerChange) {
      errors.Add(path, "expected an array of 1 to " +
                           std::to_string(kMaxOperationsPerChange) +
                           " operations");
    } else {
      const Json wrapped = {{path, *json}};
      JsonObjectReader reader(wrapped, "", &errors);
      reader.ReadList(path.c_str(), &result, ReadOperation);
    }
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
