// Guards against evacuated failure domains whose targets get new flows, and
// against evacuations that outlast their withdrawal, whichever way a VM learns
// of them.
#include "src/discovery/evacuations.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <string>
#include <vector>

#include "src/discovery/change_relay.h"
#include "src/discovery/snapshot_codec.h"
#include "src/discovery/target_registry.h"

namespace marjoramhall::discovery {
namespace {

using std::chrono::seconds;

StoreChange MakeConfig() {
  StoreChange change;
  change.key = "op/config";
  change.position = {0, 1};
  change.config = ConfigRecord{1, {}, {}};
  return change;
}

StoreChange MakeEvacuation(const std::string& domain,
                           StorePosition position,
                           bool removed = false) {
  StoreChange change;
  change.key = "op/evacuate/" + domain;
  change.position = position;
  change.evacuated_domain = domain;
  change.removed = removed;
  return change;
}

StoreChange MakeTarget(uint64_t instance,
                       const std::string& domain,
                       uint64_t revision) {
  StoreChange change;
  change.key = "servers/" + std::to_string(instance);
  change.position = {0, revision};
  change.is_target = true;
  TargetRecord record;
  record.id = std::to_string(instance);
  record.instance = instance;
  record.service = "s";
  record.address = {IpAddress::FromV4(0x0a000001),
                    static_cast<uint16_t>(instance)};
  record.failure_domain = domain;
  change.target = record;
  return change;
}

class EvacuationsTest : public testing::Test {
 protected:
  EvacuationsTest()
      : registry_({}, [this](const Decision& it) {
          outcomes_.emplace_back(it.outcome);
        }) {
    Apply({MakeConfig(), MakeTarget(1, "a", 2), MakeTarget(2, "b", 3)}, 3);
  }

  void Apply(const std::vector<StoreChange>& changes, uint64_t revision) {
    registry_.ApplyChanges(changes, {0, revision}, now_);
  }

  // All entries of the store but evacuations, which are given.
  Listing MakeListing(std::vector<StoreChange> evacuations,
                      StorePosition position) const {
    Listing listing;
    listing.position = position;
    listing.items = std::move(evacuations);
    for (StoreChange it :
         {MakeConfig(), MakeTarget(1, "a", 2), MakeTarget(2, "b", 3)}) {
      it.position.epoch = position.epoch;
      listing.items.push_back(it);
    }
    return listing;
  }

  bool TakesNewFlows(uint64_t instance) const {
    return TakesNewFlowsAt(registry_, instance);
  }

  static bool TakesNewFlowsAt(const TargetRegistry& registry,
                              uint64_t instance) {
    const auto view = registry.MakeView();
    for (const forward::Target& it : view->targets) {
      if (it.instance == instance) {
        return forward::TakesNewFlows(it);
      }
    }
    return false;
  }

