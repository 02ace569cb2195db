// JSON form of a deployment, as stored under one key of the store, sent between
// VMs and written by operators.
#ifndef MARJORAMHALL_CONFIG_DEPLOYMENT_JSON_H_
#define MARJORAMHALL_CONFIG_DEPLOYMENT_JSON_H_

#include <optional>
#include <string>
#include <string_view>

#include "src/config/deployment.h"

namespace marjoramhall::config {

// Largest JSON text that a store value can hold.
inline constexpr size_t kLargestDeploymentJson = 1'000'000;

// Compact JSON. Members that have their default are left out, so that a fleet
// of 3,800 targets fits into one store value. FromJson reads back an equal
// value. Invalid UTF-8 is replaced by U+FFFD.
std::string ToJson(const Deployment& deployment);

// Reads what ToJson wrote. Unknown keys, wrong types, missing names and
// addresses, and duplicate keys are errors, each named with its path in
// `*error` ("services[0].targets[2].slots: ..."). `error` may be null. Checks
// form only; ValidateDeployment (validation.h) checks the content. Ids may be
// absent in a file written by hand; see MakeInitialDeployment (change.h).
std::optional<Deployment> FromJson(std::string_view text, std::string* error);

}  // namespace marjoramhall::config

#endif  // MARJORAMHALL_CONFIG_DEPLOYMENT_JSON_H_
