// The ZeroMQ sockets of the peer transport: one ROUTER for receiving, and one
// DEALER per peer for sending.
#include "src/net/peer_transport.h"

#include <asio/io_context.hpp>
#include <asio/posix/stream_descriptor.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <map>
#include <optional>
#include <utility>
#include <zmq.hpp>

#include "src/net/peer_transport_pacer.h"

namespace marjoramhall::net {
namespace {

// ZeroMQ's file descriptor is edge-triggered, and sending can consume an edge.
// The timer limits the delay of messages that are received meanwhile.
constexpr auto kPollInterval = std::chrono::milliseconds(50);
// After this many messages, other events of the control thread are processed.
constexpr int kMaxMessagesPerWakeup = 256;
constexpr int kCloseLingerMilliseconds = 200;
constexpr size_t kMaxUrgentConfigBytes = 8192;

}  // namespace

struct PeerTransport::Impl : std::enable_shared_from_this<Impl> {
  struct Connection {
    zmq::socket_t socket;
    TimePoint last_used;
  };

  Impl(asio::io_context& io_context,
       PeerTransportOptions opts,
       VmId self,
       Incarnation start,
       ReceiveHook receive)
      : options(std::move(opts)),
        on_receive(std::move(receive)),
        codec(options.deployment, options.key, self, start),
        io(io_context),
        poll_timer(io_context),
        pacer(options.bytes_per_second,
              options.bytes_per_second / 2,
              options.burst_bytes,
              options.queue_bytes),
        bulk_pacer(options.bulk_bytes_per_second,
                   0,
                   options.bulk_bytes_per_second,
                   options.queue_bytes) {}

  std::string Open();
  void WaitForMessages();
  void SchedulePoll();
  void ReceiveAll();
  void HandleMessage(std::string_view wire);
  zmq::socket_t* ConnectionTo(const Endpoint& peer);
  void CloseIdle(TimePoint now);
  void SendNow(const Endpoint& peer, PeerChannel channel, std::string wire);
  void Close();

