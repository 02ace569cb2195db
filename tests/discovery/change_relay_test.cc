// Guards against relays that pass on an old view as a current one, leave out
// changes, or are used where they must not be.
#include "src/discovery/change_relay.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <limits>
#include <map>
#include <set>

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
  change.position.revision = revision;
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

// The configuration has one route, at a port that its version determines.
StoreChange MakeConfig(uint64_t version, uint64_t revision) {
  StoreChange change;
  change.key = "op/config";
  change.position.revision = revision;
  ConfigRecord& config = change.config.emplace();
  config.version = version;
  RouteRecord route;
  route.address = {IpAddress::FromV4(0xc6120001),
                   static_cast<uint16_t>(1000 + version)};
  route.shares = {{"s", 1}};
  config.routes.push_back(route);
  return change;
}

class ChangeRelayTest : public testing::Test {
 protected:
  ChangeRelayTest() : relay_(Options(), [this] { return snapshot_; }) {
    state_.has_view = true;
    state_.fleet.vm_count = 101;
    state_.confirmed_at = now_;
    relay_.OnListing({0, 10});
  }

  static ChangeRelayOptions Options() {
    ChangeRelayOptions options;
    options.max_history = 4;
    return options;
  }

  RelayRefusal RefusalOf(uint64_t after) {
    return relay_.Poll({0, after}, state_, now_).refusal;
  }

  TimePoint now_{seconds(1000)};
  Listing snapshot_;
  ChangeRelay::State state_;
  ChangeRelay relay_;
};

TEST_F(ChangeRelayTest, ReturnsWhatTheFollowerLacks) {
  relay_.OnChanges({MakePut(1, 11), MakeRemoval(2, 12)}, {0, 14}, now_);
  const auto answer = relay_.Poll({0, 11}, state_, now_);
  ASSERT_TRUE(answer.set);
  EXPECT_FALSE(answer.set->complete);
  EXPECT_EQ(answer.set->position.revision, 14U);
  ASSERT_EQ(answer.set->changes.size(), 1U);
  EXPECT_EQ(answer.set->changes[0].position.revision, 12U);
}

TEST_F(ChangeRelayTest, ReturnsAllEntriesWhenItsHistoryIsTooShort) {
  for (uint64_t i = 11; i <= 16; ++i) {
    relay_.OnChanges({MakePut(i, i)}, {0, i}, now_);
  }
  snapshot_ = {{MakeConfig(1, 1), MakePut(3, 3)}, {0, 16}};
  EXPECT_FALSE(relay_.Poll({0, 12}, state_, now_).set->complete);
  for (const uint64_t after : {0, 9, 11}) {
    const auto answer = relay_.Poll({0, after}, state_, now_);
    ASSERT_TRUE(answer.set);
    EXPECT_TRUE(answer.set->complete);
    EXPECT_EQ(answer.set->changes.size(), 2U);
  }
}

TEST_F(ChangeRelayTest, ReturnsManyChangesAtOnceWithoutAllEntries) {
  // All targets of a fleet may join between two polls.
  relay_.Poll({0, 10}, state_, now_);
  for (uint64_t i = 11; i <= 10 + 2 * Options().max_history; ++i) {
    relay_.OnChanges({MakePut(i, i)}, {0, i}, now_);
  }
  const auto answer = relay_.Poll({0, 10}, state_, now_);
  EXPECT_FALSE(answer.set->complete);
  EXPECT_EQ(answer.set->changes.size(), 2 * Options().max_history);
  // Without followers, the history ends where it did before.
  now_ += Options().idle_after;
  relay_.OnChanges({MakePut(99, 99)}, {0, 99}, now_);
  state_.confirmed_at = now_;
  EXPECT_TRUE(relay_.Poll({0, 10}, state_, now_).set->complete);
}

// Configurations of thousands of routes in quick succession took all memory of
// a VM, although a follower can use the newest only.
TEST_F(ChangeRelayTest, KeepsOnlyTheNewestConfiguration) {
  for (uint64_t i = 11; i <= 14; ++i) {
    relay_.OnChanges({MakeConfig(i, 2 * i), MakePut(i, 2 * i + 1)},
                     {0, 2 * i + 1}, now_);
  }
  const auto answer = relay_.Poll({0, 22}, state_, now_);
  ASSERT_TRUE(answer.set);
  EXPECT_TRUE(answer.set->complete);  // five changes are too many
  const auto later = relay_.Poll({0, 23}, state_, now_);
  ASSERT_FALSE(later.set->complete);
  std::vector<uint64_t> versions;
  size_t targets = 0;
  for (const StoreChange& it : later.set->changes) {
    targets += it.target ? 1 : 0;
    if (it.config) {
      versions.push_back(it.config->version);
    }
  }
  EXPECT_EQ(versions, std::vector<uint64_t>{14});
  EXPECT_EQ(targets, 3U);
}

