// Receives, routes and sends the packets of the flow plane.
#include "src/net/flow_path.h"

#include <asio.hpp>
#include <mutex>
#include <utility>
#include <vector>

#include "src/flow/flow_router.h"
#include "src/flow/packet_too_big.h"
#include "src/net/flow_path_socket.h"
#include "src/protocol/hop_header.h"

namespace marjoramhall::net {
namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(10);
// Limits the batches received from one socket per wakeup, so that a flood on
// one socket does not starve the other socket and the timer.
constexpr int kMaxBatchesPerWakeup = 8;

}  // namespace

class FlowPath::Impl : public std::enable_shared_from_this<FlowPath::Impl> {
 public:
  Impl(asio::io_context& io,
       FlowPathOptions options,
       SendToPeer send,
       DecisionHook decide)
      : io_(io),
        options_(std::move(options)),
        hop_key_(protocol::DeriveHopKey(options_.flow.shared_key)),
        router_(options_.flow,
                options_.self,
                options_.incarnation,
                std::move(send),
                std::move(decide),
                options_.seed),
        fabric_descriptor_(io),
        hop_descriptor_(io),
        tick_timer_(io) {}

  std::string Open() {
    std::string error = fabric_socket_.Open(options_.fabric_endpoint);
    if (error.empty()) {
      error = hop_socket_.Open(options_.hop_endpoint);
    }
    if (!error.empty()) {
      fabric_socket_.Close();
      return error;
    }
    fabric_descriptor_.assign(fabric_socket_.fd());
    hop_descriptor_.assign(hop_socket_.fd());
    open_ = true;
    WaitForFabric();
    WaitForHop();
    ScheduleTick();
    return {};
  }

  void Stop() {
    if (!open_) {
      return;
    }
    open_ = false;
    tick_timer_.cancel();
    // The UdpSocket objects own the descriptors.
    fabric_descriptor_.release();
    hop_descriptor_.release();
    fabric_socket_.Close();
    hop_socket_.Close();
    PublishStats();
  }

  asio::io_context& io_;
  const FlowPathOptions options_;
  const protocol::HopKey hop_key_;
  flow::FlowRouter router_;
  UdpSocket fabric_socket_;
  UdpSocket hop_socket_;
  mutable std::mutex snapshot_mutex_;
  FlowStats snapshot_;

 private:
  void WaitForFabric() {
    fabric_descriptor_.async_wait(
        asio::posix::descriptor_base::wait_read,
        [self = shared_from_this()](const asio::error_code& ec) {
          if (!ec && self->open_) {
            self->ReceiveFromFabric();
            self->WaitForFabric();
          }
        });
  }

  void WaitForHop() {
    hop_descriptor_.async_wait(
        asio::posix::descriptor_base::wait_read,
        [self = shared_from_this()](const asio::error_code& ec) {
          if (!ec && self->open_) {
            self->ReceiveFromPeers();
            self->WaitForHop();
          }
        });
  }

  void ScheduleTick() {
    tick_timer_.expires_after(kTickInterval);
    tick_timer_.async_wait(
        [self = shared_from_this()](const asio::error_code& ec) {
          if (!ec && self->open_) {
            self->router_.OnTick(SteadyNow());
            self->SendReleased();
            self->PublishStats();
            self->ScheduleTick();
          }
        });
  }

  void ReceiveFromFabric() {
    for (int batch = 0; batch < kMaxBatchesPerWakeup; ++batch) {
      const size_t n = fabric_socket_.Receive(received_);
      if (n > 0) {
        last_fabric_source_ = received_.Source(n - 1);
      }
      packets_.clear();
      for (size_t i = 0; i < n; ++i) {
        if (received_.IsTruncated(i)) {
          ++stats_.truncated_datagrams;
        } else {
          packets_.push_back(received_.Datagram(i));
        }
      }
      stats_.fabric_packets_received += packets_.size();
      routes_.clear();
      router_.OnFabricBatch(packets_, SteadyNow(), routes_);
      for (size_t i = 0; i < packets_.size(); ++i) {
        Send(routes_[i], packets_[i]);
      }
      Flush();
      SendReleased();
      if (n < kUdpBatchSize) {
        return;
      }
    }
  }

  void ReceiveFromPeers() {
    for (int batch = 0; batch < kMaxBatchesPerWakeup; ++batch) {
      const size_t n = hop_socket_.Receive(received_);
      const TimePoint now = SteadyNow();
      for (size_t i = 0; i < n; ++i) {
        if (received_.IsTruncated(i)) {
          ++stats_.truncated_datagrams;
          continue;
        }
        ++stats_.peer_packets_received;
        std::span<const uint8_t> packet;
        const flow::Route route =
            router_.OnHopDatagram(received_.Datagram(i), packet, now);
        Send(route, packet);
      }
      Flush();
      SendReleased();
      if (n < kUdpBatchSize) {
        return;
      }
    }
  }

