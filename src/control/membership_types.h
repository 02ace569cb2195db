// Types that the membership protocol shares with the configuration gossip and
// the transport.
#ifndef MARJORAMHALL_CONTROL_MEMBERSHIP_TYPES_H_
#define MARJORAMHALL_CONTROL_MEMBERSHIP_TYPES_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "src/base/endpoint.h"
#include "src/base/ids.h"
#include "src/base/peer_channel.h"
#include "src/base/time.h"
#include "src/config/control_view.h"

namespace marjoramhall::control {

// Recipient of a message. `id` is kNone for a seed of which only the endpoint
// is known.
struct PeerAddress {
  VmId id = VmId::kNone;
  Incarnation incarnation = 0;
  Endpoint endpoint;
};

// Sends a message to one process. The message may be lost.
using SendHook = std::function<
    void(const PeerAddress& to, PeerChannel channel, std::string payload)>;

// State of a member in the protocol. At the same incarnation, a higher value
// overrides a lower one. The values are those of MemberUpdate::State.
enum class ProtocolState : uint8_t {
  kAlive,
  kLeaving,
  kSuspect,
  kRemoved,
  kLeft
};

struct MemberRecord {
  config::Member member;
  // Low 32 bits of the incarnation at process start. Identifies the process.
  uint32_t start_incarnation = 0;
  ProtocolState protocol_state = ProtocolState::kAlive;
  // Stays set while a leaving member is suspected.
  bool leaving = false;
  // When the protocol state last changed here.
  TimePoint changed_at;
  // When a suspect is removed.
  TimePoint suspicion_deadline;
  // Earliest time of the next direct message about a suspicion or removal.
  TimePoint next_contact_at;
  // When the last message of the member arrived here.
  TimePoint last_heard_at;
};

// With the defaults, a member survives a pause of 2 s: suspicion starts 0.6 s
// after the first lost probe and lasts 3 s. A dead member of 7 VMs is removed
// within about 5 s.
struct MembershipOptions {
  std::vector<Endpoint> seeds;
  Duration probe_interval = std::chrono::milliseconds(500);
  Duration second_ping_delay = std::chrono::milliseconds(150);
  Duration indirect_probe_delay = std::chrono::milliseconds(250);
  Duration probe_timeout = std::chrono::milliseconds(600);
  Duration suspicion_timeout = std::chrono::seconds(3);
  // Suspicion timeout when another VM has already removed the member.
  Duration short_suspicion_timeout = std::chrono::milliseconds(1500);
  // A gap of at least this time between events means that this process was
  // paused.
  Duration pause_threshold = std::chrono::milliseconds(400);
  Duration join_interval = std::chrono::milliseconds(300);
  // Removed members are kept for this time: addresses that they may still use
  // stay in quarantine, and they are contacted again after a partition.
  Duration removed_retention = std::chrono::hours(24);
  size_t indirect_probe_peers = 3;
  // For this time after its start, a VM adds its full record to each probe and
  // synchronizes members more often. In a mass start, peers may not know it yet
  // and could not answer: without this, 128 VMs started at once removed each
  // other 266 times.
  Duration startup_period = std::chrono::seconds(30);
  // Limits of what is piggybacked on one message.
  size_t max_update_bytes = 400;
  size_t max_held_revisions = 12;
};

struct MembershipStats {
  uint64_t probes = 0;
  uint64_t suspicions = 0;
  uint64_t removals = 0;
  // Removals that the member refuted later.
  uint64_t refuted_removals = 0;
  uint64_t refutations = 0;  // sent by this VM about itself
  uint64_t pauses = 0;       // of this process
  uint64_t malformed = 0;
};

}  // namespace marjoramhall::control

#endif  // MARJORAMHALL_CONTROL_MEMBERSHIP_TYPES_H_
