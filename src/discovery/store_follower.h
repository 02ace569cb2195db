// Follows the platform's store: one listing, then watches from its revision on,
// and a new listing whenever the history has gone. Decides when to call, how
// long to wait and when to start over; the calls themselves are hooks.
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
  kRefused,      // the store answered that it does not serve this call now
  kUnreadable,   // the answer could not be understood
  kNoAnswer,     // no connection, or no whole answer in time
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
  uint64_t revision = 0;  // of the store; where the next watch begins
  bool has_more = false;  // of a listing
  std::string last_key;   // of a listing, for the next page
};

// Blocking calls. Each returns within its time limit.
struct StoreReader {
  std::function<StoreRead(const std::string& after_key, Duration limit)> list;
  std::function<StoreRead(uint64_t after, Duration wait)> watch;
  // What another VM knows, when that is newer than the revision; for times
  // when the store cannot be reached. May be unset.
  std::function<std::optional<Listing>(uint64_t newer_than)> query_peers;
};

struct FollowerOptions {
  // Time limit of a listing. The store answers in 4 ms; on a slow day up to 70
  // times later.
  Duration list_limit = std::chrono::milliseconds(1000);
  // The same while nothing is known, and so nothing can be served: other VMs
  // may answer sooner, and a call that a store which is out took in is not
  // answered after its return. Longer than the store takes on a slow day.
  Duration first_list_limit = std::chrono::milliseconds(300);
  // While nothing is known one of so many tries, at random, has the usual
  // limit, for a store that is slower still. VMs that start together differ in
  // it, so that some of them call soon after the store's return.
  uint32_t patient_try = 3;
  // A watch without events ends after this; a connection that went silent is
  // noticed a little later.
  Duration watch_wait = std::chrono::seconds(2);
  // The same for a watch after a failed call: it shows at once whether the
  // store answers, and what was missed.
  Duration probe_wait = std::chrono::milliseconds(1);
  // Pause after a failed call: doubled up to the largest, each with a random
  // part of up to a half.
  Duration first_pause = std::chrono::milliseconds(50);
  Duration largest_pause = std::chrono::milliseconds(800);
  // The same while nothing is known yet, and so nothing can be served.
  Duration largest_first_pause = std::chrono::milliseconds(200);
  // Pause between a watch that brought events and the next one, so that changes
  // in quick succession share a call.
  Duration batching_delay = std::chrono::milliseconds(20);
  // While the store cannot be reached, other VMs are asked this often once this
  // VM knows anything, from the second failed call on, since a call on a new
  // connection may do; and after each failed call before that.
  Duration peer_interval = std::chrono::seconds(2);
  uint64_t seed = 1;
};

class StoreFollower {
 public:
  struct Hooks {
    // A complete listing, of the store or of another VM.
    std::function<void(Listing)> on_listing;
    // Changes after it, in order, up to a revision of the store.
    std::function<void(std::vector<StoreChange>, uint64_t revision)> on_changes;
    // What was handed out is current as of the time, by an answer of the store.
    std::function<void(TimePoint at)> on_confirmed;
    // The store was lost or regained, with the status that showed it.
    std::function<void(bool reachable, ReadStatus status)> on_reachable;
    std::function<void(Duration)> sleep;
    Clock now;
    std::function<bool()> stopping;
  };

  StoreFollower(FollowerOptions options, StoreReader reader, Hooks hooks);

  // Follows until `stopping` says so. Blocks.
  void Run();

  // One call and what follows from it. For tests.
  void Step();

 private:
  // Pages of a listing so far. A listing goes on after a failed call where it
  // stopped: hundreds of VMs that start together exceed the store's rate, and
  // would never come to the end of theirs otherwise.
  struct Pages {
    std::vector<StoreChange> items;
    std::string after;  // key of the last item
    uint64_t first_revision = 0;
  };

  ReadStatus List();
  void AskPeers();
  ReadStatus Watch();
  void OnStatus(ReadStatus status);
  Duration NextPause();
  uint64_t NextRandom();

  const FollowerOptions options_;
  const StoreReader reader_;
  const Hooks hooks_;
  Pages pages_;            // of a listing under way
  uint64_t revision_ = 0;  // of the next watch; 0: a listing is due
  uint64_t known_ = 0;     // newest revision that was handed out
  TimePoint peers_asked_;
  Duration pause_{0};  // the last pause after a failure
  bool reachable_ = false;
  bool tried_ = false;  // to reach the store, at all
  uint64_t random_;
};

}  // namespace marjoramhall::discovery

#endif  // MARJORAMHALL_DISCOVERY_STORE_FOLLOWER_H_
