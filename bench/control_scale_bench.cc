// Cost and convergence time of the control plane by number of VMs, in virtual
// time with real messages: traffic, CPU time and memory per VM, the time until
// a new revision is in force on all VMs, and store calls by kind.
// docs/design.md 1.4 and 1.5 state the required values.
#include <benchmark/benchmark.h>
#include <malloc.h>

#include <ctime>

#include "lab/control_sim.h"

namespace marjoramhall {
namespace {

using lab::ControlSim;
using std::chrono::milliseconds;
using std::chrono::seconds;

double CpuSeconds() {
  timespec t{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
  return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_nsec) * 1e-9;
}

uint64_t SentBytes(ControlSim& sim) {
  uint64_t n = 0;
  for (size_t i = 0; i < sim.size(); ++i) {
    n += sim.vm(i).sent_bytes;
  }
  return n;
}

uint64_t SentMessages(ControlSim& sim) {
  uint64_t n = 0;
  for (size_t i = 0; i < sim.size(); ++i) {
    n += sim.vm(i).sent_messages;
  }
  return n;
}

// True if every VM knows all VMs and a configuration. Cheaper than
// ControlSim::MembersAgree(), which copies all member lists.
bool IsConverged(ControlSim& sim) {
  for (size_t i = 0; i < sim.size(); ++i) {
    if (sim.core(i).membership().member_count() != sim.size() ||
        sim.core(i).gossip().current()->revision == 0) {
      return false;
    }
  }
  return true;
}

// Proposes the drain of a target at VM `i`. Returns the seconds until all VMs
// have the new revision, or -1 after 60 s.
double TimeUntilInForce(ControlSim& sim, size_t i, int number) {
  const auto& current = *sim.core(i).gossip().current();
  const std::string id = "change" + std::to_string(number);
  config::Deployment next = lab::NextSimDeployment(current, id);
  auto& targets =
      next.services[static_cast<size_t>(number) % next.services.size()].targets;
  targets.front().state = config::TargetState::kDraining;
  const Revision revision = next.revision;
  sim.core(i).Propose(next, id, [](const control::ProposeResult&) {});
  const auto elapsed = sim.RunUntil(
      [&] {
        for (size_t j = 0; j < sim.size(); ++j) {
          if (sim.core(j).gossip().current()->revision < revision) {
            return false;
          }
        }
        return true;
      },
      seconds(60));
  return elapsed ? std::chrono::duration<double>(*elapsed).count() : -1;
}

// Arguments: number of VMs, targets in the configuration, seconds between
// changes (0: none while measuring), and message loss in percent.
void ControlScale(benchmark::State& state) {
  const auto vms = static_cast<size_t>(state.range(0));
  const auto targets = static_cast<size_t>(state.range(1));
  const auto change_interval_s = state.range(2);
  constexpr int kMeasuredSeconds = 60;
  for (auto _ : state) {
    const size_t before = mallinfo2().uordblks;
    ControlSim sim(1, vms, std::min<size_t>(8, vms), true);
    sim.store().Restore({{"deployment", lab::FormatSimDeployment(
                                            lab::MakeSimDeployment(targets))}});
    sim.StartAll();
    const auto converged =
        sim.RunUntil([&] { return IsConverged(sim); }, seconds(120));
    sim.Run(seconds(60));
    const size_t after = mallinfo2().uordblks;
    sim.faults().loss_probability = static_cast<double>(state.range(3)) / 100;

    const uint64_t bytes = SentBytes(sim);
    const uint64_t messages = SentMessages(sim);
    const uint64_t reads = sim.store_calls("read");
    const uint64_t watches = sim.store_calls("watch");
    const uint64_t writes = sim.store_calls("write");
    const double cpu = CpuSeconds();
    double slowest_s = 0;
    const TimePoint start = sim.now();
    for (int n = 0; sim.now() - start < seconds(kMeasuredSeconds);) {
      if (change_interval_s > 0) {
        slowest_s = std::max(
            slowest_s, TimeUntilInForce(sim, static_cast<size_t>(n) % vms, n));
        ++n;
      }
      sim.Run(change_interval_s > 0 ? seconds(change_interval_s)
                                    : seconds(kMeasuredSeconds));
    }
    const double span =
        std::chrono::duration<double>(sim.now() - start).count();
    const double per_vm = 1 / (static_cast<double>(vms) * span);
    state.counters["formed_s"] =
        converged ? std::chrono::duration<double>(*converged).count() : -1;
    state.counters["bytes/vm/s"] =
        static_cast<double>(SentBytes(sim) - bytes) * per_vm;
    state.counters["msgs/vm/s"] =
        static_cast<double>(SentMessages(sim) - messages) * per_vm;
    state.counters["cpu_us/vm/s"] = (CpuSeconds() - cpu) * 1e6 * per_vm;
    state.counters["KB/vm"] =
        static_cast<double>(after - before) / 1024 / static_cast<double>(vms);
    state.counters["spread_s"] = slowest_s;
    state.counters["reads/s"] =
        static_cast<double>(sim.store_calls("read") - reads) / span;
    state.counters["watches/s"] =
        static_cast<double>(sim.store_calls("watch") - watches) / span;
    state.counters["writes/s"] =
        static_cast<double>(sim.store_calls("write") - writes) / span;
    state.counters["removals"] = static_cast<double>(sim.TotalRemovals());
  }
}

BENCHMARK(ControlScale)
    ->ArgNames({"vms", "targets", "change_s", "loss"})
    ->Args({2, 18, 0, 0})
    ->Args({8, 18, 0, 0})
    ->Args({32, 160, 0, 0})
    ->Args({128, 640, 0, 0})
    ->Args({760, 3800, 0, 0})
    ->Args({8, 18, 20, 0})
    ->Args({8, 18, 20, 20})
    ->Args({32, 160, 20, 0})
    ->Args({128, 640, 20, 0})
    ->Args({760, 3800, 30, 0})
    ->Iterations(1)
    ->Unit(benchmark::kSecond);

}  // namespace
}  // namespace marjoramhall
