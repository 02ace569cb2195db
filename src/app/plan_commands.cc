// Implements `marjoramhall plan`, `confirm` and `drain`.
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <nlohmann/json.hpp>

#include "src/app/commands.h"
#include "src/app/operator_client.h"
#include "src/app/plan_text.h"
#include "src/settings/load.h"

namespace marjoramhall::app {
namespace {

using Json = nlohmann::json;

std::string DefaultAuthor() {
  const char* user = std::getenv("USER");
  return user == nullptr || *user == '\0' ? "operator" : user;
}

// Reads a file, or standard input for "-". Reports a file that it cannot read.
std::optional<std::string> ReadInput(const std::string& path,
                                     const Streams& streams) {
  if (path == "-") {
    return std::string(std::istreambuf_iterator<char>(std::cin), {});
  }
  auto content = settings::ReadFileFromDisk(path);
  if (!content) {
    streams.err << "marjoramhall: cannot read " << path << "\n";
  }
  return content;
}

// Options of the commands that create a plan.
struct PlanOptions {
  explicit PlanOptions(TCLAP::CmdLineInterface& line)
      : author("a",
               "author",
               "author of the change (default: $USER)",
               false,
               DefaultAuthor(),
               "NAME",
               line),
        reason("r",
               "reason",
               "reason for the change, recorded in the history",
               false,
               "",
               "TEXT",
               line),
        out("o",
            "out",
            "file to save the plan to, for marjoramhall confirm",
            false,
            "",
            "FILE",
            line) {}

  Json MakeRequest(Json operations) {
    return {{"author", author.getValue()},
            {"reason", reason.getValue()},
            {"operations", std::move(operations)}};
  }

  // Writes the plan to the file given by --out, if any. Reports an error and
  // returns false when that fails.
  bool Save(const std::string& plan, const Streams& streams) {
    if (!out.isSet()) {
      return true;
    }
    std::ofstream file(out.getValue(), std::ios::binary);
    file << plan << "\n";
    file.close();
    if (!file) {
      streams.err << "marjoramhall: cannot write " << out.getValue() << "\n";
    }
    return static_cast<bool>(file);
  }