// A store may give a version that it has lost to another configuration.
TEST_F(ChangeRelayTest, KeepsAConfigurationOfALaterVersion) {
  relay_.OnChanges({MakeConfig(5, 11), MakeConfig(4, 12)}, {0, 12}, now_);
  EXPECT_EQ(relay_.Poll({0, 10}, state_, now_).set->changes.size(), 2U);
}

// The number of changes bounds no memory: one entry may be a megabyte long.
TEST_F(ChangeRelayTest, BoundsItsHistoryInBytes) {
  ChangeRelayOptions options;
  ChangeRelay relay(options, [this] { return snapshot_; });
  relay.OnListing({0, 10});
  constexpr size_t kEntryBytes = size_t{1} << 20;
  const uint64_t n = options.max_history_bytes / kEntryBytes;
  for (uint64_t i = 11; i < 11 + 2 * n; ++i) {
    StoreChange change = MakePut(i, i);
    change.target->service.assign(kEntryBytes, 'x');
    relay.OnChanges({change}, {0, i}, now_);
  }
  const uint64_t newest = 10 + 2 * n;
  EXPECT_TRUE(relay.Poll({0, newest - n}, state_, now_).set->complete);
  const auto answer = relay.Poll({0, newest - n + 1}, state_, now_);
  EXPECT_FALSE(answer.set->complete);
  EXPECT_EQ(answer.set->changes.size(), n - 1);
  // A configuration that is no longer kept counts no more.
  for (uint64_t i = 1; i <= 100; ++i) {
    StoreChange config = MakeConfig(i, newest + i);
    config.config->routes[0].name.assign(kEntryBytes, 'x');
    relay.OnChanges({config}, {0, newest + i}, now_);
  }
  EXPECT_FALSE(relay.Poll({0, newest}, state_, now_).set->complete);
}

TEST_F(ChangeRelayTest, CountsDownTheWarmUpOfTargets) {
  relay_.OnChanges({MakePut(1, 11)}, {0, 11}, now_);
  now_ += milliseconds(900);
  const auto answer = relay_.Poll({0, 10}, state_, now_);
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
  state_.fleet.vm_count = static_cast<uint32_t>(Options().min_peers);
  now_ += seconds(10);
  EXPECT_EQ(RefusalOf(10), RelayRefusal::kFewPeers);
  EXPECT_FALSE(relay_.IsPolled(now_));
  state_.fleet.vm_count = static_cast<uint32_t>(Options().min_peers) + 1;
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
  set.position.revision = 15;
  set.age = milliseconds(250);
  const auto decoded = DecodeChangeSet(EncodeChangeSet(set));
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->position.revision, 15U);
  EXPECT_EQ(decoded->age, set.age);
  EXPECT_FALSE(decoded->complete);
  ASSERT_EQ(decoded->changes.size(), 4U);
  for (size_t i = 0; i < 4; ++i) {
    EXPECT_EQ(decoded->changes[i].position.revision, 11 + i);
    EXPECT_EQ(decoded->changes[i].key, set.changes[i].key);
    EXPECT_EQ(decoded->changes[i].removed, set.changes[i].removed);
    EXPECT_EQ(decoded->changes[i].target.has_value(),
              set.changes[i].target.has_value());
  }
  EXPECT_EQ(decoded->changes[1].target->warm_up_left, seconds(5));
}

TEST(ChangeSetCodecTest, KeepsTheWarmUpRates) {
  ChangeSet set;
  set.changes = {MakeConfig(9, 11)};
  set.position.revision = 11;
  const auto services_of = [&set] {
    return DecodeChangeSet(EncodeChangeSet(set))->changes[0].config->services;
  };
  EXPECT_TRUE(services_of().empty());  // as from a VM of an earlier version
  const std::vector<ServiceRecord> services = {{"s", 7.5}, {"t", 0.25}};
  set.changes[0].config->services = services;
  EXPECT_EQ(services_of(), services);
  // A follower takes no rate that the store's adapter would not have taken.
  for (const double it : {0.0, -1.0, std::numeric_limits<double>::infinity(),
                          std::numeric_limits<double>::quiet_NaN()}) {
    set.changes[0].config->services = {{"s", it}};
    EXPECT_EQ(services_of(), (std::vector<ServiceRecord>{{"s", 0}})) << it;
  }
}

