// Guards the whole control plane in virtual time: joins, changes of the
// configuration, failed and leaving VMs, and lost or restored store content.
#include <gtest/gtest.h>

#include "lab/control_sim.h"

namespace marjoramhall::control {
namespace {

using lab::ControlSim;
using lab::NextSimDeployment;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Proposes the successor of the revision that VM `i` holds. Appends the result
// to `*out`.
void ProposeAt(ControlSim& sim,
               size_t i,
               const std::string& change_id,
               std::vector<ProposeResult>* out) {
  sim.core(i).Propose(
      NextSimDeployment(*sim.core(i).gossip().current(), change_id), change_id,
      [out](const ProposeResult& it) { out->push_back(it); });
}

TEST(ControlCore, JoinsMembersAndDistributesAChange) {
  ControlSim sim(1, 7, 3, true);
  sim.StartAll();
  ASSERT_TRUE(sim.RunUntil([&] { return sim.MembersAgree(); }, seconds(5)));
  std::vector<ProposeResult> results;
  ProposeAt(sim, 2, "first", &results);
  ASSERT_TRUE(
      sim.RunUntil([&] { return sim.ConfigurationsAgree(1); }, seconds(3)));
  ASSERT_EQ(results.size(), 1u);
  EXPECT_EQ(results[0].outcome, ProposeOutcome::kAccepted);
  // Each VM learns what the others hold.
  EXPECT_TRUE(sim.RunUntil(
      [&] {
        const auto members = sim.core(0).view()->members;
        return std::all_of(members.begin(), members.end(),
                           [](const auto& it) { return it.revision == 1; });
      },
      seconds(3)));
}

TEST(ControlCore, RemovesAKilledVmWithinFiveSeconds) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    ControlSim sim(seed, 7, 3);
    sim.StartAll();
    ASSERT_TRUE(sim.RunUntil([&] { return sim.MembersAgree(); }, seconds(5)));
    sim.Run(seconds(2));
    sim.Kill(3);
    EXPECT_TRUE(sim.RunUntil([&] { return sim.MembersAgree(); }, seconds(5)))
        << "seed " << seed;
  }
}

TEST(ControlCore, RestartedVmGetsTheConfigurationFromPeersDuringAStoreOutage) {
  ControlSim sim(3, 7, 3);
  sim.StartAll();
  sim.Run(seconds(3));
  std::vector<ProposeResult> results;
  ProposeAt(sim, 0, "first", &results);
  sim.Run(seconds(3));
  sim.faults().store_down = true;
  sim.Kill(4);
  sim.Run(seconds(1));
  sim.Start(4);
  EXPECT_TRUE(
      sim.RunUntil([&] { return sim.ConfigurationsAgree(1); }, seconds(3)));
}

// A change that only a partitioned VM holds is lost when the store is restored
// from an earlier backup. Guards against another change with its revision
// number.
TEST(ControlCore, DoesNotReuseARevisionNumberAfterAStoreRestore) {
  ControlSim sim(4, 7, 3);
  sim.StartAll();
  sim.Run(seconds(3));
  std::vector<ProposeResult> results;
  ProposeAt(sim, 0, "first", &results);
  sim.Run(seconds(2));
  const auto backup = sim.store().Content();
  ProposeAt(sim, 0, "second", &results);
  sim.Run(seconds(2));
  sim.Partition({1, 0, 0, 0, 0, 0, 0});
  for (size_t i = 1; i < 7; ++i) {
    sim.vm(i).store_blocked = true;
  }
  ProposeAt(sim, 0, "lost", &results);
  sim.Run(milliseconds(100));
  ASSERT_EQ(results.size(), 3u);
  EXPECT_EQ(results[2].outcome, ProposeOutcome::kAccepted);
  for (size_t i = 0; i < 7; ++i) {
    sim.vm(i).store_blocked = i == 0;
  }
  sim.store().Restore(backup);
  sim.Run(seconds(5));
  ProposeAt(sim, 1, "third", &results);
  sim.Run(seconds(2));
  ASSERT_EQ(results.size(), 4u);
  EXPECT_EQ(results[3].outcome, ProposeOutcome::kAccepted);
  sim.Heal();
  EXPECT_TRUE(
      sim.RunUntil([&] { return sim.ConfigurationsAgree(results[3].revision); },
                   seconds(3)));
  EXPECT_EQ(sim.violation(), "");
}

