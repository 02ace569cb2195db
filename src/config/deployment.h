// The deployment that operators declare: services, targets and failure domains.
// An accepted revision is immutable and shared by all planes of a VM.
#ifndef MARJORAMHALL_CONFIG_DEPLOYMENT_H_
#define MARJORAMHALL_CONFIG_DEPLOYMENT_H_

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "src/base/endpoint.h"
#include "src/base/enum_names.h"
#include "src/base/ids.h"
#include "src/base/time.h"

namespace marjoramhall::config {

enum class TargetState {
  kActive,
  // Takes no new flows or requests; established ones finish.
  kDraining,
};
inline constexpr EnumName<TargetState> kTargetStateNames[] = {
    {TargetState::kActive, "active"},
    {TargetState::kDraining, "draining"},
};
constexpr std::span<const EnumName<TargetState>> NamesOf(TargetState) {
  return kTargetStateNames;
}

enum class FlowProtocol : uint8_t { kTcp = 6, kUdp = 17 };
inline constexpr EnumName<FlowProtocol> kFlowProtocolNames[] = {
    {FlowProtocol::kTcp, "tcp"},
    {FlowProtocol::kUdp, "udp"},
};
constexpr std::span<const EnumName<FlowProtocol>> NamesOf(FlowProtocol) {
  return kFlowProtocolNames;
}

enum class Priority { kShort, kLong };
inline constexpr EnumName<Priority> kPriorityNames[] = {
    {Priority::kShort, "short"},
    {Priority::kLong, "long"},
};
constexpr std::span<const EnumName<Priority>> NamesOf(Priority) {
  return kPriorityNames;
}

// A rate limit with a burst. A rate of 0 means unlimited.
struct RateLimit {
  double rate = 0;   // requests per second, over the whole deployment
  double burst = 0;  // requests at once, over the whole deployment

  bool operator==(const RateLimit&) const = default;
};

struct Target {
  TargetId id = TargetId::kNone;
  std::string name;
  std::string domain;  // name of its failure domain
  // Where packets of flows are sent (UDP, GUE variant 1).
  Endpoint flow_endpoint;
  // Where requests are sent (HTTP/2 over TCP).
  Endpoint request_endpoint;
  uint32_t slots = 1;           // requests at once
  uint32_t queue = 0;           // requests that the target itself may queue
  uint32_t connections = 2000;  // connections at once
  uint32_t weight = 100;        // share of flows relative to other targets
  TargetState state = TargetState::kActive;

  bool operator==(const Target&) const = default;
};

// Settings of a class of requests. The first kind of a service whose method and
// path prefix match a request applies to it; "*" matches every method.
struct RequestKind {
  std::string name;
  std::string method = "*";
  std::string path_prefix = "/";
  bool idempotent = false;
  Duration deadline = std::chrono::seconds(10);
  Priority priority = Priority::kShort;
  RateLimit limit;         // all callers together
  RateLimit caller_limit;  // each caller

  bool operator==(const RequestKind&) const = default;
};

struct Service {
  ServiceId id = ServiceId::kNone;
  std::string name;
  // Address that packets of flows are sent to by callers.
  Endpoint flow_address;
  FlowProtocol flow_protocol = FlowProtocol::kTcp;
  // Value of the request's :authority (without port) that selects the service.
  std::string host;
  std::vector<RequestKind> kinds;
  std::vector<Target> targets;  // sorted by id

  bool operator==(const Service&) const = default;
};

struct FailureDomain {
  std::string name;
  std::string region;

  bool operator==(const FailureDomain&) const = default;
};

// An address that a removed target or service had. It must not be assigned to
// another service until every known VM holds revision `released_in` or a later
// one.
struct ReleasedAddress {
  Endpoint endpoint;
  ServiceId service = ServiceId::kNone;
  Revision released_in = 0;

  bool operator==(const ReleasedAddress&) const = default;
};

// Record of an accepted change.
struct ChangeRecord {
  std::string change_id;
  std::string author;
  std::string reason;
  int64_t accepted_at = 0;  // Unix time, seconds
  Revision revision = 0;
  std::string summary;

  bool operator==(const ChangeRecord&) const = default;
};

// Number of accepted changes kept in the deployment's history.
inline constexpr size_t kHistoryLimit = 64;

struct Deployment {
  // Random id assigned when the deployment is created. Revisions of different
  // lineages cannot be compared.
  std::string lineage;
  Revision revision = 0;
  uint32_t next_service_id = 1;
  uint32_t next_target_id = 1;
  std::vector<FailureDomain> domains;
  std::vector<Service> services;  // sorted by id
  std::vector<ReleasedAddress> released;
  std::vector<ChangeRecord> history;  // newest last

  bool operator==(const Deployment&) const = default;
};

using DeploymentPtr = std::shared_ptr<const Deployment>;

}  // namespace marjoramhall::config

#endif  // MARJORAMHALL_CONFIG_DEPLOYMENT_H_
