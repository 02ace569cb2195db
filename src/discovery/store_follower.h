// Keeps up with the platform's store: lists all entries once, then watches for
// changes after the revision of the listing. The first listing may be some
// seconds old, which is cheaper; it is used when a watch has brought it up to
// date. Lists again when the store no longer has that revision's history, or
// has been restored from an older copy: a watch would miss what the copy lacks
// and what was written before it. Also lists again when the history was too
// large for a response: the next watch would return even more, while the size
// of a listing is limited. In a fleet with relays, polls a relay for changes in
// place of the store, and returns to the store as soon as the relay does not
// answer or its view is too old. This class decides whom and when to call, how
// long to wait and when to start over. Hooks make the calls.
#ifndef MARJORAMHALL_DISCOVERY_STORE_FOLLOWER_H_
#define MARJORAMHALL_DISCOVERY_STORE_FOLLOWER_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "src/base/enum_names.h"
#include "src/base/time.h"
#include "src/discovery/records.h"
#include "src/discovery/snapshot_codec.h"

namespace marjoramhall::discovery {

enum class ReadStatus {
  kOk,
  kHistoryGone,  // the watched revision is no longer available
  kRestored,     // the store has begun a new epoch since the watched revision
  kOutdated,     // the response is of an epoch that the store has left
  kRefused,      // the store returned an error status
  kUnreadable,   // the response could not be decoded
  kNoAnswer,     // no connection, or no response in time
  kIncomplete,   // the response began, but was too large or took too long
};
inline constexpr EnumName<ReadStatus> kReadStatusNames[] = {
    {ReadStatus::kOk, "ok"},
    {ReadStatus::kHistoryGone, "history-gone"},
    {ReadStatus::kRestored, "restored"},
    {ReadStatus::kOutdated, "outdated"},
    {ReadStatus::kRefused, "refused"},
    {ReadStatus::kUnreadable, "unreadable"},
    {ReadStatus::kNoAnswer, "no-answer"},
    {ReadStatus::kIncomplete, "incomplete"},
};
constexpr std::span<const EnumName<ReadStatus>> NamesOf(ReadStatus) {
  return kReadStatusNames;
}

struct StoreRead {
  ReadStatus status = ReadStatus::kNoAnswer;
  std::vector<StoreChange> changes;
  StorePosition position;  // of the store; the next watch starts here
  // Of a listing: more pages follow, after this key.
  bool has_more = false;
  std::string last_key;
};

// Blocking calls. Each returns within its time limit.
struct StoreReader {
  // `may_be_old`: the page may show a state of some seconds ago.
  std::function<StoreRead(const std::string& after_key,
                          bool may_be_old,
                          Duration timeout)>
      list;
  // Waits up to `wait` for changes after a revision.
  std::function<StoreRead(uint64_t after, Duration wait)> watch;
  // Returns what another VM knows if it is newer than the position. Called
  // while the store is unreachable. May be unset.
  std::function<std::optional<Listing>(StorePosition newer_than)> query_peers;
  // Returns the number of relays that poll_relay can choose from. May be unset.
  std::function<size_t()> relay_count;
  // Returns the changes after a position, or nothing if the relay did not
  // answer or refused. `choice` modulo the number of relays selects one.
  std::function<std::optional<ChangeSet>(size_t choice, StorePosition after)>
      poll_relay;
};

// What an update of the view came with.
enum class UpdateSource {
  kListing,   // a listing of the store
  kWatch,     // a watch of the store
  kRelay,     // a poll of a relay
  kSnapshot,  // a snapshot of another VM
};
inline constexpr EnumName<UpdateSource> kUpdateSourceNames[] = {
    {UpdateSource::kListing, "listing"},
    {UpdateSource::kWatch, "watch"},
    {UpdateSource::kRelay, "relay"},
    {UpdateSource::kSnapshot, "snapshot"},
};
constexpr std::span<const EnumName<UpdateSource>> NamesOf(UpdateSource) {
  return kUpdateSourceNames;
}

// Where the view comes from.
enum class ViewSource { kStore, kRelay };
inline constexpr EnumName<ViewSource> kViewSourceNames[] = {
    {ViewSource::kStore, "store"},
    {ViewSource::kRelay, "relay"},
};
constexpr std::span<const EnumName<ViewSource>> NamesOf(ViewSource) {
  return kViewSourceNames;
}

struct FollowerOptions {
  // Whether the first listing may show a state of some seconds ago. It is cheap
  // then, and not passed on before a watch has brought it up to date.
  bool first_listing_may_be_old = false;
  // Timeout of a listing call. The store usually responds in 4 ms, and up to 70
  // times later when it is slow.
  Duration list_timeout = std::chrono::milliseconds(1000);
  // Timeout of most listing calls before the first listing. The VM cannot serve
  // until then, and other VMs may respond sooner. A store also does not respond
  // to a call that it accepted during an outage, even after the outage. Longer
  // than a slow store takes.
  Duration initial_list_timeout = std::chrono::milliseconds(300);
  // Before the first listing, one in this many calls, at random, gets
  // list_timeout in case the store is even slower. Calls of VMs that start
  // together then differ, so that some come soon after an outage ends.
  uint32_t long_timeout_interval = 3;
  // Longest time that a watch waits for changes, together with the delay before
  // it. A connection that stops responding is detected a little later.
  Duration watch_wait = std::chrono::seconds(2);
  // The same for a watch after a failed call. The short wait shows at once
  // whether the store responds, and returns the changes missed meanwhile.
  Duration probe_wait = std::chrono::milliseconds(1);
  // Delay after a failed call. It doubles up to the maximum, and a random part
  // of up to one half is subtracted.
  Duration min_retry_delay = std::chrono::milliseconds(50);
  Duration max_retry_delay = std::chrono::milliseconds(800);
  // Maximum before the first listing, while the VM cannot serve.
  Duration max_initial_retry_delay = std::chrono::milliseconds(200);
  // Delay between a watch that returned changes and the next one, so that
  // changes in quick succession share a call.
  Duration batching_delay = std::chrono::milliseconds(20);
  // Minimum interval between queries of other VMs while the store is
  // unreachable. They start with the second failed call, since a call on a new
  // connection may succeed. Before the first listing they follow each failed
  // call.
  Duration peer_query_interval = std::chrono::seconds(2);
  // Time between two polls of a relay.
  Duration relay_poll_interval = std::chrono::milliseconds(500);
  // A relay's view that the store confirmed longer ago is not accepted.
  Duration max_relay_age = std::chrono::seconds(1);
  // Delay until the next poll after no relay gave an acceptable answer. It
  // doubles up to the maximum, and a random part of up to one half is
  // subtracted.
  Duration min_relay_retry_delay = std::chrono::seconds(1);
  Duration max_relay_retry_delay = std::chrono::seconds(10);
  // The same as watch_wait and batching_delay, for a relay.
  Duration relay_watch_wait = std::chrono::milliseconds(500);
  Duration relay_batching_delay = std::chrono::milliseconds(20);
  // A relay that refuses within this time leaves time for another one before
  // the store is called.
  Duration quick_refusal = std::chrono::milliseconds(50);
  // A watch that took longer than its wait and this may have returned before
  // the VM was suspended. Its response then confirms the view only as of the
  // begin of the call.
  Duration max_response_time = std::chrono::milliseconds(500);
  uint64_t seed = 1;  // of the random delays
};

class StoreFollower {
 public:
  struct Hooks {
    // A complete listing, from the store or from another VM.
    std::function<void(Listing, UpdateSource)> on_listing;
    // Later changes, in order, up to a position of the store in the same epoch.
    std::function<
        void(std::vector<StoreChange>, StorePosition position, UpdateSource)>
        on_changes;
    // A response of the store, directly or through a relay, confirmed that all
    // known entries were current at this time. Called after the hooks that
    // pass these entries on.
    std::function<void(TimePoint at)> on_confirmed;
    // The store became reachable or unreachable, as the status of a call
    // showed.
    std::function<void(bool reachable, ReadStatus status)> on_reachable;
    // A watch from this position is not possible any more, for the reason that
    // the status gives. A listing follows.
    std::function<void(StorePosition from, ReadStatus status)> on_relisting;
    // The view comes from the store or from a relay from now on. `choice` is
    // that of poll_relay, `age` that of the relay's view if it answered.
    std::function<void(ViewSource, size_t choice, std::optional<Duration> age)>
        on_source;
    // What all VMs carry, as a relay counts it. May be unset.
    std::function<void(const FleetLoad&)> on_fleet_load;
    // Returns whether other VMs follow this one. May be unset.
    std::function<bool()> is_relay;
    std::function<void(Duration)> sleep;
    // A clock that also advances while the VM is suspended.
    Clock now;
    std::function<bool()> stopping;
  };

