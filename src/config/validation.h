// Rules that every accepted deployment keeps, beyond the form of its JSON.
#ifndef MARJORAMHALL_CONFIG_VALIDATION_H_
#define MARJORAMHALL_CONFIG_VALIDATION_H_

#include <string>
#include <vector>

#include "src/config/deployment.h"

namespace marjoramhall::config {

// Returns every broken rule with its place ("target t3: slots must be ..."),
// empty when the deployment is sound:
// - names have 1 to 64 letters, digits, '.', '_' or '-'; service, target and
//   failure domain names are unique in the deployment;
// - ids are set, unique and below the next id; services and targets are sorted
//   by id;
// - an endpoint, whatever its protocol, belongs to one service or target only,
//   so that no packet or request of a service can reach another one;
// - hosts are unique; a service with request kinds has a host;
// - numbers are within their ranges; the JSON fits into a store value.
std::vector<std::string> ValidateDeployment(const Deployment& deployment);

}  // namespace marjoramhall::config

#endif  // MARJORAMHALL_CONFIG_VALIDATION_H_