  TCLAP::ValueArg<std::string> author;
  TCLAP::ValueArg<std::string> reason;
  TCLAP::ValueArg<std::string> out;
};

std::string PlanIdOf(const std::string& plan) {
  const Json json = Json::parse(plan, nullptr, false);
  return json.is_object() && json.contains("plan_id") &&
                 json["plan_id"].is_string()
             ? json["plan_id"].get<std::string>()
             : "";
}

std::string ConfirmPath(const std::string& plan_id) {
  return "/v1/plans/" + plan_id + "/confirm";
}

bool IsPlanId(const std::string& text) {
  return text.size() == 32 &&
         text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

// Reports a failure, with the new plan if the answer contains one. Returns the
// exit code.
int ReportPlanFailure(const ApiAnswer& answer,
                      bool json,
                      const Streams& streams) {
  const int code = ReportFailure(answer, json, streams);
  const Json parsed = Json::parse(answer.body, nullptr, false);
  if (!json && parsed.is_object() && parsed.contains("new_plan")) {
    streams.err << "new plan, not confirmed:\n"
                << PlanText(parsed["new_plan"].dump());
  }
  return code;
}

}  // namespace

int RunPlan(Arguments arguments, const Streams& streams) {
  CommandLine line(
      "plan [OPTIONS] FILE",
      "Makes a plan from the operations in FILE (a JSON array; \"-\" reads "
      "standard\ninput) and prints its effects. Nothing changes until the "
      "plan is confirmed.");
  OperatorOptions operators(line.tclap());
  PlanOptions options(line.tclap());
  TCLAP::ValueArg<uint64_t> base(
      "b", "base",
      "revision that the operations were written for; the plan is refused if "
      "another one is in force",
      false, 0, "REVISION", line.tclap());
  TCLAP::UnlabeledValueArg<std::string> file(
      "FILE", "operations as a JSON array", true, "", "FILE", line.tclap());
  if (const auto code = line.Parse(arguments, streams)) {
    return *code;
  }
  if (const auto code = operators.Resolve(streams)) {
    return *code;
  }
  const auto text = ReadInput(file.getValue(), streams);
  if (!text) {
    return kExitUsage;
  }
  Json operations = Json::parse(*text, nullptr, false);
  if (!operations.is_array()) {
    streams.err << "marjoramhall: " << file.getValue()
                << ": expected a JSON array of operations\n";
    return kExitUsage;
  }
  Json request = options.MakeRequest(std::move(operations));
  if (base.isSet()) {
    request["base_revision"] = base.getValue();
  }
  const ApiAnswer answer = operators.Post("/v1/plans", request.dump());
  if (answer.status != 200) {
    return ReportPlanFailure(answer, operators.json(), streams);
  }
  if (!options.Save(answer.body, streams)) {
    return kExitFailed;
  }
  streams.out << (operators.json() ? answer.body + "\n"
                                   : PlanText(answer.body));
  return kExitOk;
}

int RunConfirm(Arguments arguments, const Streams& streams) {
  CommandLine line(
      "confirm [OPTIONS] PLAN",
      "Confirms a plan. PLAN is a file saved by \"marjoramhall plan --out\" "
      "(\"-\" reads\nstandard input), or the id of a plan that the same VM "
      "created. A plan takes\neffect once, even if it is confirmed several "
      "times.");
  OperatorOptions operators(line.tclap());
  TCLAP::UnlabeledValueArg<std::string> plan(
      "PLAN", "file with the plan, or its id", true, "", "PLAN", line.tclap());
  if (const auto code = line.Parse(arguments, streams)) {
    return *code;
  }
  if (const auto code = operators.Resolve(streams)) {
    return *code;
  }
  std::string id = plan.getValue();
  std::string body;
  if (!IsPlanId(id)) {
    const auto text = ReadInput(plan.getValue(), streams);
    if (!text) {
      return kExitUsage;
    }
    body = *text;
    id = PlanIdOf(body);
    if (!IsPlanId(id)) {
      streams.err << "marjoramhall: " << plan.getValue()
                  << " does not contain a plan\n";
      return kExitUsage;
    }
  }
  const ApiAnswer answer = operators.Post(ConfirmPath(id), body);
  if (answer.status != 200) {
    return ReportPlanFailure(answer, operators.json(), streams);
  }
  streams.out << (operators.json() ? answer.body + "\n"
                                   : ConfirmationText(answer.body));
  return kExitOk;
}

int RunDrain(Arguments arguments, const Streams& streams) {
  CommandLine line(
      "drain [OPTIONS] NAME",
      "Plans to drain a target. It gets no new flows or requests, and its "
      "current ones\nrun to their end. With --yes the plan is "
      "confirmed after it is shown.");
  OperatorOptions operators(line.tclap());
  PlanOptions options(line.tclap());
  TCLAP::SwitchArg undo("", "undo", "make the target active again",
                        line.tclap());
  TCLAP::SwitchArg yes("y", "yes", "confirm the plan", line.tclap());
  TCLAP::UnlabeledValueArg<std::string> name("NAME", "name of the target", true,
                                             "", "NAME", line.tclap());
  if (const auto code = line.Parse(arguments, streams)) {
    return *code;
  }
  if (const auto code = operators.Resolve(streams)) {
    return *code;
  }
  const Json request = options.MakeRequest(
      {{{"op", undo.getValue() ? "undrain-target" : "drain-target"},
        {"name", name.getValue()}}});
  const ApiAnswer plan = operators.Post("/v1/plans", request.dump());
  if (plan.status != 200) {
    return ReportPlanFailure(plan, operators.json(), streams);
  }
  if (!options.Save(plan.body, streams)) {
    return kExitFailed;
  }
  if (!operators.json()) {
    streams.out << PlanText(plan.body) << std::flush;
  }
  if (!yes.getValue()) {
    streams.out << (operators.json() ? plan.body
                                     : "not confirmed; --yes confirms")
                << "\n";
    return kExitOk;
  }
  const ApiAnswer answer =
      operators.Post(ConfirmPath(PlanIdOf(plan.body)), plan.body);
  if (answer.status != 200) {
    return ReportPlanFailure(answer, operators.json(), streams);
  }
  streams.out << (operators.json() ? answer.body + "\n"
                                   : ConfirmationText(answer.body));
  return kExitOk;
}

}  // namespace marjoramhall::app
