// Receive, route and send loop of the flow plane.
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
// Batches taken from one socket in a row, so that a flood on one side does not
// keep the other side and the timer waiting.
constexpr int kBatchesPerTurn = 8;

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
        fabric_wait_(io),
        hop_wait_(io),
        timer_(io) {}

  std::string Open() {
    std::string error = fabric_.Open(options_.fabric_endpoint);
    if (error.empty()) {
      error = hop_.Open(options_.hop_endpoint);
    }
    if (!error.empty()) {
      fabric_.Close();
      return error;
    }
    fabric_wait_.assign(fabric_.fd());
    hop_wait_.assign(hop_.fd());
    open_ = true;
    WaitFabric();
    WaitHop();
    WaitTick();
    return {};
  }

  void Stop() {
    if (!open_) {
      return;
    }
    open_ = false;
    timer_.cancel();
    // The sockets own the descriptors.
    fabric_wait_.release();
    hop_wait_.release();
    fabric_.Close();
    hop_.Close();
    Publish();
  }

  asio::io_context& io_;
  const FlowPathOptions options_;
  const protocol::HopKey hop_key_;
  flow::FlowRouter router_;
  UdpSocket fabric_;
  UdpSocket hop_;
  mutable std::mutex snapshot_mutex_;
  FlowStats snapshot_;

 private:
  void WaitFabric() {
    fabric_wait_.async_wait(
        asio::posix::descriptor_base::wait_read,
        [self = shared_from_this()](const asio::error_code& ec) {
          if (!ec && self->open_) {
            self->ReceiveFabric();
            self->WaitFabric();
          }
        });
  }

  void WaitHop() {
    hop_wait_.async_wait(
        asio::posix::descriptor_base::wait_read,
        [self = shared_from_this()](const asio::error_code& ec) {
          if (!ec && self->open_) {
            self->ReceiveHop();
            self->WaitHop();
          }
        });
  }

  void WaitTick() {
    timer_.expires_after(kTickInterval);
    timer_.async_wait([self = shared_from_this()](const asio::error_code& ec) {
      if (!ec && self->open_) {
        self->router_.OnTick(SteadyNow());
        self->SendReleased();
        self->Publish();
        self->WaitTick();
      }
    });
  }

  void ReceiveFabric() {
    for (int turn = 0; turn < kBatchesPerTurn; ++turn) {
      const size_t n = fabric_.Receive(input_);
      if (n > 0) {
        fabric_source_ = input_.Source(n - 1);
      }
      packets_.clear();
      for (size_t i = 0; i < n; ++i) {
        if (input_.IsTruncated(i)) {
          ++stats_.truncated;
        } else {
          packets_.push_back(input_.Datagram(i));
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

  void ReceiveHop() {
    for (int turn = 0; turn < kBatchesPerTurn; ++turn) {
      const size_t n = hop_.Receive(input_);
      const TimePoint now = SteadyNow();
      for (size_t i = 0; i < n; ++i) {
        if (input_.IsTruncated(i)) {
          ++stats_.truncated;
          continue;
        }
        ++stats_.peer_packets_received;
        std::span<const uint8_t> packet;
        const flow::Route route =
            router_.OnHopDatagram(input_.Datagram(i), packet, now);
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
      if (packet.size() > options_.max_datagram) {
        return SendTooBig(packet);
      }
      ++stats_.packets_to_targets;
      targets_out_.Add(route.endpoint, {}, packet);
      if (targets_out_.IsFull()) {
        stats_.failed_sends += fabric_.Send(targets_out_);
      }
    } else if (route.kind == flow::RouteKind::kPeer) {
      if (packet.size() + protocol::kHopHeaderSize > options_.max_datagram) {
        return SendTooBig(packet);
      }
      ++stats_.packets_to_peers;
      uint8_t header[protocol::kHopHeaderSize];
      protocol::EncodeHopHeader(route.hop, hop_key_, packet, header);
      peers_out_.Add(route.endpoint, header, packet);
      if (peers_out_.IsFull()) {
        stats_.failed_sends += hop_.Send(peers_out_);
      }
    }
  }

  void Flush() {
    if (targets_out_.size() > 0) {
      stats_.failed_sends += fabric_.Send(targets_out_);
    }
    if (peers_out_.size() > 0) {
      stats_.failed_sends += hop_.Send(peers_out_);
    }
  }

  void SendReleased() {
    const auto released = router_.TakeReleasedPackets();
    for (const flow::ReleasedPacket& it : released) {
      Send(it.route, it.bytes);
    }
    // Payloads are not copied, so they go out before `released` ends.
    if (!released.empty()) {
      Flush();
    }
  }

  // Tells the caller, through the fabric, how large its packets may be.
  void SendTooBig(std::span<const uint8_t> packet) {
    ++stats_.oversized_packets;
    if (fabric_source_.port == 0) {
      return;
    }
    const std::vector<uint8_t> error = flow::MakePacketTooBig(
        packet, options_.max_datagram - protocol::kHopHeaderSize);
    if (!error.empty()) {
      SendBatch batch;
      batch.Add(fabric_source_, {}, error);
      stats_.failed_sends += fabric_.Send(batch);
    }
  }

  void Publish() {
    stats_.counters = router_.counters();
    stats_.flow_entries = router_.EntryCount();
    stats_.half_open_flows = router_.HalfOpenCount();
    stats_.handed_over = router_.IsHandedOver(SteadyNow());
    stats_.revision = router_.view() ? router_.view()->revision() : 0;
    if (++publish_count_ % 50 == 0) {
      // Walks over all buckets; twice a second is enough.
      stats_.exceptions = router_.ExceptionCount();
      stats_.managed_buckets = router_.ManagedBucketCount();
      stats_.target_flows = router_.TotalLoad();
      stats_.target_flows_complete = router_.IsTotalLoadComplete();
    }
    const std::lock_guard lock(snapshot_mutex_);
    snapshot_ = stats_;
  }

  bool open_ = false;
  asio::posix::stream_descriptor fabric_wait_;
  asio::posix::stream_descriptor hop_wait_;
  asio::steady_timer timer_;
  ReceiveBatch input_;
  std::vector<std::span<const uint8_t>> packets_;
  std::vector<flow::Route> routes_;
  SendBatch targets_out_;
  SendBatch peers_out_;
  FlowStats stats_;
  uint64_t publish_count_ = 0;
  Endpoint fabric_source_;
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
  return impl_->fabric_.LocalEndpoint();
}

Endpoint FlowPath::HopEndpoint() const {
  return impl_->hop_.LocalEndpoint();
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
