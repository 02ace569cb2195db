// The lab commands for HTTP/2: stand-in targets and a load generator. They
// accept loopback addresses only, and bound the duration of a run and the
// number of requests.
#ifndef MARJORAMHALL_LAB_HTTP_COMMANDS_H_
#define MARJORAMHALL_LAB_HTTP_COMMANDS_H_

#include <span>
#include <string>

namespace marjoramhall::lab {

// Runs stand-in targets until SIGTERM or until --duration-s has passed. Prints
// one line "target NAME ADDRESS" per target, then "ready", and one JSON line at
// the end. Returns the exit code.
int RunHttpTargets(std::span<const std::string> args);

// Sends requests to VMs and checks every answer. Prints a table to stderr and
// one JSON line to stdout. Returns 0 if every answer was correct, no request
// ran twice and no request ran after it was reported as not run; 1 otherwise; 2
// for invalid arguments.
int RunHttpLoad(std::span<const std::string> args);

}  // namespace marjoramhall::lab

#endif  // MARJORAMHALL_LAB_HTTP_COMMANDS_H_
