// JSON conversion of the parts of a deployment, used for whole deployments and
// for the operations of a change.
#ifndef MARJORAMHALL_CONFIG_DEPLOYMENT_FIELDS_H_
#define MARJORAMHALL_CONFIG_DEPLOYMENT_FIELDS_H_

#include "src/config/deployment.h"
#include "src/config/json_reader.h"

namespace marjoramhall::config {

Json DomainToJson(const FailureDomain& domain);
Json TargetToJson(const Target& target);
Json ServiceToJson(const Service& service);

// Read the members that a change of an existing object may set. Absent members
// keep the value in `*out`. Names and endpoints cannot be changed, because
// established flows must keep their addresses.
void ReadDomainSettings(JsonObjectReader& reader, FailureDomain* out);
void ReadTargetSettings(JsonObjectReader& reader, Target* out);
void ReadServiceSettings(JsonObjectReader& reader, Service* out);

// Read whole objects, in which names and addresses are required.
void ReadDomain(JsonObjectReader& reader, FailureDomain* out);
void ReadTarget(JsonObjectReader& reader, Target* out);
void ReadService(JsonObjectReader& reader, Service* out);

}  // namespace marjoramhall::config

#endif  // MARJORAMHALL_CONFIG_DEPLOYMENT_FIELDS_H_
