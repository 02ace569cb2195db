// Compares flow routing designs in virtual time.
#include <fmt/format.h>

#include <tclap/CmdLine.h>
#include <algorithm>
#include <cstdio>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "lab/flow_baselines.h"
#include "lab/flow_sim.h"

namespace marjoramhall::lab {
namespace {

constexpr Duration kStep = std::chrono::milliseconds(100);
// Each flow sends one packet per this number of steps.
constexpr size_t kStepsPerPacket = 50;

struct PhaseResult {
  std::string design;
  std::string phase;
  size_t flows = 0;
  uint64_t established = 0;
  uint64_t broken = 0;
  uint64_t misrouted = 0;
  uint64_t new_on_draining = 0;
  // Largest relative deviation of a target's flow count from the mean of its
  // service. Measured in the first phase only, since later phases have flows
  // that were assigned to other sets of targets.
  std::optional<double> imbalance;
  // Control bytes per second and VM: mean over the phase, and the maximum of
  // any VM in one second.
  double control_mean = 0;
  double control_peak = 0;
};

class Experiment {
 public:
  Experiment(FlowDesign design, size_t vms, size_t flows, uint64_t seed)
      : design_(NameOf(design)),
        flows_(flows),
        sim_(SimOptions(vms, seed), MakeFlowNodes(design, FlowOptions())) {}

  std::vector<PhaseResult> Run() {
    RunPhase("establish", [&] {
      RunTraffic(std::chrono::seconds(20), flows_);
      RunTraffic(std::chrono::seconds(20), 0);
    });
    RunPhase("drain", [&] {
      SetState(0, config::TargetState::kDraining);
      RunTraffic(std::chrono::seconds(30), flows_ / 20);
    });
    RunPhase("kill", [&] {
      sim_.Kill(1);
      RunTraffic(std::chrono::seconds(20), flows_ / 20);
      sim_.Start(1);
      RunTraffic(std::chrono::seconds(10), 0);
    });
    RunPhase("rolling-restart", [&] {
      for (size_t vm = 0; vm < sim_.VmCount(); ++vm) {
        sim_.Leave(vm, std::chrono::seconds(4));
        RunTraffic(std::chrono::seconds(7), flows_ / 100);
        sim_.Start(vm);
        RunTraffic(std::chrono::seconds(5), 0);
      }
    });
    return results_;
  }

 private:
  static FlowSimOptions SimOptions(size_t vms, uint64_t seed) {
    FlowSimOptions options;
    options.vms = vms;
    options.seed = seed;
    return options;
  }

  static flow::FlowOptions FlowOptions() {
    flow::FlowOptions options;
    options.shared_key = FlowSimOptions().shared_key;
    return options;
  }

  template <typename Action>
  void RunPhase(const char* name, Action action) {
    const auto before = sim_.violations();
    CountControl();
    phase_bytes_ = 0;
    phase_seconds_ = 0;
    phase_peak_bytes_ = 0;
    const size_t first = sim_.flows().size();
    action();
    PhaseResult it;
    it.design = design_;
    it.phase = name;
    it.flows = sim_.flows().size();
    it.established = static_cast<uint64_t>(
        std::count_if(sim_.flows().begin(), sim_.flows().end(),
                      [](const SimFlow& f) { return f.established; }));
    it.broken = sim_.violations().broken - before.broken;
    it.misrouted = sim_.violations().misrouted - before.misrouted;
    it.new_on_draining =
        sim_.violations().new_on_draining - before.new_on_draining;
    if (first == 0) {
      it.imbalance = Imbalance();
    }
    it.control_mean = phase_bytes_ / std::max(phase_seconds_, 1.0) /
                      static_cast<double>(sim_.VmCount());
    it.control_peak = phase_peak_bytes_;
    results_.push_back(it);
    std::fprintf(stderr, "%s %s done\n", design_.c_str(), name);
  }

  void SetState(size_t target, config::TargetState state) {
    sim_.Change([&](config::Deployment& it) {
      it.services[0].targets[target].state = state;
    });
  }

  // Starts `new_flows` flows evenly over `span` and sends packets of the open
  // ones. 14 of 18 flows go to the first service, in proportion to its targets.
  void RunTraffic(Duration span, size_t new_flows) {
    const auto steps = static_cast<size_t>(span / kStep);
    for (size_t i = 0; i < steps; ++i) {
      for (size_t n = new_flows * i / steps; n < new_flows * (i + 1) / steps;
           ++n) {
        sim_.StartFlow(sim_.Random(18) < 14 ? 0 : 1);
      }
      for (size_t f = step_ % kStepsPerPacket; f < sim_.flows().size();
           f += kStepsPerPacket) {
        sim_.SendData(f);
      }
      sim_.RunFor(kStep);
      if (++step_ % 10 == 0) {
        CountControl();
      }
    }
  }

