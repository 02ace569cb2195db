// The VMs of a soak test: processes of the shipped binary, each with its own
// loopback address and a fault-injecting proxy in front of the store.
#ifndef MARJORAMHALL_LAB_SOAK_VMS_H_
#define MARJORAMHALL_LAB_SOAK_VMS_H_

#include <sys/types.h>

#include <filesystem>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "lab/soak_proxy.h"
#include "src/base/endpoint.h"
#include "src/base/time.h"

namespace marjoramhall::lab {

struct SoakVm {
  std::string name;
  Endpoint packet_endpoint;
  Endpoint status_endpoint;
  uint64_t link_rate = 0;  // bits per second towards the VM; 0: no limit
  TimePoint link_free_at;  // end of the packets that are on the link
  TimePoint last_upload_packet_at;
  std::filesystem::path settings_path;
  std::unique_ptr<SoakProxy> store_proxy;
  pid_t pid = 0;  // 0 if not running
  TimePoint started_at;
  // A reload signal ended it while it started. The platform starts it again.
  bool needs_restart = false;
  bool suspended = false;    // by SIGSTOP
  bool terminating = false;  // after SIGTERM
  TimePoint terminating_since;
  TimePoint resumed_at;  // the last SIGSTOP or SIGCONT
  // End of the last fault that affected this VM; in the future during a fault
  // of known length.
  TimePoint last_fault_end;
  // The same without SIGTERM, SIGHUP and what follows them.
  TimePoint last_unplanned_end;
  bool was_killed = false;  // by SIGKILL, and has not been started again
  bool ready = false;       // as seen by the router
  int failed_polls = 0;     // consecutive
};

class SoakVms {
 public:
  // `binary` is the shipped program. Logs and settings are written to `folder`.
  SoakVms(std::filesystem::path binary, std::filesystem::path folder);
  // Kills the processes that still run.
  ~SoakVms();
  SoakVms(const SoakVms&) = delete;
  SoakVms& operator=(const SoakVms&) = delete;

  // Writes settings for `n` VMs at 127.0.1.1 and following, which share port
  // numbers, and starts their store proxies. Returns an error, or an empty
  // string.
  std::string Prepare(size_t n, const Endpoint& store);

  // Returns when the process executes the binary. Returns an error, or an empty
  // string.
  std::string Start(SoakVm& vm);
  void SendSignal(SoakVm& vm, int signal);
  // Reaps exited processes. Returns a failure, such as an unexpected exit or a
  // shutdown that exceeds the grace period, or an empty string.
  std::string ReapExited(TimePoint now);
  // Number of VMs that a signal ended within a second of their start. The
  // platform's rules do not count such ends: a new process has no handlers yet.
  int ended_while_starting() const { return ended_while_starting_; }
  // Polls the readiness endpoint of one VM, as the platform's router does.
  // Blocks for up to 200 ms.
  void PollReadiness(SoakVm& vm);

  // Reasons of the refusals in the log of a VM, by flow ("CLIENT to SERVICE").
  // Cost: reads the whole log.
  std::map<std::string, std::string> RefusalReasons(const SoakVm& vm) const;

  std::vector<SoakVm>& all() { return vms_; }

 private:
  std::filesystem::path LogPathOf(const SoakVm& vm) const;

  const std::filesystem::path binary_;
  const std::filesystem::path folder_;
  std::vector<SoakVm> vms_;
  int ended_while_starting_ = 0;
};

}  // namespace marjoramhall::lab

#endif  // MARJORAMHALL_LAB_SOAK_VMS_H_
