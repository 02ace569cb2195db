// Guards against misrouted packets, flows broken by planned changes or by the
// kill of one VM, and new flows on draining targets, with several VMs.
#include "src/flow/flow_router.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

#include "lab/flow_sim.h"

namespace marjoramhall::flow {
namespace {

using lab::FlowSim;
using lab::FlowSimOptions;

FlowOptions Options() {
  FlowOptions options;
  options.max_table_entries = 4096;
  options.idle_timeout = std::chrono::seconds(20);
  options.confirm_interval = std::chrono::seconds(5);
  options.shared_key = "lab";
  return options;
}

lab::FlowNodeFactory Factory(const FlowOptions& options) {
  return [options](VmId self, Incarnation incarnation, SendToPeer send) {
    return std::make_unique<lab::RouterNode>(options, self, incarnation,
                                             std::move(send), DecisionHook());
  };
}

void SetTargetState(FlowSim& sim,
                    size_t service,
                    size_t target,
                    config::TargetState state) {
  sim.Change([&](config::Deployment& it) {
    it.services[service].targets[target].state = state;
  });
}

// Runs for `span` and starts `starts` flows evenly over it. Each flow sends one
// packet in `every` steps of 100 ms.
void RunTraffic(FlowSim& sim, size_t starts, Duration span, size_t every = 10) {
  const Duration step = std::chrono::milliseconds(100);
  const auto steps = static_cast<size_t>(span / step);
  for (size_t i = 0; i < steps; ++i) {
    for (size_t n = starts * i / steps; n < starts * (i + 1) / steps; ++n) {
      sim.StartFlow(static_cast<uint32_t>(sim.Random(2)));
    }
    for (size_t f = sim.Random(every); f < sim.flows().size(); f += every) {
      sim.SendData(f);
    }
    sim.RunFor(step);
  }
}

void ExpectNoViolations(const FlowSim& sim) {
  EXPECT_EQ(sim.violations().misrouted, 0U);
  EXPECT_EQ(sim.violations().broken, 0U);
  EXPECT_EQ(sim.violations().new_on_draining, 0U);
}

TEST(FlowRouterTest, FlowsSurviveADrain) {
  FlowSim sim(FlowSimOptions{}, Factory(Options()));
  RunTraffic(sim, 500, std::chrono::seconds(5));
  SetTargetState(sim, 0, 3, config::TargetState::kDraining);
  RunTraffic(sim, 500, std::chrono::seconds(30));
  ExpectNoViolations(sim);
  EXPECT_LT(sim.dropped(), 5U);
}

TEST(FlowRouterTest, FlowsSurviveAKillDuringADrain) {
  FlowSim sim(FlowSimOptions{}, Factory(Options()));
  RunTraffic(sim, 500, std::chrono::seconds(5));
  SetTargetState(sim, 0, 3, config::TargetState::kDraining);
  RunTraffic(sim, 200, std::chrono::seconds(4));
  sim.Kill(2);
  RunTraffic(sim, 500, std::chrono::seconds(40));
  ExpectNoViolations(sim);
}

// A VM that resumed after a pause took its peers for unreachable and chose
// other targets for flows than their owner had.
TEST(FlowRouterTest, ResumedVmDoesNotActAsOwnerForReachablePeers) {
  FlowSimOptions options;
  options.vms = 4;
  options.fabric_duplicate_probability = 0.1;
  FlowSim sim(options, Factory(Options()));
  for (size_t i = 0; i < 8; ++i) {
    sim.Pause(i % 4, std::chrono::milliseconds(1900));
    RunTraffic(sim, 400, std::chrono::seconds(4));
  }
  ExpectNoViolations(sim);
}

TEST(FlowRouterTest, FlowsSurviveARollingRestart) {
  FlowSim sim(FlowSimOptions{}, Factory(Options()));
  RunTraffic(sim, 500, std::chrono::seconds(5));
  for (size_t vm = 0; vm < sim.VmCount(); ++vm) {
    sim.Leave(vm, std::chrono::seconds(3));
    RunTraffic(sim, 50, std::chrono::seconds(6));
    sim.Start(vm);
    RunTraffic(sim, 50, std::chrono::seconds(4));
  }
  ExpectNoViolations(sim);
}

// A VM that leaves before all its exceptions are replicated removes the only
// entries of these flows, which then break. Flows that rarely send a packet
// give the other VMs no other chance to get an entry.
TEST(FlowRouterTest, LeavingVmReplicatesItsExceptionsFirst) {
  FlowSimOptions sim_options;
  sim_options.vms = 3;
  FlowOptions options;
  options.shared_key = sim_options.shared_key;
  constexpr size_t kStepsBetweenPackets = 100;
  for (uint64_t seed = 1; seed <= 3; ++seed) {
    sim_options.seed = seed;
    FlowSim sim(sim_options, Factory(options));
    RunTraffic(sim, 3000, std::chrono::seconds(20), kStepsBetweenPackets);
    SetTargetState(sim, 0, 0, config::TargetState::kDraining);
    RunTraffic(sim, 100, std::chrono::seconds(10), kStepsBetweenPackets);
    for (size_t vm = 0; vm < sim.VmCount(); ++vm) {
      sim.Leave(vm, std::chrono::seconds(1));
      for (int n = 0; n < 60 && sim.IsUp(vm); ++n) {
        RunTraffic(sim, 2, std::chrono::seconds(1), kStepsBetweenPackets);
      }
      EXPECT_FALSE(sim.IsUp(vm));
      sim.Start(vm);
      RunTraffic(sim, 10, std::chrono::seconds(3), kStepsBetweenPackets);
    }
    ExpectNoViolations(sim);
  }
}

// Plans report how many flows the removal of a target would cut. With 7 VMs, a
// count of only the flows that a VM owns would miss six sevenths of them.
TEST(FlowRouterTest, TotalLoadCountsEachFlowOfAllVmsOnce) {
  FlowSim sim(FlowSimOptions{}, Factory(Options()));
  RunTraffic(sim, 400, std::chrono::seconds(5));
  sim.RunFor(std::chrono::seconds(3));
  std::map<TargetId, uint32_t> expected;
  for (const auto& it : sim.flows()) {
    expected[it.target] += it.established ? 1 : 0;
  }
  for (size_t vm = 0; vm < sim.VmCount(); ++vm) {
    auto& router = dynamic_cast<lab::RouterNode&>(*sim.Node(vm)).router();
    EXPECT_TRUE(router.IsTotalLoadComplete());
    for (const auto& [target, flows] : router.TotalLoad()) {
      EXPECT_EQ(flows, expected[target]) << ToInteger(target);
    }
  }
}

}  // namespace
}  // namespace marjoramhall::flow
