// The receive and send loop of the traffic thread.
#include "src/net/packet_path.h"

#include <array>
#include <atomic>
#include <chrono>
#include <deque>
#include <mutex>
#include <thread>
#include <utility>

#include "src/base/time.h"
#include "src/net/flow_path_socket.h"
#include "src/observe/log_rate_limiter.h"

namespace marjoramhall::net {
namespace {

// Maximum wait for packets before the thread runs its periodic work.
constexpr auto kMaxReceiveWait = std::chrono::milliseconds(20);
constexpr Duration kStatsInterval = std::chrono::milliseconds(20);

}  // namespace

class PacketPath::Impl {
 public:
  Impl(PacketPathOptions options, forward::PacketCodec codec, Hooks hooks)
      : options_(options),
        codec_(std::move(codec)),
        boot_now_(std::move(hooks.boot_now)),
        log_rate_limiter_({}),
        forwarder_(options.forwarder, MakeHooks(std::move(hooks))) {}

  ~Impl() {
    stopping_ = true;
    if (thread_.joinable()) {
      thread_.join();
    }
  }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  std::string Open() {
    const TimePoint opened_at = boot_now_();
    std::string error = socket_.Open(options_.listen);
    if (error.empty()) {
      forwarder_.OnSocketEmptied(opened_at);
      thread_ = std::thread([this] { Run(); });
    }
    return error;
  }

  void PostView(forward::ViewPtr view) {
    const std::lock_guard lock(mutex_);
    next_view_ = std::move(view);
    has_next_view_ = true;
  }

  void PostViewConfirmed(TimePoint at) {
    confirmed_at_ = at.time_since_epoch().count();
  }

  void PostTrafficShare(double share) { traffic_share_ = share; }

  PacketStats Snapshot() const {
    const std::lock_guard lock(mutex_);
    return published_stats_;
  }

 private:
  forward::ForwarderHooks MakeHooks(Hooks hooks) {
    return {[this](const forward::HeaderOnlyPacket& opening,
                   const forward::Target& target) { Resend(opening, target); },
            std::move(hooks.decide),
            [this](bool exceptional, TimePoint now) {
              return log_rate_limiter_.Allow(exceptional, now);
            },
            std::move(hooks.on_response)};
  }

  void Run() {
    while (!stopping_) {
      socket_.WaitReadable(kMaxReceiveWait);
      TakeView();
      size_t n = 0;
      do {
        const TimePoint receive_began_at = boot_now_();
        n = socket_.Receive(received_);
        // Called after the packets were received, because they may have waited
        // in the socket while the VM was suspended.
        was_suspended_ = forwarder_.OnReceiveBatch(boot_now_());
        const TimePoint now = SteadyNow();
        for (size_t i = 0; i < n; ++i) {
          OnDatagram(i, now);
        }
        Flush();
        if (n < kUdpBatchSize) {
          forwarder_.OnSocketEmptied(receive_began_at);
        }
        // After a suspension, only a later receive call shows what waited.
      } while (n == kUdpBatchSize || was_suspended_);
      const TimePoint now = SteadyNow();
      forwarder_.OnTick(now);
      Flush();
      PublishStats(now);
    }
  }

  void TakeView() {
    forwarder_.OnViewConfirmed(TimePoint(Duration(confirmed_at_.load())));
    forwarder_.OnTrafficShare(traffic_share_);
    if (!has_next_view_) {
      return;
    }
    forward::ViewPtr view;
    {
      const std::lock_guard lock(mutex_);
      view = std::move(next_view_);
      has_next_view_ = false;
    }
    forwarder_.OnView(std::move(view));
  }

