// The system under test: processes of the deployed program, one for each VM,
// which the stand-in of the platform starts, checks and ends. Each has a
// loopback address of its own and settings from the template of the deploy
// file.
#ifndef REVIEW_STANDINS_2_VMS_H_
#define REVIEW_STANDINS_2_VMS_H_

#include <sys/types.h>

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "support.h"

namespace review {

struct VmOptions {
  std::string repository;  // where the program runs
  std::string folder;      // for settings and logs
  Address store;
  std::vector<std::string> zones;  // of the VMs, in turn
  // Placeholders of the template and their values, beside the addresses.
  std::vector<std::pair<std::string, std::string>> fields;
};

struct Vm {
  std::string name;
  std::string zone;
  Address packets;
  Address readiness;
  pid_t pid = 0;  // 0 if not running
  double started_at_ms = 0;
  double restart_at_ms = 0;  // 0 if no restart is due
  bool in_rotation = false;
  int missed_checks = 0;
  double next_check_ms = 0;
};

class Vms {
 public:
  // Subnet of the VMs' addresses: 127.0.SUBNET.1 and following.
  static constexpr uint32_t kSubnet = 71;

  explicit Vms(VmOptions options) : options_(std::move(options)) {}
  // Kills the processes that still run.
  ~Vms();
  Vms(const Vms&) = delete;
  Vms& operator=(const Vms&) = delete;

  // Chooses ports and writes the settings of `n` VMs.
  bool Prepare(uint32_t n);
  bool Start(Vm& vm);
  // Sends SIGKILL and waits for the end of the process.
  static void Kill(Vm& vm);
  // Reaps processes that have ended by themselves. Returns their VMs.
  std::vector<Vm*> ReapEnded();
  // Starts the processes whose restart is due.
  void StartDue();
  // Checks readiness twice a second, like the platform's routers. A VM is out
  // of the rotation after two misses.
  void CheckReadiness();

  std::vector<Vm>& all() { return vms_; }
  const std::vector<Vm>& all() const { return vms_; }
  uint16_t packet_port() const { return packet_port_; }

 private:
  std::string SettingsPath(const Vm& vm) const {
    return options_.folder + "/" + vm.name + ".ini";
  }

  const VmOptions options_;
  std::vector<Vm> vms_;
  uint16_t packet_port_ = 0;
};

// Resident memory of a process in bytes, or 0.
uint64_t ResidentBytes(pid_t pid);

}  // namespace review

#endif  // REVIEW_STANDINS_2_VMS_H_