TEST(ChangeSetCodecTest, HasTheRoutesOfTheNewestConfigurationOnly) {
  // Configurations in quick succession reach a follower in one set. A route
  // that one of them withdrew must not come back.
  ChangeSet set;
  set.changes = {MakeConfig(9, 11), MakePut(1, 12), MakeConfig(12, 13)};
  set.position.revision = 13;
  const auto decoded = DecodeChangeSet(EncodeChangeSet(set));
  ASSERT_TRUE(decoded);
  ASSERT_EQ(decoded->changes.size(), 2U);
  EXPECT_TRUE(decoded->changes[0].target);
  EXPECT_EQ(decoded->changes[1].position.revision, 13U);
  const auto& config = decoded->changes[1].config;
  ASSERT_TRUE(config);
  EXPECT_EQ(config->version, 12U);
  ASSERT_EQ(config->routes.size(), 1U);
  EXPECT_EQ(config->routes[0].address.port, 1012);
}

TEST(ChangeSetCodecTest, RefusesOtherBytes) {
  ChangeSet set;
  set.position.revision = 15;
  set.complete = true;  // but without a configuration
  EXPECT_FALSE(DecodeChangeSet(EncodeChangeSet(set)));
  EXPECT_FALSE(DecodeChangeSet(""));
  EXPECT_FALSE(DecodeChangeSet("not a change set"));
}

// A registry that polls a relay, and the relay that it is for others.
struct RelayedVm {
  RelayedVm()
      : registry({}, [](const Decision&) {}),
        relay(ShortHistory(), [this] { return registry.Snapshot(); }) {}

  static ChangeRelayOptions ShortHistory() {
    ChangeRelayOptions options;
    options.max_history = 8;
    options.max_polled_history = 8;
    return options;
  }

  void Apply(const ChangeSet& set) {
    if (set.complete) {
      registry.ApplyListing({set.changes, set.position}, now);
      relay.OnListing(registry.position());
    } else {
      relay.OnChanges(set.changes, set.position, now);
      registry.ApplyChanges(set.changes, set.position, now);
    }
  }

  void Poll(RelayedVm& other) {
    const StorePosition before = registry.position();
    const auto answer =
        other.relay.Poll(before, {false, true, now, {101, 0}}, now);
    const auto set = DecodeChangeSet(EncodeChangeSet(*answer.set));
    RC_ASSERT(set.has_value());
    Apply(*set);
    RC_ASSERT(registry.position() >= before);
  }

  std::map<std::string, std::pair<uint64_t, bool>> Targets() {
    // Lapsed entries end after their grace period.
    registry.Tick(now + seconds(2));
    std::map<std::string, std::pair<uint64_t, bool>> targets;
    for (const StoreChange& it : registry.Snapshot().items) {
      if (it.target) {
        targets[it.key] = {it.position.revision, it.target->draining};
      }
    }
    return targets;
  }

  std::set<uint64_t> Routes() const {
    std::set<uint64_t> keys;
    const auto view = registry.MakeView();
    for (const auto& [key, route] : view->routes) {
      keys.insert(key);
    }
    return keys;
  }

  const TimePoint now{seconds(1000)};
  TargetRegistry registry;
  ChangeRelay relay;
};

// VMs that poll at any moments must end up with the entries of the first one,
// however many changes they miss between two polls, and also when their relay
// follows another one.
RC_GTEST_PROP(ChangeRelayProperty, FollowersConvergeToTheRelay, ()) {
  RelayedVm source;
  RelayedVm follower;
  RelayedVm last;
  ChangeSet start;
  start.changes = {MakeConfig(1, 1)};
  start.position.revision = 1;
  start.complete = true;
  source.Apply(start);
  uint64_t revision = 1;
  const auto steps =
      *rc::gen::container<std::vector<int>>(60, rc::gen::inRange(0, 30));
  for (const int step : steps) {
    if (step < 4) {
      follower.Poll(source);
      continue;
    }
    if (step < 8) {
      if (follower.registry.position().revision > 0) {
        last.Poll(follower);
      }
      continue;
    }
    ChangeSet next;
    next.position.revision = ++revision;
    const auto instance = static_cast<uint64_t>(1 + step % 4);
    next.changes = {step < 16   ? MakePut(instance, revision)
                    : step < 23 ? MakeRemoval(instance, revision)
                                : MakeConfig(revision, revision)};
    if (next.changes[0].target && step % 3 == 0) {
      next.changes[0].target->draining = true;
    }
    source.Apply(next);
  }
  follower.Poll(source);
  last.Poll(follower);
  for (RelayedVm* it : {&follower, &last}) {
    RC_ASSERT(it->Targets() == source.Targets());
    RC_ASSERT(it->Routes() == source.Routes());
    RC_ASSERT(it->registry.config_version() ==
              source.registry.config_version());
    RC_ASSERT(it->registry.position().revision ==
              source.registry.position().revision);
  }
}

}  // namespace
}  // namespace marjoramhall::discovery
