// Keeps up with the platform's store: lists all entries once, then watches for
// changes after the revision of the listing. Lists again when the store no
// longer has that revision's history. This class decides when to call, how long
// to wait and when to start over. Hooks make the calls.
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
  kRefused,      // the store returned an error status
  kUnreadable,   // the response could not be decoded
  kNoAnswer,     // no connection, or no complete response in time
};
inline constexpr EnumName<ReadStatus> kReadStatusNames[] = {
    {ReadStatus::kOk, "ok"},
    {ReadStatus::kHistoryGone, "history-gone"},
    {ReadStatus::kRefused, "refused"},
    {ReadStatus::kUnreadable, "unreadable"},
    {ReadStatus::kNoAnswer, "no-answer"},
};
constexpr std::span<const EnumName<ReadStatus>> NamesOf(ReadStatus) {
  return kReadStatusNames;
}

struct StoreRead {
  ReadStatus status = ReadStatus::kNoAnswer;
  std::vector<StoreChange> changes;
  uint64_t revision = 0;  // of the store; the next watch starts here
  // Of a listing: more pages follow, after this key.
  bool has_more = false;
  std::string last_key;
};

// Blocking calls. Each returns within its time limit.
struct StoreReader {
  std::function<StoreRead(const std::string& after_key, Duration timeout)> list;
  // Waits up to `wait` for changes after a revision.
  std::function<StoreRead(uint64_t after, Duration wait)> watch;
  // Returns what another VM knows if it is newer than the revision. Called
  // while the store is unreachable. May be unset.
  std::function<std::optional<Listing>(uint64_t newer_than)> query_peers;
};

struct FollowerOptions {
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
  // Longest time that a watch waits for changes. A connection that stops
  // responding is detected a little later.
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
  uint64_t seed = 1;  // of the random delays
};

class StoreFollower {
 public:
  struct Hooks {
    // A complete listing, from the store or from another VM.
    std::function<void(Listing)> on_listing;
    // Later changes, in order, up to a revision of the store.
    std::function<void(std::vector<StoreChange>, uint64_t revision)> on_changes;
    // A response of the store confirmed that all known entries were current at
    // this time.
    std::function<void(TimePoint at)> on_confirmed;
    // The store became reachable or unreachable, as the status of a call
    // showed.
    std::function<void(bool reachable, ReadStatus status)> on_reachable;
    std::function<void(Duration)> sleep;
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
    std::vector<StoreChange> items;
    std::string after;  // key of the last item
    uint64_t first_revision = 0;
  };

  ReadStatus List();
  ReadStatus Watch();
  void QueryPeers();
  void OnStatus(ReadStatus status);
  Duration NextRetryDelay();
  uint64_t NextRandom();

  const FollowerOptions options_;
  const StoreReader reader_;
  const Hooks hooks_;
  PartialListing partial_;
  uint64_t watch_revision_ = 0;   // 0 while a listing is needed
  uint64_t newest_revision_ = 0;  // passed to the hooks; 0 before the first
  TimePoint last_peer_query_;
  Duration retry_delay_{0};  // 0 after a successful call
  bool reachable_ = false;
  bool has_listed_ = false;  // List() has been called
  uint64_t random_state_;    // xorshift generator, never 0
};

}  // namespace marjoramhall::discovery

#endif  // MARJORAMHALL_DISCOVERY_STORE_FOLLOWER_H_
