// JSON conversion of failure domains, targets, request kinds and services.
#include "src/config/deployment_fields.h"

#include "src/base/units.h"

namespace marjoramhall::config {
namespace {

// Sets a member unless the value is the default.
template <typename T>
void PutUnlessDefault(Json& json,
                      const char* key,
                      const T& value,
                      const T& default_value) {
  if (value != default_value) {
    json[key] = value;
  }
}

template <typename E>
void PutEnumUnlessDefault(Json& json,
                          const char* key,
                          E value,
                          E default_value) {
  if (value != default_value) {
    json[key] = std::string(NameOf(value));
  }
}

void PutLimitUnlessDefault(Json& json,
                           const char* key,
                           const RateLimit& limit) {
  if (limit != RateLimit{}) {
    json[key] = {{"rate", limit.rate}, {"burst", limit.burst}};
  }
}

Json KindToJson(const RequestKind& kind) {
  const RequestKind defaults;
  Json json = {{"name", kind.name}};
  PutUnlessDefault(json, "method", kind.method, defaults.method);
  PutUnlessDefault(json, "path_prefix", kind.path_prefix, defaults.path_prefix);
  PutUnlessDefault(json, "idempotent", kind.idempotent, defaults.idempotent);
  if (kind.deadline != defaults.deadline) {
    json["deadline"] = FormatDuration(kind.deadline);
  }
  PutEnumUnlessDefault(json, "priority", kind.priority, defaults.priority);
  PutLimitUnlessDefault(json, "limit", kind.limit);
  PutLimitUnlessDefault(json, "caller_limit", kind.caller_limit);
  return json;
}

void ReadLimit(JsonObjectReader& reader,
               const char* key,
               JsonErrors* errors,
               RateLimit* out) {
  const Json* json = reader.ReadObject(key);
  if (json == nullptr) {
    return;
  }
  JsonObjectReader limit(*json, reader.PathOf(key), errors);
  limit.Require("rate");
  limit.Read("rate", &out->rate);
  limit.Read("burst", &out->burst);
  limit.Finish();
}

void ReadKind(JsonObjectReader& reader, RequestKind* out) {
  reader.Require("name");
  reader.Read("name", &out->name);
  reader.Read("method", &out->method);
  reader.Read("path_prefix", &out->path_prefix);
  reader.Read("idempotent", &out->idempotent);
  reader.Read("deadline", &out->deadline);
  reader.ReadEnum("priority", &out->priority);
  ReadLimit(reader, "limit", reader.errors(), &out->limit);
  ReadLimit(reader, "caller_limit", reader.errors(), &out->caller_limit);
}

}  // namespace

Json DomainToJson(const FailureDomain& domain) {
  Json json = {{"name", domain.name}};
  PutUnlessDefault(json, "region", domain.region, std::string());
  return json;
}

Json TargetToJson(const Target& target) {
  const Target defaults;
  Json json = {{"name", target.name},
               {"domain", target.domain},
               {"flow_endpoint", target.flow_endpoint.ToString()},
               {"request_endpoint", target.request_endpoint.ToString()}};
  PutUnlessDefault(json, "id", ToInteger(target.id), ToInteger(defaults.id));
  PutUnlessDefault(json, "slots", target.slots, defaults.slots);
  PutUnlessDefault(json, "queue", target.queue, defaults.queue);
  PutUnlessDefault(json, "connections", target.connections,
                   defaults.connections);
  PutUnlessDefault(json, "weight", target.weight, defaults.weight);
  PutEnumUnlessDefault(json, "state", target.state, defaults.state);
  return json;
}

Json ServiceToJson(const Service& service) {
  const Service defaults;
  Json json = {{"name", service.name},
               {"flow_address", service.flow_address.ToString()},
               {"host", service.host}};
  PutUnlessDefault(json, "id", ToInteger(service.id), ToInteger(defaults.id));
  PutEnumUnlessDefault(json, "flow_protocol", service.flow_protocol,
                       defaults.flow_protocol);
  for (const RequestKind& it : service.kinds) {
    json["kinds"].push_back(KindToJson(it));
  }
  for (const Target& it : service.targets) {
    json["targets"].push_back(TargetToJson(it));
  }
  return json;
}

void ReadDomainSettings(JsonObjectReader& reader, FailureDomain* out) {
  reader.Read("region", &out->region);
}

void ReadTargetSettings(JsonObjectReader& reader, Target* out) {
  reader.Read("domain", &out->domain);
  reader.Read("slots", &out->slots);
  reader.Read("queue", &out->queue);
  reader.Read("connections", &out->connections);
  reader.Read("weight", &out->weight);
}

void ReadServiceSettings(JsonObjectReader& reader, Service* out) {
  reader.Read("host", &out->host);
  reader.ReadList("kinds", &out->kinds, ReadKind);
}

void ReadDomain(JsonObjectReader& reader, FailureDomain* out) {
  reader.Require("name");
  reader.Read("name", &out->name);
  ReadDomainSettings(reader, out);
}

void ReadTarget(JsonObjectReader& reader, Target* out) {
  for (const char* it :
       {"name", "domain", "flow_endpoint", "request_endpoint"}) {
    reader.Require(it);
  }
  reader.ReadId("id", &out->id);
  reader.Read("name", &out->name);
  reader.Read("flow_endpoint", &out->flow_endpoint);
  reader.Read("request_endpoint", &out->request_endpoint);
  reader.ReadEnum("state", &out->state);
  ReadTargetSettings(reader, out);
}

void ReadService(JsonObjectReader& reader, Service* out) {
  for (const char* it : {"name", "flow_address", "host"}) {
    reader.Require(it);
  }
  reader.ReadId("id", &out->id);
  reader.Read("name", &out->name);
  reader.Read("flow_address", &out->flow_address);
  reader.ReadEnum("flow_protocol", &out->flow_protocol);
  ReadServiceSettings(reader, out);
  reader.ReadList("targets", &out->targets, ReadTarget);
}

}  // namespace marjoramhall::config
