// Keeps the state of all targets, the current configuration and the evacuated
// failure domains, from the changes of the store. Does no I/O and gets the time
// as an argument.
#ifndef MARJORAMHALL_DISCOVERY_TARGET_REGISTRY_H_
#define MARJORAMHALL_DISCOVERY_TARGET_REGISTRY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "src/base/decision.h"
#include "src/base/store_position.h"
#include "src/base/time.h"
#include "src/discovery/evacuations.h"
#include "src/discovery/records.h"
#include "src/discovery/report_order.h"
#include "src/discovery/snapshot_codec.h"
#include "src/forward/view.h"

namespace marjoramhall::discovery {

// Outcome in the log of an entry that is left out. Any program that may write
// to the store can cause such lines.
inline constexpr std::string_view kEntryIgnored = "entry-ignored";
// Reason in the log of such an entry.
inline constexpr std::string_view kServiceNotConfigured =
    "service is not in the configuration";

struct RegistryOptions {
  std::string failure_domain;  // of this VM
  // A target whose entry disappeared without a drain still gets new flows for
  // this time, if it answers. Entries that lapse during an outage of the store
  // return within two seconds of its end.
  Duration lapse_grace_period = std::chrono::seconds(2);
  // How long a target is kept that the restored store lacks. It writes itself
  // again within two seconds of the store's return; the rest allows for the
  // time until this VM learns of it.
  Duration restore_grace_period = std::chrono::seconds(4);
  // When to believe an entry that its target may not have written itself: one
  // of the restored store's copy that had lapsed before the return, or one from
  // an earlier start. An entry lapses after three heartbeats of its target, two
  // to three seconds, and the target corrects it within one; the rest allows
  // for the time until this VM learns of it. An entry that is still there has
  // been renewed.
  Duration doubtful_entry_lifetime = std::chrono::seconds(6);
  // How long the token of a retired target stays known: the longest lifetime of
  // a flow.
  Duration retired_token_lifetime = std::chrono::seconds(60);
  // How long an evacuation stays in force that the store lost when it was
  // restored from an older copy: time for operators to notice and request it
  // again.
  Duration lost_evacuation_lifetime = std::chrono::seconds(60);
};

class TargetRegistry {
 public:
  TargetRegistry(RegistryOptions options, DecisionHook log_decision);

  // Applies all changes up to a position of the store. Ignores a change that is
  // older than the known one of its key. Returns whether the view changed.
  //
  // An entry whose service the configuration does not name may be another
  // writer's. It affects no other entry, and comes into force when a later
  // configuration names its service.
  bool ApplyChanges(const std::vector<StoreChange>& changes,
                    StorePosition position,
                    TimePoint now);

  // Applies a complete listing. Keys that are not in it are treated as removed,
  // unless they changed after it. A listing of an earlier revision than the
  // known one adds no targets, and one of an earlier epoch is ignored. Returns
  // whether the view changed.
  //
  // The first listing of a later epoch shows a store that was restored from an
  // older copy. What this VM knows may be newer than the copy, although the
  // store has lost it: a target keeps its later report, and one that the copy
  // lacks is kept until restore_grace_period has passed. A target whose entry
  // had lapsed, and that the copy has again, is used again after
  // doubtful_entry_lifetime.
  bool ApplyListing(const Listing& listing, TimePoint now);

  // The configuration, the evacuations and all active and draining targets that
  // the store has, for other VMs. The revision is 0 before the first listing.
  Listing Snapshot() const;

  // Retires targets whose grace period has ended, uses those again that renewed
  // the entry of a restored store, and removes old retired ones.
  // Returns whether the view changed.
  bool Tick(TimePoint now);

  forward::ViewPtr MakeView() const;

  uint64_t config_version() const { return config_.version; }
  // Position of the store up to which all changes are applied.
  StorePosition position() const { return position_; }
  // Targets of services that the configuration names. Cost: linear.
  size_t target_count() const;
  size_t evacuated_domain_count() const { return evacuations_.size(); }

 private:
  // A report that seems to be from an earlier start of a target than the one
  // that is known. It is used if the store still has it at `use_at`.
  struct EarlierStart {
    StoreChange change;             // has a target
    StorePosition record_position;  // of the report that is known
    TimePoint use_at;
  };

  struct Entry {
    TargetRecord record;  // the latest report of the target
    forward::TargetState state = forward::TargetState::kActive;
    StorePosition position;  // of the last change
    bool gone = false;       // while retired: it has left or ended
    // While retired: only because its entry was missing for too long.
    bool stayed_away = false;
    TimePoint warm_up_until;
    TimePoint state_changed_at;
    // While the store has no entry of the target, although it has not drained:
    // when to retire it.
    std::optional<TimePoint> retire_at;
    // While only the copy of a restored store has the target's entry, which had
    // lapsed: when to use the target again. Never set together with retire_at.
    std::optional<TimePoint> reactivate_at;
    // While the store's entry has a report from an earlier start than `record`.
    std::optional<EarlierStart> earlier_start;
    // The store's entry while the configuration names the service of `record`
    // and not that of this report.
    std::optional<StoreChange> unconfigured_report;
    // These are set by ReviewEntries().
    bool is_configured = false;  // the configuration names the service
    bool is_ignored = false;     // logged as an entry that is left out
    bool is_displaced = false;   // a later target uses the address
  };

