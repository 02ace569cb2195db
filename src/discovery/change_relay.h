// Passes the changes of the store on to other VMs, so that the number of store
// calls does not grow with the number of VMs. Every VM can be a relay; the
// seeds are asked (docs/platform.md, section 4). Does no I/O and gets the time
// as an argument.
#ifndef MARJORAMHALL_DISCOVERY_CHANGE_RELAY_H_
#define MARJORAMHALL_DISCOVERY_CHANGE_RELAY_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <vector>

#include "src/base/enum_names.h"
#include "src/base/time.h"
#include "src/discovery/records.h"
#include "src/discovery/snapshot_codec.h"

namespace marjoramhall::discovery {

// Times of relays and their followers. A follower's view lags behind the store
// by `max_age` when a relay fails, and by the poll interval, the time limit of
// a poll and a call of the store until it has turned to the store. The sum must
// stay below the time within which a change must take effect.
struct RelayTiming {
  Duration poll_interval;   // of a follower
  Duration max_age;         // of a relay's view
  Duration watch_wait;      // of a relay at the store
  Duration batching_delay;  // of a relay after changes
};

// `bound`: the time within which a change must take effect.
constexpr RelayTiming RelayTimingFor(Duration bound) {
  return {bound / 6, bound / 3, bound / 6, bound / 12};
}

struct ChangeRelayOptions {
  // A relay whose view the store has not confirmed for this time refuses, so
  // that the VM that asks turns to another relay or to the store.
  Duration max_age = std::chrono::seconds(1);
  // With fewer other VMs than this, each of them watches the store itself: the
  // calls saved would not be worth a view that depends on another VM.
  size_t min_peers = 12;
  // Changes that are kept for VMs that lag behind. A VM that lags further gets
  // all entries.
  size_t max_history = 1024;
  // The same while other VMs depend on this one: twice the targets of the
  // largest fleet, which may all join or leave between two polls. Sets of all
  // entries would grow with the fleet twice, in number and in size.
  size_t max_polled_history = 8192;
  // Memory of these changes, since one entry may be a megabyte long: a tenth of
  // that of the smallest VM.
  size_t max_history_bytes = size_t{6} << 20;
  // Time since the last poll after which no VM depends on this relay.
  Duration idle_after = std::chrono::seconds(3);
};

enum class RelayRefusal {
  kNone,
  kStopping,     // this VM is about to exit
  kNoView,       // nothing is known yet
  kFewPeers,     // the fleet is too small for relays
  kUnconfirmed,  // the store has not confirmed the view for too long
  kOlderEpoch,   // the VM that asks knows a later epoch of the store
};
inline constexpr EnumName<RelayRefusal> kRelayRefusalNames[] = {
    {RelayRefusal::kNone, "none"},
    {RelayRefusal::kStopping, "stopping"},
    {RelayRefusal::kNoView, "no-view"},
    {RelayRefusal::kFewPeers, "few-peers"},
    {RelayRefusal::kUnconfirmed, "unconfirmed"},
    {RelayRefusal::kOlderEpoch, "older-epoch"},
};
constexpr std::span<const EnumName<RelayRefusal>> NamesOf(RelayRefusal) {
  return kRelayRefusalNames;
}

class ChangeRelay {
 public:
  // What the relay's VM knows when it is polled.
  struct State {
    bool stopping = false;
    bool has_view = false;
    TimePoint confirmed_at;  // when the store last confirmed the view
    // Of the VMs that announced themselves recently, with the relay.
    FleetLoad fleet;

    size_t PeerCount() const {
      return fleet.vm_count == 0 ? 0 : fleet.vm_count - 1;
    }
  };
  // `refusal` is kNone if and only if `set` has a value.
  struct Answer {
    RelayRefusal refusal = RelayRefusal::kNone;
    std::optional<ChangeSet> set;
  };

  // `snapshot` returns all entries at the position of the last change.
  ChangeRelay(ChangeRelayOptions options, std::function<Listing()> snapshot);

  // All times are of a clock that also advances while the VM is suspended: a
  // view must not look fresh because its VM did not run.

  // All entries were replaced by those at a position.
  void OnListing(StorePosition position);
  void OnChanges(const std::vector<StoreChange>& changes,
                 StorePosition position,
                 TimePoint now);

  // Returns what a VM with all changes up to `after` lacks.
  // Cost: linear in the number of changes kept, or of entries.
  Answer Poll(StorePosition after, const State& state, TimePoint now);

  // The two parts of Poll(), for callers that share the second among answers.
  // The first returns a set without changes.
  Answer Accept(StorePosition after, const State& state, TimePoint now);
  // Adds the changes to a set that Accept() has returned for this position.
  void AddChanges(StorePosition after, TimePoint now, ChangeSet* set) const;

  // Whether other VMs depend on this one. The relay then confirms its view with
  // the store more often.
  bool IsPolled(TimePoint now) const;

  // All changes up to this position have been passed in.
  StorePosition position() const { return position_; }
  const ChangeRelayOptions& options() const { return options_; }

 private:
  struct HistoryEntry {
    StoreChange change;
    TimePoint received_at;
    size_t bytes = 0;  // of memory
  };

  void AddToHistory(const StoreChange& change, TimePoint now);
  // Removes configurations that a later one replaces. No follower needs them.
  void RemoveReplacedConfigs(uint64_t version);

  const ChangeRelayOptions options_;
  const std::function<Listing()> snapshot_;
  // All changes after floor_ and up to position_, ordered by position and of
  // one epoch. Of the configurations only the newest.
  std::deque<HistoryEntry> history_;
  size_t history_bytes_ = 0;  // sum of HistoryEntry::bytes
  StorePosition floor_;
  StorePosition position_;                 // never decreases
  std::optional<TimePoint> last_poll_at_;  // by a VM of a fleet with relays
};

}  // namespace marjoramhall::discovery

#endif  // MARJORAMHALL_DISCOVERY_CHANGE_RELAY_H_