  StoreFollower(FollowerOptions options, StoreReader reader, Hooks hooks);

  // Blocks until `stopping` returns true.
  void Run();

  // Makes one call and handles its result. For tests.
  void Step();

 private:
  // The pages of a listing so far. After a failed call the listing resumes with
  // the next page. Hundreds of VMs that start together exceed the rate limit of
  // the store, and would never complete a listing that starts over each time.
  struct PartialListing {
    std::vector<StoreChange> items;  // of one epoch
    std::string after;               // key of the last item
    StorePosition position;          // lowest of the pages; unset before them
    TimePoint started_at;            // begin of the call for the first page
  };

  ReadStatus List();
  // Requests the next pages of the listing until it is complete.
  ReadStatus ListPages(bool may_be_old, Duration timeout);
  ReadStatus Watch();
  // Abandons the watched revision, so that a listing follows.
  void StartOver(ReadStatus status);
  // Passes the first listing on after a watch from its revision.
  void PublishOldListing();
  // Lists the current state after an old listing that no watch could update.
  void DiscardOldListing();
  void QueryPeers();
  void OnStatus(ReadStatus status);
  bool MayPollRelay() const;
  // Returns whether a relay's view was accepted.
  bool PollRelay();
  // Waits for the next poll if that is no later than if a relay had answered
  // when the view was confirmed. Returns whether it waited.
  bool AwaitNextPoll();
  // The poll began at `started_at`. Returns whether the view is new enough.
  bool AcceptRelay(ChangeSet set, TimePoint started_at);
  void OnRelayRefused(std::optional<Duration> age);
  void SetSource(ViewSource source, std::optional<Duration> age);
  void Confirm(TimePoint at);
  bool IsRelay() const { return hooks_.is_relay && hooks_.is_relay(); }
  // Doubles a delay within bounds and returns it with its random part
  // subtracted.
  Duration NextDelay(Duration* delay, Duration min, Duration max);
  uint64_t NextRandom();

