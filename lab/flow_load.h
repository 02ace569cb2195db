// Load generator and stand-in targets for the flow plane over UDP sockets.
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
  // File with the fabric addresses of VMs, one per line, which is read again
  // every kListInterval. Replaces `vms` if set.
  std::string vm_list;
  std::vector<FlowLoadService> services;
  double flows_per_second = 500;
  Duration duration = std::chrono::seconds(10);
  // Time between packets of a flow.
  Duration packet_interval = std::chrono::milliseconds(500);
  // Time from the first to the last packet of a flow; 0: until the end.
  Duration flow_lifetime{0};
  size_t size = 64;  // payload bytes per packet
  uint64_t seed = 1;
};

struct TargetResult {
  Endpoint endpoint;
  size_t service = 0;
  uint64_t flows = 0;
  uint64_t packets = 0;
  // Seconds from the start of the run to the last new flow. Shows whether a
  // draining target still gets flows.
  double last_new_flow = 0;
};

struct FlowLoadResult {
  uint64_t started = 0;
  uint64_t established = 0;
  uint64_t broken = 0;     // flows with a packet at another target
  uint64_t misrouted = 0;  // packets at a target of another service
  uint64_t sent = 0;
  uint64_t received = 0;
  uint64_t refused = 0;  // sends that failed since the VM did not listen
  double seconds = 0;
  // Largest relative deviation of a target's flow count from the mean of its
  // service.
  double imbalance = 0;
  std::vector<TargetResult> targets;
};

// One load run of at most 2 million flows. Single-threaded.
class FlowLoad {
 public:
  explicit FlowLoad(FlowLoadOptions options);

  // Binds the targets. Returns an error that names the address, or an empty
  // string.
  std::string Open();
  // Endpoints of a service's targets, with the ports that the system chose.
  std::vector<Endpoint> TargetEndpoints(size_t service) const;
  // Blocks until the duration has passed or `stop` becomes true.
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
  struct ScheduledSend {
    TimePoint at;
    uint32_t flow;
    bool operator<(const ScheduledSend& other) const { return at > other.at; }
  };
  struct Target {
    net::UdpSocket socket;
    TargetResult result;
  };
  struct Vm {
    Endpoint endpoint;
    // True if it is in `vm_list`, or if there is no list.
    bool listed = true;
    net::UdpSocket socket;
    net::SendBatch batch;
    // The batch refers to them until it is sent.
    std::vector<std::vector<uint8_t>> payloads;
    TimePoint retry_at{};
  };

  static constexpr Duration kListInterval = std::chrono::milliseconds(500);

  // Returns false if the socket to the VM cannot be opened.
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
  std::priority_queue<ScheduledSend> scheduled_sends_;
  net::ReceiveBatch input_;
  FlowLoadResult result_;
  TimePoint started_;
  TimePoint vm_list_read_at_{};
};

}  // namespace marjoramhall::lab

#endif  // MARJORAMHALL_LAB_FLOW_LOAD_H_
