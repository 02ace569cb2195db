// The whole VM process behind `marjoramhall run`.
#ifndef MARJORAMHALL_APP_RUN_VM_H_
#define MARJORAMHALL_APP_RUN_VM_H_

#include "src/settings/settings.h"

namespace marjoramhall::app {

// Runs a VM until it is told to stop by SIGTERM or SIGINT. Returns an exit
// code (exit_code.h).
int RunVm(const settings::Settings& settings);

}  // namespace marjoramhall::app

#endif  // MARJORAMHALL_APP_RUN_VM_H_
