// Implements `marjoramhall forward`.
#include "src/app/commands.h"
#include "src/app/forward_process.h"
#include "src/settings/load.h"

namespace marjoramhall::app {

int RunForward(Arguments arguments, const Streams& streams) {
  CommandLine line(
      "forward [OPTIONS]",
      "Runs a VM that forwards packets by their target token until "
      "SIGTERM or SIGINT.\nRoutes and targets are read from the "
      "platform's store.");
  TCLAP::ValueArg<std::string> file("s", "settings", "settings file", true, "",
                                    "FILE", line.tclap());
  if (const auto code = line.Parse(arguments, streams)) {
    return *code;
  }
  const settings::LoadResult loaded = settings::Load(file.getValue());
  for (const auto& it : loaded.errors) {
    streams.err << it.Text() << "\n";
  }
  if (!loaded.errors.empty()) {
    return kExitUsage;
  }
  ForwardProcess process(loaded.settings, file.getValue());
  const std::string error = process.Open();
  if (!error.empty()) {
    streams.err << "marjoramhall forward: " << error << "\n";
    return kExitUsage;
  }
  return process.Run();
}

}  // namespace marjoramhall::app
