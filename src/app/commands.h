// The commands of the binary. Each parses its arguments and returns an exit
// code (exit_code.h).
#ifndef MARJORAMHALL_APP_COMMANDS_H_
#define MARJORAMHALL_APP_COMMANDS_H_

#include "src/app/command.h"

namespace marjoramhall::app {

int RunCheck(Arguments arguments, const Streams& streams);
int RunConfirm(Arguments arguments, const Streams& streams);
int RunDrain(Arguments arguments, const Streams& streams);
// Runs a ForwardProcess (forward_process.h).
int RunForward(Arguments arguments, const Streams& streams);
int RunPlan(Arguments arguments, const Streams& streams);
// Runs a VmProcess (vm_process.h).
int RunRun(Arguments arguments, const Streams& streams);
int RunStatus(Arguments arguments, const Streams& streams);
int RunVersion(Arguments arguments, const Streams& streams);

}  // namespace marjoramhall::app

#endif  // MARJORAMHALL_APP_COMMANDS_H_
