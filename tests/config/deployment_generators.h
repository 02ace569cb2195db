// Random deployments for property tests.
#ifndef MARJORAMHALL_TESTS_CONFIG_DEPLOYMENT_GENERATORS_H_
#define MARJORAMHALL_TESTS_CONFIG_DEPLOYMENT_GENERATORS_H_

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "src/config/deployment.h"

namespace marjoramhall::config {

inline Endpoint RandomEndpoint() {
  return {IpAddress::FromV4(*rc::gen::arbitrary<uint32_t>()),
          *rc::gen::arbitrary<uint16_t>()};
}

inline std::string RandomText() {
  return *rc::gen::container<std::string>(rc::gen::inRange(' ', '\x7f'));
}

inline RateLimit RandomLimit() {
  return {*rc::gen::inRange(0, 10000) / 7.0, *rc::gen::inRange(0, 100) / 3.0};
}

inline Target RandomTarget() {
  Target it;
  it.id = static_cast<TargetId>(*rc::gen::arbitrary<uint32_t>());
  it.name = RandomText();
  it.domain = RandomText();
  it.flow_endpoint = RandomEndpoint();
  it.request_endpoint = RandomEndpoint();
  it.slots = *rc::gen::arbitrary<uint32_t>();
  it.queue = *rc::gen::arbitrary<uint32_t>();
  it.connections = *rc::gen::arbitrary<uint32_t>();
  it.weight = *rc::gen::arbitrary<uint32_t>();
  it.state = *rc::gen::element(TargetState::kActive, TargetState::kDraining);
  return it;
}

inline Service RandomService() {
  Service it;
  it.id = static_cast<ServiceId>(*rc::gen::arbitrary<uint32_t>());
  it.name = RandomText();
  it.flow_address = RandomEndpoint();
  it.flow_protocol = *rc::gen::element(FlowProtocol::kTcp, FlowProtocol::kUdp);
  it.host = RandomText();
  it.kinds.resize(*rc::gen::inRange<size_t>(0, 3));
  for (RequestKind& kind : it.kinds) {
    kind.name = RandomText();
    kind.method = RandomText();
    kind.path_prefix = RandomText();
    kind.idempotent = *rc::gen::arbitrary<bool>();
    kind.deadline = Duration(*rc::gen::inRange<int64_t>(0, 10'000'000'000));
    kind.priority = *rc::gen::element(Priority::kShort, Priority::kLong);
    kind.limit = RandomLimit();
    kind.caller_limit = RandomLimit();
  }
  it.targets.resize(*rc::gen::inRange<size_t>(0, 4));
  for (Target& target : it.targets) {
    target = RandomTarget();
  }
  return it;
}

inline Deployment RandomDeployment() {
  Deployment it;
  it.lineage = RandomText();
  it.revision = *rc::gen::arbitrary<uint64_t>();
  it.next_service_id = *rc::gen::arbitrary<uint32_t>();
  it.next_target_id = *rc::gen::arbitrary<uint32_t>();
  it.domains.resize(*rc::gen::inRange<size_t>(0, 3));
  for (FailureDomain& domain : it.domains) {
    domain = {RandomText(), RandomText()};
  }
  it.services.resize(*rc::gen::inRange<size_t>(0, 3));
  for (Service& service : it.services) {
    service = RandomService();
  }
  it.released.resize(*rc::gen::inRange<size_t>(0, 3));
  for (ReleasedAddress& released : it.released) {
    released = {RandomEndpoint(),
                static_cast<ServiceId>(*rc::gen::arbitrary<uint32_t>()),
                *rc::gen::arbitrary<uint64_t>()};
  }
  it.history.resize(*rc::gen::inRange<size_t>(0, 3));
  for (ChangeRecord& record : it.history) {
    record = {RandomText(),
              RandomText(),
              RandomText(),
              *rc::gen::arbitrary<int64_t>(),
              *rc::gen::arbitrary<uint64_t>(),
              RandomText()};
  }
  return it;
}

}  // namespace marjoramhall::config

#endif  // MARJORAMHALL_TESTS_CONFIG_DEPLOYMENT_GENERATORS_H_
