// The lab command that runs the stand-in for the platform's store.
#ifndef MARJORAMHALL_LAB_STORE_COMMANDS_H_
#define MARJORAMHALL_LAB_STORE_COMMANDS_H_

#include <span>
#include <string>

namespace marjoramhall::lab {

// Arguments: --listen ADDRESS:PORT [--content FILE] [--seconds N]. Prints
// "ready" once it listens, stops on SIGTERM, SIGINT or after N seconds, and
// prints the call counts as one JSON line. Returns the exit code.
int RunStore(std::span<const std::string> args);

}  // namespace marjoramhall::lab

#endif  // MARJORAMHALL_LAB_STORE_COMMANDS_H_
