// Announces this VM's snapshot to the seeds over UDP, and records which VMs
// have announced theirs. Each VM sends one datagram per interval, independent
// of the size of the fleet.
#ifndef MARJORAMHALL_NET_PEER_ANNOUNCER_H_
#define MARJORAMHALL_NET_PEER_ANNOUNCER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "src/base/endpoint.h"
#include "src/base/fleet_load.h"
#include "src/base/time.h"

namespace asio {
class io_context;
}

namespace marjoramhall::net {

struct PeerAnnouncerOptions {
  Endpoint listen;  // UDP; the seeds listen on the same port
  uint16_t snapshot_port = 0;
  std::vector<Endpoint> seeds;  // the ports are ignored
  // Time between announcements. Each goes to the next seed in turn, so with the
  // default a seed hears from a VM about once a second.
  Duration interval = std::chrono::milliseconds(400);
};

// Must be used on the thread of the io_context, except RecentPeers().
class PeerAnnouncer {
 public:
  // `revision` returns the revision of the local snapshot, or 0 if there is
  // none, and `request_rate` the requests per second of this VM.
  PeerAnnouncer(asio::io_context& io,
                PeerAnnouncerOptions options,
                std::function<uint64_t()> revision,
                std::function<double()> request_rate);
  ~PeerAnnouncer();
  PeerAnnouncer(const PeerAnnouncer&) = delete;
  PeerAnnouncer& operator=(const PeerAnnouncer&) = delete;

  // Binds the socket and starts announcing. Returns an error that names the
  // address, or an empty string.
  std::string Open();

  // Replaces the seeds. The address of this VM is ignored.
  void SetSeeds(std::vector<Endpoint> seeds);

  // Returns the snapshot addresses of the VMs with the latest announcements,
  // newest first. Thread-safe.
  std::vector<Endpoint> RecentPeers() const;

  // Returns the load of the VMs that announced themselves to this one within
  // the last few seconds, without this one. Cost: linear in their number.
  FleetLoad LoadOfRecentPeers(TimePoint now);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace marjoramhall::net

#endif  // MARJORAMHALL_NET_PEER_ANNOUNCER_H_
