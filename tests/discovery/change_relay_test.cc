// Guards against relays that pass on an old view as a current one, leave out
// changes, or are used where they must not be.
#include "src/discovery/change_relay.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "src/discovery/target_registry.h"

namespace marjoramhall::discovery {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

StoreChange MakePut(uint64_t instance, uint64_t revision) {
  TargetRecord record;
  record.id = "i-" + std::to_string(instance);
  record.instance = instance;
  record.service = "s";
  record.address = {IpAddress::FromV4(0x0a000001),
                    static_cast<uint16_t>(1000 + instance)};
  record.slots = 2;
  record.warm_up_left = seconds(5);
  StoreChange change;
  change.key = "servers/" + record.id;
  change.revision = revision;
  change.is_target = true;
  change.target = record;
  return change;
}

StoreChange MakeRemoval(uint64_t instance, uint64_t revision) {
  StoreChange change = MakePut(instance, revision);
  change.target.reset();
  change.removed = true;
  return change;
}

StoreChange MakeConfig(uint64_t version, uint64_t revision) {
  StoreChange change;
  change.key = "op/config";
  change.revision = revision;
  change.config.emplace().version = version;
  return change;
}

class ChangeRelayTest : public testing::Test {
 protected:
  ChangeRelayTest() : relay_(Options(), [this] { return snapshot_; }) {
    state_.has_view = true;
    state_.peers = 100;
    state_.confirmed_at = now_;
    relay_.OnListing(10);
  }

  static ChangeRelayOptions Options() {
    ChangeRelayOptions options;
    options.max_history = 4;
    return options;
  }

  RelayRefusal RefusalOf(uint64_t after) {
    return relay_.Poll(after, state_, now_).refusal;
  }

  TimePoint now_{seconds(1000)};
  Listing snapshot_;
  ChangeRelay::State state_;
  ChangeRelay relay_;
};

TEST_F(ChangeRelayTest, ReturnsWhatTheFollowerLacks) {
  relay_.OnChanges({MakePut(1, 11), MakeRemoval(2, 12)}, 14, now_);
  const auto answer = relay_.Poll(11, state_, now_);
  ASSERT_TRUE(answer.set);
  EXPECT_FALSE(answer.set->complete);
  EXPECT_EQ(answer.set->revision, 14U);
  ASSERT_EQ(answer.set->changes.size(), 1U);
  EXPECT_EQ(answer.set->changes[0].revision, 12U);
}

TEST_F(ChangeRelayTest, ReturnsAllEntriesWhenItsHistoryIsTooShort) {
  for (uint64_t i = 11; i <= 16; ++i) {
    relay_.OnChanges({MakePut(i, i)}, i, now_);
  }
  snapshot_ = {{MakeConfig(1, 1), MakePut(3, 3)}, 16};
  EXPECT_FALSE(relay_.Poll(12, state_, now_).set->complete);
  for (const uint64_t after : {0, 9, 11}) {
    const auto answer = relay_.Poll(after, state_, now_);
    ASSERT_TRUE(answer.set);
    EXPECT_TRUE(answer.set->complete);
    EXPECT_EQ(answer.set->changes.size(), 2U);
  }
}

TEST_F(ChangeRelayTest, CountsDownTheWarmUpOfTargets) {
  relay_.OnChanges({MakePut(1, 11)}, 11, now_);
  now_ += milliseconds(900);
  const auto answer = relay_.Poll(10, state_, now_);
  EXPECT_EQ(answer.set->changes[0].target->warm_up_left, milliseconds(4100));
}

TEST_F(ChangeRelayTest, RefusesWithAViewThatTheStoreHasNotConfirmed) {
  now_ += Options().max_age;
  EXPECT_EQ(RefusalOf(10), RelayRefusal::kNone);
  now_ += milliseconds(1);
  EXPECT_EQ(RefusalOf(10), RelayRefusal::kUnconfirmed);
  // It is asked, so it must confirm its view more often.
  EXPECT_TRUE(relay_.IsPolled(now_));
  now_ += Options().idle_after;
  EXPECT_FALSE(relay_.IsPolled(now_));
}

TEST_F(ChangeRelayTest, RefusesWhileStoppingWithoutViewAndInSmallFleets) {
  state_.has_view = false;
  EXPECT_EQ(RefusalOf(10), RelayRefusal::kNoView);
  state_.has_view = true;
  state_.peers = Options().min_peers - 1;
  now_ += seconds(10);
  EXPECT_EQ(RefusalOf(10), RelayRefusal::kFewPeers);
  EXPECT_FALSE(relay_.IsPolled(now_));
  state_.peers = Options().min_peers;
  state_.stopping = true;
  EXPECT_EQ(RefusalOf(10), RelayRefusal::kStopping);
}

TEST(RelayTimingTest, LeavesTimeToTurnToTheStoreWithinTheBound) {
  // A view may be this old when its relay fails, then the poll that fails and
  // a call of a slow store follow.
  constexpr Duration kPollTimeout = milliseconds(500);
  constexpr Duration kSlowStoreCall = milliseconds(300);
  for (const int bound_s : {3, 5, 6, 7}) {
    const Duration bound = seconds(bound_s);
    const RelayTiming timing = RelayTimingFor(bound);
    EXPECT_LT(
        timing.max_age + timing.poll_interval + kPollTimeout + kSlowStoreCall,
        bound);
    // A relay that serves others stays within the age that they accept.
    EXPECT_LT(timing.watch_wait + timing.batching_delay, timing.max_age);
  }
}

TEST(ChangeSetCodecTest, KeepsRemovalsUnreadableEntriesAndOrder) {
  StoreChange unreadable = MakeRemoval(3, 13);
  unreadable.removed = false;
  ChangeSet set;
  set.changes = {MakeRemoval(1, 11), MakePut(1, 12), unreadable,
                 MakeRemoval(2, 14)};
  set.revision = 15;
  set.age = milliseconds(250);
  const auto decoded = DecodeChangeSet(EncodeChangeSet(set));
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->revision, 15U);
  EXPECT_EQ(decoded->age, set.age);
  EXPECT_FALSE(decoded->complete);
  ASSERT_EQ(decoded->changes.size(), 4U);
  for (size_t i = 0; i < 4; ++i) {
    EXPECT_EQ(decoded->changes[i].revision, 11 + i);
    EXPECT_EQ(decoded->changes[i].key, set.changes[i].key);
    EXPECT_EQ(decoded->changes[i].removed, set.changes[i].removed);
    EXPECT_EQ(decoded->changes[i].target.has_value(),
              set.changes[i].target.has_value());
  }
  EXPECT_EQ(decoded->changes[1].target->warm_up_left, seconds(5));
}

