// Guards against a view that stays behind the store because of compacted
// history, changes between the pages of a listing, or a store that is down,
// slow or busy.
#include <gtest/gtest.h>

#include <algorithm>

#include "tests/discovery/store_follower_fixture.h"

namespace marjoramhall::discovery {
namespace {

using std::chrono::seconds;

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
  EXPECT_EQ(listings_[0].position.revision, 10U);
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

TEST_F(StoreFollowerTest, ADelayBeforeAWatchDoesNotHideASilentConnection) {
  answers_ = {Ok(10), Ok(11), Ok(12, {MakeChange("a", 12)}), Ok(12), Ok(12)};
  Steps(5);
  const FollowerOptions options;
  ASSERT_EQ(waits_.size(), 4U);
  EXPECT_EQ(waits_[2], options.watch_wait - options.batching_delay);
  EXPECT_EQ(waits_[3], options.watch_wait);
}

TEST_F(StoreFollowerTest, ListsWhenTheHistoryIsTooLargeForAWatch) {
  answers_ = {Ok(10), Failed(ReadStatus::kIncomplete), Ok(50), Ok(50)};
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

TEST_F(StoreFollowerTest, ReportsTheStoreBeforeTheDelayBetweenWatches) {
  answers_ = {Ok(10), Failed(ReadStatus::kNoAnswer),
              Ok(12, {MakeChange("a", 12)})};
  Steps(2);
  const TimePoint answered = now_;
  Steps(1);
  EXPECT_GT(now_, answered);
  EXPECT_EQ(reachable_at_.back(), answered);
}

TEST_F(StoreFollowerTest, NamesTheCallThatAnUpdateCameWith) {
  answers_ = {Ok(10), Ok(12, {MakeChange("a", 12)})};
  Steps(2);
  peer_listing_ = Listing{{MakeChange("a", 13)}, {0, 20}};
  Steps(2);
  EXPECT_EQ(updates_, (std::vector<UpdateSource>{UpdateSource::kListing,
                                                 UpdateSource::kWatch,
                                                 UpdateSource::kSnapshot}));
}

TEST_F(StoreFollowerTest, ConfirmsTheViewOnlyByResponsesOfTheStore) {
  answers_ = {Ok(10), Ok(10)};
  Steps(2);
  const TimePoint confirmed = now_;
  peer_listing_ = Listing{{}, {0, 20}};
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
  peer_listing_ = Listing{{MakeChange("a", 3)}, {0, 7}};
  Steps(1);
  ASSERT_EQ(listings_.size(), 1U);
  EXPECT_EQ(listings_[0].position.revision, 7U);
  // Later changes are watched once the store responds.
  answers_ = {Ok(9, {MakeChange("b", 8)})};
  Steps(1);
  EXPECT_EQ(watched_after_, std::vector<uint64_t>{7});
  EXPECT_EQ(changes_, 1U);
}

TEST_F(StoreFollowerTest, ListsTheStoreWhenThePeerRevisionIsTooOld) {
  peer_listing_ = Listing{{MakeChange("a", 3)}, {0, 7}};
  Steps(1);
  answers_ = {Failed(ReadStatus::kHistoryGone), Ok(90)};
  Steps(2);
  EXPECT_EQ(watched_after_, std::vector<uint64_t>{7});
  ASSERT_EQ(listings_.size(), 2U);
  EXPECT_EQ(listings_[1].position.revision, 90U);
}

TEST_F(StoreFollowerTest, ReplacesARefusedListingByAPeerSnapshot) {
  // When hundreds of VMs start together, snapshots from those that are ready
  // replace most of the listing calls of the others.
  StoreRead first = Ok(7, {MakeChange("a", 3)});
  first.has_more = true;
  first.last_key = std::string("a");
  answers_ = {first, Failed(ReadStatus::kRefused), Ok(12)};
  peer_listing_ = Listing{{MakeChange("a", 3), MakeChange("b", 8)}, {0, 9}};
  Steps(2);
  EXPECT_EQ(listed_after_, (std::vector<std::string>{"", "a"}));
  ASSERT_EQ(listings_.size(), 1U);
  EXPECT_EQ(listings_[0].position.revision, 9U);
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
  peer_listing_ = Listing{{MakeChange("a", 3)}, {0, 7}};
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
  peer_listing_ = Listing{{}, {0, 10}};
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

}  // namespace
}  // namespace marjoramhall::discovery
