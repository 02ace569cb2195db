// Sends and receives announcements with Asio.
#include "src/net/peer_announcer.h"

#include <algorithm>
#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>
#include <asio/steady_timer.hpp>
#include <cmath>
#include <limits>
#include <map>
#include <mutex>
#include <utility>

#include "src/protocol/announcement.pb.h"

namespace marjoramhall::net {
namespace {

using asio::ip::udp;

// Number of recorded peers. Enough to find one that still runs.
constexpr size_t kMaxRecentPeers = 8;
// A seed hears from a VM once per interval and seed, about every 1.2 s.
constexpr Duration kCountedFor = std::chrono::seconds(4);
// Bounds the memory for counting VMs.
constexpr size_t kMaxCountedPeers = 4096;
// An announcement has two numbers; the rest allows for fields of later
// versions.
constexpr size_t kMaxAnnouncementBytes = 256;

udp::endpoint ToAsio(const Endpoint& endpoint) {
  return {asio::ip::make_address_v4(endpoint.address.ToV4()), endpoint.port};
}

}  // namespace

struct PeerAnnouncer::Impl {
  Impl(asio::io_context& io,
       PeerAnnouncerOptions given,
       std::function<uint64_t()> local_revision,
       std::function<double()> local_request_rate)
      : options(std::move(given)),
        revision(std::move(local_revision)),
        request_rate(std::move(local_request_rate)),
        socket(io),
        timer(io) {
    SetSeeds(std::move(options.seeds));
  }

  void SetSeeds(std::vector<Endpoint> seeds) {
    std::erase_if(seeds, [this](const Endpoint& it) {
      return it.address == options.listen.address &&
             it.port == options.snapshot_port;
    });
    options.seeds = std::move(seeds);
  }

  void Receive() {
    socket.async_receive_from(asio::buffer(buf), sender,
                              [this](const std::error_code& ec, size_t n) {
                                if (ec == asio::error::operation_aborted) {
                                  return;
                                }
                                if (!ec) {
                                  OnDatagram(n);
                                }
                                Receive();
                              });
  }

  void OnDatagram(size_t n) {
    protocol::Announcement message;
    if (!message.ParseFromArray(buf.data(), static_cast<int>(n)) ||
        message.revision() == 0 || message.snapshot_port() == 0 ||
        message.snapshot_port() > std::numeric_limits<uint16_t>::max()) {
      return;
    }
    const Endpoint peer{IpAddress::FromV4(sender.address().to_v4().to_uint()),
                        static_cast<uint16_t>(message.snapshot_port())};
    if (heard.size() < kMaxCountedPeers || heard.contains(peer)) {
      // An unusable rate must not spoil the sum.
      const double rate = message.request_rate();
      heard[peer] = {SteadyNow(), std::isfinite(rate) && rate > 0 ? rate : 0};
    }
    const std::lock_guard lock(mutex);
    std::erase(recent_peers, peer);
    recent_peers.insert(recent_peers.begin(), peer);
    if (recent_peers.size() > kMaxRecentPeers) {
      recent_peers.pop_back();
    }
  }

  void Announce() {
    const uint64_t current = revision();
    if (current > 0 && !options.seeds.empty()) {
      protocol::Announcement message;
      message.set_revision(current);
      message.set_snapshot_port(options.snapshot_port);
      message.set_request_rate(static_cast<float>(request_rate()));
      const std::string bytes = message.SerializeAsString();
      const Endpoint seed{
          options.seeds[next_seed++ % options.seeds.size()].address,
          options.listen.port};
      // A failure is ignored, because the next announcement goes to another
      // seed.
      std::error_code ec;
      socket.send_to(asio::buffer(bytes), ToAsio(seed), 0, ec);
    }
    timer.expires_after(options.interval);
    timer.async_wait([this](const std::error_code& ec) {
      if (!ec) {
        Announce();
      }
    });
  }

  PeerAnnouncerOptions options;
  const std::function<uint64_t()> revision;
  const std::function<double()> request_rate;
  udp::socket socket;
  asio::steady_timer timer;
  size_t next_seed = 0;
  std::array<char, kMaxAnnouncementBytes> buf{};
  udp::endpoint sender;
  struct HeardPeer {
    TimePoint at;
    double request_rate = 0;
  };
  std::map<Endpoint, HeardPeer> heard;  // last announcement of each VM

  mutable std::mutex mutex;
  std::vector<Endpoint> recent_peers;  // guarded by mutex, newest first
};

PeerAnnouncer::PeerAnnouncer(asio::io_context& io,
                             PeerAnnouncerOptions options,
                             std::function<uint64_t()> revision,
                             std::function<double()> request_rate)
    : impl_(std::make_unique<Impl>(io,
                                   std::move(options),
                                   std::move(revision),
                                   std::move(request_rate))) {}

PeerAnnouncer::~PeerAnnouncer() = default;

std::string PeerAnnouncer::Open() {
  const udp::endpoint local = ToAsio(impl_->options.listen);
  std::error_code ec;
  impl_->socket.open(local.protocol(), ec);
  if (!ec) {
    impl_->socket.bind(local, ec);
  }
  if (!ec) {
    impl_->socket.non_blocking(true, ec);
  }
  if (ec) {
    return "cannot listen on " + impl_->options.listen.ToString() + ": " +
           ec.message();
  }
  impl_->Receive();
  impl_->Announce();
  return "";
}

void PeerAnnouncer::SetSeeds(std::vector<Endpoint> seeds) {
  impl_->SetSeeds(std::move(seeds));
}

std::vector<Endpoint> PeerAnnouncer::RecentPeers() const {
  const std::lock_guard lock(impl_->mutex);
  return impl_->recent_peers;
}

FleetLoad PeerAnnouncer::LoadOfRecentPeers(TimePoint now) {
  std::erase_if(impl_->heard, [now](const auto& it) {
    return now - it.second.at > kCountedFor;
  });
  FleetLoad load;
  for (const auto& [peer, heard] : impl_->heard) {
    ++load.vm_count;
    load.request_rate += heard.request_rate;
  }
  return load;
}

}  // namespace marjoramhall::net
