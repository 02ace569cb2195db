// State transitions of targets.
#include "src/discovery/target_registry.h"

#include <algorithm>
#include <utility>

namespace marjoramhall::discovery {
namespace {

// Ignored entries that are remembered, so that each is logged once.
constexpr size_t kMaxIgnoredEntries = 1000;

}  // namespace

using forward::TargetState;

forward::TargetToken TokenOf(uint64_t instance) {
  const uint64_t folded = (instance & 0xffffffffU) ^ (instance >> 32);
  return forward::TargetToken{folded == 0 ? 1 : static_cast<uint32_t>(folded)};
}

TargetRegistry::TargetRegistry(RegistryOptions options,
                               DecisionHook log_decision)
    : options_(std::move(options)),
      log_decision_(std::move(log_decision)),
      evacuations_(options_.lost_evacuation_lifetime,
                   [this](std::string_view outcome,
                          const std::string& failure_domain,
                          StorePosition position) {
                     LogEvacuation(outcome, failure_domain, position);
                   }) {}

bool TargetRegistry::ApplyChanges(const std::vector<StoreChange>& changes,
                                  StorePosition position,
                                  TimePoint now) {
  bool changed = false;
  for (const StoreChange& it : changes) {
    changed |= Apply(it, now);
  }
  position_ = std::max(position_, position);
  return ReviewEntries(now) || changed;
}

bool TargetRegistry::Apply(const StoreChange& change, TimePoint now) {
  if (!change.error.empty()) {
    LogIgnored(change, change.error);
  } else if (change.removed) {
    ignored_.erase(change.key);
  }
  if (change.is_target) {
    return ApplyTarget(change, now);
  }
  if (!change.evacuated_domain.empty()) {
    return evacuations_.Apply(change);
  }
  return change.config && ApplyConfig(change);
}

void TargetRegistry::LogIgnored(const StoreChange& change,
                                std::string_view reason) {
  if (ignored_.size() >= kMaxIgnoredEntries) {
    ignored_.clear();
  }
  if (std::exchange(ignored_[change.key], reason) == reason) {
    return;  // its writer repeats it
  }
  Decision decision;
  decision.kind = DecisionKind::kConfiguration;
  decision.revision = change.position.revision;
  decision.store_epoch = change.position.epoch;
  decision.outcome = kEntryIgnored;
  decision.reason = reason;
  decision.detail = change.key;
  log_decision_(decision);
}

bool TargetRegistry::ApplyListing(const Listing& listing, TimePoint now) {
  if (listing.position.epoch < position_.epoch) {
    return false;
  }
  const StorePosition before = position_;
  RestoreCounts restored;
  RestoreCounts* counts =
      before.revision > 0 && listing.position.epoch > before.epoch ? &restored
                                                                   : nullptr;
  bool changed = evacuations_.ApplyListing(listing, position_, now);
  for (const StoreChange& it : listing.items) {
    if (!it.evacuated_domain.empty()) {
      continue;
    }
    if (counts != nullptr) {
      changed |= ApplyRestored(it, now, counts);
    } else if (!it.is_target || listing.position >= position_ ||
               targets_.contains(it.key)) {
      // A target that only an older listing contains has left and is forgotten.
      changed |= Apply(it, now);
    }
  }
  changed |= RemoveMissing(listing, now, counts);
  position_ = std::max(position_, listing.position);
  changed |= ReviewEntries(now);
  if (counts != nullptr) {
    LogRestore(before, *counts);
  }
  return changed;
}

bool TargetRegistry::RemoveMissing(const Listing& listing,
                                   TimePoint now,
                                   RestoreCounts* counts) {
  std::set<std::string> present;
  for (const StoreChange& it : listing.items) {
    present.insert(it.key);
  }
  bool changed = false;
  for (auto& [key, entry] : targets_) {
    if (present.contains(key) || entry.position > listing.position) {
      continue;
    }
    if (counts != nullptr) {
      counts->missing += entry.state != TargetState::kRetired ? 1 : 0;
      AwaitNewEntry(entry, now);
      changed = true;
    } else if (entry.retire_at) {
      entry.earlier_start.reset();
    } else {
      StoreChange removal;
      removal.key = key;
      removal.position =
          std::max(listing.position,
                   {entry.position.epoch, entry.position.revision + 1});
      removal.removed = true;
      removal.is_target = true;
      changed |= ApplyTarget(removal, now);
    }
  }
  return changed;
}

Listing TargetRegistry::Snapshot() const {
  Listing listing;
  listing.position = position_;
  StoreChange config;
  config.position = config_position_;
  config.config = config_;
  listing.items.push_back(std::move(config));
  for (const auto& [key, entry] : targets_) {
    const bool is_in_use = entry.state == TargetState::kActive ||
                           entry.state == TargetState::kDraining;
    if (!entry.retire_at && (is_in_use || entry.reactivate_at)) {
      StoreChange item;
      item.key = key;
      item.position = entry.earlier_start ? entry.earlier_start->record_position
                                          : entry.position;
      item.is_target = true;
      item.target = entry.record;
      listing.items.push_back(std::move(item));
    }
    if (entry.earlier_start) {
      // No change tells another VM that the target renews this entry.
      listing.items.push_back(entry.earlier_start->change);
    }
    if (entry.unconfigured_report) {
      listing.items.push_back(*entry.unconfigured_report);
    }
  }
  evacuations_.AppendTo(&listing);
  return listing;
}

bool TargetRegistry::ApplyEarlierReport(Entry& entry,
                                        const StoreChange& change,
                                        ReportOrder order,
                                        TimePoint now) {
  const StorePosition before = entry.position;
  entry.position = change.position;
  if (order == ReportOrder::kEarlier) {
    LogIgnored(change, "report from before a later one");
    entry.earlier_start.reset();
    return false;
  }
  LogIgnored(change, "report from an earlier start");
  if (entry.earlier_start &&
      entry.earlier_start->change.target->start_time_ms ==
          change.target->start_time_ms) {
    entry.earlier_start->change = change;
  } else {
    // The start time is a time of day, which may have been set back. Then the
    // target goes on renewing this entry.
    entry.earlier_start = {
        change,
        entry.earlier_start ? entry.earlier_start->record_position : before,
        now + options_.doubtful_entry_lifetime};
  }
  if (!change.target->draining || entry.state != TargetState::kActive) {
    return false;
  }
  // If it is not a late report, the target gets no new flows in time.
  SetState(entry, TargetState::kDraining, "earlier start drains", now);
  return true;
}

bool TargetRegistry::ApplyTarget(const StoreChange& change, TimePoint now) {
  const auto it = targets_.find(change.key);
  if (it != targets_.end() && change.position <= it->second.position) {
    return false;
  }
  if (!change.target) {
    if (it == targets_.end()) {
      return false;
    }
    Entry& entry = it->second;
    entry.position = change.position;
    entry.reactivate_at.reset();
    entry.earlier_start.reset();
    entry.unconfigured_report.reset();
    const TargetState before = entry.state;
    if (!change.removed) {
      Retire(entry, false, "unreadable", now);
    } else if (before == TargetState::kDraining) {
      Retire(entry, true, "left", now);
    } else if (before == TargetState::kActive) {
      SetState(entry, TargetState::kLapsed, "entry-vanished", now);
      entry.retire_at = now + options_.lapse_grace_period;
    } else if (before == TargetState::kLapsed && !entry.retire_at) {
      entry.retire_at = now + options_.lapse_grace_period;
    }
    return entry.state != before;
  }
  if (it != targets_.end()) {
    return ApplyReport(it->second, change, "entry-changed", now);
  }
  Entry& entry = targets_[change.key];
  entry.record = *change.target;
  AddToIndexes(entry);
  entry.position = change.position;
  ignored_.erase(change.key);
  UseReport(entry, *change.target, "joined", now);
  return true;
}

bool TargetRegistry::ApplyReport(Entry& entry,
                                 const StoreChange& change,
                                 std::string_view reason,
                                 TimePoint now) {
  if (IsConfigured(entry.record) && !IsConfigured(*change.target)) {
    return SetAside(entry, change, now);
  }
  if (IsComparable(entry.record, *change.target)) {
    const ReportOrder order = OrderOf(*change.target, entry.record);
    if (order == ReportOrder::kEarlier || order == ReportOrder::kEarlierStart) {
      return ApplyEarlierReport(entry, change, order, now);
    }
  }
  entry.position = change.position;
  ignored_.erase(change.key);
  UseReport(entry, *change.target, reason, now);
  return true;
}

bool TargetRegistry::SetAside(Entry& entry,
                              const StoreChange& change,
                              TimePoint now) {
  entry.position = change.position;
  entry.earlier_start.reset();
  entry.unconfigured_report = change;
  LogIgnored(change, kServiceNotConfigured);
  const TargetState before = entry.state;
  Retire(entry, false, kServiceNotConfigured, now);
  return entry.state != before;
}

void TargetRegistry::UseReport(Entry& entry,
                               TargetRecord report,
                               std::string_view reason,
                               TimePoint now) {
  RemoveFromIndexes(entry);
  entry.record = std::move(report);
  AddToIndexes(entry);
  entry.retire_at.reset();
  entry.reactivate_at.reset();
  entry.earlier_start.reset();
  entry.unconfigured_report.reset();
  entry.stayed_away = false;
  entry.warm_up_until = now + entry.record.warm_up_left;
  SetState(
      entry,
      entry.record.draining ? TargetState::kDraining : TargetState::kActive,
      reason, now);
  LogSharedToken(entry);
}

void TargetRegistry::AddToIndexes(Entry& entry) {
  by_address_[entry.record.address].push_back(&entry);
  by_token_[TokenOf(entry.record.instance)].push_back(&entry);
}

void TargetRegistry::RemoveFromIndexes(Entry& entry) {
  const auto remove = [&entry](auto& index, const auto& key) {
    const auto it = index.find(key);
    std::erase(it->second, &entry);
    if (it->second.empty()) {
      index.erase(it);
    }
  };
  remove(by_address_, entry.record.address);
  remove(by_token_, TokenOf(entry.record.instance));
}

void TargetRegistry::LogSharedToken(const Entry& entry) const {
  if (!IsConfigured(entry.record)) {
    return;
  }
  for (const Entry* it : by_token_.at(TokenOf(entry.record.instance))) {
    if (it == &entry || it->state == TargetState::kRetired ||
        !IsConfigured(it->record)) {
      continue;
    }
    Decision decision;
    decision.kind = DecisionKind::kTargetHealth;
    decision.target =
        TargetId{static_cast<uint32_t>(TokenOf(entry.record.instance))};
    decision.revision = entry.position.revision;
    decision.store_epoch = entry.position.epoch;
    decision.outcome = "token-shared";
    decision.reason = "the target that started later gets no flows";
    decision.detail = entry.record.id;
    log_decision_(decision);
  }
}

void TargetRegistry::Retire(Entry& entry,
                            bool gone,
                            std::string_view reason,
                            TimePoint now) {
  entry.reactivate_at.reset();
  entry.stayed_away = false;
  if (entry.state != TargetState::kRetired) {
    entry.gone = gone;
    entry.retire_at.reset();
    SetState(entry, TargetState::kRetired, reason, now);
  }
}

void TargetRegistry::SetState(Entry& entry,
                              TargetState state,
                              std::string_view reason,
                              TimePoint now) {
  entry.state = state;
  entry.state_changed_at = now;
  LogState(entry, NameOf(state), reason);
}

void TargetRegistry::LogState(const Entry& entry,
                              std::string_view outcome,
                              std::string_view reason) const {
  const ServiceId service = FindService(entry.record.service);
  if (service == ServiceId::kNone) {
    return;  // no configuration has named it
  }
  Decision decision;
  decision.kind = DecisionKind::kTargetHealth;
  decision.service = service;
  decision.target =
      TargetId{static_cast<uint32_t>(TokenOf(entry.record.instance))};
  decision.revision = entry.position.revision;
  decision.store_epoch = entry.position.epoch;
  decision.outcome = outcome;
  decision.reason = reason;
  decision.detail = entry.record.id;
  log_decision_(decision);
}

void TargetRegistry::LogEvacuation(std::string_view outcome,
                                   const std::string& failure_domain,
                                   StorePosition position) const {
  const auto n = std::count_if(
      targets_.begin(), targets_.end(), [&failure_domain](const auto& it) {
        return it.second.record.failure_domain == failure_domain &&
               it.second.state != TargetState::kRetired;
      });
  const std::string detail =
      failure_domain + ", " + std::to_string(n) + " targets";
  Decision decision;
  decision.kind = DecisionKind::kConfiguration;
  decision.revision = position.revision;
  decision.store_epoch = position.epoch;
  decision.outcome = outcome;
  decision.detail = detail;
  log_decision_(decision);
}

bool TargetRegistry::ApplyConfig(const StoreChange& change) {
  const ConfigRecord& config = *change.config;
  // A version that the store lost may be written again with other content.
  if (config.version < config_.version ||
      (config.version == config_.version &&
       change.position.epoch <= config_position_.epoch)) {
    return false;
  }
  config_position_ = change.position;
  if (config == config_) {
    return false;
  }
  config_ = config;
  configured_services_.clear();
  for (const RouteRecord& route : config_.routes) {
    for (const ShareRecord& share : route.shares) {
      configured_services_.insert(share.service);
    }
  }
  for (const ServiceRecord& it : config_.services) {
    configured_services_.insert(it.name);
  }
  for (const std::string& it : configured_services_) {
    AssignServiceId(it);
  }
  const std::string detail = std::to_string(config.routes.size()) + " routes";
  Decision decision;
  decision.kind = DecisionKind::kConfiguration;
  decision.revision = config.version;
  decision.outcome = "in-force";
  decision.detail = detail;
  log_decision_(decision);
  return true;
}

bool TargetRegistry::Tick(TimePoint now) {
  bool changed = evacuations_.Tick(now);
  for (auto it = targets_.begin(); it != targets_.end();) {
    Entry& entry = it->second;
    if (entry.retire_at && now >= *entry.retire_at) {
      Retire(entry, true, "entry-stayed-away", now);
      entry.stayed_away = !entry.record.draining;
      changed = true;
    }
    if (entry.earlier_start && now >= entry.earlier_start->use_at) {
      UseReport(entry, *entry.earlier_start->change.target, "entry-renewed",
                now);
      changed = true;
    }
    if (entry.reactivate_at && now >= *entry.reactivate_at) {
      entry.reactivate_at.reset();
      entry.stayed_away = false;
      SetState(entry, TargetState::kActive, "entry-renewed", now);
      changed = true;
    }
    const bool is_forgotten =
        entry.state == TargetState::kRetired && !entry.reactivate_at &&
        !entry.earlier_start &&
        now - entry.state_changed_at >= options_.retired_token_lifetime;
    if (is_forgotten && entry.unconfigured_report) {
      UseReport(entry, TargetRecord(*entry.unconfigured_report->target),
                "entry-changed", now);
      changed = true;
      ++it;
    } else if (is_forgotten) {
      RemoveFromIndexes(entry);
      it = targets_.erase(it);
      changed = true;
    } else {
      ++it;
    }
  }
  return (changed && ReviewEntries(now)) || changed;
}

void TargetRegistry::AssignServiceId(const std::string& service) {
  const auto next = ServiceId{static_cast<uint32_t>(services_.size() + 1)};
  services_.try_emplace(service, next);
}

ServiceId TargetRegistry::FindService(const std::string& service) const {
  const auto it = services_.find(service);
  return it == services_.end() ? ServiceId::kNone : it->second;
}

}  // namespace marjoramhall::discovery
