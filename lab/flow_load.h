// Callers, fabric and packet targets over real sockets.
#ifndef MARJORAMHALL_LAB_FLOW_LOAD_H_
#define MARJORAMHALL_LAB_FLOW_LOAD_H_

#include <cstdint>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "src/base/endpoint.h"
#include "src/base/time.h"
#include "src/flow/packet.h"
#include "src/net/flow_path_socket.h"

namespace marjoramhall::lab {

struct FlowLoadService {
  Endpoint flow_address;
  std::vector<Endpoint> targets;
};

struct FlowLoadOptions {
  std::vector<Endpoint> vms;
  // File with the fabric's list of VMs, one address a line, read again every
  // kListInterval. Replaces `vms` when set.
  std::string vm_list;
  std::vector<FlowLoadService> services;
  double rate = 500;
  Duration duration = std::chrono::seconds(10);
  Duration interval = std::chrono::milliseconds(500);
  Duration lifetime{0};
  size_t size = 64;
  uint64_t seed = 1;
};

struct TargetResult {
  Endpoint endpoint;
  size_t service = 0;
  uint64_t flows = 0;
  uint64_t packets = 0;
  // Seconds from the start to the last new flow; for checks of a drain.
  double last_new_flow = 0;
};

struct FlowLoadResult {
  uint64_t started = 0;
  uint64_t established = 0;
  uint64_t broken = 0;     // flows with a packet at another target
  uint64_t misrouted = 0;  // packets at a target of another service
  uint64_t sent = 0;
  uint64_t received = 0;
  uint64_t refused = 0;  // sends to a VM that was not there
  double seconds = 0;
  double imbalance = 0;  // worst deviation from the service's mean
  std::vector<TargetResult> targets;
};

// Single-threaded. Bounded by duration; at most 2 million flows.
class FlowLoad {
 public:
  explicit FlowLoad(FlowLoadOptions options);

  // Binds the targets. Returns an error that names the address, or nothing.
  std::string Open();
  // Bound endpoints of a service's targets, for ports chosen by the system.
  std::vector<Endpoint> TargetEndpoints(size_t service) const;
  // Runs until the duration has passed or `stop` becomes true.
  FlowLoadResult Run(const volatile bool& stop);

 private:
  struct Flow {
    flow::FlowKey key;
    uint32_t service = 0;
    int32_t target = -1;
    bool established = false;
    bool broken = false;
    bool closed = false;
    TimePoint started;
  };
  struct Due {
    TimePoint at;
    uint32_t flow;
    bool operator<(const Due& other) const { return at > other.at; }
  };
  struct Target {
    net::UdpSocket socket;
    TargetResult result;
  };
  struct Vm {
    Endpoint endpoint;
    // On the fabric's list, so that packets are sent to it.
    bool listed = true;
    net::UdpSocket socket;
    net::SendBatch batch;
    std::vector<std::vector<uint8_t>>
        payloads;  // alive until the batch is sent
    TimePoint down_until{};
  };

  static constexpr Duration kListInterval = std::chrono::milliseconds(500);

  // Returns false when the socket towards the VM cannot be opened.
  bool AddVm(const Endpoint& endpoint);
  void ReadVmList();
  bool IsUsable(const Vm& vm, TimePoint now) const;
  void StartFlow(TimePoint now);
  void SendNext(uint32_t flow, TimePoint now);
  void Send(uint32_t flow, uint8_t flags, size_t size, TimePoint now);
  void Flush(Vm& vm, TimePoint now);
  void Receive(TimePoint now);
  void OnPacket(size_t target, std::span<const uint8_t> packet, TimePoint now);
  FlowLoadResult Finish(TimePoint now);

  FlowLoadOptions options_;
  std::mt19937_64 random_;
  std::vector<std::unique_ptr<Target>> targets_;
  std::vector<std::unique_ptr<Vm>> vms_;
  std::vector<Flow> flows_;
  std::priority_queue<Due> due_;
  net::ReceiveBatch input_;
  FlowLoadResult result_;
  TimePoint start_;
  TimePoint list_read_{};
};

}  // namespace marjoramhall::lab

#endif  // MARJORAMHALL_LAB_FLOW_LOAD_H_
