// Exit codes of the command line, documented in docs/OPERATIONS.md.
#ifndef MARJORAMHALL_APP_EXIT_CODE_H_
#define MARJORAMHALL_APP_EXIT_CODE_H_

namespace marjoramhall::app {

enum ExitCode : int {
  kExitOk = 0,
  kExitFailed = 1,       // failure, or the outcome is unknown
  kExitUsage = 2,        // invalid arguments, settings or input
  kExitRefused = 3,      // the VM refused the request; nothing was changed
  kExitUnreachable = 4,  // no answer from the VM
};

}  // namespace marjoramhall::app

#endif  // MARJORAMHALL_APP_EXIT_CODE_H_
