// The joined control plane in virtual time: forming, changing, failing.
#include <gtest/gtest.h>

#include "lab/control_sim.h"

namespace marjoramhall::control {
namespace {

using lab::ControlSim;
using lab::NextSimDeployment;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Proposes the successor of what VM `i` holds; the result goes to `*out`.
void ProposeAt(ControlSim& sim,
               size_t i,
               const std::string& change_id,
               std::vector<ProposeResult>* out) {
  sim.core(i).Propose(
      NextSimDeployment(*sim.core(i).gossip().current(), change_id), change_id,
      [out](const ProposeResult& it) { out->push_back(it); });
}

TEST(ControlCore, FormsASiteAndSpreadsAChange) {
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

TEST(ControlCore, ARestartedVmGetsTheConfigurationFromPeersWithoutTheStore) {
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

}  // namespace
}  // namespace marjoramhall::control
