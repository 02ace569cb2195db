// Command table of the binary and shared handling of command line arguments.
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

// Output streams of a command: results go to `out`, everything else to `err`.
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
// Returns the exit code.
int RunCommand(std::span<const Command> commands,
               Arguments arguments,
               const Streams& streams);

// Parses the arguments of one command with TCLAP.
class CommandLine {
 public:
  // `synopsis` follows "usage: marjoramhall " in the help. `description`
  // explains the command in whole sentences.
  CommandLine(std::string synopsis, std::string description);

  // Pass this to the constructors of TCLAP arguments.
  TCLAP::CmdLineInterface& tclap() { return tclap_; }

  // Returns an exit code when the command must end, which is after printing the
  // help or after reporting a usage error.
  std::optional<int> Parse(Arguments arguments, const Streams& streams);

 private:
  std::string HelpText();
  // Returns the first undeclared option, or "". TCLAP would treat it as an
  // operand.
  std::string FindUnknownOption(Arguments arguments);

  std::string synopsis_;
  std::string description_;
  TCLAP::CmdLine tclap_;
};

// Formats rows as two indented columns, with the right column wrapped at 80
// characters a line.
std::string FormatColumns(
    const std::vector<std::pair<std::string, std::string>>& rows);

}  // namespace marjoramhall::app

#endif  // MARJORAMHALL_APP_COMMAND_H_
