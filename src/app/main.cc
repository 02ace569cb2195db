// The marjoramhall binary: dispatches to its commands.
#include <iostream>

#include "src/app/commands.h"

namespace {

constexpr marjoramhall::app::Command kCommands[] = {
#ifdef MARJORAMHALL_RUN
    {"run", "run a VM", marjoramhall::app::RunRun},
#endif
    {"forward", "run a VM that forwards packets by target token",
     marjoramhall::app::RunForward},
    {"check", "check a settings file and its deployment",
     marjoramhall::app::RunCheck},
#ifdef MARJORAMHALL_RUN
    {"status", "print the revision, VMs and targets",
     marjoramhall::app::RunStatus},
    {"plan", "show the effects of a change", marjoramhall::app::RunPlan},
    {"confirm", "put a plan in force", marjoramhall::app::RunConfirm},
    {"drain", "stop sending new work to a target and let its work finish",
     marjoramhall::app::RunDrain},
#endif
    {"version", "print the version", marjoramhall::app::RunVersion},
};

}  // namespace

int main(int argc, char** argv) {
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  return marjoramhall::app::RunCommand(kCommands, arguments,
                                       {std::cout, std::cerr});
}
