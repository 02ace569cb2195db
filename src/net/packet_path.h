// The traffic thread of token forwarding: takes packets from the fabric, asks
// forward::Forwarder about each and sends them on in batches.
//
// A straight loop over one socket: a reactor would add system calls to each
// wake-up, on which small VMs spend most of their processor time.
#ifndef MARJORAMHALL_NET_PACKET_PATH_H_
#define MARJORAMHALL_NET_PACKET_PATH_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "src/base/decision.h"
#include "src/base/endpoint.h"
#include "src/forward/forwarder.h"
#include "src/forward/packet.h"
#include "src/forward/view.h"

namespace marjoramhall::net {

struct PacketPathOptions {
  Endpoint listen;
  // Port at which clients take packets.
  uint16_t client_port = 0;
  forward::ForwarderOptions forwarder;
};

// Copy of the counters, taken every 20 ms.
struct PacketStats {
  forward::ForwardCounters counters;
  uint64_t malformed = 0;     // datagrams that are no packets
  uint64_t failed_sends = 0;  // refused by the system
  size_t tracked_flows = 0;
  uint64_t unlogged_decisions = 0;  // decisions beyond the log's budget
};

class PacketPath {
 public:
  // The hooks are called on the traffic thread.
  struct Hooks {
    DecisionHook decide;
    std::function<void(Duration)> on_response;
  };
  PacketPath(PacketPathOptions options,
             forward::PacketCodec codec,
             Hooks hooks);
  // Stops the thread.
  ~PacketPath();
  PacketPath(const PacketPath&) = delete;
  PacketPath& operator=(const PacketPath&) = delete;

  // Binds the socket and starts the thread. Returns an error that names the
  // address, or an empty string.
  std::string Open();

  // All are safe from any thread.
  void PostView(forward::ViewPtr view);
  // The view was current at this time.
  void PostViewConfirmed(TimePoint at);
  PacketStats Snapshot() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace marjoramhall::net

#endif  // MARJORAMHALL_NET_PACKET_PATH_H_
