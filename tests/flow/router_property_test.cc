// Runs several flow routers through random joins, leaves, kills, pauses,
// drains, weight changes, partitions and faulty control messages. After each
// step, checks that no packet was misrouted, no flow broken and no new flow
// sent to a draining target.
#include <gtest/gtest.h>
#include <rapidcheck/detail/Configuration.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <sstream>

#include "lab/flow_sim.h"
#include "src/flow/flow_router.h"

namespace marjoramhall::flow {
namespace {

using lab::FlowSim;
using lab::FlowSimOptions;

enum class Step {
  kTraffic,
  kDrain,
  kUndrain,
  kChangeWeight,
  kJoin,
  kLeave,
  kPause,
  kKill
};

class Scenario {
 public:
  explicit Scenario(const FlowSimOptions& options)
      : sim_(options, [](VmId self, Incarnation incarnation, SendToPeer send) {
          FlowOptions flow;
          flow.max_table_entries = 4096;
          flow.idle_timeout = std::chrono::seconds(16);
          flow.confirm_interval = std::chrono::seconds(4);
          flow.shared_key = "lab";
          return std::make_unique<lab::RouterNode>(
              flow, self, incarnation, std::move(send), DecisionHook());
        }) {}

  FlowSim& sim() { return sim_; }

  // Starts about 20 flows per second, up to 300 to limit the duration of the
  // test. Each flow sends a packet every 0.5 s.
  void RunTraffic(Duration span) {
    for (Duration t{0}; t < span; t += std::chrono::milliseconds(100)) {
      for (size_t n = sim_.Random(5); n > 0 && sim_.flows().size() < 300; --n) {
        sim_.StartFlow(static_cast<uint32_t>(sim_.Random(2)));
      }
      for (size_t f = sim_.Random(5); f < sim_.flows().size(); f += 5) {
        sim_.SendData(f);
      }
      if (!sim_.flows().empty() && sim_.Chance(0.1)) {
        sim_.CloseFlow(sim_.Random(sim_.flows().size()));
      }
      sim_.RunFor(std::chrono::milliseconds(100));
    }
  }

  void Apply(Step step, uint32_t choice) {
    const size_t vm = choice % sim_.VmCount();
    switch (step) {
      case Step::kTraffic:
        break;
      case Step::kDrain:
      case Step::kUndrain:
      case Step::kChangeWeight:
        ChangeTarget(step, choice);
        break;
      case Step::kJoin:
        StartOrAddVm();
        break;
      case Step::kLeave:
        if (CanRemoveVm(vm)) {
          sim_.Leave(vm, std::chrono::seconds(4));
        }
        break;
      case Step::kPause:
        sim_.Pause(vm, std::chrono::milliseconds(choice % 2000));
        break;
      case Step::kKill:
        // One kill at a time: within 20 s, the flows of the killed VM have an
        // owner and a backup again.
        if (CanRemoveVm(vm) &&
            sim_.now() - last_kill_ > std::chrono::seconds(20)) {
          last_kill_ = sim_.now();
          sim_.Kill(vm);
        }
        break;
    }
    RunTraffic(std::chrono::milliseconds(500 + choice % 4000));
  }

 private:
  // Keeps at least two VMs running. A leaving VM takes 4 s to stop.
  bool CanRemoveVm(size_t vm) {
    size_t up = 0;
    for (size_t i = 0; i < sim_.VmCount(); ++i) {
      up += sim_.IsUp(i) ? 1 : 0;
    }
    const bool no_recent_removal =
        sim_.now() - last_removal_ > std::chrono::seconds(6);
    if (!sim_.IsUp(vm) || up < 4 || !no_recent_removal) {
      return false;
    }
    last_removal_ = sim_.now();
    return true;
  }

  void StartOrAddVm() {
    for (size_t i = 0; i < sim_.VmCount(); ++i) {
      if (!sim_.IsUp(i)) {
        sim_.Start(i);
        return;
      }
    }
    if (sim_.VmCount() < 9) {
      sim_.Join();
    }
  }

