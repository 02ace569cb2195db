// Rules for the content of accepted deployments, beyond the form of their JSON.
#ifndef MARJORAMHALL_CONFIG_VALIDATION_H_
#define MARJORAMHALL_CONFIG_VALIDATION_H_

#include <string>
#include <vector>

#include "src/config/deployment.h"

namespace marjoramhall::config {

// Returns all violations of the rules below, each with the object concerned
// ("target t3: slots must be ..."). Empty for a valid deployment.
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
