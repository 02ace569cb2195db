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

// Members that are absent keep the value that `out` has, so that the same code
// reads a whole object and a change of some members.
void ReadDomainFields(JsonObjectReader& reader, FailureDomain* out);
void ReadTargetFields(JsonObjectReader& reader, Target* out);
// Everything but the targets.
void ReadServiceFields(JsonObjectReader& reader, Service* out);

// Whole objects: names and addresses must be present.
void ReadDomain(JsonObjectReader& reader, FailureDomain* out);
void ReadTarget(JsonObjectReader& reader, Target* out);
void ReadService(JsonObjectReader& reader, Service* out);

}  // namespace marjoramhall::config

#endif  // MARJORAMHALL_CONFIG_DEPLOYMENT_FIELDS_H_
