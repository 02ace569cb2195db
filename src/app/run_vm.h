// Runs one VM for `marjoramhall run`.
#ifndef MARJORAMHALL_APP_RUN_VM_H_
#define MARJORAMHALL_APP_RUN_VM_H_

#include "src/settings/settings.h"

namespace marjoramhall::app {

// Runs until SIGTERM or SIGINT. Returns the exit code: 0 after a graceful stop,
// 1 if requests were cut, 2 if the VM could not start with the settings.
int RunVm(const settings::Settings& settings);

}  // namespace marjoramhall::app

#endif  // MARJORAMHALL_APP_RUN_VM_H_
