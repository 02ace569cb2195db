// Implements `marjoramhall status`.
#include "src/app/commands.h"
#include "src/app/operator_client.h"
#include "src/app/plan_text.h"

namespace marjoramhall::app {

int RunStatus(Arguments arguments, const Streams& streams) {
  CommandLine line(
      "status [OPTIONS]",
      "Prints the revision in force, the VMs and their revisions, and "
      "the targets with\ntheir flows and requests.");
  OperatorOptions operators(line.tclap());
  TCLAP::SwitchArg history("", "history",
                           "print the accepted changes instead of the status",
                           line.tclap());
  if (const auto code = line.Parse(arguments, streams)) {
    return *code;
  }
  if (const auto code = operators.Resolve(streams)) {
    return *code;
  }
  const ApiAnswer answer =
      operators.Get(history.getValue() ? "/v1/history" : "/v1/status");
  if (answer.status != 200) {
    return ReportFailure(answer, operators.json(), streams);
  }
  if (operators.json()) {
    streams.out << answer.body << "\n";
  } else {
    streams.out << (history.getValue() ? HistoryText(answer.body)
                                       : StatusText(answer.body));
  }
  return kExitOk;
}

}  // namespace marjoramhall::app
