// Least outstanding work per slot, in tiers of usability.
#include "src/forward/target_picker.h"

#include <algorithm>

namespace marjoramhall::forward {
namespace {

// Usable targets come first, then suspect ones, then those already tried.
enum class Tier { kUsable, kOtherDomain, kSuspect, kTried };

Tier TierOf(const TargetEntry& entry, const PickWish& wish, TimePoint now) {
  if (std::find(wish.tried.begin(), wish.tried.end(), entry.target.token) !=
      wish.tried.end()) {
    return Tier::kTried;
  }
  if (entry.IsSuspect()) {
    const bool probe =
        wish.tried.empty() && now - entry.last_probe >= kProbeInterval;
    return probe ? Tier::kUsable : Tier::kSuspect;
  }
  return wish.prefer_own_domain && !entry.target.in_own_domain
             ? Tier::kOtherDomain
             : Tier::kUsable;
}

}  // namespace

uint32_t TargetPicker::Random(uint32_t bound) {
  state_ ^= state_ << 13;
  state_ ^= state_ >> 7;
  state_ ^= state_ << 17;
  return static_cast<uint32_t>((state_ >> 32) % bound);
}

double TargetPicker::LoadOf(const TargetEntry& entry, TimePoint now) const {
  const double warmth = now < entry.target.warm_at ? options_.cold_pace : 1.0;
  const double pace = entry.target.slots * warmth / entry.slowness;
  const double penalty =
      entry.target.in_own_domain ? 0.0 : options_.other_domain_penalty;
  return (entry.outstanding + 1.0) / pace + penalty;
}

TargetEntry* TargetPicker::Pick(const TargetTable& table,
                                ServiceId service,
                                const PickWish& wish,
                                TimePoint now) {
  TargetEntry* best = nullptr;
  Tier best_tier = Tier::kTried;
  double best_load = 0;
  uint32_t ties = 0;
  for (TargetEntry* it : table.OfService(service)) {
    if (!TakesNewFlows(it->target.state)) {
      continue;
    }
    const Tier tier = TierOf(*it, wish, now);
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
    best->last_probe = now;
  }
  return best;
}

}  // namespace marjoramhall::forward
