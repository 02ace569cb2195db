// JSON form of a deployment. It is stored under one key of the store, sent
// between VMs and written by operators.
#ifndef MARJORAMHALL_CONFIG_DEPLOYMENT_JSON_H_
#define MARJORAMHALL_CONFIG_DEPLOYMENT_JSON_H_

#include <optional>
#include <string>
#include <string_view>

#include "src/config/deployment.h"

namespace marjoramhall::config {

// Largest JSON text of a deployment, limited by the size of a store value.
inline constexpr size_t kMaxDeploymentJsonBytes = 1'000'000;

// Returns compact JSON from which FromJson() reads an equal deployment. Members
// with default values are omitted, so that 3,800 targets fit into one store
// value. Invalid UTF-8 is replaced by U+FFFD.
std::string ToJson(const Deployment& deployment);

// Reads the JSON form. Unknown and duplicate keys, wrong types, and missing
// names and addresses are errors. `*error` lists each of them with its path
// ("services[0].targets[2].slots: ..."); `error` may be null. Checks the form
// only; ValidateDeployment() (validation.h) checks the content. Files written
// by operators may omit ids; see MakeInitialDeployment() (change.h).
std::optional<Deployment> FromJson(std::string_view text, std::string* error);

}  // namespace marjoramhall::config

#endif  // MARJORAMHALL_CONFIG_DEPLOYMENT_JSON_H_
