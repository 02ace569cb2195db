// Listings of a store that was restored from an older copy.
#include <string>

#include "src/discovery/target_registry.h"

namespace marjoramhall::discovery {

using forward::TargetState;

bool TargetRegistry::ApplyRestored(const StoreChange& change,
                                   TimePoint now,
                                   RestoreCounts* counts) {
  if (change.config) {
    counts->config_version = change.config->version;
  }
  const auto it = targets_.find(change.key);
  if (!change.target || it == targets_.end() ||
      it->second.unconfigured_report ||
      !IsComparable(*change.target, it->second.record)) {
    counts->added += change.target ? 1 : 0;
    return Apply(change, now);
  }
  Entry& entry = it->second;
  const ReportOrder order = OrderOf(*change.target, entry.record);
  // Of two reports in unknown order the one that drains is kept.
  if (order == ReportOrder::kLater ||
      (order == ReportOrder::kSame && change.target->draining &&
       !entry.record.draining)) {
    ++counts->replaced;
    return Apply(change, now);
  }
  ++counts->kept;
  entry.position = change.position;
  entry.retire_at.reset();
  entry.earlier_start.reset();
  if (entry.state == TargetState::kLapsed || entry.stayed_away) {
    // The copy may be all that is left of a target that ended since, so that an
    // entry in it does not show that the target lives. No change tells that a
    // target has renewed its entry.
    entry.reactivate_at = now + options_.doubtful_entry_lifetime;
  }
  return false;
}

void TargetRegistry::AwaitNewEntry(Entry& entry, TimePoint now) {
  entry.reactivate_at.reset();
  entry.earlier_start.reset();
  entry.unconfigured_report.reset();
  if (entry.state == TargetState::kRetired) {
    return;
  }
  if (entry.state == TargetState::kActive) {
    SetState(entry, TargetState::kLapsed, "store-restored", now);
  }
  entry.retire_at = now + options_.restore_grace_period;
}

void TargetRegistry::LogRestore(StorePosition before,
                                const RestoreCounts& counts) const {
  const std::string detail =
      "epoch " + std::to_string(position_.epoch) + " after " +
      std::to_string(before.epoch) + ", revision " +
      std::to_string(position_.revision) + " after " +
      std::to_string(before.revision) +
      "; targets: " + std::to_string(counts.kept) + " kept, " +
      std::to_string(counts.replaced) + " replaced, " +
      std::to_string(counts.added) + " new, " + std::to_string(counts.missing) +
      " missing; configuration " + std::to_string(config_.version) +
      " in force, " + std::to_string(counts.config_version) + " in the store";
  Decision decision;
  decision.kind = DecisionKind::kMembership;
  decision.revision = position_.revision;
  decision.store_epoch = position_.epoch;
  decision.outcome = "store-restored";
  decision.reason = "later-epoch";
  decision.detail = detail;
  log_decision_(decision);
}

}  // namespace marjoramhall::discovery
