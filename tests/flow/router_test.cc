// Guards the promises of the flow plane over several VMs: no misroute, no
// broken flow at planned changes or a kill, no new flow on a draining target.
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

void SetState(FlowSim& sim,
              size_t service,
              size_t target,
              config::TargetState state) {
  sim.Change([&](config::Deployment& it) {
    it.services[service].targets[target].state = state;
  });
}

// Starts flows and lets all flows send for a while, each once in `every` steps
// of 100 ms.
void Traffic(FlowSim& sim, size_t starts, Duration span, size_t every = 10) {
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

void ExpectClean(const FlowSim& sim) {
  EXPECT_EQ(sim.violations().misrouted, 0U);
  EXPECT_EQ(sim.violations().broken, 0U);
  EXPECT_EQ(sim.violations().new_on_draining, 0U);
}

TEST(FlowRouterTest, FlowsStayThroughADrain) {
  FlowSim sim(FlowSimOptions{}, Factory(Options()));
  Traffic(sim, 500, std::chrono::seconds(5));
  SetState(sim, 0, 3, config::TargetState::kDraining);
  Traffic(sim, 500, std::chrono::seconds(30));
  ExpectClean(sim);
  EXPECT_LT(sim.dropped(), 5U);
}

TEST(FlowRouterTest, FlowsStayThroughAKillDuringADrain) {
  FlowSim sim(FlowSimOptions{}, Factory(Options()));
  Traffic(sim, 500, std::chrono::seconds(5));
  SetState(sim, 0, 3, config::TargetState::kDraining);
  Traffic(sim, 200, std::chrono::seconds(4));
  sim.Kill(2);
  Traffic(sim, 500, std::chrono::seconds(40));
  ExpectClean(sim);
}

// A VM that woke up took its silent peers for dead and decided flows that the
// owner had decided otherwise.
TEST(FlowRouterTest, PausedVmDoesNotTakeOverWhenItWakes) {
  FlowSimOptions options;
  options.vms = 4;
  options.fabric_repeat = 0.1;
  FlowSim sim(options, Factory(Options()));
  for (size_t i = 0; i < 8; ++i) {
    sim.Pause(i % 4, std::chrono::milliseconds(1900));
    Traffic(sim, 400, std::chrono::seconds(4));
  }
  ExpectClean(sim);
}

TEST(FlowRouterTest, FlowsStayThroughARollingRestart) {
  FlowSim sim(FlowSimOptions{}, Factory(Options()));
  Traffic(sim, 500, std::chrono::seconds(5));
  for (size_t vm = 0; vm < sim.VmCount(); ++vm) {
    sim.Leave(vm, std::chrono::seconds(3));
    Traffic(sim, 50, std::chrono::seconds(6));
    sim.Start(vm);
    Traffic(sim, 50, std::chrono::seconds(4));
  }
  ExpectClean(sim);
}

// A VM that leaves while its paced replication is behind takes the only copy of
// a flow's deviation with it. Flows that send rarely are not learnt by the
// other VMs meanwhile. Without the wait for the queue, flows broke here.
TEST(FlowRouterTest, LeavingVmWaitsForItsExceptions) {
  FlowSimOptions sim_options;
  sim_options.vms = 3;
  FlowOptions options;
  options.shared_key = sim_options.shared_key;
  constexpr size_t kRarely = 100;
  for (uint64_t seed = 1; seed <= 3; ++seed) {
    sim_options.seed = seed;
    FlowSim sim(sim_options, Factory(options));
    Traffic(sim, 3000, std::chrono::seconds(20), kRarely);
    SetState(sim, 0, 0, config::TargetState::kDraining);
    Traffic(sim, 100, std::chrono::seconds(10), kRarely);
    for (size_t vm = 0; vm < sim.VmCount(); ++vm) {
      sim.Leave(vm, std::chrono::seconds(1));
      for (int n = 0; n < 60 && sim.IsUp(vm); ++n) {
        Traffic(sim, 2, std::chrono::seconds(1), kRarely);
      }
      EXPECT_FALSE(sim.IsUp(vm));
      sim.Start(vm);
      Traffic(sim, 10, std::chrono::seconds(3), kRarely);
    }
    ExpectClean(sim);
  }
}

// A plan counts flows that a removal would cut; a VM that reports only what it
// owns would hide six sevenths of them.
TEST(FlowRouterTest, EachVmCountsTheFlowsOfAllVmsOnce) {
  FlowSim sim(FlowSimOptions{}, Factory(Options()));
  Traffic(sim, 400, std::chrono::seconds(5));
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
