// Message transport between VMs: ZeroMQ over TCP with authenticated envelopes,
// bounded queues, traffic counters per channel and rate limits.
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
  // Address to listen on. Port 0 lets the system choose.
  Endpoint listen;
  std::string deployment;
  // Secret shared by all VMs of the deployment. Never logged.
  std::string key;
  // Rate limit of the control traffic. Membership, request and small
  // configuration messages are sent immediately and debited. Flow messages are
  // queued and use the rest of the rate, but at least half of it.
  uint64_t bytes_per_second = 4096;
  uint64_t burst_bytes = 4096;
  // Rate limit of full configuration copies to starting VMs. In a fleet of 760
  // VMs, 300 starts per day with 1 MB each are 5 B/s per VM on average.
  uint64_t bulk_bytes_per_second = uint64_t{256} * 1024;
  // Maximum size of each queue of rate-limited messages.
  size_t queue_bytes = size_t{4} * 1024 * 1024;
  // Maximum number of messages that ZeroMQ queues for one slow peer.
  int peer_queue_messages = 256;
  // Maximum number of outgoing connections. Above it, the least recently used
  // one is closed.
  size_t max_connections = 128;
  Duration idle_timeout = std::chrono::seconds(20);
};

struct PeerTransportStats {
  // Indexed by PeerChannel. Bytes include the envelope.
  std::array<uint64_t, 5> sent_messages{};
  std::array<uint64_t, 5> sent_bytes{};
  std::array<uint64_t, 5> received_messages{};
  std::array<uint64_t, 5> received_bytes{};
  // Rejected messages, indexed by EnvelopeError.
  std::array<uint64_t, protocol::kEnvelopeErrorCount> refused{};
  uint64_t dropped_queue_full = 0;
  // Messages dropped because there was no connection to the peer or its queue
  // was full.
  uint64_t dropped_by_peer_queue = 0;
  // Messages queued by the rate limits.
  uint64_t queued_messages = 0;
  uint64_t connections = 0;
};

// Must be used on the thread of the io_context. Memory: about 60 KB per open
// connection.
class PeerTransport {
 public:
  using ReceiveHook = std::function<void(protocol::OpenedEnvelope)>;

  // `on_receive` is called for valid envelopes, and for those with the error
  // kOldIncarnation, which have no payload.
  PeerTransport(asio::io_context& io,
                PeerTransportOptions options,
                VmId self,
                Incarnation start,
                ReceiveHook on_receive);
  ~PeerTransport();
  PeerTransport(const PeerTransport&) = delete;
  PeerTransport& operator=(const PeerTransport&) = delete;

  // Starts listening. Returns an error that names the address, or an empty
  // string.
  std::string Open();
  // Returns the bound address, including a port chosen by the system.
  Endpoint local_endpoint() const;

  // Seals and sends a message. `own` is the current incarnation of this VM.
  // Never blocks.
  void Send(const control::PeerAddress& to,
            Incarnation own,
            PeerChannel channel,
            std::string payload);

  // Stops receiving. Blocks for at most 200 ms to send queued messages.
  // Idempotent.
  void Close();

  const PeerTransportStats& stats() const;

 private:
  struct Impl;

  std::shared_ptr<Impl> impl_;
};

}  // namespace marjoramhall::net

#endif  // MARJORAMHALL_NET_PEER_TRANSPORT_H_