  TimePoint now_{seconds(1000)};
  std::vector<std::string> outcomes_;
  TargetRegistry registry_;
};

TEST_F(EvacuationsTest, ATargetOfAnEvacuatedDomainDoesNotGetNewFlows) {
  Apply({MakeEvacuation("a", {0, 4})}, 4);
  EXPECT_FALSE(TakesNewFlows(1));
  EXPECT_TRUE(TakesNewFlows(2));
  EXPECT_EQ(outcomes_.back(), kDomainEvacuated);
  // A target that joins, or reports again, while its domain is evacuated.
  Apply({MakeTarget(3, "a", 5), MakeTarget(1, "a", 6)}, 6);
  EXPECT_FALSE(TakesNewFlows(3));
  EXPECT_FALSE(TakesNewFlows(1));
}

TEST_F(EvacuationsTest, AWithdrawalIsNotMissed) {
  Apply({MakeEvacuation("a", {0, 4}), MakeEvacuation("b", {0, 5})}, 5);
  EXPECT_FALSE(TakesNewFlows(2));
  Apply({MakeEvacuation("a", {0, 6}, true)}, 6);
  EXPECT_TRUE(TakesNewFlows(1));
  EXPECT_FALSE(TakesNewFlows(2));
  EXPECT_EQ(outcomes_.back(), kEvacuationWithdrawn);
  // The history was gone, and only the new listing shows the withdrawal.
  registry_.ApplyListing(MakeListing({}, {0, 9}), now_);
  EXPECT_TRUE(TakesNewFlows(2));
}

TEST_F(EvacuationsTest, AnOldListingDoesNotBringBackAWithdrawnEvacuation) {
  Apply({MakeEvacuation("a", {0, 4})}, 4);
  Apply({MakeEvacuation("a", {0, 5}, true)}, 5);
  registry_.ApplyListing(MakeListing({MakeEvacuation("a", {0, 4})}, {0, 4}),
                         now_);
  EXPECT_TRUE(TakesNewFlows(1));
}

TEST_F(EvacuationsTest, AnOldListingDoesNotEndALaterEvacuation) {
  Apply({MakeEvacuation("a", {0, 6})}, 6);
  registry_.ApplyListing(MakeListing({}, {0, 5}), now_);
  EXPECT_FALSE(TakesNewFlows(1));
}

TEST_F(EvacuationsTest, AnEvacuationThatTheStoreLostStaysInForce) {
  Apply({MakeEvacuation("a", {0, 4})}, 4);
  registry_.ApplyListing(MakeListing({}, {1, 3}), now_);
  EXPECT_FALSE(TakesNewFlows(1));
  EXPECT_EQ(outcomes_.end()[-2], kEvacuationKept);
  // A listing of the new epoch says no more about it than the first one.
  registry_.ApplyListing(MakeListing({}, {1, 9}), now_);
  EXPECT_FALSE(TakesNewFlows(1));
  // It is requested again, and then holds until it is withdrawn.
  registry_.ApplyChanges({MakeEvacuation("a", {1, 10})}, {1, 10}, now_);
  now_ += seconds(3600);
  registry_.Tick(now_);
  EXPECT_FALSE(TakesNewFlows(1));
  registry_.ApplyChanges({MakeEvacuation("a", {1, 11}, true)}, {1, 11}, now_);
  EXPECT_TRUE(TakesNewFlows(1));
}

TEST_F(EvacuationsTest, ALostEvacuationDoesNotStayForEver) {
  Apply({MakeEvacuation("a", {0, 4})}, 4);
  registry_.ApplyListing(MakeListing({}, {1, 3}), now_);
  const Duration lifetime = RegistryOptions().lost_evacuation_lifetime;
  registry_.Tick(now_ + lifetime - Duration{1});
  EXPECT_FALSE(TakesNewFlows(1));
  EXPECT_TRUE(registry_.Tick(now_ + lifetime));
  EXPECT_TRUE(TakesNewFlows(1));
  EXPECT_EQ(outcomes_.back(), kEvacuationLapsed);
}

TEST_F(EvacuationsTest, ALostEvacuationDoesNotTakeTheLastTargets) {
  Apply({MakeEvacuation("b", {0, 10})}, 10);
  EXPECT_TRUE(registry_.ApplyListing(MakeListing({}, {1, 5}), now_));
  EXPECT_FALSE(TakesNewFlows(2));
  // The operator has withdrawn the lost one, or not: nobody can tell.
  registry_.ApplyChanges({MakeEvacuation("a", {1, 6})}, {1, 6}, now_);
  EXPECT_FALSE(TakesNewFlows(1));
  EXPECT_TRUE(TakesNewFlows(2));
  // It is requested again.
  EXPECT_TRUE(
      registry_.ApplyChanges({MakeEvacuation("b", {1, 7})}, {1, 7}, now_));
  EXPECT_FALSE(TakesNewFlows(2));
}

// Each of them may have been withdrawn. VMs refused all flows for a minute. The
// one that was requested last is the likelier one to be in force.
TEST_F(EvacuationsTest, LostEvacuationsOfAllDomainsLeaveAServiceItsTargets) {
  Apply({MakeEvacuation("b", {0, 10}), MakeEvacuation("a", {0, 11})}, 11);
  EXPECT_FALSE(TakesNewFlows(2));
  registry_.ApplyListing(MakeListing({}, {1, 5}), now_);
  EXPECT_FALSE(TakesNewFlows(1));
  EXPECT_TRUE(TakesNewFlows(2));
  // Requested again, it holds, and the other one does not take the last target.
  registry_.ApplyChanges({MakeEvacuation("b", {1, 6})}, {1, 6}, now_);
  EXPECT_TRUE(TakesNewFlows(1));
  EXPECT_FALSE(TakesNewFlows(2));
}

// A VM kept the evacuation of a domain whose withdrawal it had missed. When the
// store lost that of the other domain, it ignored both.
TEST_F(EvacuationsTest, AnEarlierLostEvacuationYieldsToOneThatIsLostLater) {
  Apply({MakeEvacuation("b", {0, 10})}, 10);
  registry_.ApplyListing(MakeListing({}, {1, 5}), now_);
  registry_.ApplyChanges({MakeEvacuation("a", {1, 62})}, {1, 62}, now_);
  EXPECT_FALSE(TakesNewFlows(1));
  EXPECT_TRUE(TakesNewFlows(2));
  registry_.ApplyListing(MakeListing({}, {2, 55}), now_);
  EXPECT_FALSE(TakesNewFlows(1));
  EXPECT_TRUE(TakesNewFlows(2));
}

// A VM that has missed a withdrawal keeps the evacuation when a restored store
// lacks both, and has it in its snapshot.
TEST_F(EvacuationsTest, ASnapshotDoesNotBringBackAWithdrawnEvacuation) {
  TargetRegistry late({}, [](const Decision&) {});
  late.ApplyListing(registry_.Snapshot(), now_);
  const StoreChange evacuation = MakeEvacuation("a", {0, 4});
  late.ApplyChanges({evacuation}, {0, 4}, now_);
  Apply({evacuation, MakeEvacuation("a", {0, 5}, true)}, 5);
  for (TargetRegistry* it : {&late, &registry_}) {
    it->ApplyListing(MakeListing({}, {1, 3}), now_);
  }
  EXPECT_FALSE(TakesNewFlowsAt(late, 1));
  Listing snapshot = late.Snapshot();
  snapshot.position = {1, 4};
  registry_.ApplyListing(snapshot, now_);
  EXPECT_TRUE(TakesNewFlows(1));
  // A VM that starts from a snapshot of this one knows the withdrawal, too.
  TargetRegistry started({}, [](const Decision&) {});
  const auto bytes = EncodeSnapshot(registry_.Snapshot());
  started.ApplyListing(*DecodeSnapshot(bytes), now_);
  snapshot.position = {1, 5};
  started.ApplyListing(snapshot, now_);
  EXPECT_TRUE(TakesNewFlowsAt(started, 1));
  EXPECT_EQ(started.evacuated_domain_count(), 0U);
}

TEST_F(EvacuationsTest, ALapsedEvacuationDoesNotComeBackWithASnapshot) {
  Apply({MakeEvacuation("a", {0, 4})}, 4);
  registry_.ApplyListing(MakeListing({}, {1, 3}), now_);
  Listing snapshot = registry_.Snapshot();
  registry_.Tick(now_ + RegistryOptions().lost_evacuation_lifetime);
  snapshot.position = {1, 4};
  registry_.ApplyListing(snapshot, now_);
  EXPECT_TRUE(TakesNewFlows(1));
}

TEST_F(EvacuationsTest, AWithdrawalThatTheStoreLostIsUndone) {
  // The store has the key again, and a VM that starts now evacuates the domain.
  Apply({MakeEvacuation("a", {0, 4})}, 4);
  Apply({MakeEvacuation("a", {0, 5}, true)}, 5);
  registry_.ApplyListing(MakeListing({MakeEvacuation("a", {1, 4})}, {1, 4}),
                         now_);
  EXPECT_FALSE(TakesNewFlows(1));
}

TEST_F(EvacuationsTest, ASnapshotOfAnotherVmHasTheEvacuations) {
  Apply({MakeEvacuation("z\n\"/ \xff", {0, 4}), MakeEvacuation("a", {0, 5})},
        5);
  const auto snapshot = DecodeSnapshot(EncodeSnapshot(registry_.Snapshot()));
  ASSERT_TRUE(snapshot);
  TargetRegistry other({}, [](const Decision&) {});
  other.ApplyListing(*snapshot, now_);
  EXPECT_FALSE(TakesNewFlowsAt(other, 1));
  EXPECT_TRUE(TakesNewFlowsAt(other, 2));
  EXPECT_EQ(other.evacuated_domain_count(), 2U);
}

TEST_F(EvacuationsTest, ARelayPassesOnEvacuationsAndWithdrawals) {
  ChangeRelay relay({}, [this] { return registry_.Snapshot(); });
  relay.OnListing({0, 3});
  ChangeRelay::State state;
  state.has_view = true;
  state.fleet.vm_count = static_cast<uint32_t>(relay.options().min_peers) + 1;
  state.confirmed_at = now_;
  TargetRegistry other({}, [](const Decision&) {});
  other.ApplyListing(registry_.Snapshot(), now_);
  const auto pass_on = [&](const StoreChange& change) {
    relay.OnChanges({change}, change.position, now_);
    const auto answer = relay.Poll(other.position(), state, now_);
    const auto set = DecodeChangeSet(EncodeChangeSet(*answer.set));
    other.ApplyChanges(set->changes, set->position, now_);
  };
  pass_on(MakeEvacuation("a", {0, 4}));
  EXPECT_FALSE(TakesNewFlowsAt(other, 1));
  pass_on(MakeEvacuation("a", {0, 5}, true));
  EXPECT_TRUE(TakesNewFlowsAt(other, 1));
}

// A store with evacuations of two domains, and the state at each revision.
struct EvacuationHistory {
  std::vector<StoreChange> changes;  // one a revision, from 4 on
  uint64_t last() const { return 3 + changes.size(); }