  void Send(const flow::Route& route, std::span<const uint8_t> packet) {
    if (route.kind == flow::RouteKind::kTarget) {
      if (packet.size() > options_.max_datagram_bytes) {
        return SendPacketTooBig(packet);
      }
      ++stats_.packets_to_targets;
      target_batch_.Add(route.endpoint, {}, packet);
      if (target_batch_.IsFull()) {
        stats_.failed_sends += fabric_socket_.Send(target_batch_);
      }
    } else if (route.kind == flow::RouteKind::kPeer) {
      if (packet.size() + protocol::kHopHeaderSize >
          options_.max_datagram_bytes) {
        return SendPacketTooBig(packet);
      }
      ++stats_.packets_to_peers;
      uint8_t header[protocol::kHopHeaderSize];
      protocol::EncodeHopHeader(route.hop, hop_key_, packet, header);
      peer_batch_.Add(route.endpoint, header, packet);
      if (peer_batch_.IsFull()) {
        stats_.failed_sends += hop_socket_.Send(peer_batch_);
      }
    }
  }

  void Flush() {
    if (target_batch_.size() > 0) {
      stats_.failed_sends += fabric_socket_.Send(target_batch_);
    }
    if (peer_batch_.size() > 0) {
      stats_.failed_sends += hop_socket_.Send(peer_batch_);
    }
  }

  void SendReleased() {
    const auto released = router_.TakeReleasedPackets();
    for (const flow::ReleasedPacket& it : released) {
      Send(it.route, it.bytes);
    }
    // The batches refer to the bytes in `released`, so they must be sent before
    // it is destroyed.
    if (!released.empty()) {
      Flush();
    }
  }

  // Sends an ICMP error with the maximum packet size to the caller, through the
  // fabric.
  void SendPacketTooBig(std::span<const uint8_t> packet) {
    ++stats_.oversized_packets;
    if (last_fabric_source_.port == 0) {
      return;
    }
    const std::vector<uint8_t> error = flow::MakePacketTooBig(
        packet, options_.max_datagram_bytes - protocol::kHopHeaderSize);
    if (!error.empty()) {
      SendBatch batch;
      batch.Add(last_fabric_source_, {}, error);
      stats_.failed_sends += fabric_socket_.Send(batch);
    }
  }

  void PublishStats() {
    stats_.counters = router_.counters();
    stats_.flow_entries = router_.EntryCount();
    stats_.half_open_flows = router_.HalfOpenCount();
    stats_.handed_over = router_.IsHandedOver(SteadyNow());
    stats_.revision = router_.view() ? router_.view()->revision() : 0;
    if (++tick_count_ % 50 == 0) {
      // These visit all buckets, so they run only every 50 ticks (twice a
      // second).
      stats_.exception_flows = router_.ExceptionCount();
      stats_.managed_buckets = router_.ManagedBucketCount();
      stats_.target_flows = router_.TotalLoad();
      stats_.target_flows_complete = router_.IsTotalLoadComplete();
    }
    const std::lock_guard lock(snapshot_mutex_);
    snapshot_ = stats_;
  }

  bool open_ = false;
  asio::posix::stream_descriptor fabric_descriptor_;
  asio::posix::stream_descriptor hop_descriptor_;
  asio::steady_timer tick_timer_;
  ReceiveBatch received_;
  std::vector<std::span<const uint8_t>> packets_;
  std::vector<flow::Route> routes_;
  SendBatch target_batch_;
  SendBatch peer_batch_;
  FlowStats stats_;
  uint64_t tick_count_ = 0;
  Endpoint last_fabric_source_;
};

FlowPath::FlowPath(asio::io_context& io,
                   FlowPathOptions options,
                   SendToPeer send,
                   DecisionHook decide)
    : impl_(std::make_shared<Impl>(io,
                                   std::move(options),
                                   std::move(send),
                                   std::move(decide))) {}

FlowPath::~FlowPath() {
  impl_->Stop();
}

std::string FlowPath::Open() {
  return impl_->Open();
}

Endpoint FlowPath::FabricEndpoint() const {
  return impl_->fabric_socket_.LocalEndpoint();
}

Endpoint FlowPath::HopEndpoint() const {
  return impl_->hop_socket_.LocalEndpoint();
}

void FlowPath::PostView(config::ControlViewPtr view) {
  asio::post(impl_->io_, [impl = impl_, view = std::move(view)]() mutable {
    impl->router_.OnView(std::move(view), SteadyNow());
  });
}

void FlowPath::PostPeerMessage(VmId from, std::string payload) {
  asio::post(impl_->io_, [impl = impl_, from, payload = std::move(payload)] {
    impl->router_.OnPeerMessage(from, payload, SteadyNow());
  });
}

void FlowPath::PostStop(std::function<void()> done) {
  asio::post(impl_->io_, [impl = impl_, done = std::move(done)] {
    impl->Stop();
    done();
  });
}

FlowStats FlowPath::Snapshot() const {
  const std::lock_guard lock(impl_->snapshot_mutex_);
  return impl_->snapshot_;
}

}  // namespace marjoramhall::net
