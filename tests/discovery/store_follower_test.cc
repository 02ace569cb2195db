// Guards against a view that stays behind the store because of compacted
// history, changes between the pages of a listing, a store that is down, slow
// or busy, or a relay that is.
#include "src/discovery/store_follower.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>

namespace marjoramhall::discovery {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

StoreChange MakeChange(const std::string& key, uint64_t revision) {
  StoreChange change;
  change.key = key;
  change.revision = revision;
  return change;
}

StoreRead Ok(uint64_t revision, std::vector<StoreChange> changes = {}) {
  StoreRead read;
  read.status = ReadStatus::kOk;
  read.revision = revision;
  read.changes = std::move(changes);
  return read;
}

StoreRead Failed(ReadStatus status) {
  StoreRead read;
  read.status = status;
  return read;
}

class StoreFollowerTest : public testing::Test {
 protected:
  StoreFollowerTest() : follower_({}, Reader(), Hooks()) {}

  StoreReader Reader() {
    StoreReader reader;
    reader.list = [this](const std::string& after, bool may_be_old,
                         Duration timeout) {
      listed_after_.push_back(after);
      listed_old_.push_back(may_be_old);
      timeouts_.push_back(timeout);
      return Next();
    };
    reader.watch = [this](uint64_t after, Duration wait) {
      watched_after_.push_back(after);
      waits_.push_back(wait);
      return Next();
    };
    reader.query_peers = [this](uint64_t newer_than) {
      peer_queries_.push_back(newer_than);
      return peer_listing_;
    };
    reader.relay_count = [this] { return relay_count_; };
    reader.poll_relay = [this](size_t choice, uint64_t after) {
      polls_.emplace_back(choice % relay_count_, after);
      now_ += poll_time_;
      return relay_answer_;
    };
    return reader;
  }

  StoreFollower::Hooks Hooks() {
    StoreFollower::Hooks hooks;
    hooks.on_listing = [this](Listing listing) {
      listings_.push_back(std::move(listing));
    };
    hooks.on_changes = [this](const std::vector<StoreChange>& changes,
                              uint64_t) { changes_ += changes.size(); };
    hooks.on_confirmed = [this](TimePoint at) { confirmed_at_ = at; };
    hooks.on_reachable = [this](bool reachable, ReadStatus) {
      reachable_.push_back(reachable);
    };
    hooks.on_source = [this](ViewSource source, size_t,
                             std::optional<Duration>) {
      sources_.push_back(source);
    };
    hooks.is_relay = [this] { return is_relay_; };
    hooks.sleep = [this](Duration span) {
      slept_.push_back(span);
      now_ += span;
    };
    hooks.now = [this] { return now_; };
    hooks.stopping = [] { return false; };
    return hooks;
  }

  StoreRead Next() {
    if (answers_.empty()) {
      return Failed(ReadStatus::kNoAnswer);
    }
    StoreRead read = std::move(answers_.front());
    answers_.pop_front();
    return read;
  }

  void Steps(int n) {
    for (int i = 0; i < n; ++i) {
      follower_.Step();
    }
  }

