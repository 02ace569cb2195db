// Announces this VM's snapshot to the seeds over UDP, and remembers which VMs
// announced theirs. A VM sends one datagram an interval, whatever the size of
// the fleet.
#ifndef MARJORAMHALL_NET_PEER_ANNOUNCER_H_
#define MARJORAMHALL_NET_PEER_ANNOUNCER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "src/base/endpoint.h"
#include "src/base/time.h"

namespace asio {
class io_context;
}

namespace marjoramhall::net {

struct PeerAnnouncerOptions {
  Endpoint listen;  // UDP; seeds listen on the same port
  uint16_t snapshot_port = 0;
  std::vector<Endpoint> seeds;  // only the addresses are used
  // One seed is told at a time, so that each hears of a VM about once a second.
  Duration interval = std::chrono::milliseconds(400);
};

// Members are called on the thread of the io_context, except where stated.
class PeerAnnouncer {
 public:
  // `revision` returns that of the own snapshot, 0 when there is none.
  PeerAnnouncer(asio::io_context& io,
                PeerAnnouncerOptions options,
                std::function<uint64_t()> revision);
  ~PeerAnnouncer();
  PeerAnnouncer(const PeerAnnouncer&) = delete;
  PeerAnnouncer& operator=(const PeerAnnouncer&) = delete;

  // Binds the socket and starts announcing. Returns an error that names the
  // address, or an empty string.
  std::string Open();

  // Replaces the seeds; the own address among them is left out.
  void SetSeeds(std::vector<Endpoint> seeds);

  // Snapshot addresses of the VMs that announced themselves last, newest first.
  // Safe from any thread.
  std::vector<Endpoint> RecentPeers() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace marjoramhall::net

#endif  // MARJORAMHALL_NET_PEER_ANNOUNCER_H_