  const FollowerOptions options_;
  const StoreReader reader_;
  const Hooks hooks_;
  PartialListing partial_;
  // A complete listing that may be old. While it is set, watched_ is its
  // position and newest_ is unset.
  std::optional<Listing> old_listing_;
  // No old listing has been discarded, and the store has not been restored.
  bool may_list_old_ = true;
  // The next watch starts here. The epoch is the latest that is known, and the
  // revision is 0 while a listing is needed.
  StorePosition watched_;
  StorePosition newest_;  // passed to the hooks; unset before the first
  TimePoint last_peer_query_;
  Duration retry_delay_{0};          // 0 after a successful call
  Duration batching_delay_{0};       // until the next call, after changes
  Duration last_batching_delay_{0};  // before the next watch
  bool reachable_ = false;
  bool has_listed_ = false;  // List() has been called
  TimePoint confirmed_at_;
  // The last call of the store succeeded and is recent. A watch may then wait.
  bool is_store_current_ = false;
  ViewSource source_ = ViewSource::kStore;
  size_t relay_choice_ = 0;
  size_t refusals_ = 0;  // of relays, since one was accepted
  Duration relay_retry_delay_{0};
  TimePoint next_relay_poll_at_;
  uint64_t random_state_;  // xorshift generator, never 0
};

}  // namespace marjoramhall::discovery

#endif  // MARJORAMHALL_DISCOVERY_STORE_FOLLOWER_H_
