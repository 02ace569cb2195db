// A small valid deployment for tests, with the services "short" and "long" in
// the failure domains "a" and "b".
#ifndef MARJORAMHALL_TESTS_CONFIG_TEST_DEPLOYMENT_H_
#define MARJORAMHALL_TESTS_CONFIG_TEST_DEPLOYMENT_H_

#include <string>

#include "src/config/change.h"

namespace marjoramhall::config {

inline Endpoint MakeTestEndpoint(uint32_t host, uint16_t port) {
  return {IpAddress::FromV4(0x0a000000 + host), port};
}

inline Target MakeTestTarget(const std::string& name, uint32_t host) {
  Target it;
  it.name = name;
  it.domain = host % 2 == 0 ? "a" : "b";
  it.flow_endpoint = MakeTestEndpoint(host, 6080);
  it.request_endpoint = MakeTestEndpoint(host, 8080);
  it.slots = 3;
  return it;
}

inline Deployment MakeTestDeployment() {
  Deployment deployment;
  deployment.domains = {{"a", "r"}, {"b", "r"}};
  uint32_t host = 100;
  for (const char* name : {"short", "long"}) {
    Service service;
    service.name = name;
    service.host = std::string(name) + ".example";
    service.flow_address = MakeTestEndpoint(host, 443);
    service.kinds.resize(1);
    service.kinds[0].name = "all";
    for (int i = 0; i < 4; ++i) {
      ++host;
      service.targets.push_back(
          MakeTestTarget(std::string(name) + "-" + std::to_string(i), host));
    }
    host += 100;
    deployment.services.push_back(service);
  }
  return MakeInitialDeployment(deployment, "lineage-1",
                               {"create", "test", "", 0})
      .deployment;
}

inline Operation MakeOperation(OperationKind kind, const std::string& name) {
  Operation it;
  it.kind = kind;
  it.name = name;
  return it;
}

inline Operation AddTarget(const std::string& service, const Target& target) {
  Operation it = MakeOperation(OperationKind::kAddTarget, target.name);
  it.service = service;
  it.new_target = target;
  return it;
}

}  // namespace marjoramhall::config

#endif  // MARJORAMHALL_TESTS_CONFIG_TEST_DEPLOYMENT_H_
