// Which entries count: the configuration names the service of a target, and no
// later target uses its address. Both follow from the entries and the
// configuration alone, so that all VMs come to the same result, in whatever
// order they learn of them.
#include <algorithm>
#include <string>

#include "src/discovery/target_registry.h"

namespace marjoramhall::discovery {

using forward::TargetState;

bool TargetRegistry::IsConfigured(const TargetRecord& record) const {
  return configured_services_.contains(record.service);
}

bool TargetRegistry::IsComparable(const TargetRecord& a,
                                  const TargetRecord& b) const {
  return a.service == b.service || (IsConfigured(a) && IsConfigured(b));
}

size_t TargetRegistry::target_count() const {
  return static_cast<size_t>(
      std::count_if(targets_.begin(), targets_.end(),
                    [](const auto& it) { return it.second.is_configured; }));
}

bool TargetRegistry::ReviewEntries(TimePoint now) {
  const bool changed = ReviewServices(now);
  return ReviewAddresses() || changed;
}

bool TargetRegistry::ReviewServices(TimePoint now) {
  bool changed = false;
  for (auto& [key, entry] : targets_) {
    if (entry.unconfigured_report &&
        IsConfigured(*entry.unconfigured_report->target)) {
      const StoreChange report = *std::move(entry.unconfigured_report);
      entry.unconfigured_report.reset();
      changed |= ApplyReport(entry, report, "service-configured", now);
    }
    const bool is_configured = IsConfigured(entry.record);
    if (!is_configured && !entry.is_ignored && config_.version > 0 &&
        FindService(entry.record.service) == ServiceId::kNone) {
      StoreChange ignored;
      ignored.key = key;
      ignored.position = entry.position;
      LogIgnored(ignored, kServiceNotConfigured);
      entry.is_ignored = true;
    }
    changed |= is_configured != entry.is_configured;
    entry.is_configured = is_configured;
  }
  return changed;
}

bool TargetRegistry::ReviewAddresses() {
  bool changed = false;
  for (auto& [address, entries] : by_address_) {
    for (Entry* it : entries) {
      const bool is_displaced = entries.size() > 1 && IsDisplaced(*it);
      if (is_displaced != it->is_displaced) {
        it->is_displaced = is_displaced;
        changed = true;
        LogState(*it, NameOf(is_displaced ? TargetState::kRetired : it->state),
                 is_displaced ? "address-reused" : "address-left");
      }
    }
  }
  return changed;
}

bool TargetRegistry::IsDisplaced(const Entry& entry) const {
  const auto& entries = by_address_.at(entry.record.address);
  return std::any_of(entries.begin(), entries.end(), [&entry](const Entry* it) {
    if (it == &entry || !it->is_configured ||
        it->state == TargetState::kRetired) {
      return false;
    }
    const int64_t start = entry.record.start_time_ms;
    const int64_t other_start = it->record.start_time_ms;
    // Without start times the store's order has to do.
    return other_start > start ||
           (other_start == 0 && start == 0 && it->position > entry.position);
  });
}

}  // namespace marjoramhall::discovery
