// Commands of the binary and what their argument handling has in common.
#ifndef MARJORAMHALL_APP_COMMAND_H_
#define MARJORAMHALL_APP_COMMAND_H_

#include <tclap/CmdLine.h>

#include <optional>
#include <ostream>
#include <span>
#include <string>
#include <vector>

#include "src/app/exit_code.h"

namespace marjoramhall::app {

// Where a command writes: results to `out`, everything else to `err`.
struct Streams {
  std::ostream& out;
  std::ostream& err;
};

using Arguments = std::span<const std::string>;

struct Command {
  const char* name;
  const char* summary;
  // Returns the exit code.
  int (*run)(Arguments arguments, const Streams& streams);
};

// Runs the command that the first argument names, or prints the general help.
int RunCommand(std::span<const Command> commands,
               Arguments arguments,
               const Streams& streams);

// The command line of one command, on TCLAP.
class CommandLine {
 public:
  // `synopsis` follows "usage: marjoramhall " in the help; `text` explains the
  // command in whole sentences.
  CommandLine(std::string synopsis, std::string text);

  // To be passed to TCLAP's arguments.
  TCLAP::CmdLineInterface& tclap() { return tclap_; }

  // Returns the exit code when the command has to end here: after --help, or
  // after a usage error that was reported.
  std::optional<int> Parse(Arguments arguments, const Streams& streams);

 private:
  std::string Help();
  // The first option that no argument declares, or "". TCLAP itself would take
  // it for an operand.
  std::string FindUnknownOption(Arguments arguments);

  std::string synopsis_;
  std::string text_;
  TCLAP::CmdLine tclap_;
};

// Writes lines "  left   right", with the right column wrapped at 80.
std::string FormatColumns(
    const std::vector<std::pair<std::string, std::string>>& rows);

}  // namespace marjoramhall::app

#endif  // MARJORAMHALL_APP_COMMAND_H_
