// The routes and targets that the traffic thread uses. A view is immutable, and
// the control thread replaces it as a whole.
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
  // Shuts down soon. Keeps its flows and gets no new ones.
  kDraining,
  // Its store entry disappeared without a drain, possibly because of a store
  // outage. Gets new flows while it answers, until a grace period ends.
  kLapsed,
  // Has left or is unusable. Its token is still known, so that late packets of
  // its flows do not reach another target.
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

struct Target {
  TargetToken token = TargetToken::kNone;
  uint64_t instance = 0;  // number of the target in encapsulation headers
  std::string id;
  ServiceId service = ServiceId::kNone;
  uint32_t address = 0;  // IPv4, host byte order
  uint16_t port = 0;
  bool in_own_domain = false;
  uint32_t slots = 1;  // at least 1
  TargetState state = TargetState::kActive;
  // Of a retired target: the store has said that it has left or ended. Its
  // entry may otherwise be unreadable while it works.
  bool gone = false;
  // An operator has evacuated the target's failure domain.
  bool is_evacuated = false;
  TimePoint warm_up_until;  // the target is cold before this time
  // Requests per second that the target can serve while it is cold. 0 if
  // unlimited.
  double warm_up_request_rate = 0;
};

// Whether a target would get new flows if its failure domain was not evacuated.
constexpr bool IsInService(const Target& target) {
  return target.state == TargetState::kActive ||
         target.state == TargetState::kLapsed;
}

constexpr bool TakesNewFlows(const Target& target) {
  return IsInService(target) && !target.is_evacuated;
}

// Whether a request may be sent twice.
enum class Idempotency { kIdempotent, kNonIdempotent };

struct ServiceShare {
  ServiceId service = ServiceId::kNone;
  uint32_t weight = 1;
};

struct Route {
  std::string name;
  // Weights sum to at least 1.
  std::vector<ServiceShare> services;
  Idempotency idempotency = Idempotency::kNonIdempotent;
  uint32_t priority = 0;  // 0 is the highest
  Duration timeout{0};
  Duration latency_objective{0};
};

// Combines the address and port of a service into a key of View::routes.
constexpr uint64_t RouteKeyOf(uint32_t address, uint16_t port) {
  return (uint64_t{address} << 16) | port;
}

struct View {
  uint64_t config_version = 0;  // 0 before the first configuration
  std::unordered_map<uint64_t, Route> routes;  // by RouteKeyOf()
  std::vector<Target> targets;                 // tokens are unique
  Duration flow_idle_timeout{0};
};
using ViewPtr = std::shared_ptr<const View>;

}  // namespace marjoramhall::forward

#endif  // MARJORAMHALL_FORWARD_VIEW_H_
