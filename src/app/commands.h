// The commands of the binary. Each parses its arguments, does its work and
// returns an exit code (exit_code.h).
#ifndef MARJORAMHALL_APP_COMMANDS_H_
#define MARJORAMHALL_APP_COMMANDS_H_

#include "src/app/command.h"

namespace marjoramhall::app {

int RunCheck(Arguments arguments, const Streams& streams);
int RunConfirm(Arguments arguments, const Streams& streams);
int RunDrain(Arguments arguments, const Streams& streams);
// `marjoramhall forward`: a VM on the platform (forward_process.h).
int RunForward(Arguments arguments, const Streams& streams);
int RunPlan(Arguments arguments, const Streams& streams);
// `marjoramhall run`; links with RunVm (run_vm.h).
int RunRun(Arguments arguments, const Streams& streams);
int RunStatus(Arguments arguments, const Streams& streams);
int RunVersion(Arguments arguments, const Streams& streams);

}  // namespace marjoramhall::app

#endif  // MARJORAMHALL_APP_COMMANDS_H_
