// Finds free loopback ports for scripts that write settings files before the
// processes start.
#ifndef MARJORAMHALL_LAB_PORTS_H_
#define MARJORAMHALL_LAB_PORTS_H_

#include <span>
#include <string>

namespace marjoramhall::lab {

// Prints args[0] (1 to 1000) port numbers, one per line, that are free for both
// TCP and UDP on 127.0.0.1. They are not reserved: another process may bind one
// before the caller does. Returns the exit code.
int RunPorts(std::span<const std::string> args);

}  // namespace marjoramhall::lab

#endif  // MARJORAMHALL_LAB_PORTS_H_
