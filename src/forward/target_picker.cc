// Least outstanding requests per slot, within tiers of usability.
#include "src/forward/target_picker.h"

#include <algorithm>

namespace marjoramhall::forward {
namespace {

// In order of preference.
enum class Tier {
  kUsable,
  kOtherDomain,
  kUnproven,  // has not answered since PickConstraints::answered_since
  kUnprovenOtherDomain,
  kSuspect,
  kTried,
};

Tier TierOf(const TargetEntry& entry,
            const PickConstraints& constraints,
            TimePoint now) {
  if (std::find(constraints.tried.begin(), constraints.tried.end(),
                entry.target.token) != constraints.tried.end()) {
    return Tier::kTried;
  }
  if (entry.silence.IsSuspect()) {
    const bool probe = constraints.tried.empty() &&
                       now - entry.last_probe_at >= kProbeInterval;
    return probe ? Tier::kUsable : Tier::kSuspect;
  }
  const bool is_other_domain =
      constraints.prefer_own_domain && !entry.target.in_own_domain;
  if (entry.last_answer_at < constraints.answered_since) {
    return is_other_domain ? Tier::kUnprovenOtherDomain : Tier::kUnproven;
  }
  return is_other_domain ? Tier::kOtherDomain : Tier::kUsable;
}

// The best target of those that were offered. Of several equally good ones each
// has the same chance.
struct BestTarget {
  TargetEntry* entry = nullptr;
  Tier tier = Tier::kTried;
  double load = 0;
  uint32_t ties = 0;

  void Offer(TargetEntry* other,
             Tier other_tier,
             double other_load,
             TargetPicker& picker) {
    if (entry == nullptr || other_tier < tier ||
        (other_tier == tier && other_load < load)) {
      *this = {other, other_tier, other_load, 1};
    } else if (other_tier == tier && other_load == load &&
               picker.Random(++ties) == 0) {
      entry = other;
    }
  }
};

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
  BestTarget best_of_all;
  BestTarget best_of_working;
  size_t candidates = 0;
  size_t avoided = 0;
  for (TargetEntry* it : table.TargetsOf(service)) {
    if (!TakesNewFlows(it->target)) {
      continue;
    }
    ++candidates;
    if (constraints.is_held_back && constraints.is_held_back(*it)) {
      continue;
    }
    const Tier tier = TierOf(*it, constraints, now);
    const double load = LoadOf(*it, now);
    best_of_all.Offer(it, tier, load, *this);
    if (now < it->avoided_until) {
      ++avoided;
    } else {
      best_of_working.Offer(it, tier, load, *this);
    }
  }
  const bool avoid =
      avoided > 0 && best_of_working.entry != nullptr &&
      best_of_working.tier < Tier::kSuspect &&
      static_cast<double>(avoided) <=
          options_.max_avoided_fraction * static_cast<double>(candidates);
  TargetEntry* best = avoid ? best_of_working.entry : best_of_all.entry;
  if (best != nullptr && best->silence.IsSuspect()) {
    best->last_probe_at = now;
  }
  return best;
}

}  // namespace marjoramhall::forward