// Guards against a store that stays empty after it lost its content.
TEST(ControlCore, RepairsAStoreThatLostItsContent) {
  ControlSim sim(5, 7, 3);
  sim.StartAll();
  sim.Run(seconds(3));
  std::vector<ProposeResult> results;
  ProposeAt(sim, 0, "first", &results);
  sim.Run(seconds(2));
  sim.store().Restore({});
  sim.Run(seconds(6));
  EXPECT_EQ(sim.store().Read("deployment").value, sim.core(0).gossip().text());
  EXPECT_EQ(sim.core(0).gossip().current()->history.back().change_id, "first");
}

TEST(ControlCore, NeverOverwritesAForeignLineage) {
  ControlSim sim(6, 3, 3);
  sim.StartAll();
  sim.Run(seconds(3));
  std::vector<ProposeResult> results;
  ProposeAt(sim, 0, "first", &results);
  sim.Run(seconds(2));
  config::Deployment foreign = *sim.core(0).gossip().current();
  foreign.lineage = "other";
  foreign.revision = 99;
  const std::string text = lab::FormatSimDeployment(foreign);
  sim.store().Restore({{"deployment", text}});
  sim.Run(seconds(10));
  EXPECT_EQ(sim.store().Read("deployment").value, text);
  EXPECT_EQ(sim.core(0).gossip().current()->revision, 1u);
  ProposeAt(sim, 0, "second", &results);
  sim.Run(seconds(10));
  ASSERT_EQ(results.size(), 2u);
  EXPECT_EQ(results[1].outcome, ProposeOutcome::kUnavailable);
}

TEST(ControlCore, AcceptsAChangeIdOnceAfterALostResponse) {
  ControlSim sim(7, 3, 3);
  sim.StartAll();
  sim.Run(seconds(3));
  std::vector<ProposeResult> results;
  sim.faults().store_lose_answer_probability = 1;
  ProposeAt(sim, 0, "first", &results);
  sim.Run(std::chrono::microseconds(1500));
  sim.faults().store_down = true;
  sim.Run(seconds(9));
  ASSERT_EQ(results.size(), 1u);
  EXPECT_EQ(results[0].outcome, ProposeOutcome::kUnknown);
  sim.Heal();
  sim.Run(seconds(3));
  ProposeAt(sim, 1, "first", &results);
  sim.Run(seconds(1));
  ASSERT_EQ(results.size(), 2u);
  EXPECT_EQ(results[1].outcome, ProposeOutcome::kAccepted);
  EXPECT_EQ(results[1].revision, 1u);
  EXPECT_EQ(sim.core(2).gossip().current()->revision, 1u);
}

// Guards against a planned leave that is handled as a failure or takes as long
// as one.
TEST(ControlCore, RemovesALeavingVmWithoutSuspicion) {
  ControlSim sim(8, 7, 3);
  sim.StartAll();
  sim.Run(seconds(5));
  sim.core(6).BeginLeave();
  EXPECT_TRUE(sim.RunUntil(
      [&] {
        const auto members = sim.core(0).view()->members;
        return std::any_of(members.begin(), members.end(), [](const auto& it) {
          return it.state == config::MemberState::kLeaving;
        });
      },
      seconds(2)));
  sim.core(6).Leave();
  sim.Kill(6);
  EXPECT_TRUE(sim.RunUntil([&] { return sim.MembersAgree(); }, seconds(1)));
  EXPECT_EQ(sim.TotalRemovals(), 0u);
}

// Guards against a VM that cannot rejoin because its clock, and so its
// incarnation, is earlier than before the restart. A VM without a disk may
// start before its clock is set.
TEST(ControlCore, ReadmitsAVmThatRestartsWithAnEarlierClock) {
  ControlSim sim(9, 7, 3, true);
  sim.StartAll();
  sim.Run(seconds(5));
  sim.Kill(3);
  sim.StartWithIncarnation(3, 1000);
  EXPECT_TRUE(sim.RunUntil([&] { return sim.MembersAgree(); }, seconds(5)));
}

}  // namespace
}  // namespace marjoramhall::control
