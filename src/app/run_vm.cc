// Runs a VM, or reports why it cannot start.
#include "src/app/run_vm.h"

#include <cstdio>

#include "src/app/exit_code.h"
#include "src/app/vm_process.h"

namespace marjoramhall::app {

int RunVm(const settings::Settings& settings) {
  VmProcess process(settings);
  const std::string error = process.Open();
  if (!error.empty()) {
    std::fprintf(stderr, "marjoramhall run: %s\n", error.c_str());
    return kExitUsage;
  }
  return process.Run();
}

}  // namespace marjoramhall::app
