// marjoramhall-lab: stand-ins, load generators and experiments for tests on
// loopback. Not shipped.
#include <cstdio>
#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "lab/flow_baselines.h"
#include "lab/flow_commands.h"
#include "lab/forward_soak.h"
#include "lab/http_commands.h"
#include "lab/ports.h"
#include "lab/request_experiment.h"
#include "lab/store_commands.h"

namespace {

struct Command {
  std::string_view name;
  std::string_view summary;
  std::function<int(std::span<const std::string>)> run;
};

const std::vector<Command>& Commands() {
  static const std::vector<Command> kCommands = {
      {"flow-experiment", "compare flow routing designs in virtual time",
       marjoramhall::lab::RunFlowExperiment},
      {"flow-load", "open flows through VMs and check where they arrive",
       marjoramhall::lab::RunFlowLoad},
      {"forward-soak",
       "inject random faults into forwarding VMs and check guarantees",
       marjoramhall::lab::RunForwardSoak},
      {"ports", "print N free loopback ports", marjoramhall::lab::RunPorts},
      {"store", "run a stand-in for the platform's store",
       marjoramhall::lab::RunStore},
      {"http-targets", "run stand-in targets",
       marjoramhall::lab::RunHttpTargets},
      {"http-load", "send requests and check the answers",
       marjoramhall::lab::RunHttpLoad},
      {"request-experiment", "compare request policies in virtual time",
       marjoramhall::lab::RunRequestExperiment},
  };
  return kCommands;
}

int PrintUsage(std::FILE* out) {
  std::fprintf(out, "usage: marjoramhall-lab COMMAND [ARGUMENTS]\n\n");
  for (const Command& it : Commands()) {
    std::fprintf(out, "  %-20.*s %.*s\n", static_cast<int>(it.name.size()),
                 it.name.data(), static_cast<int>(it.summary.size()),
                 it.summary.data());
  }
  return out == stdout ? 0 : 2;
}

}  // namespace

int main(int argc, char** argv) {
  const std::vector<std::string> args(argv + 1, argv + argc);
  if (args.empty()) {
    return PrintUsage(stderr);
  }
  if (args[0] == "--help") {
    return PrintUsage(stdout);
  }
  for (const Command& it : Commands()) {
    if (it.name == args[0]) {
      return it.run(std::span(args).subspan(1));
    }
  }
  std::fprintf(stderr, "marjoramhall-lab: unknown command %s\n",
               args[0].c_str());
  return PrintUsage(stderr);
}
