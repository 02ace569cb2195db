// Runs a VM: connects the flow, request and control planes, the operator API
// and the log, and stops them in order (`marjoramhall run`).
#ifndef MARJORAMHALL_APP_VM_PROCESS_H_
#define MARJORAMHALL_APP_VM_PROCESS_H_

#include <memory>
#include <string>

#include "src/settings/settings.h"

namespace marjoramhall::app {

class VmProcess {
 public:
  explicit VmProcess(const settings::Settings& settings);
  ~VmProcess();
  VmProcess(const VmProcess&) = delete;
  VmProcess& operator=(const VmProcess&) = delete;

  // Binds all addresses and opens the log. Returns an error that names the
  // address or path, or an empty string.
  std::string Open();

  // Runs until SIGTERM or SIGINT, then stops gracefully: announces that this VM
  // leaves, finishes requests, hands over its flows, and returns 0. Returns 1
  // if a second signal ended the stop or the stop deadline cut requests.
  int Run();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace marjoramhall::app

#endif  // MARJORAMHALL_APP_VM_PROCESS_H_