TEST(ChangeSetCodecTest, RefusesOtherBytes) {
  ChangeSet set;
  set.revision = 15;
  set.complete = true;  // but without a configuration
  EXPECT_FALSE(DecodeChangeSet(EncodeChangeSet(set)));
  EXPECT_FALSE(DecodeChangeSet(""));
  EXPECT_FALSE(DecodeChangeSet("not a change set"));
}

// A follower that polls at any moments must end up with the registry of its
// relay, however many changes it misses between two polls.
RC_GTEST_PROP(ChangeRelayProperty, FollowersConvergeToTheRelay, ()) {
  const auto no_log = [](const Decision&) {};
  TargetRegistry source({}, no_log);
  TargetRegistry follower({}, no_log);
  ChangeRelayOptions options;
  options.max_history = 8;
  ChangeRelay relay(options, [&] { return source.Snapshot(); });
  const TimePoint now{seconds(1000)};
  source.ApplyListing({{MakeConfig(1, 1)}, 1}, now);
  relay.OnListing(1);
  ChangeRelay::State state{false, true, 100, now};
  uint64_t revision = 1;
  const auto poll = [&] {
    const auto answer = relay.Poll(follower.revision(), state, now);
    const auto set = DecodeChangeSet(EncodeChangeSet(*answer.set));
    RC_ASSERT(set.has_value());
    const uint64_t before = follower.revision();
    if (set->complete) {
      follower.ApplyListing({set->changes, set->revision}, now);
    } else {
      follower.ApplyChanges(set->changes, set->revision, now);
    }
    RC_ASSERT(follower.revision() >= before);
  };
  const auto steps =
      *rc::gen::container<std::vector<int>>(60, rc::gen::inRange(0, 30));
  for (const int step : steps) {
    if (step < 6) {
      poll();
      continue;
    }
    ++revision;
    const auto instance = static_cast<uint64_t>(1 + step % 4);
    StoreChange change = step < 18   ? MakePut(instance, revision)
                         : step < 28 ? MakeRemoval(instance, revision)
                                     : MakeConfig(revision, revision);
    if (change.target && step % 3 == 0) {
      change.target->draining = true;
    }
    source.ApplyChanges({change}, revision, now);
    relay.OnChanges({change}, revision, now);
  }
  poll();
  // Lapsed entries end after their grace period.
  source.Tick(now + seconds(2));
  follower.Tick(now + seconds(2));
  const auto active = [](const TargetRegistry& registry) {
    std::map<std::string, std::pair<uint64_t, bool>> targets;
    for (const StoreChange& it : registry.Snapshot().items) {
      if (it.target) {
        targets[it.key] = {it.revision, it.target->draining};
      }
    }
    return targets;
  };
  RC_ASSERT(active(follower) == active(source));
  RC_ASSERT(follower.config_version() == source.config_version());
  RC_ASSERT(follower.revision() == source.revision());
}

}  // namespace
}  // namespace marjoramhall::discovery
