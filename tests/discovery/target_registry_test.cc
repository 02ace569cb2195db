// Guards against targets that are used after they left, dropped while they
// live, or reached under another's address, and against configurations that go
// back.
#include "src/discovery/target_registry.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace marjoramhall::discovery {
namespace {

using forward::TargetState;
using std::chrono::milliseconds;
using std::chrono::seconds;

TargetRecord Record(uint64_t instance, uint16_t port, bool draining = false) {
  TargetRecord record;
  record.id = "i-" + std::to_string(instance);
  record.instance = instance;
  record.service = "s";
  record.address = {IpAddress::FromV4(0x0a000001), port};
  record.slots = 2;
  record.draining = draining;
  return record;
}

StoreChange Put(const TargetRecord& record, uint64_t revision) {
  StoreChange change;
  change.key = "servers/" + record.id;
  change.revision = revision;
  change.is_target = true;
  change.target = record;
  return change;
}

StoreChange Removal(const TargetRecord& record, uint64_t revision) {
  StoreChange change = Put(record, revision);
  change.target.reset();
  change.removed = true;
  return change;
}

StoreChange Config(uint64_t version, uint16_t port) {
  StoreChange change;
  change.key = "op/config";
  ConfigRecord config;
  config.version = version;
  RouteRecord route;
  route.address = {IpAddress::FromV4(0xc6120001), port};
  route.shares = {{"s", 1}};
  config.routes.push_back(route);
  change.config = config;
  return change;
}

class TargetRegistryTest : public testing::Test {
 protected:
  TargetRegistryTest() : registry_({}, [](const Decision&) {}) {
    Apply(Config(1, 443), 1);
  }

  void Apply(const StoreChange& change, uint64_t revision) {
    registry_.ApplyChanges({change}, revision, now_);
  }

  // Nothing when the view lacks the target.
  std::optional<TargetState> StateOf(uint64_t instance) const {
    const auto view = registry_.MakeView();
    for (const forward::Target& it : view->targets) {
      if (it.instance == instance) {
        return it.state;
      }
    }
    return std::nullopt;
  }

  void Pass(Duration span) {
    now_ += span;
    registry_.Tick(now_);
  }