  TimePoint now_{seconds(1000)};
  std::deque<StoreRead> answers_;
  std::optional<Listing> peer_listing_;
  size_t relay_count_ = 0;
  std::optional<ChangeSet> relay_answer_;
  Duration poll_time_{0};
  bool is_relay_ = false;
  std::vector<std::pair<size_t, uint64_t>> polls_;  // relay and revision
  std::vector<ViewSource> sources_;
  std::vector<std::string> listed_after_;
  std::vector<bool> listed_old_;
  std::vector<Duration> timeouts_;
  std::vector<uint64_t> watched_after_;
  std::vector<Duration> waits_;  // of watches
  std::vector<uint64_t> peer_queries_;
  std::vector<Listing> listings_;
  size_t changes_ = 0;
  std::vector<bool> reachable_;
  TimePoint confirmed_at_;
  std::vector<Duration> slept_;
  StoreFollower follower_;
};

TEST_F(StoreFollowerTest, ResumesARefusedListing) {
  // 300 VMs that start together request more pages than the store returns in a
  // second. If they started over after each refusal, none would finish.
  StoreRead first = Ok(7, {MakeChange("a", 3)});
  first.has_more = true;
  first.last_key = std::string("a");
  answers_ = {first, Failed(ReadStatus::kRefused), Ok(9, {MakeChange("b", 8)}),
              Ok(9)};
  Steps(3);
  EXPECT_EQ(listed_after_, (std::vector<std::string>{"", "a", "a"}));
  ASSERT_EQ(listings_.size(), 1U);
  EXPECT_EQ(listings_[0].items.size(), 2U);
  EXPECT_EQ(watched_after_, std::vector<uint64_t>{7});
}

TEST_F(StoreFollowerTest, WatchesFromTheRevisionOfTheFirstPage) {
  // A change between two pages may be missing from both. Only the watch returns
  // it.
  StoreRead first = Ok(10, {MakeChange("a", 3)});
  first.has_more = true;
  first.last_key = std::string("a");
  answers_ = {first, Ok(14, {MakeChange("b", 4)}), Ok(14)};
  Steps(2);
  ASSERT_EQ(listed_after_.size(), 2U);
  EXPECT_TRUE(listed_after_[0].empty());
  EXPECT_EQ(listed_after_[1], "a");
  ASSERT_EQ(listings_.size(), 1U);
  EXPECT_EQ(listings_[0].items.size(), 2U);
  EXPECT_EQ(listings_[0].revision, 10U);
  EXPECT_EQ(watched_after_, (std::vector<uint64_t>{10}));
}

TEST_F(StoreFollowerTest, ARepeatedPageDoesNotEndAListing) {
  // A second copy of the response to the page before arrives late, on the
  // connection that is in use again. The targets of the next page must not be
  // taken for removed.
  StoreRead first = Ok(10, {MakeChange("a", 3)});
  first.has_more = true;
  first.last_key = std::string("a");
  answers_ = {first, first};
  Steps(1);
  EXPECT_TRUE(listings_.empty());
  StoreRead second = Ok(10, {MakeChange("b", 4)});
  second.last_key = std::string("b");
  answers_ = {first, second};
  Steps(1);
  EXPECT_EQ(listed_after_, (std::vector<std::string>{"", "a", "", "a"}));
  ASSERT_EQ(listings_.size(), 1U);
  EXPECT_EQ(listings_[0].items.size(), 2U);
}

TEST_F(StoreFollowerTest, ListsAgainWhenTheHistoryIsGone) {
  answers_ = {Ok(10), Failed(ReadStatus::kHistoryGone), Ok(50), Ok(50)};
  Steps(4);
  EXPECT_EQ(listings_.size(), 2U);
  EXPECT_EQ(watched_after_, (std::vector<uint64_t>{10, 50}));
}

TEST_F(StoreFollowerTest, ResumesTheWatchAfterAFailure) {
  answers_ = {Ok(10), Ok(12, {MakeChange("a", 12)}),
              Failed(ReadStatus::kRefused), Ok(13)};
  Steps(4);
  EXPECT_EQ(listings_.size(), 1U);
  EXPECT_EQ(changes_, 1U);
  EXPECT_EQ(watched_after_, (std::vector<uint64_t>{10, 12, 12}));
  EXPECT_EQ(reachable_, (std::vector<bool>{true, false, true}));
}

TEST_F(StoreFollowerTest, ConfirmsTheViewOnlyByResponsesOfTheStore) {
  answers_ = {Ok(10), Ok(10)};
  Steps(2);
  const TimePoint confirmed = now_;
  peer_listing_ = Listing{{}, 20};
  Steps(5);
  EXPECT_GT(now_, confirmed);
  EXPECT_EQ(confirmed_at_, confirmed);
}

TEST_F(StoreFollowerTest, DoublesTheRetryDelayUpToAMaximum) {
  answers_ = {Ok(10)};
  Steps(12);
  ASSERT_EQ(slept_.size(), 11U);
  const FollowerOptions options;
  for (const Duration it : slept_) {
    EXPECT_GE(it, options.min_retry_delay / 2);
    EXPECT_LE(it, options.max_retry_delay);
  }
  EXPECT_GE(slept_.back(), options.max_retry_delay / 2);
}

TEST_F(StoreFollowerTest, QueriesPeersAtOnceBeforeTheFirstListing) {
  peer_listing_ = Listing{{MakeChange("a", 3)}, 7};
  Steps(1);
  ASSERT_EQ(listings_.size(), 1U);
  EXPECT_EQ(listings_[0].revision, 7U);
  // Later changes are watched once the store responds.
  answers_ = {Ok(9, {MakeChange("b", 8)})};
  Steps(1);
  EXPECT_EQ(watched_after_, std::vector<uint64_t>{7});
  EXPECT_EQ(changes_, 1U);
}

TEST_F(StoreFollowerTest, ListsTheStoreWhenThePeerRevisionIsTooOld) {
  peer_listing_ = Listing{{MakeChange("a", 3)}, 7};
  Steps(1);
  answers_ = {Failed(ReadStatus::kHistoryGone), Ok(90)};
  Steps(2);
  EXPECT_EQ(watched_after_, std::vector<uint64_t>{7});
  ASSERT_EQ(listings_.size(), 2U);
  EXPECT_EQ(listings_[1].revision, 90U);
}

TEST_F(StoreFollowerTest, ReplacesARefusedListingByAPeerSnapshot) {
  // When hundreds of VMs start together, snapshots from those that are ready
  // replace most of the listing calls of the others.
  StoreRead first = Ok(7, {MakeChange("a", 3)});
  first.has_more = true;
  first.last_key = std::string("a");
  answers_ = {first, Failed(ReadStatus::kRefused), Ok(12)};
  peer_listing_ = Listing{{MakeChange("a", 3), MakeChange("b", 8)}, 9};
  Steps(2);
  EXPECT_EQ(listed_after_, (std::vector<std::string>{"", "a"}));
  ASSERT_EQ(listings_.size(), 1U);
  EXPECT_EQ(listings_[0].revision, 9U);
  EXPECT_EQ(watched_after_, std::vector<uint64_t>{9});
}

TEST_F(StoreFollowerTest, UsesShortWatchesUntilTheStoreResponds) {
  // A long watch on a dead connection or after an outage would leave the view
  // outdated for seconds.
  const FollowerOptions options;
  answers_ = {Ok(10),
              Ok(10),
              Failed(ReadStatus::kNoAnswer),
              Failed(ReadStatus::kNoAnswer),
              Ok(11),
              Ok(11)};
  Steps(6);
  EXPECT_EQ(waits_,
            (std::vector<Duration>{options.watch_wait, options.watch_wait,
                                   options.probe_wait, options.probe_wait,
                                   options.watch_wait}));
}

TEST_F(StoreFollowerTest, UsesAShortWatchAfterAPeerSnapshot) {
  peer_listing_ = Listing{{MakeChange("a", 3)}, 7};
  Steps(1);
  answers_ = {Ok(9), Ok(9)};
  Steps(2);
  const FollowerOptions options;
  EXPECT_EQ(waits_,
            (std::vector<Duration>{options.probe_wait, options.watch_wait}));
}

TEST_F(StoreFollowerTest, RetriesTheStoreBeforeItQueriesPeers) {
  // A peer that is down costs up to half a second, and a new connection to the
  // store may succeed.
  answers_ = {Ok(10), Failed(ReadStatus::kNoAnswer), Ok(10)};
  Steps(3);
  EXPECT_TRUE(peer_queries_.empty());
}

TEST_F(StoreFollowerTest, IgnoresAPeerSnapshotThatIsNotNewer) {
  answers_ = {Ok(10)};
  peer_listing_ = Listing{{}, 10};
  Steps(3);
  EXPECT_FALSE(peer_queries_.empty());
  EXPECT_EQ(listings_.size(), 1U);
}

TEST_F(StoreFollowerTest, LimitsPeerQueriesAfterTheFirstListing) {
  answers_ = {Ok(10)};
  Steps(1);
  const TimePoint before = now_;
  Steps(10);
  const auto intervals =
      (now_ - before) / FollowerOptions().peer_query_interval;
  EXPECT_LE(peer_queries_.size(), static_cast<size_t>(intervals) + 1);
}

TEST_F(StoreFollowerTest, UsesMostlyShortTimeoutsBeforeTheFirstListing) {
  // A VM that waits a second for each unanswered call starts to serve up to a
  // second later than the store. Some calls use the long timeout in case the
  // store is slow.
  Steps(60);
  const FollowerOptions options;
  EXPECT_EQ(timeouts_.front(), options.initial_list_timeout);
  const auto short_timeouts = std::count(timeouts_.begin(), timeouts_.end(),
                                         options.initial_list_timeout);
  const auto long_timeouts =
      std::count(timeouts_.begin(), timeouts_.end(), options.list_timeout);
  EXPECT_EQ(short_timeouts + long_timeouts, 60);
  EXPECT_GE(short_timeouts, 30);
  EXPECT_GE(long_timeouts, 10);
}

TEST_F(StoreFollowerTest, UsesTheLongTimeoutAfterTheFirstListing) {
  answers_ = {Ok(10), Failed(ReadStatus::kHistoryGone)};
  Steps(5);
  const FollowerOptions options;
  ASSERT_EQ(timeouts_.size(), 4U);
  for (size_t i = 1; i < timeouts_.size(); ++i) {
    EXPECT_EQ(timeouts_[i], options.list_timeout);
  }
}

ChangeSet MakeSet(uint64_t revision, std::vector<StoreChange> changes = {}) {
  ChangeSet set;
  set.revision = revision;
  set.changes = std::move(changes);
  set.age = milliseconds(100);
  return set;
}

TEST_F(StoreFollowerTest, PollsARelayInPlaceOfTheStore) {
  answers_ = {Ok(10)};
  relay_count_ = 3;
  relay_answer_ = MakeSet(12, {MakeChange("a", 12)});
  Steps(21);
  EXPECT_TRUE(watched_after_.empty());
  EXPECT_EQ(polls_.size(), 20U);
  EXPECT_EQ(polls_.front().second, 10U);
  EXPECT_EQ(polls_.back().second, 12U);
  EXPECT_EQ(changes_, 1U);
  EXPECT_EQ(sources_, std::vector<ViewSource>{ViewSource::kRelay});
  EXPECT_EQ(now_ - confirmed_at_,
            FollowerOptions().relay_poll_interval + milliseconds(100));
}

TEST_F(StoreFollowerTest, ReplacesAllEntriesByACompleteSet) {
  answers_ = {Ok(10)};
  relay_count_ = 1;
  relay_answer_ = MakeSet(50, {MakeChange("a", 12)});
  relay_answer_->complete = true;
  Steps(2);
  ASSERT_EQ(listings_.size(), 2U);
  EXPECT_EQ(listings_[1].revision, 50U);
}

TEST_F(StoreFollowerTest, TurnsToTheStoreAtOnceWhenTheRelayIsSilent) {
  answers_ = {Ok(10), Ok(11), Ok(11), Ok(11)};
  relay_count_ = 2;
  relay_answer_ = MakeSet(10);
  Steps(2);
  const size_t relay = polls_.back().first;
  relay_answer_.reset();
  poll_time_ = milliseconds(500);
  Steps(1);
  EXPECT_EQ(watched_after_, std::vector<uint64_t>{10});
  EXPECT_EQ(waits_, std::vector<Duration>{FollowerOptions().probe_wait});
  EXPECT_EQ(sources_,
            (std::vector<ViewSource>{ViewSource::kRelay, ViewSource::kStore}));
  // The next poll goes to another relay.
  Steps(1);
  EXPECT_NE(polls_.back().first, relay);
  // No relay answers: the store alone is watched for a while.
  const size_t polls = polls_.size();
  Steps(1);
  EXPECT_EQ(polls_.size(), polls);
  EXPECT_EQ(waits_.back(), FollowerOptions().watch_wait);
}

TEST_F(StoreFollowerTest, TriesAllRelaysThatRefuseQuickly) {
  answers_ = {Ok(10), Ok(11)};
  relay_count_ = 3;
  Steps(2);
  EXPECT_EQ(polls_.size(), 3U);
  EXPECT_EQ(watched_after_, std::vector<uint64_t>{10});
}

TEST_F(StoreFollowerTest, AwaitsRelaysThatStartTogetherWithThisVm) {
  // The relays refuse until enough VMs have announced themselves. Hundreds of
  // watches in the meantime would show nothing that is not known already.
  FollowerOptions options;
  options.relay_poll_interval = seconds(1);
  StoreFollower follower(options, Reader(), Hooks());
  answers_ = {Ok(10), Ok(10)};
  relay_count_ = 3;
  follower.Step();
  follower.Step();
  EXPECT_TRUE(watched_after_.empty());
  relay_answer_ = MakeSet(10);
  follower.Step();
  EXPECT_EQ(sources_, std::vector<ViewSource>{ViewSource::kRelay});
  EXPECT_TRUE(watched_after_.empty());
}

TEST_F(StoreFollowerTest, RejectsARelayWhoseViewIsTooOld) {
  // A relay that was cut off from the store, or suspended after it measured the
  // age of its view, must not make an old view look current.
  const FollowerOptions options;
  answers_ = {Ok(10), Ok(11)};
  relay_count_ = 1;
  relay_answer_ = MakeSet(10);
  relay_answer_->age = options.max_relay_age - milliseconds(200);
  poll_time_ = milliseconds(201);
  Steps(2);
  EXPECT_TRUE(sources_.empty());
  EXPECT_EQ(watched_after_, std::vector<uint64_t>{10});
  EXPECT_EQ(confirmed_at_, now_);
}

TEST_F(StoreFollowerTest, PollsRelaysAgainAfterADelay) {
  answers_.assign(1000, Ok(10));
  relay_count_ = 3;
  Steps(40);
  EXPECT_EQ(polls_.size(), 3U);  // the clock stands still
  const Duration max_delay = FollowerOptions().max_relay_retry_delay;
  for (int i = 0; i < 100; ++i) {
    now_ += seconds(1);
    Steps(1);
  }
  EXPECT_GE(polls_.size(), 3U * (seconds(100) / max_delay));
  EXPECT_LE(polls_.size(), 3U * (seconds(200) / max_delay + 8));
  relay_answer_ = MakeSet(10);
  now_ += max_delay;
  Steps(1);
  EXPECT_EQ(sources_, std::vector<ViewSource>{ViewSource::kRelay});
}

TEST_F(StoreFollowerTest, ARelayWatchesTheStoreItself) {
  // Two VMs that follow each other would not notice a change.
  answers_ = {Ok(10), Ok(10)};
  relay_count_ = 2;
  relay_answer_ = MakeSet(10);
  is_relay_ = true;
  Steps(2);
  EXPECT_TRUE(polls_.empty());
  EXPECT_EQ(waits_, std::vector<Duration>{FollowerOptions().relay_watch_wait});
}

TEST_F(StoreFollowerTest, ConfirmsFromTheBeginOfACallThatWasSuspended) {
  // The response may be as old as the suspension.
  StoreReader reader = Reader();
  reader.watch = [this](uint64_t, Duration wait) {
    now_ += wait + FollowerOptions().max_response_time + milliseconds(1);
    return Ok(10);
  };
  StoreFollower follower({}, reader, Hooks());
  answers_ = {Ok(10)};
  follower.Step();
  const TimePoint start = now_;
  follower.Step();
  EXPECT_EQ(confirmed_at_, start);
}

TEST_F(StoreFollowerTest, ConfirmsBeforeTheDelayBetweenWatches) {
  answers_ = {Ok(10), Ok(11, {MakeChange("a", 11)})};
  Steps(1);
  const TimePoint received = now_;
  Steps(1);
  EXPECT_GT(now_, received);
  EXPECT_EQ(confirmed_at_, received);
}

class OldListingTest : public StoreFollowerTest {
 protected:
  OldListingTest() : old_(Options(), Reader(), Hooks()) {}