  // What a listing of a restored store changed, for the log.
  struct RestoreCounts {
    size_t kept = 0;      // reports that are not older than those of the copy
    size_t replaced = 0;  // by a later report
    size_t missing = 0;   // in the copy
    size_t added = 0;     // unknown before
    uint64_t config_version = 0;  // in the copy
  };

  bool Apply(const StoreChange& change, TimePoint now);
  bool ApplyTarget(const StoreChange& change, TimePoint now);
  // Applies a report to the known entry of its key.
  bool ApplyReport(Entry& entry,
                   const StoreChange& change,
                   std::string_view reason,
                   TimePoint now);
  // Applies a report that is earlier than the known one, which is kept. Returns
  // whether the view changed.
  bool ApplyEarlierReport(Entry& entry,
                          const StoreChange& change,
                          ReportOrder order,
                          TimePoint now);
  // Keeps a report until the configuration names its service. Returns whether
  // the view changed.
  bool SetAside(Entry& entry, const StoreChange& change, TimePoint now);
  // Makes a report the known one of its target.
  void UseReport(Entry& entry,
                 TargetRecord report,
                 std::string_view reason,
                 TimePoint now);
  bool ApplyConfig(const StoreChange& change);
  // Applies an entry of the first listing of an epoch.
  bool ApplyRestored(const StoreChange& change,
                     TimePoint now,
                     RestoreCounts* counts);
  // Keeps a target that the restored store lacks until it writes itself again.
  void AwaitNewEntry(Entry& entry, TimePoint now);
  // Handles the targets that a listing lacks. `counts` is set if the store has
  // been restored.
  bool RemoveMissing(const Listing& listing,
                     TimePoint now,
                     RestoreCounts* counts);
  // Logs an entry that is left out, once for each reason.
  void LogIgnored(const StoreChange& change, std::string_view reason);
  void LogEvacuation(std::string_view outcome,
                     const std::string& failure_domain,
                     StorePosition position) const;
  void LogRestore(StorePosition before, const RestoreCounts& counts) const;
  void LogState(const Entry& entry,
                std::string_view outcome,
                std::string_view reason) const;
  void SetState(Entry& entry,
                forward::TargetState state,
                std::string_view reason,
                TimePoint now);
  // `gone`: the target has left or ended.
  void Retire(Entry& entry, bool gone, std::string_view reason, TimePoint now);
  // Keep by_address_ and by_token_ consistent with an entry's record.
  void AddToIndexes(Entry& entry);
  void RemoveFromIndexes(Entry& entry);
  // Whether the configuration names the service of a report. Everything in
  // which one entry affects another depends on this, so the answers are
  // reviewed whenever entries or the configuration change.
  bool IsConfigured(const TargetRecord& record) const;
  // Whether both reports may be of one target, so that their order counts.
  bool IsComparable(const TargetRecord& a, const TargetRecord& b) const;
  // Updates is_configured and is_displaced of all entries, and applies reports
  // whose service the configuration names by now. Returns whether the view
  // changed.
  bool ReviewEntries(TimePoint now);
  // The same for the configuration alone.
  bool ReviewServices(TimePoint now);
  // The same for entries that share an address.
  bool ReviewAddresses();
  // Whether another target uses the address of an entry, because it started
  // later. An address belongs to one target at a time.
  bool IsDisplaced(const Entry& entry) const;
  // Logs if another target that is not retired has the same token.
  void LogSharedToken(const Entry& entry) const;
  // The first of several targets with the same token gets it. Targets of
  // services that the configuration names come first, then those that are not
  // retired, then those with an earlier start time, and last those without one,
  // which are another writer's. The order is the same on all VMs, and a new
  // target never takes over the flows of another. Entries with the same
  // instance number and address name the same target, so the latest report
  // counts.
  std::vector<const Entry*> InOrderOfPrecedence() const;
  // Gives a service of the configuration an id at the first call.
  void AssignServiceId(const std::string& service);
  // Returns kNone for a service that no configuration has named.
  ServiceId FindService(const std::string& service) const;

  const RegistryOptions options_;
  const DecisionHook log_decision_;
  std::map<std::string, Entry> targets_;  // by store key
  // Index all entries of targets_. Without them the cost of a listing would be
  // quadratic in its length.
  std::map<Endpoint, std::vector<Entry*>> by_address_;
  std::map<forward::TargetToken, std::vector<Entry*>> by_token_;
  std::map<std::string, std::string> ignored_;  // reasons by store key
  std::unordered_map<std::string, ServiceId> services_;
  Evacuations evacuations_;
  ConfigRecord config_;                        // its version never decreases
  std::set<std::string> configured_services_;  // named by config_
  StorePosition config_position_;
  StorePosition position_;  // never decreases
};

// The token of a target. It is the same on all VMs and never kNone. Instance
// numbers are longer than tokens, so that in rare cases two targets share one.
forward::TargetToken TokenOf(uint64_t instance);

}  // namespace marjoramhall::discovery

#endif  // MARJORAMHALL_DISCOVERY_TARGET_REGISTRY_H_
