// Decoded records of the platform's store: targets, routes and configuration.
#ifndef MARJORAMHALL_DISCOVERY_RECORDS_H_
#define MARJORAMHALL_DISCOVERY_RECORDS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "src/base/endpoint.h"
#include "src/base/store_position.h"
#include "src/base/time.h"
#include "src/forward/view.h"

namespace marjoramhall::discovery {

// The entry that a target publishes about itself.
struct TargetRecord {
  std::string id;
  uint64_t instance = 0;  // the number in the id, which packets carry
  // Unix time at which the target started, or 0 when the entry lacks it. A
  // target that restarts under the same id has a later start time.
  int64_t start_time_ms = 0;
  // Counts the reports of the target about itself since its start. It orders
  // two entries of a target even if the store has been restored from a copy in
  // between.
  uint64_t sequence = 0;
  std::string service;
  Endpoint address;
  std::string failure_domain;
  uint32_t slots = 1;
  bool draining = false;
  Duration warm_up_left{0};  // when the entry was written
};

struct ShareRecord {
  std::string service;
  uint32_t weight = 1;

  bool operator==(const ShareRecord&) const = default;
};

struct RouteRecord {
  std::string name;
  Endpoint address;  // destination of the route's packets
  std::vector<ShareRecord> shares;
  forward::Idempotency idempotency = forward::Idempotency::kNonIdempotent;
  uint32_t priority = 0;
  Duration timeout{0};
  Duration latency_objective{0};

  bool operator==(const RouteRecord&) const = default;
};

struct ServiceRecord {
  std::string name;
  // Requests per second that a target can serve while it is cold. 0 if
  // unlimited.
  double warm_up_request_rate = 0;

  bool operator==(const ServiceRecord&) const = default;
};

struct ConfigRecord {
  uint64_t version = 0;
  std::vector<RouteRecord> routes;
  Duration flow_idle_timeout{0};
  // May lack services that only routes name.
  std::vector<ServiceRecord> services{};

  bool operator==(const ConfigRecord&) const = default;
};

// One decoded change of the store. Has neither a target nor a configuration nor
// an evacuated domain when the key is of another kind.
struct StoreChange {
  std::string key;
  StorePosition position;  // of this change
  bool removed = false;
  bool is_target = false;              // the key belongs to a target
  std::optional<TargetRecord> target;  // empty if removed or unreadable
  std::optional<ConfigRecord> config;
  // If not empty, the key evacuates this failure domain: its targets get no new
  // flows until the key is removed.
  std::string evacuated_domain;
  std::string error;  // why the value, or a part of it, is unusable, or empty
};

}  // namespace marjoramhall::discovery

#endif  // MARJORAMHALL_DISCOVERY_RECORDS_H_
