// The traffic thread of token forwarding: receives packets from the fabric,
// passes each to forward::Forwarder and sends the results in batches.
//
// The thread loops over one socket. A reactor would add system calls to each
// wakeup, on which small VMs spend most of their processor time.
#ifndef MARJORAMHALL_NET_PACKET_PATH_H_
#define MARJORAMHALL_NET_PACKET_PATH_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "src/base/decision.h"
#include "src/base/endpoint.h"
#include "src/base/time.h"
#include "src/forward/forwarder.h"
#include "src/forward/packet.h"
#include "src/forward/view.h"

namespace marjoramhall::net {

struct PacketPathOptions {
  Endpoint listen;
  // Port on which clients receive packets.
  uint16_t client_port = 0;
  forward::ForwarderOptions forwarder;
};

// Statistics, updated every 20 ms.
struct PacketStats {
  forward::ForwardCounters counters;
  uint64_t malformed = 0;     // datagrams that are not valid packets
  uint64_t failed_sends = 0;  // rejected by the system
  size_t tracked_flows = 0;
  size_t bulk_transfers = 0;
  size_t waiting_syns = 0;
  uint64_t unlogged_decisions = 0;  // decisions above the log budget
};

class PacketPath {
 public:
  // The hooks are called on the traffic thread.
  struct Hooks {
    DecisionHook decide;
    std::function<void(Duration)> on_response;
    // A clock that also advances while the VM is suspended.
    Clock boot_now = BootTimeNow;
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

  // The following functions are thread-safe.
  void PostView(forward::ViewPtr view);
  // Reports that the last view was still current at this time.
  void PostViewConfirmed(TimePoint at);
  // Part of all requests that arrive at this VM, or 0 if unknown.
  void PostTrafficShare(double share);
  PacketStats Snapshot() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace marjoramhall::net

#endif  // MARJORAMHALL_NET_PACKET_PATH_H_
