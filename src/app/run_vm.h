// The `run` subcommand.
#ifndef MARJORAMHALL_APP_RUN_VM_H_
#define MARJORAMHALL_APP_RUN_VM_H_

#include "src/settings/settings.h"

namespace marjoramhall::app {

// Serves as one VM until it is told to stop. Returns the exit code: 0 after a
// graceful stop, 1 when requests were cut, 2 when an address or path of the
// settings cannot be used.
int RunVm(const settings::Settings& settings);

}  // namespace marjoramhall::app

#endif  // MARJORAMHALL_APP_RUN_VM_H_
