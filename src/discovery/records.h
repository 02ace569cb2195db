// What the platform's store says of targets and routes, decoded.
#ifndef MARJORAMHALL_DISCOVERY_RECORDS_H_
#define MARJORAMHALL_DISCOVERY_RECORDS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "src/base/endpoint.h"
#include "src/base/time.h"
#include "src/forward/view.h"

namespace marjoramhall::discovery {

// One target as it describes itself.
struct TargetRecord {
  std::string id;
  uint64_t instance = 0;  // the number in the id, by which packets name it
  // Start of the target in Unix milliseconds; 0 when it does not say. A target
  // that starts again under its id has a later one.
  int64_t start_time_ms = 0;
  std::string service;
  Endpoint address;
  std::string failure_domain;
  uint32_t slots = 1;
  bool draining = false;
  Duration cold_for{0};
};

struct ShareRecord {
  std::string service;
  uint32_t weight = 1;
};

struct RouteRecord {
  std::string name;
  Endpoint address;  // where clients send the route's packets
  std::vector<ShareRecord> shares;
  forward::Idempotency idempotency = forward::Idempotency::kNonIdempotent;
  uint32_t priority = 0;
  Duration timeout{0};
  Duration latency_objective{0};
};

struct ConfigRecord {
  uint64_t version = 0;
  std::vector<RouteRecord> routes;
  Duration flow_idle_timeout{0};
};

// One change of the store, decoded. Neither a target nor a configuration: a
// key of another kind.
struct StoreChange {
  std::string key;
  uint64_t revision = 0;  // of the change itself
  bool removed = false;
  bool is_target = false;              // the key is one of a target
  std::optional<TargetRecord> target;  // absent: unreadable or removed
  std::optional<ConfigRecord> config;
  std::string fault;  // why the value cannot be used; empty otherwise
};

}  // namespace marjoramhall::discovery

#endif  // MARJORAMHALL_DISCOVERY_RECORDS_H_
