// I/O of the flow plane: receives packets from the fabric and from other VMs
// over UDP, routes them with flow::FlowRouter and forwards them in batches.
#ifndef MARJORAMHALL_NET_FLOW_PATH_H_
#define MARJORAMHALL_NET_FLOW_PATH_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "src/base/decision.h"
#include "src/base/endpoint.h"
#include "src/base/peer_channel.h"
#include "src/config/control_view.h"
#include "src/flow/flow_counters.h"
#include "src/flow/flow_options.h"

namespace asio {
class io_context;
}

namespace marjoramhall::net {

struct FlowPathOptions {
  VmId self = VmId::kNone;
  Incarnation incarnation = 0;
  Endpoint fabric_endpoint;  // packets from the fabric, GUE variant 1
  Endpoint hop_endpoint;     // packets from other VMs
  flow::FlowOptions flow;
  // Maximum size of a forwarded datagram. A larger packet is dropped and
  // answered with an ICMP error. 8972 fits a jumbo frame of 9000 bytes, 1472 an
  // Ethernet frame of 1500.
  size_t max_datagram_bytes = 8972;
  uint64_t seed = 0;  // of the router's random numbers
};

// Statistics, updated every 10 ms.
struct FlowStats {
  flow::FlowCounters counters;
  uint64_t fabric_packets_received = 0;
  uint64_t peer_packets_received = 0;  // from other VMs
  uint64_t packets_to_targets = 0;
  uint64_t packets_to_peers = 0;
  uint64_t truncated_datagrams = 0;  // datagrams above kMaxDatagramBytes
  uint64_t oversized_packets = 0;    // packets above max_datagram_bytes
  uint64_t failed_sends = 0;         // rejected by the system
  size_t flow_entries = 0;
  size_t half_open_flows = 0;
  size_t exception_flows = 0;
  // Whether a leaving VM may stop; see FlowRouter::IsHandedOver().
  bool handed_over = false;
  size_t managed_buckets = 0;
  Revision revision = 0;
  // Established flows per target, summed over all VMs. At most 3 s old.
  std::vector<std::pair<TargetId, uint32_t>> target_flows;
  // False while the report of any VM is missing.
  bool target_flows_complete = false;
};

// Must be used on the thread of the io_context, except for the functions that
// are marked as thread-safe.
class FlowPath {
 public:
  // `decide` is called on the thread of the io_context for each new flow.
  FlowPath(asio::io_context& io,
           FlowPathOptions options,
           SendToPeer send,
           DecisionHook decide);
  ~FlowPath();
  FlowPath(const FlowPath&) = delete;
  FlowPath& operator=(const FlowPath&) = delete;

  // Opens both sockets and starts receiving. May be called before the
  // io_context runs. Returns an error that names the address, or an empty
  // string.
  std::string Open();

  // Bound addresses. Valid after Open().
  Endpoint FabricEndpoint() const;
  Endpoint HopEndpoint() const;

  // The following functions are thread-safe.
  void PostView(config::ControlViewPtr view);
  void PostPeerMessage(VmId from, std::string payload);
  // Stops receiving, then calls `done` on the thread of the io_context.
  void PostStop(std::function<void()> done);
  FlowStats Snapshot() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace marjoramhall::net

#endif  // MARJORAMHALL_NET_FLOW_PATH_H_