  static FollowerOptions Options() {
    FollowerOptions options;
    options.first_listing_may_be_old = true;
    return options;
  }

  StoreFollower old_;
};

TEST_F(OldListingTest, BringsItUpToDateBeforeItIsUsed) {
  answers_ = {Ok(7, {MakeChange("a", 3)}), Ok(12, {MakeChange("a", 11)})};
  old_.Step();
  EXPECT_EQ(listed_old_, std::vector<bool>{true});
  EXPECT_EQ(watched_after_, std::vector<uint64_t>{7});
  EXPECT_EQ(waits_, std::vector<Duration>{Options().probe_wait});
  ASSERT_EQ(listings_.size(), 1U);
  EXPECT_EQ(listings_[0].revision, 7U);
  EXPECT_EQ(changes_, 1U);
}

TEST_F(OldListingTest, IsWatchedFromItsOldestPage) {
  // The second page is older than the first. A target of it that left in
  // between would otherwise stay in use.
  StoreRead first = Ok(10, {MakeChange("a", 3)});
  first.has_more = true;
  first.last_key = std::string("a");
  answers_ = {first, Ok(7, {MakeChange("b", 4)}), Ok(12)};
  old_.Step();
  EXPECT_EQ(watched_after_, std::vector<uint64_t>{7});
  ASSERT_EQ(listings_.size(), 1U);
  EXPECT_EQ(listings_[0].revision, 7U);
}

TEST_F(OldListingTest, IsNotUsedWhenTheHistoryIsGone) {
  // A target that left while the store dropped its history is in the old
  // listing, and no watch shows its removal.
  answers_ = {Ok(7, {MakeChange("a", 3)}), Failed(ReadStatus::kHistoryGone),
              Ok(60)};
  old_.Step();
  EXPECT_TRUE(listings_.empty());
  old_.Step();
  EXPECT_EQ(listed_old_, (std::vector<bool>{true, false}));
  ASSERT_EQ(listings_.size(), 1U);
  EXPECT_EQ(listings_[0].revision, 60U);
  EXPECT_TRUE(listings_[0].items.empty());
}

TEST_F(OldListingTest, IsNotUsedWhenNoWatchSucceeds) {
  answers_ = {Ok(7, {MakeChange("a", 3)})};
  old_.Step();
  EXPECT_TRUE(listings_.empty());
  EXPECT_EQ(peer_queries_, std::vector<uint64_t>{0});
  answers_ = {Ok(60)};
  old_.Step();
  EXPECT_EQ(listed_old_.back(), false);
  EXPECT_EQ(listings_.size(), 1U);
}

TEST_F(OldListingTest, IsNeverUsedByAVmThatKnowsMore) {
  peer_listing_ = Listing{{MakeChange("a", 3)}, 90};
  old_.Step();
  answers_ = {Failed(ReadStatus::kHistoryGone), Ok(95)};
  old_.Step();
  old_.Step();
  EXPECT_EQ(listed_old_, (std::vector<bool>{true, false}));
}

}  // namespace
}  // namespace marjoramhall::discovery
