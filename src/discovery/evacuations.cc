// Order of the changes of evacuations, and restored stores.
#include "src/discovery/evacuations.h"

#include <algorithm>
#include <set>
#include <utility>

namespace marjoramhall::discovery {

Evacuations::Evacuations(Duration lost_lifetime, ReportHook report)
    : lost_lifetime_(lost_lifetime), report_(std::move(report)) {}

bool Evacuations::Apply(const StoreChange& change) {
  const auto [it, is_new] = domains_.try_emplace(
      change.evacuated_domain, Entry{change.key, change.position, {}, true});
  Entry& entry = it->second;
  if (!is_new && change.position <= entry.position) {
    return false;
  }
  if (change.removed) {
    return Withdraw(it->first, entry, change.position, kEvacuationWithdrawn);
  }
  const bool was_in_force = !entry.is_withdrawn && !entry.lapses_at;
  if (entry.is_withdrawn) {
    report_(kDomainEvacuated, change.evacuated_domain, change.position);
  }
  entry = {change.key, change.position, {}, false};
  return !was_in_force;
}

bool Evacuations::Withdraw(const std::string& domain,
                           Entry& entry,
                           StorePosition position,
                           std::string_view outcome) {
  entry.position = position;
  entry.lapses_at.reset();
  if (std::exchange(entry.is_withdrawn, true)) {
    return false;
  }
  report_(outcome, domain, position);
  return true;
}

bool Evacuations::ApplyListing(const Listing& listing,
                               StorePosition known,
                               TimePoint now) {
  bool changed = false;
  std::set<std::string> present;
  for (const StoreChange& it : listing.items) {
    if (it.evacuated_domain.empty()) {
      continue;
    }
    if (!it.removed) {
      present.insert(it.evacuated_domain);
    }
    const auto entry = domains_.find(it.evacuated_domain);
    const bool is_in_force =
        entry != domains_.end() && !entry->second.is_withdrawn;
    if (listing.position >= known || is_in_force || it.removed) {
      changed |= Apply(it);
    }
  }
  for (auto& [domain, entry] : domains_) {
    if (entry.is_withdrawn) {
      entry.position = std::max(entry.position, listing.position);
    } else if (entry.position.epoch < listing.position.epoch) {
      // The operator has the store's acknowledgment, which the store forgot.
      if (!entry.lapses_at) {
        entry.lapses_at = now + lost_lifetime_;
        changed = true;
        report_(kEvacuationKept, domain, listing.position);
      }
    } else if (!present.contains(domain) &&
               entry.position <= listing.position) {
      changed |=
          Withdraw(domain, entry, listing.position, kEvacuationWithdrawn);
    }
  }
  return changed;
}

bool Evacuations::Tick(TimePoint now) {
  bool changed = false;
  for (auto& [domain, entry] : domains_) {
    if (entry.lapses_at && now >= *entry.lapses_at) {
      changed |= Withdraw(domain, entry, entry.position, kEvacuationLapsed);
    }
  }
  return changed;
}

size_t Evacuations::size() const {
  return static_cast<size_t>(
      std::count_if(domains_.begin(), domains_.end(),
                    [](const auto& it) { return !it.second.is_withdrawn; }));
}

void Evacuations::Mark(const std::vector<std::string>& domains,
                       std::vector<forward::Target>* targets) const {
  std::set<ServiceId> served;  // services with a target that is not evacuated
  for (size_t i = 0; i < targets->size(); ++i) {
    forward::Target& target = (*targets)[i];
    const auto it = domains_.find(domains[i]);
    target.is_evacuated = it != domains_.end() && !it->second.is_withdrawn;
    if (forward::TakesNewFlows(target)) {
      served.insert(target.service);
    }
  }
  // The earlier the request, the likelier it is that its withdrawal was lost.
  std::map<StorePosition, std::string> lost;
  for (const auto& [domain, entry] : domains_) {
    if (entry.lapses_at) {
      lost.emplace(entry.position, domain);
    }
  }
  for (const auto& [position, domain] : lost) {
    std::set<ServiceId> served_here;
    for (size_t i = 0; i < targets->size(); ++i) {
      forward::Target& target = (*targets)[i];
      if (domains[i] == domain && !served.contains(target.service)) {
        target.is_evacuated = false;
        if (forward::TakesNewFlows(target)) {
          served_here.insert(target.service);
        }
      }
    }
    served.merge(served_here);
  }
}

void Evacuations::AppendTo(Listing* listing) const {
  for (const auto& [domain, entry] : domains_) {
    StoreChange item;
    item.key = entry.key;
    item.position = entry.position;
    item.evacuated_domain = domain;
    item.removed = entry.is_withdrawn;
    listing->items.push_back(std::move(item));
  }
}

}  // namespace marjoramhall::discovery
