// The VMs, which are processes of the deployed program, and the platform's
// router in front of them.
#ifndef MARJORAMHALL_REVIEW_STANDINS_FLEET_H_
#define MARJORAMHALL_REVIEW_STANDINS_FLEET_H_

#include <sys/types.h>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "loop.h"

namespace marjoramhall::review {

// Calls with one line for the record.
using RecordHook = std::function<void(const std::string&)>;

struct FleetOptions {
  std::string program;
  std::string folder;  // of settings and logs
  size_t size = 7;
  uint32_t store_address = 0;
  uint16_t store_port = 0;
};

struct Vm {
  std::string name;
  std::string zone;
  uint32_t address = 0;
  std::string settings_path;
  pid_t pid = 0;  // 0 if not running
  bool is_stopping = false;
  bool in_rotation = false;
  int misses = 0;  // of readiness checks, consecutive
};

class Fleet {
 public:
  Fleet(Loop& loop, FleetOptions options, RecordHook record);
  // Kills the processes that still run.
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  // Writes the settings, starts all VMs and the readiness checks. Returns false
  // on failure.
  bool Open();
  void Start(Vm& vm);
  // Sends SIGTERM. The VM starts again a moment after it has exited.
  void Restart(Vm& vm);
  void Signal(Vm& vm, int signal);

  // The VM to which the router sends a packet, or null.
  const Vm* Route(uint64_t flow_hash, const std::string& zone) const;
  // Returns the VM with an address, or null.
  const Vm* Find(uint32_t address) const;

  std::vector<Vm>& vms() { return vms_; }
  uint16_t packet_port() const { return packet_port_; }
  bool AllReady() const;
  // Ends of processes that nobody asked for.
  size_t unexpected_ends() const { return unexpected_ends_; }

 private:
  void WriteSettings(const Vm& vm) const;
  void CheckReadiness(Vm& vm);
  void OnReadiness(Vm& vm, bool is_ready);
  void Reap();

  Loop& loop_;
  const FleetOptions options_;
  const RecordHook record_;
  std::vector<Vm> vms_;
  uint16_t packet_port_ = 0;
  uint16_t ready_port_ = 0;
  uint16_t control_port_ = 0;
  uint16_t internal_port_ = 0;
  size_t unexpected_ends_ = 0;
};

}  // namespace marjoramhall::review

#endif  // MARJORAMHALL_REVIEW_STANDINS_FLEET_H_