  // Adds the control bytes since the last call, about one second ago.
  void CountControl() {
    phase_seconds_ += 1;
    for (size_t vm = 0; vm < sim_.VmCount(); ++vm) {
      if (!sim_.IsUp(vm)) {
        last_control_bytes_.erase(vm);
        continue;
      }
      const auto bytes = static_cast<double>(sim_.Node(vm)->ControlBytes());
      const double before =
          last_control_bytes_[vm] <= bytes ? last_control_bytes_[vm] : 0;
      phase_bytes_ += bytes - before;
      phase_peak_bytes_ = std::max(phase_peak_bytes_, bytes - before);
      last_control_bytes_[vm] = bytes;
    }
  }

  // Largest relative deviation of a target's flow count from the mean of its
  // service.
  double Imbalance() {
    double worst = 0;
    for (uint32_t s = 0; s < 2; ++s) {
      std::map<TargetId, double> counts;
      double total = 0;
      for (const SimFlow& it : sim_.flows()) {
        if (it.service == s && it.established) {
          ++counts[it.target];
          ++total;
        }
      }
      const auto& targets = sim_.deployment().services[s].targets;
      const double mean = total / static_cast<double>(targets.size());
      for (const auto& it : targets) {
        worst = std::max(worst, std::abs(counts[it.id] - mean) / mean);
      }
    }
    return worst;
  }

  std::string design_;
  size_t flows_;
  FlowSim sim_;
  size_t step_ = 0;
  std::map<size_t, double> last_control_bytes_;
  double phase_bytes_ = 0;
  double phase_seconds_ = 0;
  double phase_peak_bytes_ = 0;
  std::vector<PhaseResult> results_;
};

void Print(const std::vector<PhaseResult>& results) {
  fmt::print("{:<14}{:<17}{:>8}{:>8}{:>9}{:>10}{:>11}{:>10}{:>10}\n", "design",
             "phase", "flows", "broken", "misroute", "new@drain", "imbalance%",
             "B/s mean", "B/s peak");
  nlohmann::json all = nlohmann::json::array();
  for (const PhaseResult& it : results) {
    const std::string imbalance =
        it.imbalance ? fmt::format("{:.2f}", *it.imbalance * 100) : "-";
    fmt::print("{:<14}{:<17}{:>8}{:>8}{:>9}{:>10}{:>11}{:>10.0f}{:>10.0f}\n",
               it.design, it.phase, it.established, it.broken, it.misrouted,
               it.new_on_draining, imbalance, it.control_mean, it.control_peak);
    all.push_back(
        {{"design", it.design},
         {"phase", it.phase},
         {"flows", it.flows},
         {"established", it.established},
         {"broken", it.broken},
         {"misrouted", it.misrouted},
         {"new_on_draining", it.new_on_draining},
         {"imbalance", it.imbalance ? nlohmann::json(*it.imbalance) : nullptr},
         {"control_bytes_per_second_mean", it.control_mean},
         {"control_bytes_per_second_peak", it.control_peak}});
  }
  fmt::print("{}\n", nlohmann::json{{"flow_experiment", all}}.dump());
}

}  // namespace

int RunFlowExperiment(std::span<const std::string> args) {
  std::vector<std::string> argv(args.begin(), args.end());
  argv.insert(argv.begin(), "flow-experiment");
  try {
    TCLAP::CmdLine line("Compares flow routing designs in virtual time.");
    line.setExceptionHandling(false);
    TCLAP::ValueArg<size_t> vms("", "vms", "number of VMs", false, 7, "N",
                                line);
    TCLAP::ValueArg<size_t> flows("", "flows", "flows to establish", false,
                                  28000, "N", line);
    TCLAP::ValueArg<uint64_t> seed("", "seed", "random seed", false, 1, "N",
                                   line);
    TCLAP::ValueArg<std::string> only("", "design", "run this design only",
                                      false, "", "NAME", line);
    line.parse(argv);
    std::vector<PhaseResult> results;
    for (const auto& it : kFlowDesignNames) {
      if (only.getValue().empty() || only.getValue() == it.name) {
        Experiment experiment(it.value, vms.getValue(), flows.getValue(),
                              seed.getValue());
        const auto part = experiment.Run();
        results.insert(results.end(), part.begin(), part.end());
      }
    }
    Print(results);
  } catch (const TCLAP::ArgException& e) {
    std::fprintf(stderr, "flow-experiment: %s %s\n", e.error().c_str(),
                 e.argId().c_str());
    return 2;
  } catch (const TCLAP::ExitException& e) {
    return e.getExitStatus();
  }
  return 0;
}

}  // namespace marjoramhall::lab
