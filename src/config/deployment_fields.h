// JSON codecs of the parts of a deployment, shared by the deployment value and
// by the operations of a change.
#ifndef MARJORAMHALL_CONFIG_DEPLOYMENT_FIELDS_H_
#define MARJORAMHALL_CONFIG_DEPLOYMENT_FIELDS_H_

#include "src/config/deployment.h"
#include "src/config/json_reader.h"

namespace marjoramhall::config {

Json DomainToJson(const FailureDomain& domain);
Json TargetToJson(const Target& target);
Json ServiceToJson(const Service& service);

// The members that a change of an existing object may set; absent ones keep the
// value that `out` has. Names and endpoints are not among them: a flow that is
// established on an address must keep it.
void ReadDomainSettings(JsonObjectReader& reader, FailureDomain* out);
void ReadTargetSettings(JsonObjectReader& reader, Target* out);
void ReadServiceSettings(JsonObjectReader& reader, Service* out);

// Whole objects: names and addresses must be present.
void ReadDomain(JsonObjectReader& reader, FailureDomain* out);
void ReadTarget(JsonObjectReader& reader, Target* out);
void ReadService(JsonObjectReader& reader, Service* out);

}  // namespace marjoramhall::config

#endif  // MARJORAMHALL_CONFIG_DEPLOYMENT_FIELDS_H_