  void OnDatagram(size_t i, TimePoint now) {
    const std::span<uint8_t> datagram = received_.MutableDatagram(i);
    forward::PacketHeader header;
    if (received_.IsTruncated(i) || !codec_.decode(datagram, &header)) {
      ++stats_.malformed;
      return;
    }
    if (header.syn) {
      // The VM may have been suspended since the batch was received.
      was_suspended_ |= forwarder_.OnReceiveBatch(boot_now_());
    }
    const auto verdict = forwarder_.OnPacket(header, datagram, now);
    switch (verdict.action) {
      case forward::PacketAction::kForward:
        codec_.set_token(datagram, verdict.target->token);
        SendToTarget(datagram, *verdict.target);
        break;
      case forward::PacketAction::kReset: {
        const Endpoint client{IpAddress::FromV4(header.flow.client_address),
                              options_.client_port};
        Send(client, codec_.make_reset(header), {});
        break;
      }
      case forward::PacketAction::kDrop:
      case forward::PacketAction::kHold:
        break;
    }
  }

  void Resend(const forward::HeaderOnlyPacket& opening,
              const forward::Target& target) {
    forward::HeaderOnlyPacket& packet = resent_.emplace_back(opening);
    codec_.set_token(packet, target.token);
    SendToTarget(packet, target);
  }

  void SendToTarget(std::span<const uint8_t> packet,
                    const forward::Target& target) {
    const Endpoint to{IpAddress::FromV4(target.address), target.port};
    Send(to, codec_.encapsulation_header(target.instance), packet);
  }

  void Send(const Endpoint& to,
            std::span<const uint8_t> header,
            std::span<const uint8_t> payload) {
    if (batch_.IsFull()) {
      stats_.failed_sends += socket_.Send(batch_);
    }
    batch_.Add(to, header, payload);
  }

  void Flush() {
    if (batch_.size() > 0) {
      stats_.failed_sends += socket_.Send(batch_);
    }
    resent_.clear();
  }

  void PublishStats(TimePoint now) {
    if (now - published_at_ < kStatsInterval) {
      return;
    }
    published_at_ = now;
    stats_.counters = forwarder_.counters();
    stats_.bulk_transfers = forwarder_.bulk_transfers();
    stats_.waiting_syns = forwarder_.waiting_syns();
    stats_.tracked_flows = forwarder_.tracked_flow_count();
    stats_.unlogged_decisions += log_rate_limiter_.TakeDeniedLines();
    const std::lock_guard lock(mutex_);
    published_stats_ = stats_;
  }

  const PacketPathOptions options_;
  const forward::PacketCodec codec_;
  const Clock boot_now_;
  UdpSocket socket_;
  // The VM was suspended since the begin of the last receive call.
  bool was_suspended_ = false;
  observe::LogRateLimiter log_rate_limiter_;
  forward::Forwarder forwarder_;
  ReceiveBatch received_;
  SendBatch batch_;
  // Opening packets that are sent again. batch_ refers to them, and a deque
  // keeps their addresses stable.
  std::deque<forward::HeaderOnlyPacket> resent_;
  PacketStats stats_;
  TimePoint published_at_;

  mutable std::mutex mutex_;
  // Guarded by mutex_.
  forward::ViewPtr next_view_;
  PacketStats published_stats_;

  std::atomic<Duration::rep> confirmed_at_{0};  // time of SteadyNow()
  std::atomic<double> traffic_share_{0};
  std::atomic<bool> has_next_view_{false};
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

PacketPath::PacketPath(PacketPathOptions options,
                       forward::PacketCodec codec,
                       Hooks hooks)
    : impl_(
          std::make_unique<Impl>(options, std::move(codec), std::move(hooks))) {
}

PacketPath::~PacketPath() = default;

std::string PacketPath::Open() {
  return impl_->Open();
}

void PacketPath::PostView(forward::ViewPtr view) {
  impl_->PostView(std::move(view));
}

void PacketPath::PostViewConfirmed(TimePoint at) {
  impl_->PostViewConfirmed(at);
}

void PacketPath::PostTrafficShare(double share) {
  impl_->PostTrafficShare(share);
}

PacketStats PacketPath::Snapshot() const {
  return impl_->Snapshot();
}

}  // namespace marjoramhall::net