  void ChangeTarget(Step step, uint32_t choice) {
    sim_.Change([&](config::Deployment& it) {
      auto& targets = it.services[choice % 2].targets;
      auto& target = targets[(choice / 2) % targets.size()];
      if (step == Step::kChangeWeight) {
        target.weight = 20 + choice % 200;
      } else if (step == Step::kUndrain) {
        target.state = config::TargetState::kActive;
      } else if (std::count_if(targets.begin(), targets.end(), [](auto& t) {
                   return t.state == config::TargetState::kActive;
                 }) > 1) {
        target.state = config::TargetState::kDraining;
      }
    });
  }

  FlowSim sim_;
  TimePoint last_kill_{};
  TimePoint last_removal_{};
};

FlowSimOptions RandomSimOptions() {
  FlowSimOptions options;
  options.seed = *rc::gen::arbitrary<uint32_t>();
  options.vms = *rc::gen::inRange<size_t>(3, 8);
  options.targets = {*rc::gen::inRange<size_t>(2, 9), 3};
  options.control_loss_probability = *rc::gen::inRange(0, 25) / 100.0;
  options.control_duplicate_probability = *rc::gen::inRange(0, 20) / 100.0;
  options.control_delay = std::chrono::milliseconds(*rc::gen::inRange(0, 1500));
  options.hop_loss_probability = *rc::gen::inRange(0, 3) / 100.0;
  options.fabric_duplicate_probability = *rc::gen::inRange(0, 5) / 100.0;
  return options;
}

rc::Gen<std::vector<std::pair<Step, uint32_t>>> Steps(int limit) {
  return rc::gen::scale(
      limit / 100.0,
      rc::gen::container<std::vector<std::pair<Step, uint32_t>>>(rc::gen::pair(
          rc::gen::element(Step::kTraffic, Step::kDrain, Step::kUndrain,
                           Step::kChangeWeight, Step::kJoin, Step::kLeave,
                           Step::kPause, Step::kKill),
          rc::gen::resize(100, rc::gen::arbitrary<uint32_t>()))));
}

// Runs 40 cases. With MARJORAMHALL_DEEP set, runs the number in RC_PARAMS, or
// 100 without it.
void CheckScenarios(void (*property)()) {
  auto params = rc::detail::configuration().testParams;
  if (std::getenv("MARJORAMHALL_DEEP") == nullptr) {
    params.maxSuccess = std::min(params.maxSuccess, 40);
  }
  const auto result =
      rc::detail::checkTestable(property, rc::detail::TestMetadata(), params);
  std::ostringstream message;
  rc::detail::printResultMessage(result, message);
  EXPECT_TRUE(result.is<rc::detail::SuccessResult>()) << message.str();
}

void PlannedChangesAndKills() {
  Scenario scenario(RandomSimOptions());
  scenario.RunTraffic(std::chrono::seconds(3));
  for (const auto& [step, choice] : *Steps(12)) {
    scenario.Apply(step, choice);
    const auto& violations = scenario.sim().violations();
    RC_ASSERT(violations.misrouted == 0U);
    RC_ASSERT(violations.broken == 0U);
    RC_ASSERT(violations.new_on_draining == 0U);
  }
}

// The sides of a partition do not know each other's flows, so flows may break,
// but no packet may be misrouted. Flows that start 5 s after the partition is
// healed must not break.
void PartitionAndHeal() {
  Scenario scenario(RandomSimOptions());
  FlowSim& sim = scenario.sim();
  scenario.RunTraffic(std::chrono::seconds(3));
  sim.Partition({0, *rc::gen::inRange(0, 2), 1});
  for (const auto& [step, choice] : *Steps(5)) {
    scenario.Apply(step, choice);
    RC_ASSERT(sim.violations().misrouted == 0U);
  }
  sim.Heal();
  scenario.RunTraffic(std::chrono::seconds(5));
  const size_t first = sim.flows().size();
  scenario.RunTraffic(std::chrono::seconds(10));
  RC_ASSERT(sim.violations().misrouted == 0U);
  for (size_t i = first; i < sim.flows().size(); ++i) {
    RC_ASSERT(!sim.flows()[i].broken);
  }
}

TEST(FlowRouterPropertyTest, NoViolationsUnderPlannedChangesAndKills) {
  CheckScenarios(&PlannedChangesAndKills);
}

TEST(FlowRouterPropertyTest, NoMisroutedPacketsDuringPartition) {
  CheckScenarios(&PartitionAndHeal);
}

}  // namespace
}  // namespace marjoramhall::flow