  std::map<std::string, StoreChange> StateAt(uint64_t revision) const {
    std::map<std::string, StoreChange> state;
    for (const StoreChange& it : changes) {
      if (it.position.revision > revision) {
        break;
      }
      state.erase(it.evacuated_domain);
      if (!it.removed) {
        state[it.evacuated_domain] = it;
      }
    }
    return state;
  }
};

EvacuationHistory GenerateHistory() {
  EvacuationHistory history;
  const auto toggles =
      *rc::gen::container<std::vector<bool>>(20, rc::gen::arbitrary<bool>());
  std::map<std::string, bool> evacuated;
  for (const bool is_a : toggles) {
    const std::string domain = is_a ? "a" : "b";
    history.changes.push_back(
        MakeEvacuation(domain, {0, history.last() + 1}, evacuated[domain]));
    evacuated[domain] = !evacuated[domain];
  }
  return history;
}

RC_GTEST_FIXTURE_PROP(EvacuationsTest,
                      NoOrderOfWatchesAndListingsLeavesAnotherState,
                      ()) {
  const EvacuationHistory history = GenerateHistory();
  for (int step = 0; step < 30; ++step) {
    const uint64_t known = registry_.position().revision;
    const auto revision = *rc::gen::inRange<uint64_t>(3, history.last() + 1);
    if (*rc::gen::arbitrary<bool>()) {
      std::vector<StoreChange> items;
      for (const auto& [domain, change] : history.StateAt(revision)) {
        items.push_back(change);
      }
      registry_.ApplyListing(MakeListing(items, {0, revision}), now_);
    } else if (revision > known) {
      // A watch may repeat changes that are known already.
      const uint64_t from = *rc::gen::inRange<uint64_t>(3, known + 1);
      Apply({history.changes.begin() + static_cast<ptrdiff_t>(from - 3),
             history.changes.begin() + static_cast<ptrdiff_t>(revision - 3)},
            revision);
    }
    const auto expected = history.StateAt(registry_.position().revision);
    RC_ASSERT(TakesNewFlows(1) == !expected.contains("a"));
    RC_ASSERT(TakesNewFlows(2) == !expected.contains("b"));
  }
}

}  // namespace
}  // namespace marjoramhall::discovery
