// The VMs of a soak: real processes of the shipped binary, each on a loopback
// address of its own, with a proxy between it and the store.
#ifndef MARJORAMHALL_LAB_SOAK_VMS_H_
#define MARJORAMHALL_LAB_SOAK_VMS_H_

#include <sys/types.h>

#include <filesystem>
#include <memory>
#include <string>
#include <vector>

#include "lab/soak_proxy.h"
#include "src/base/endpoint.h"
#include "src/base/time.h"

namespace marjoramhall::lab {

struct SoakVm {
  std::string name;
  Endpoint packets;
  Endpoint status;
  std::filesystem::path settings;
  std::unique_ptr<SoakProxy> store_proxy;
  pid_t pid = 0;         // 0: not running
  bool stopped = false;  // by SIGSTOP
  bool leaving = false;  // SIGTERM was sent
  TimePoint leaving_since;
  // End of the last fault that touched this VM.
  TimePoint disturbed_at;
  bool ready = false;  // as the routers see it
  int misses = 0;
};

class SoakVms {
 public:
  // `binary` is the shipped program; logs and settings go to `folder`.
  SoakVms(std::filesystem::path binary, std::filesystem::path folder);
  // Kills what still runs.
  ~SoakVms();
  SoakVms(const SoakVms&) = delete;
  SoakVms& operator=(const SoakVms&) = delete;

  // Prepares VMs 127.0.1.1 and on with the same ports. Returns an error or "".
  std::string Prepare(size_t n, const Endpoint& store);

  void Start(SoakVm& vm);
  void Signal(SoakVm& vm, int signal);
  // Takes note of processes that ended. Returns a fault, such as an exit that
  // nobody asked for or a stop that took too long, or "".
  std::string Reap(TimePoint now);
  // Asks the readiness of one VM, as routers do twice a second.
  void Poll(SoakVm& vm);

  std::vector<SoakVm>& all() { return vms_; }

 private:
  const std::filesystem::path binary_;
  const std::filesystem::path folder_;
  std::vector<SoakVm> vms_;
};

}  // namespace marjoramhall::lab

#endif  // MARJORAMHALL_LAB_SOAK_VMS_H_