  TimePoint now_{seconds(1000)};
  TargetRegistry registry_;
};

TEST_F(TargetRegistryTest, RetiresADrainedTargetAtOnceWhenItsEntryGoes) {
  Apply(Put(Record(7, 80), 2), 2);
  Apply(Put(Record(7, 80, true), 3), 3);
  EXPECT_EQ(StateOf(7), TargetState::kDraining);
  Apply(Removal(Record(7, 80), 4), 4);
  EXPECT_EQ(StateOf(7), TargetState::kRetired);
}

TEST_F(TargetRegistryTest, KeepsATargetWhoseEntryLapsesUntilItsTimeIsUp) {
  Apply(Put(Record(7, 80), 2), 2);
  Apply(Removal(Record(7, 80), 3), 3);
  EXPECT_EQ(StateOf(7), TargetState::kLapsed);
  Pass(milliseconds(1999));
  EXPECT_EQ(StateOf(7), TargetState::kLapsed);
  Pass(milliseconds(1));
  EXPECT_EQ(StateOf(7), TargetState::kRetired);
}

TEST_F(TargetRegistryTest, TakesALapsedTargetBack) {
  Apply(Put(Record(7, 80), 2), 2);
  Apply(Removal(Record(7, 80), 3), 3);
  Apply(Put(Record(7, 80), 4), 4);
  Pass(seconds(5));
  EXPECT_EQ(StateOf(7), TargetState::kActive);
}

TEST_F(TargetRegistryTest, ResolvesTheTokenOfAGoneTargetForTheLifeOfAFlow) {
  Apply(Put(Record(7, 80), 2), 2);
  Apply(Put(Record(7, 80, true), 3), 3);
  Apply(Removal(Record(7, 80), 4), 4);
  Pass(milliseconds(59'999));
  EXPECT_EQ(StateOf(7), TargetState::kRetired);
  Pass(milliseconds(1));
  EXPECT_EQ(StateOf(7), std::nullopt);
}

TEST_F(TargetRegistryTest, RetiresTheFormerUserOfAnAddress) {
  Apply(Put(Record(7, 80), 2), 2);
  Apply(Put(Record(8, 80), 3), 3);
  EXPECT_EQ(StateOf(7), TargetState::kRetired);
  EXPECT_EQ(StateOf(8), TargetState::kActive);
}

TEST_F(TargetRegistryTest, ForgetsTheFormerAddressOfATargetThatMoved) {
  // The user of its former address is no reason to retire it.
  Apply(Put(Record(7, 80), 2), 2);
  Apply(Put(Record(7, 81), 3), 3);
  Apply(Put(Record(8, 80), 4), 4);
  EXPECT_EQ(StateOf(7), TargetState::kActive);
  EXPECT_EQ(StateOf(8), TargetState::kActive);
  Apply(Put(Record(9, 81), 5), 5);
  EXPECT_EQ(StateOf(7), TargetState::kRetired);
}

TEST_F(TargetRegistryTest, IgnoresAnOlderChangeOfAKey) {
  Apply(Put(Record(7, 80, true), 5), 5);
  Apply(Put(Record(7, 80), 4), 4);
  EXPECT_EQ(StateOf(7), TargetState::kDraining);
  Apply(Removal(Record(7, 80), 3), 3);
  EXPECT_EQ(StateOf(7), TargetState::kDraining);
}

TEST_F(TargetRegistryTest, RetiresATargetWhoseEntryBecomesUnreadable) {
  Apply(Put(Record(7, 80), 2), 2);
  Apply(Put(Record(8, 81), 3), 3);
  StoreChange broken = Put(Record(7, 80), 4);
  broken.target.reset();
  broken.fault = "no service";
  Apply(broken, 4);
  EXPECT_EQ(StateOf(7), TargetState::kRetired);
  EXPECT_EQ(StateOf(8), TargetState::kActive);
}

TEST_F(TargetRegistryTest, TreatsKeysThatAListingLacksAsRemoved) {
  Apply(Put(Record(7, 80), 2), 2);
  Apply(Put(Record(8, 81), 9), 9);
  registry_.ApplyListing({{Config(1, 443)}, 5}, now_);
  EXPECT_EQ(StateOf(7), TargetState::kLapsed);
  // Written after the listing was taken.
  EXPECT_EQ(StateOf(8), TargetState::kActive);
}

TEST_F(TargetRegistryTest, NeverTakesAnOlderConfiguration) {
  Apply(Config(9, 444), 2);
  Apply(Config(8, 445), 3);
  EXPECT_EQ(registry_.config_version(), 9U);
  EXPECT_TRUE(registry_.MakeView()->routes.contains(
      forward::RouteKeyOf(0xc6120001, 444)));
}

TEST_F(TargetRegistryTest, GivesASnapshotThatAnotherVmCanTakeOver) {
  Apply(Put(Record(7, 80), 2), 2);
  Apply(Put(Record(8, 81, true), 3), 3);
  const auto listing = DecodeSnapshot(EncodeSnapshot(registry_.Snapshot()));
  ASSERT_TRUE(listing);
  TargetRegistry other({}, [](const Decision&) {});
  other.ApplyListing(*listing, now_);
  EXPECT_EQ(other.revision(), 3U);
  EXPECT_EQ(other.config_version(), 1U);
  const auto view = other.MakeView();
  ASSERT_EQ(view->targets.size(), 2U);
  EXPECT_EQ(view->targets[0].state, TargetState::kActive);
  EXPECT_EQ(view->targets[1].state, TargetState::kDraining);
  EXPECT_TRUE(view->routes.contains(forward::RouteKeyOf(0xc6120001, 443)));
}

TEST_F(TargetRegistryTest, GivesATokenToOneTargetOnly) {
  // Both fold to the same 32 bits.
  Apply(Put(Record(0x100000002, 80), 2), 2);
  Apply(Put(Record(0x200000001, 81), 3), 3);
  ASSERT_EQ(TokenOf(0x100000002), TokenOf(0x200000001));
  EXPECT_EQ(registry_.MakeView()->targets.size(), 1U);
}

TEST_F(TargetRegistryTest, LeavesATokenWithTheTargetThatWasBornFirst) {
  // The later one comes first by key; flows of the earlier one would move.
  TargetRecord earlier = Record(0x200000001, 80);
  earlier.id = "z-200000001";
  earlier.start_time_ms = 1000;
  TargetRecord later = Record(0x100000002, 81);
  later.id = "a-100000002";
  later.start_time_ms = 2000;
  Apply(Put(earlier, 2), 2);
  Apply(Put(later, 3), 3);
  const auto view = registry_.MakeView();
  ASSERT_EQ(view->targets.size(), 1U);
  EXPECT_EQ(view->targets[0].id, earlier.id);
}

RC_GTEST_PROP(SnapshotCodec, RefusesBytesThatAreNoSnapshot, ()) {
  const auto bytes = *rc::gen::arbitrary<std::string>();
  const auto listing = DecodeSnapshot(bytes);
  RC_ASSERT(!listing || listing->revision > 0);
}

// Changes may be repeated and reordered over keys, and a listing may come in
// between: the state of a target is always that of its newest change.
RC_GTEST_PROP(TargetRegistryProperty, TheNewestChangeOfATargetHolds, ()) {
  TargetRegistry registry({}, [](const Decision&) {});
  const TimePoint now{seconds(1000)};
  uint64_t newest = 0;
  TargetState expected = TargetState::kRetired;
  bool known = false;
  const auto steps = *rc::gen::inRange(1, 60);
  for (int i = 0; i < steps; ++i) {
    const auto revision = static_cast<uint64_t>(*rc::gen::inRange(1, 40));
    const bool draining = revision % 3 == 1;
    const bool removed = revision % 3 == 2;
    const TargetRecord record = Record(7, 80, draining);
    registry.ApplyChanges(
        {removed ? Removal(record, revision) : Put(record, revision)}, revision,
        now);
    if (revision > newest && (known || !removed)) {
      newest = revision;
      if (!removed) {
        expected = draining ? TargetState::kDraining : TargetState::kActive;
      } else if (expected == TargetState::kDraining) {
        expected = TargetState::kRetired;
      } else if (expected == TargetState::kActive) {
        expected = TargetState::kLapsed;
      }
      known = true;
    }
    const auto view = registry.MakeView();
    RC_ASSERT(view->targets.size() == (known ? 1U : 0U));
    if (known) {
      RC_ASSERT(view->targets[0].state == expected);
    }
  }
}

}  // namespace
}  // namespace marjoramhall::discovery
