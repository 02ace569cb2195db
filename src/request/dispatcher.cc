// Target selection by weighted random sampling.
#include "src/request/dispatcher.h"

#include <algorithm>

namespace marjoramhall::request {

void Dispatcher::SetTargets(const std::vector<config::Target>& targets,
                            const std::string& own_domain) {
  targets_.clear();
  active_targets_ = 0;
  for (const config::Target& it : targets) {
    targets_.emplace(it.id, Entry{it, it.domain == own_domain});
    active_targets_ += it.state == config::TargetState::kActive;
  }
}

const config::Target* Dispatcher::Find(TargetId id) const {
  const auto it = targets_.find(id);
  return it == targets_.end() ? nullptr : &it->second.target;
}

TargetId Dispatcher::PickTarget(const SlotLeases& leases,
                                const TargetHealth& health,
                                TargetId avoid,
                                bool own_domain_only,
                                TimePoint now) {
  // Weighted sampling by free slots in one pass. Index 1 is for targets in the
  // own failure domain, index 0 for the others.
  uint64_t weights[2] = {0, 0};
  TargetId picks[2] = {TargetId::kNone, TargetId::kNone};
  bool avoided_has_slot = false;
  for (const SlotLeases::TargetLease& it : leases.leases()) {
    if (it.in_use >= it.limit) {
      continue;
    }
    const auto entry = targets_.find(it.target);
    if (entry == targets_.end() ||
        entry->second.target.state != config::TargetState::kActive) {
      continue;
    }
    const bool own = entry->second.own_domain;
    const uint32_t allowed = health.AllowedRequests(it.target, it.limit, now);
    if ((own_domain_only && !own) || allowed <= it.in_use) {
      continue;
    }
    if (it.target == avoid) {
      avoided_has_slot = true;
      continue;
    }
    const uint64_t free = allowed - it.in_use;
    weights[own] += free;
    if (random_.Below(weights[own]) < free) {
      picks[own] = it.target;
    }
  }
  if (picks[1] != TargetId::kNone) {
    return picks[1];
  }
  if (picks[0] != TargetId::kNone) {
    return picks[0];
  }
  return avoided_has_slot ? avoid : TargetId::kNone;
}

std::vector<TargetId> Dispatcher::OwnDomainTargets() const {
  std::vector<TargetId> result;
  for (const auto& [id, entry] : targets_) {
    if (entry.own_domain &&
        entry.target.state == config::TargetState::kActive) {
      result.push_back(id);
    }
  }
  std::sort(result.begin(), result.end());
  return result;
}

}  // namespace marjoramhall::request
