// Runs a VM that forwards packets by target token (`marjoramhall forward`).
#ifndef MARJORAMHALL_APP_FORWARD_PROCESS_H_
#define MARJORAMHALL_APP_FORWARD_PROCESS_H_

#include <filesystem>
#include <memory>
#include <string>

#include "src/settings/settings.h"

namespace marjoramhall::app {

class ForwardProcess {
 public:
  // `file` is the settings file, which is read again on SIGHUP.
  ForwardProcess(const settings::Settings& settings,
                 std::filesystem::path file);
  ~ForwardProcess();
  ForwardProcess(const ForwardProcess&) = delete;
  ForwardProcess& operator=(const ForwardProcess&) = delete;

  // Binds all addresses, opens the log and starts the threads. Returns an error
  // that names the address or path, or an empty string.
  std::string Open();

  // Runs until SIGTERM or SIGINT, then withdraws readiness and exits once the
  // fabric sends no more packets. Returns the exit code.
  int Run();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace marjoramhall::app

#endif  // MARJORAMHALL_APP_FORWARD_PROCESS_H_
