// Keeps the state of all targets and the current configuration, from the
// changes of the store. Does no I/O and gets the time as an argument.
#ifndef MARJORAMHALL_DISCOVERY_TARGET_REGISTRY_H_
#define MARJORAMHALL_DISCOVERY_TARGET_REGISTRY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "src/base/decision.h"
#include "src/base/time.h"
#include "src/discovery/records.h"
#include "src/discovery/snapshot_codec.h"
#include "src/forward/view.h"

namespace marjoramhall::discovery {

struct RegistryOptions {
  std::string failure_domain;  // of this VM
  // A target whose entry disappeared without a drain still gets new flows for
  // this time, if it answers. Entries that lapse during an outage of the store
  // return within two seconds of its end.
  Duration lapse_grace_period = std::chrono::seconds(2);
  // How long the token of a retired target stays known: the longest lifetime of
  // a flow.
  Duration retired_token_lifetime = std::chrono::seconds(60);
};

class TargetRegistry {
 public:
  TargetRegistry(RegistryOptions options, DecisionHook log_decision);

  // Applies all changes up to a revision of the store. Ignores a change that is
  // older than the known one of its key. Returns whether the view changed.
  bool ApplyChanges(const std::vector<StoreChange>& changes,
                    uint64_t revision,
                    TimePoint now);

  // Applies a complete listing. Keys that are not in it are treated as removed,
  // unless they changed after it. A listing of an earlier revision than the
  // known one adds no targets. Returns whether the view changed.
  bool ApplyListing(const Listing& listing, TimePoint now);

  // The configuration and all active and draining targets, for other VMs. The
  // revision is 0 before the first listing.
  Listing Snapshot() const;

  // Retires targets whose grace period has ended and removes old retired ones.
  // Returns whether the view changed.
  bool Tick(TimePoint now);

  forward::ViewPtr MakeView() const;

  uint64_t config_version() const { return config_.version; }
  // Revision of the store up to which all changes are applied.
  uint64_t revision() const { return revision_; }
  size_t target_count() const { return targets_.size(); }

 private:
  struct Entry {
    TargetRecord record;
    forward::TargetState state = forward::TargetState::kActive;
    uint64_t revision = 0;
    bool gone = false;  // while retired: it has left or ended
    TimePoint warm_up_until;
    TimePoint state_changed_at;
  };

  bool Apply(const StoreChange& change, TimePoint now);
  bool ApplyTarget(const StoreChange& change, TimePoint now);
  bool ApplyConfig(const ConfigRecord& config);
  void SetState(Entry& entry,
                forward::TargetState state,
                std::string_view reason,
                TimePoint now);
  // `gone`: the target has left or ended.
  void Retire(Entry& entry, bool gone, std::string_view reason, TimePoint now);
  // Keep by_address_ and by_token_ consistent with an entry's record.
  void AddToIndexes(Entry& entry);
  void RemoveFromIndexes(Entry& entry);
  // Retires other targets at the address of a target, unless they started
  // later. An address belongs to one target at a time.
  void RetireFormerUsers(const Entry& user, TimePoint now);
  // Logs if another target that is not retired has the same token.
  void LogSharedToken(const Entry& entry) const;
  // The first of several targets with the same token gets it. Targets that are
  // not retired come first, then those with an earlier start time. The order is
  // the same on all VMs, and a new target never takes over the flows of
  // another.
  std::vector<const Entry*> InOrderOfPrecedence() const;
  // Returns the id of a service and assigns one at the first call.
  ServiceId GetOrAssignServiceId(const std::string& service);
  // Returns kNone for an unknown service.
  ServiceId FindService(const std::string& service) const;

  const RegistryOptions options_;
  const DecisionHook log_decision_;
  std::map<std::string, Entry> targets_;  // by store key
  // Index all entries of targets_. Without them the cost of a listing would be
  // quadratic in its length.
  std::map<Endpoint, std::vector<Entry*>> by_address_;
  std::map<forward::TargetToken, std::vector<Entry*>> by_token_;
  std::unordered_map<std::string, ServiceId> services_;
  ConfigRecord config_;
  uint64_t revision_ = 0;  // never decreases
};

// The token of a target. It is the same on all VMs and never kNone. Instance
// numbers are longer than tokens, so that in rare cases two targets share one.
forward::TargetToken TokenOf(uint64_t instance);

}  // namespace marjoramhall::discovery

#endif  // MARJORAMHALL_DISCOVERY_TARGET_REGISTRY_H_
