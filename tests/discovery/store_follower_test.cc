// Guards against a view that falls behind the store: history that is gone,
// pages that are no snapshot, a store that is out, slow or full of changes.
#include "src/discovery/store_follower.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>

namespace marjoramhall::discovery {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

StoreChange Named(const std::string& key, uint64_t revision) {
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
    reader.list = [this](const std::string& after, Duration limit) {
      listed_after_.push_back(after);
      limits_.push_back(limit);
      return Next();
    };
    reader.watch = [this](uint64_t after, Duration wait) {
      watched_after_.push_back(after);
      waits_.push_back(wait);
      return Next();
    };
    reader.query_peers = [this](uint64_t newer_than) {
      asked_.push_back(newer_than);
      return peer_;
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
  std::optional<Listing> peer_;
  std::vector<std::string> listed_after_;
  std::vector<Duration> limits_;
  std::vector<uint64_t> watched_after_;
  std::vector<Duration> waits_;  // of watches
  std::vector<uint64_t> asked_;
  std::vector<Listing> listings_;
  size_t changes_ = 0;
  std::vector<bool> reachable_;
  TimePoint confirmed_at_;
  std::vector<Duration> slept_;
  StoreFollower follower_;
};

TEST_F(StoreFollowerTest, GoesOnWithAListingThatWasRefusedHalfway) {
  // 300 VMs that start together ask for more pages than the store gives a
  // second; VMs that begin anew after each refusal keep it busy for good.
  StoreRead first = Ok(7, {Named("a", 3)});
  first.has_more = true;
  first.last_key = std::string("a");
  answers_ = {first, Failed(ReadStatus::kRefused), Ok(9, {Named("b", 8)}),
              Ok(9)};
  Steps(3);
  EXPECT_EQ(listed_after_, (std::vector<std::string>{"", "a", "a"}));
  ASSERT_EQ(listings_.size(), 1U);
  EXPECT_EQ(listings_[0].items.size(), 2U);
  EXPECT_EQ(watched_after_, std::vector<uint64_t>{7});
}

TEST_F(StoreFollowerTest, WatchesFromTheRevisionOfTheFirstPage) {
  // What changes between two pages is missing from both; only the watch shows
  // it.
  StoreRead first = Ok(10, {Named("a", 3)});
  first.has_more = true;
  first.last_key = std::string("a");
  answers_ = {first, Ok(14, {Named("b", 4)}), Ok(14)};
  Steps(2);
  ASSERT_EQ(listed_after_.size(), 2U);
  EXPECT_TRUE(listed_after_[0].empty());
  EXPECT_EQ(listed_after_[1], "a");
  ASSERT_EQ(listings_.size(), 1U);
  EXPECT_EQ(listings_[0].items.size(), 2U);
  EXPECT_EQ(listings_[0].revision, 10U);
  EXPECT_EQ(watched_after_, (std::vector<uint64_t>{10}));
}

TEST_F(StoreFollowerTest, ListsAgainWhenTheHistoryIsGone) {
  answers_ = {Ok(10), Failed(ReadStatus::kHistoryGone), Ok(50), Ok(50)};
  Steps(4);
  EXPECT_EQ(listings_.size(), 2U);
  EXPECT_EQ(watched_after_, (std::vector<uint64_t>{10, 50}));
}

TEST_F(StoreFollowerTest, ResumesAfterAFailureWhereItStood) {
  answers_ = {Ok(10), Ok(12, {Named("a", 12)}), Failed(ReadStatus::kRefused),
              Ok(13)};
  Steps(4);
  EXPECT_EQ(listings_.size(), 1U);
  EXPECT_EQ(changes_, 1U);
  EXPECT_EQ(watched_after_, (std::vector<uint64_t>{10, 12, 12}));
  EXPECT_EQ(reachable_, (std::vector<bool>{true, false, true}));
}

TEST_F(StoreFollowerTest, ConfirmsTheViewByAnswersOfTheStoreOnly) {
  answers_ = {Ok(10), Ok(10)};
  Steps(2);
  const TimePoint confirmed = now_;
  peer_ = Listing{{}, 20};
  Steps(5);
  EXPECT_GT(now_, confirmed);
  EXPECT_EQ(confirmed_at_, confirmed);
}

TEST_F(StoreFollowerTest, PausesLongerWithEachFailureUpToABound) {
  answers_ = {Ok(10)};
  Steps(12);
  ASSERT_EQ(slept_.size(), 11U);
  const FollowerOptions options;
  for (const Duration it : slept_) {
    EXPECT_GE(it, options.first_pause / 2);
    EXPECT_LE(it, options.largest_pause);
  }
  EXPECT_GE(slept_.back(), options.largest_pause / 2);
}

TEST_F(StoreFollowerTest, AsksPeersAtOnceWhenItKnowsNothing) {
  peer_ = Listing{{Named("a", 3)}, 7};
  Steps(1);
  ASSERT_EQ(listings_.size(), 1U);
  EXPECT_EQ(listings_[0].revision, 7U);
  // What has changed since is watched once the store answers.
  answers_ = {Ok(9, {Named("b", 8)})};
  Steps(1);
  EXPECT_EQ(watched_after_, std::vector<uint64_t>{7});
  EXPECT_EQ(changes_, 1U);
}

TEST_F(StoreFollowerTest, ListsTheStoreWhenThePeersRevisionIsTooOld) {
  peer_ = Listing{{Named("a", 3)}, 7};
  Steps(1);
  answers_ = {Failed(ReadStatus::kHistoryGone), Ok(90)};
  Steps(2);
  EXPECT_EQ(watched_after_, std::vector<uint64_t>{7});
  ASSERT_EQ(listings_.size(), 2U);
  EXPECT_EQ(listings_[1].revision, 90U);
}

TEST_F(StoreFollowerTest, LeavesAListingThatIsRefusedForAPeersSnapshot) {
  // When hundreds of VMs start together, those that are ready spare the others
  // most of their pages.
  StoreRead first = Ok(7, {Named("a", 3)});
  first.has_more = true;
  first.last_key = std::string("a");
  answers_ = {first, Failed(ReadStatus::kRefused), Ok(12)};
  peer_ = Listing{{Named("a", 3), Named("b", 8)}, 9};
  Steps(2);
  EXPECT_EQ(listed_after_, (std::vector<std::string>{"", "a"}));
  ASSERT_EQ(listings_.size(), 1U);
  EXPECT_EQ(listings_[0].revision, 9U);
  EXPECT_EQ(watched_after_, std::vector<uint64_t>{9});
}

TEST_F(StoreFollowerTest, WatchesShortlyUntilTheStoreHasAnswered) {
  // A watch that waits for changes on a dead connection, or after an outage,
  // keeps the view old for seconds.
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

TEST_F(StoreFollowerTest, WatchesShortlyAfterAPeersSnapshot) {
  peer_ = Listing{{Named("a", 3)}, 7};
  Steps(1);
  answers_ = {Ok(9), Ok(9)};
  Steps(2);
  const FollowerOptions options;
  EXPECT_EQ(waits_,
            (std::vector<Duration>{options.probe_wait, options.watch_wait}));
}

TEST_F(StoreFollowerTest, CallsTheStoreAgainBeforeItAsksPeers) {
  // Peers that are down cost up to half a second each; a new connection to the
  // store may do.
  answers_ = {Ok(10), Failed(ReadStatus::kNoAnswer), Ok(10)};
  Steps(3);
  EXPECT_TRUE(asked_.empty());
}

TEST_F(StoreFollowerTest, TakesNothingOlderFromAPeer) {
  answers_ = {Ok(10)};
  peer_ = Listing{{}, 10};
  Steps(3);
  EXPECT_FALSE(asked_.empty());
  EXPECT_EQ(listings_.size(), 1U);
}

TEST_F(StoreFollowerTest, AsksPeersSeldomOnceItKnowsSomething) {
  answers_ = {Ok(10)};
  Steps(1);
  const TimePoint before = now_;
  Steps(10);
  const auto intervals = (now_ - before) / FollowerOptions().peer_interval;
  EXPECT_LE(asked_.size(), static_cast<size_t>(intervals) + 1);
}

TEST_F(StoreFollowerTest, GivesMostListingsLittleTimeWhileNothingIsKnown) {
  // A VM that waits a second for each silent call serves up to a second later
  // than the store. Some tries are for a store that is slow.
  Steps(60);
  const FollowerOptions options;
  EXPECT_EQ(limits_.front(), options.first_list_limit);
  const auto quick =
      std::count(limits_.begin(), limits_.end(), options.first_list_limit);
  const auto usual =
      std::count(limits_.begin(), limits_.end(), options.list_limit);
  EXPECT_EQ(quick + usual, 60);
  EXPECT_GE(quick, 30);
  EXPECT_GE(usual, 10);
}

TEST_F(StoreFollowerTest, GivesListingsTheUsualTimeOnceSomethingIsKnown) {
  answers_ = {Ok(10), Failed(ReadStatus::kHistoryGone)};
  Steps(5);
  const FollowerOptions options;
  ASSERT_EQ(limits_.size(), 4U);
  for (size_t i = 1; i < limits_.size(); ++i) {
    EXPECT_EQ(limits_[i], options.list_limit);
  }
}

}  // namespace
}  // namespace marjoramhall::discovery
