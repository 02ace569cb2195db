// What the traffic thread knows of routes and targets: an immutable value that
// the control thread replaces as a whole.
#ifndef MARJORAMHALL_FORWARD_VIEW_H_
#define MARJORAMHALL_FORWARD_VIEW_H_

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "src/base/enum_names.h"
#include "src/base/ids.h"
#include "src/base/time.h"
#include "src/forward/packet.h"

namespace marjoramhall::forward {

enum class TargetState {
  kActive,
  // Leaves soon: keeps its flows, gets no new ones.
  kDraining,
  // Its entry vanished without a drain. It may live behind a store outage, so
  // that it is used while it answers, until its time is up.
  kLapsed,
  // Gone, or unusable. Its token still resolves, so that late packets of its
  // flows go to no other target.
  kRetired,
};
inline constexpr EnumName<TargetState> kTargetStateNames[] = {
    {TargetState::kActive, "active"},
    {TargetState::kDraining, "draining"},
    {TargetState::kLapsed, "lapsed"},
    {TargetState::kRetired, "retired"},
};
constexpr std::span<const EnumName<TargetState>> NamesOf(TargetState) {
  return kTargetStateNames;
}

constexpr bool TakesNewFlows(TargetState state) {
  return state == TargetState::kActive || state == TargetState::kLapsed;
}

struct Target {
  TargetToken token = TargetToken::kNone;
  uint64_t instance = 0;  // what the target itself is called in a prefix
  std::string id;
  ServiceId service = ServiceId::kNone;
  uint32_t address = 0;  // IPv4, host byte order
  uint16_t port = 0;
  bool in_own_domain = false;
  uint32_t slots = 1;  // at least 1
  TargetState state = TargetState::kActive;
  TimePoint warm_at;  // until then the target is slow after its start
};

// Whether a request may be sent twice.
enum class Repeatability { kIdempotent, kNonIdempotent };

struct ServiceShare {
  ServiceId service = ServiceId::kNone;
  uint32_t weight = 1;
};

struct Route {
  std::string name;
  // Weights sum to at least 1.
  std::vector<ServiceShare> services;
  Repeatability repeatability = Repeatability::kNonIdempotent;
  uint32_t priority = 0;  // 0 is the highest
  Duration timeout{0};
  Duration latency_objective{0};
};

// Address and port of a service as one number.
constexpr uint64_t RouteKeyOf(uint32_t address, uint16_t port) {
  return (uint64_t{address} << 16) | port;
}

struct View {
  uint64_t config_version = 0;                 // 0: no configuration yet
  std::unordered_map<uint64_t, Route> routes;  // by RouteKeyOf()
  std::vector<Target> targets;                 // tokens are unique
  Duration flow_idle_timeout{0};
};
using ViewPtr = std::shared_ptr<const View>;

}  // namespace marjoramhall::forward

#endif  // MARJORAMHALL_FORWARD_VIEW_H_
