// Implements `marjoramhall run`.
#include "src/app/commands.h"
#include "src/app/run_vm.h"
#include "src/settings/load.h"

namespace marjoramhall::app {

int RunRun(Arguments arguments, const Streams& streams) {
  CommandLine line(
      "run [OPTIONS]",
      "Runs a VM until SIGTERM or SIGINT. Without a settings file "
      "it runs alone on\nloopback addresses with the default ports.");
  TCLAP::ValueArg<std::string> file("s", "settings", "settings file", false, "",
                                    "FILE", line.tclap());
  if (const auto code = line.Parse(arguments, streams)) {
    return *code;
  }
  settings::LoadResult loaded;
  if (file.isSet()) {
    loaded = settings::Load(file.getValue());
  }
  for (const auto& it : loaded.errors) {
    streams.err << it.Text() << "\n";
  }
  return loaded.errors.empty() ? RunVm(loaded.settings) : int{kExitUsage};
}

}  // namespace marjoramhall::app
