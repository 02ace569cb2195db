// Starts a VM and reports what keeps it from starting.
#include "src/app/run_vm.h"

#include <cstdio>

#include "src/app/vm_process.h"

namespace marjoramhall::app {
namespace {

constexpr int kSettingsUnusable = 2;

}  // namespace

int RunVm(const settings::Settings& settings) {
  VmProcess process(settings);
  const std::string error = process.Open();
  if (!error.empty()) {
    std::fprintf(stderr, "marjoramhall run: %s\n", error.c_str());
    return kSettingsUnusable;
  }
  return process.Run();
}

}  // namespace marjoramhall::app
