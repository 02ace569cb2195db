// Implements `marjoramhall check` and `marjoramhall version`.
#include <nlohmann/json.hpp>

#include "src/app/commands.h"
#include "src/config/change.h"
#include "src/config/deployment_json.h"
#include "src/settings/load.h"

namespace marjoramhall::app {
namespace {

using Json = nlohmann::json;

// Returns the errors of the deployment file that the settings name, if any.
std::vector<std::string> CheckDeployment(const settings::Settings& settings) {
  const std::filesystem::path& path = settings.control.deployment;
  if (path.empty()) {
    return {};
  }
  const std::string prefix = path.string() + ": ";
  const auto text = settings::ReadFileFromDisk(path);
  if (!text) {
    return {prefix + "cannot read the deployment file"};
  }
  std::string error;
  const auto deployment = config::FromJson(*text, &error);
  if (!deployment) {
    return {prefix + error};
  }
  std::vector<std::string> errors =
      config::MakeInitialDeployment(*deployment, "check", {"check", "", "", 0})
          .errors;
  for (std::string& it : errors) {
    it.insert(0, prefix);
  }
  return errors;
}

}  // namespace

int RunCheck(Arguments arguments, const Streams& streams) {
  CommandLine line("check [OPTIONS] FILE",
                   "Checks a settings file, the files that it names and its "
                   "deployment, and\nreports all errors in one run.");
  TCLAP::SwitchArg json("j", "json", "print the result as JSON", line.tclap());
  TCLAP::UnlabeledValueArg<std::string> file("FILE", "settings file", true, "",
                                             "FILE", line.tclap());
  if (const auto code = line.Parse(arguments, streams)) {
    return *code;
  }
  const auto loaded = settings::Load(file.getValue());
  std::vector<std::string> errors;
  errors.reserve(loaded.errors.size());
  for (const auto& it : loaded.errors) {
    errors.push_back(it.Text());
  }
  for (std::string& it : CheckDeployment(loaded.settings)) {
    errors.push_back(std::move(it));
  }
  if (json.getValue()) {
    streams.out << Json{{"valid", errors.empty()}, {"errors", errors}}.dump()
                << "\n";
  } else if (errors.empty()) {
    streams.out << file.getValue() << " is valid\n";
  } else {
    for (const std::string& it : errors) {
      streams.err << it << "\n";
    }
  }
  return errors.empty() ? kExitOk : kExitUsage;
}

int RunVersion(Arguments arguments, const Streams& streams) {
  CommandLine line("version [OPTIONS]", "Prints the version.");
  TCLAP::SwitchArg json("j", "json", "print the version as JSON", line.tclap());
  if (const auto code = line.Parse(arguments, streams)) {
    return *code;
  }
  if (json.getValue()) {
    streams.out << Json{{"version", MARJORAMHALL_VERSION}}.dump() << "\n";
  } else {
    streams.out << "marjoramhall " << MARJORAMHALL_VERSION << "\n";
  }
  return kExitOk;
}

}  // namespace marjoramhall::app
