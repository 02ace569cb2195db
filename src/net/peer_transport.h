// Transport of messages between VMs: ZeroMQ over TCP, authenticated envelopes,
// bounded queues, bytes counted per channel, and pacing.
#ifndef MARJORAMHALL_NET_PEER_TRANSPORT_H_
#define MARJORAMHALL_NET_PEER_TRANSPORT_H_

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "src/base/endpoint.h"
#include "src/base/ids.h"
#include "src/base/peer_channel.h"
#include "src/control/membership_types.h"
#include "src/protocol/envelope.h"

namespace asio {
class io_context;
}  // namespace asio

namespace marjoramhall::net {

struct PeerTransportOptions {
  // Address to listen on; port 0 lets the system choose.
  Endpoint listen;
  std::string deployment;
  // Shared secret of all VMs of the deployment. Never logged.
  std::string key;
  // Budget of all control traffic. Membership, request and small configuration
  // messages are sent at once and debited; flow messages wait for what is left,
  // at least half of it.
  uint64_t bytes_per_second = 4096;
  uint64_t burst_bytes = 4096;
  // Full copies of the configuration for VMs that start. 300 starts a day in a
  // fleet of 760 with 1 MB each are 5 B/s per VM on average.
  uint64_t bulk_bytes_per_second = uint64_t{256} * 1024;
  size_t queue_bytes = size_t{4} * 1024 * 1024;
  // Messages waiting at ZeroMQ for one peer that does not take them.
  int peer_queue_messages = 256;
  // Open connections towards peers; the least recently used is closed beyond.
  size_t max_connections = 128;
  Duration idle_timeout = std::chrono::seconds(20);
};

struct PeerTransportStats {
  // Indexed by PeerChannel. Bytes are those of sealed envelopes.
  std::array<uint64_t, 5> sent_messages{};
  std::array<uint64_t, 5> sent_bytes{};
  std::array<uint64_t, 5> received_messages{};
  std::array<uint64_t, 5> received_bytes{};
  // Messages refused, indexed by EnvelopeError.
  std::array<uint64_t, protocol::kEnvelopeErrorCount> refused{};
  uint64_t dropped_queue_full = 0;
  uint64_t dropped_by_peer_queue = 0;
  uint64_t paced_waiting = 0;
  uint64_t connections = 0;
};

// All calls on the thread of the io_context. Cost of memory: about 60 KB for
// each open connection.
class PeerTransport {
 public:
  using ReceiveHook = std::function<void(protocol::OpenedEnvelope)>;

  // `on_receive` gets envelopes without an error, and those with
  // kOldIncarnation without payload.
  PeerTransport(asio::io_context& io,
                PeerTransportOptions options,
                VmId self,
                Incarnation start,
                ReceiveHook on_receive);
  ~PeerTransport();
  PeerTransport(const PeerTransport&) = delete;
  PeerTransport& operator=(const PeerTransport&) = delete;

  // Starts to listen. Returns an error that names the address, or "".
  std::string Open();
  // Address listened on, with the port chosen by the system.
  Endpoint local_endpoint() const;

  // Seals and sends; `own` is the current incarnation of this VM. Never blocks.
  void Send(const control::PeerAddress& to,
            Incarnation own,
            PeerChannel channel,
            std::string payload);

  // Stops receiving, and gives messages under way up to 200 ms. Idempotent.
  void Close();

  const PeerTransportStats& stats() const;

 private:
  struct Impl;

  std::shared_ptr<Impl> impl_;
};

}  // namespace marjoramhall::net

#endif  // MARJORAMHALL_NET_PEER_TRANSPORT_H_