  const PeerTransportOptions options;
  ReceiveHook on_receive;
  protocol::EnvelopeCodec codec;
  asio::io_context& io;
  asio::steady_timer poll_timer;
  std::optional<zmq::context_t> context;
  zmq::socket_t router;
  std::optional<asio::posix::stream_descriptor> descriptor;
  std::map<Endpoint, Connection> connections;
  Pacer pacer;
  Pacer bulk_pacer;
  Endpoint local;
  PeerTransportStats stats;
  bool open = false;
};

std::string PeerTransport::Impl::Open() {
  const std::string address = "tcp://" + options.listen.address.ToString();
  const std::string name = options.listen.ToString();
  try {
    context.emplace(1);
    router = zmq::socket_t(*context, zmq::socket_type::router);
    router.set(zmq::sockopt::linger, 0);
    router.set(zmq::sockopt::rcvhwm, 4096);
    router.set(zmq::sockopt::maxmsgsize,
               static_cast<int64_t>(protocol::kMaxEnvelopeBytes));
    router.set(zmq::sockopt::ipv6, options.listen.address.IsV4() ? 0 : 1);
    const std::string port =
        options.listen.port == 0 ? "*" : std::to_string(options.listen.port);
    const std::string host =
        options.listen.address.IsV4()
            ? options.listen.address.ToString()
            : "[" + options.listen.address.ToString() + "]";
    router.bind("tcp://" + host + ":" + port);
    const std::string bound = router.get(zmq::sockopt::last_endpoint);
    const auto parsed = Endpoint::Parse(
        std::string_view(bound).substr(std::string_view("tcp://").size()));
    if (!parsed) {
      return "cannot listen for peers on " + name +
             ": unexpected bound address " + bound;
    }
    local = *parsed;
  } catch (const zmq::error_t& e) {
    return "cannot listen for peers on " + name + ": " + e.what();
  }
  open = true;
  descriptor.emplace(io, router.get(zmq::sockopt::fd));
  WaitForMessages();
  SchedulePoll();
  return "";
}

void PeerTransport::Impl::WaitForMessages() {
  descriptor->async_wait(
      asio::posix::stream_descriptor::wait_read,
      [self = shared_from_this()](const std::error_code& ec) {
        if (!ec && self->open) {
          self->ReceiveAll();
          if (self->open) {
            self->WaitForMessages();
          }
        }
      });
}

void PeerTransport::Impl::SchedulePoll() {
  poll_timer.expires_after(kPollInterval);
  poll_timer.async_wait([self = shared_from_this()](const std::error_code& ec) {
    if (ec || !self->open) {
      return;
    }
    const TimePoint now = SteadyNow();
    self->ReceiveAll();
    if (!self->open) {
      return;
    }
    self->pacer.Drain(now);
    self->bulk_pacer.Drain(now);
    self->CloseIdle(now);
    self->SchedulePoll();
  });
}

void PeerTransport::Impl::ReceiveAll() {
  for (int i = 0; i < kMaxMessagesPerWakeup && open; ++i) {
    zmq::message_t part;
    if (!router.recv(part, zmq::recv_flags::dontwait)) {
      return;
    }
    // The identity frame is followed by one frame with the message. Messages
    // with more frames are malformed.
    int frames = 0;
    while (part.more()) {
      if (!router.recv(part, zmq::recv_flags::dontwait)) {
        return;
      }
      ++frames;
    }
    if (frames == 1) {
      HandleMessage(part.to_string_view());
    } else {
      ++stats.refused[static_cast<size_t>(protocol::EnvelopeError::kMalformed)];
    }
  }
  // More messages may be available; continues after other events.
  asio::post(io, [self = shared_from_this()] {
    if (self->open) {
      self->ReceiveAll();
    }
  });
}

void PeerTransport::Impl::HandleMessage(std::string_view wire) {
  protocol::OpenedEnvelope opened = codec.Open(wire);
  if (opened.error == protocol::EnvelopeError::kNone) {
    const auto channel = static_cast<size_t>(opened.channel);
    ++stats.received_messages[channel];
    stats.received_bytes[channel] += wire.size();
    on_receive(std::move(opened));
    return;
  }
  ++stats.refused[static_cast<size_t>(opened.error)];
  if (opened.error == protocol::EnvelopeError::kOldIncarnation) {
    on_receive(std::move(opened));
  }
}

zmq::socket_t* PeerTransport::Impl::ConnectionTo(const Endpoint& peer) {
  const TimePoint now = SteadyNow();
  const auto it = connections.find(peer);
  if (it != connections.end()) {
    it->second.last_used = now;
    return &it->second.socket;
  }
  if (connections.size() >= options.max_connections) {
    auto oldest = connections.begin();
    for (auto entry = connections.begin(); entry != connections.end();
         ++entry) {
      if (entry->second.last_used < oldest->second.last_used) {
        oldest = entry;
      }
    }
    connections.erase(oldest);
  }
  try {
    zmq::socket_t socket(*context, zmq::socket_type::dealer);
    socket.set(zmq::sockopt::linger, 0);
    socket.set(zmq::sockopt::sndhwm, options.peer_queue_messages);
    socket.set(zmq::sockopt::reconnect_ivl, 100);
    socket.set(zmq::sockopt::reconnect_ivl_max, 1000);
    socket.set(zmq::sockopt::connect_timeout, 2000);
    // Ends a connection whose peer failed without closing it.
    socket.set(zmq::sockopt::tcp_maxrt, 5000);
    socket.set(zmq::sockopt::ipv6, peer.address.IsV4() ? 0 : 1);
    socket.connect("tcp://" + peer.ToString());
    return &connections.emplace(peer, Connection{std::move(socket), now})
                .first->second.socket;
  } catch (const zmq::error_t&) {
    return nullptr;
  }
}

void PeerTransport::Impl::CloseIdle(TimePoint now) {
  std::erase_if(connections, [&](const auto& it) {
    return now - it.second.last_used > options.idle_timeout;
  });
  stats.connections = connections.size();
  stats.queued_messages = pacer.queued() + bulk_pacer.queued();
}

void PeerTransport::Impl::SendNow(const Endpoint& peer,
                                  PeerChannel channel,
                                  std::string wire) {
  zmq::socket_t* socket = open ? ConnectionTo(peer) : nullptr;
  if (socket == nullptr) {
    ++stats.dropped_by_peer_queue;
    return;
  }
  const size_t n = wire.size();
  zmq::message_t message(wire.data(), n);
  if (!socket->send(message, zmq::send_flags::dontwait)) {
    ++stats.dropped_by_peer_queue;
    return;
  }
  ++stats.sent_messages[static_cast<size_t>(channel)];
  stats.sent_bytes[static_cast<size_t>(channel)] += n;
}

void PeerTransport::Impl::Close() {
  if (!open) {
    return;
  }
  open = false;
  poll_timer.cancel();
  // ZeroMQ owns the descriptor.
  descriptor->release();
  descriptor.reset();
  for (auto& [peer, connection] : connections) {
    connection.socket.set(zmq::sockopt::linger, kCloseLingerMilliseconds);
  }
  connections.clear();
  router.close();
  context.reset();
}

PeerTransport::PeerTransport(asio::io_context& io,
                             PeerTransportOptions options,
                             VmId self,
                             Incarnation start,
                             ReceiveHook on_receive)
    : impl_(std::make_shared<Impl>(io,
                                   std::move(options),
                                   self,
                                   start,
                                   std::move(on_receive))) {}

PeerTransport::~PeerTransport() {
  Close();
}

std::string PeerTransport::Open() {
  return impl_->Open();
}

Endpoint PeerTransport::local_endpoint() const {
  return impl_->local;
}

void PeerTransport::Send(const control::PeerAddress& to,
                         Incarnation own,
                         PeerChannel channel,
                         std::string payload) {
  if (!impl_->open) {
    return;
  }
  const TimePoint now = SteadyNow();
  std::string wire = impl_->codec.Seal(own, to.id, to.incarnation, channel,
                                       std::move(payload));
  const size_t n = wire.size();
  const bool bulk =
      channel == PeerChannel::kConfig && n > kMaxUrgentConfigBytes;
  if (channel != PeerChannel::kFlow && !bulk) {
    impl_->pacer.Debit(n, now);
    impl_->SendNow(to.endpoint, channel, std::move(wire));
    return;
  }
  // Impl owns the queue, so the raw pointer stays valid.
  auto send = [impl = impl_.get(), peer = to.endpoint, channel,
               wire = std::move(wire)]() mutable {
    impl->SendNow(peer, channel, std::move(wire));
  };
  Pacer& pacer = bulk ? impl_->bulk_pacer : impl_->pacer;
  if (!pacer.Submit(n, now, std::move(send))) {
    ++impl_->stats.dropped_queue_full;
  }
}

void PeerTransport::Close() {
  impl_->Close();
}

const PeerTransportStats& PeerTransport::stats() const {
  return impl_->stats;
}

}  // namespace marjoramhall::net
