// Least outstanding requests per slot, within tiers of usability.
#include "src/forward/target_picker.h"

#include <algorithm>

namespace marjoramhall::forward {
namespace {

// In order of preference.
enum class Tier { kUsable, kOtherDomain, kSuspect, kTried };

Tier TierOf(const TargetEntry& entry,
            const PickConstraints& constraints,
            TimePoint now) {
  if (std::find(constraints.tried.begin(), constraints.tried.end(),
                entry.target.token) != constraints.tried.end()) {
    return Tier::kTried;
  }
  if (entry.IsSuspect()) {
    const bool probe = constraints.tried.empty() &&
                       now - entry.last_probe_at >= kProbeInterval;
    return probe ? Tier::kUsable : Tier::kSuspect;
  }
  return constraints.prefer_own_domain && !entry.target.in_own_domain
             ? Tier::kOtherDomain
             : Tier::kUsable;
}

}  // namespace

uint32_t TargetPicker::Random(uint32_t bound) {
  random_state_ ^= random_state_ << 13;
  random_state_ ^= random_state_ >> 7;
  random_state_ ^= random_state_ << 17;
  return static_cast<uint32_t>((random_state_ >> 32) % bound);
}

double TargetPicker::LoadOf(const TargetEntry& entry, TimePoint now) const {
  const double warm_up_factor =
      now < entry.target.warm_up_until ? options_.warm_up_speed : 1.0;
  const double speed =
      entry.target.slots * warm_up_factor / entry.relative_latency;
  const double penalty =
      entry.target.in_own_domain ? 0.0 : options_.other_domain_penalty;
  return (entry.outstanding_requests + 1.0) / speed + penalty;
}

TargetEntry* TargetPicker::Pick(const TargetTable& table,
                                ServiceId service,
                                const PickConstraints& constraints,
                                TimePoint now) {
  TargetEntry* best = nullptr;
  Tier best_tier = Tier::kTried;
  double best_load = 0;
  uint32_t ties = 0;
  for (TargetEntry* it : table.TargetsOf(service)) {
    if (!TakesNewFlows(it->target.state)) {
      continue;
    }
    const Tier tier = TierOf(*it, constraints, now);
    const double load = LoadOf(*it, now);
    if (best == nullptr || tier < best_tier ||
        (tier == best_tier && load < best_load)) {
      best = it;
      best_tier = tier;
      best_load = load;
      ties = 1;
    } else if (tier == best_tier && load == best_load && Random(++ties) == 0) {
      best = it;
    }
  }
  if (best != nullptr && best->IsSuspect()) {
    best->last_probe_at = now;
  }
  return best;
}

}  // namespace marjoramhall::forward
