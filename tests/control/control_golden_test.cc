// Guards against unintended changes of the control plane's decisions. Compares
// the decisions of whole scenarios with golden files. Set
// MARJORAMHALL_UPDATE_GOLDEN=1 to rewrite the files after an intended change.
#include <gtest/gtest.h>

#include <cstdlib>
#include <fstream>
#include <iterator>

#include "lab/control_sim.h"

namespace marjoramhall::control {
namespace {

using lab::ControlSim;
using lab::NextSimDeployment;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

void CompareWithGolden(const std::string& name,
                       const std::vector<std::string>& lines) {
  const std::string path =
      std::string(MARJORAMHALL_TEST_DIR) + "/golden/" + name;
  std::string text;
  for (const std::string& it : lines) {
    text += it + "\n";
  }
  if (std::getenv("MARJORAMHALL_UPDATE_GOLDEN") != nullptr) {
    std::ofstream(path) << text;
  }
  std::ifstream file(path);
  const std::string golden{std::istreambuf_iterator<char>(file), {}};
  EXPECT_EQ(text, golden) << path;
}

void Propose(ControlSim& sim,
             size_t i,
             const std::string& id,
             std::vector<std::string>* lines) {
  sim.core(i).Propose(
      NextSimDeployment(*sim.core(i).gossip().current(), id), id,
      [lines, id](const ProposeResult& it) {
        lines->push_back("-- " + id + ": " + std::string(NameOf(it.outcome)) +
                         " r" + std::to_string(it.revision) + ", " + it.reason);
      });
}

// The store is out for an hour, and a VM is replaced meanwhile. The replacement
// gets the configuration from its peers, and a proposal is reported as not
// written. Changes are accepted again after the outage.
TEST(ControlGolden, StoreOutageWithVmReplacement) {
  std::vector<std::string> lines;
  ControlSim sim(21, 4, 2);
  sim.Record(&lines);
  sim.StartAll();
  sim.Run(seconds(4));
  Propose(sim, 0, "first", &lines);
  sim.Run(seconds(4));
  lines.emplace_back("-- the store goes down");
  sim.faults().store_down = true;
  sim.Run(minutes(30));
  lines.emplace_back("-- vm2 is killed and replaced 20 s later");
  sim.Kill(2);
  sim.Run(seconds(20));
  sim.Start(2);
  sim.Run(minutes(1));
  lines.emplace_back("-- vm2 holds revision " +
                     std::to_string(sim.core(2).view()->deployment->revision));
  Propose(sim, 2, "during-outage", &lines);
  sim.Run(minutes(29));
  lines.emplace_back("-- the store is back");
  sim.faults().store_down = false;
  sim.Run(seconds(4));
  Propose(sim, 2, "after-outage", &lines);
  sim.Run(seconds(4));
  EXPECT_TRUE(sim.ConfigurationsAgree(2));
  CompareWithGolden("store_outage.txt", lines);
}

// A write takes effect but its response is lost. The VM reads the store and
// reports the change as accepted without a second write.
TEST(ControlGolden, ProposalWithLostStoreResponse) {
  std::vector<std::string> lines;
  ControlSim sim(22, 4, 2);
  sim.Record(&lines);
  sim.StartAll();
  sim.Run(seconds(4));
  Propose(sim, 0, "first", &lines);
  sim.Run(seconds(4));
  Propose(sim, 1, "lost-answer", &lines);
  lines.emplace_back("-- the store loses answers for 50 ms");
  sim.faults().store_lose_answer_probability = 1;
  sim.Run(milliseconds(50));
  sim.faults().store_lose_answer_probability = 0;
  sim.Run(seconds(2));
  lines.push_back(
      "-- read-backs by vm1: " +
      std::to_string(sim.core(1).reconciler().stats().read_backs) +
      ", writes: " + std::to_string(sim.core(1).store_calls().writes));
  EXPECT_TRUE(sim.ConfigurationsAgree(2));
  CompareWithGolden("lost_answer.txt", lines);
}

}  // namespace
}  // namespace marjoramhall::control
