// The lab commands that speak HTTP/2: stand-in targets and callers. Addresses
// are loopback only; runs are bounded in time and count.
#ifndef MARJORAMHALL_LAB_HTTP_COMMANDS_H_
#define MARJORAMHALL_LAB_HTTP_COMMANDS_H_

#include <span>
#include <string>

namespace marjoramhall::lab {

// Runs stand-in targets until SIGTERM or --duration-s. Prints one line
// "target NAME ADDRESS" a target, then "ready", and at the end one JSON line.
// Returns the exit code.
int RunHttpTargets(std::span<const std::string> args);

// Sends requests to VMs and checks every answer. Prints a table on stderr and
// one JSON line on stdout. Returns 0 when no answer was wrong and nothing ran
// twice or in spite of a "not run", else 1; 2 for bad arguments.
int RunHttpLoad(std::span<const std::string> args);

}  // namespace marjoramhall::lab

#endif  // MARJORAMHALL_LAB_HTTP_COMMANDS_H_
