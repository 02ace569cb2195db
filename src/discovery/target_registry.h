// Life of the targets and the configuration in force, as the changes of the
// store tell them. Pure: the time is an argument.
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
  // A target whose entry vanished without a drain is used this long, as long as
  // it answers. Entries that lapsed during an outage of the store are back two
  // seconds after its return.
  Duration lapse_grace = std::chrono::seconds(2);
  // How long the token of a gone target resolves: the longest life of a flow.
  Duration retention = std::chrono::seconds(60);
};

class TargetRegistry {
 public:
  TargetRegistry(RegistryOptions options, DecisionHook decide);

  // Takes in changes; older ones than already known for a key are ignored.
  // All changes up to `revision` are known afterwards. Returns whether the view
  // changed.
  bool ApplyChanges(const std::vector<StoreChange>& changes,
                    uint64_t revision,
                    TimePoint now);

  // Takes in a whole listing: keys that it lacks are treated as removed, unless
  // they changed later.
  bool ApplyListing(const Listing& listing, TimePoint now);

  // What is known, for other VMs. Revision 0 before the first listing.
  Listing Snapshot() const;

  // Ends lapses and forgets retired targets. Returns whether the view changed.
  bool Tick(TimePoint now);

  forward::ViewPtr MakeView() const;

  uint64_t config_version() const { return config_.version; }
  // Of the store, up to which all changes are known.
  uint64_t revision() const { return revision_; }
  size_t target_count() const { return targets_.size(); }

 private:
  struct Entry {
    TargetRecord record;
    forward::TargetState state = forward::TargetState::kActive;
    uint64_t revision = 0;
    TimePoint warm_at;
    TimePoint changed_at;  // when the state was last changed
  };

  bool Apply(const StoreChange& change, TimePoint now);
  bool ApplyTarget(const StoreChange& change, TimePoint now);
  bool ApplyConfig(const ConfigRecord& config);
  void SetState(Entry& entry,
                forward::TargetState state,
                std::string_view reason,
                TimePoint now);
  void Retire(Entry& entry, std::string_view reason, TimePoint now);
  // Keep the indexes below in step with an entry's record.
  void AddToIndexes(Entry& entry);
  void RemoveFromIndexes(Entry& entry);
  // Two incarnations never share an address: the earlier one is gone.
  void RetireFormerUsers(const Entry& user, TimePoint now);
  void LogSharedToken(const Entry& entry) const;
  // Of two targets with one token the first in this order has it: a target that
  // may have flows before a retired one, then the earlier born. All VMs agree,
  // and a target that joins takes no flows from one that has some.
  std::vector<const Entry*> InOrderOfPrecedence() const;
  ServiceId IdOf(const std::string& service);
  ServiceId FindService(const std::string& service) const;

  const RegistryOptions options_;
  const DecisionHook decide_;
  std::map<std::string, Entry> targets_;  // by store key
  // All entries of targets_, so that a listing of thousands takes no time that
  // grows with their square.
  std::map<Endpoint, std::vector<Entry*>> by_address_;
  std::map<forward::TargetToken, std::vector<Entry*>> by_token_;
  std::unordered_map<std::string, ServiceId> services_;
  ConfigRecord config_;
  uint64_t revision_ = 0;  // never falls
};

// The token of a target: equal on all VMs, never kNone. Instance numbers are
// longer than tokens, so two targets may share one, though hardly ever.
forward::TargetToken TokenOf(uint64_t instance);

}  // namespace marjoramhall::discovery

#endif  // MARJORAMHALL_DISCOVERY_TARGET_REGISTRY_H_
