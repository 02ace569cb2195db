// Plain types of the membership protocol that the configuration gossip and the
// transport share with it.
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

// Where a message goes. `id` is kNone for a seed that is known by its endpoint
// only.
struct PeerAddress {
  VmId id = VmId::kNone;
  Incarnation incarnation = 0;
  Endpoint endpoint;
};

// Sends a message to one process, best effort.
using SendHook = std::function<
    void(const PeerAddress& to, PeerChannel channel, std::string payload)>;

// What a member is known to be; at the same incarnation a later value
// overrides an earlier one. The values are those of MemberUpdate::State.
enum class Standing : uint8_t { kAlive, kLeaving, kSuspect, kRemoved, kLeft };

struct MemberRecord {
  config::Member member;
  // Low 32 bits of the incarnation at process start.
  uint32_t start = 0;
  Standing standing = Standing::kAlive;
  bool leaving = false;
  // When the standing was last changed here.
  TimePoint changed;
  // When a suspect is removed.
  TimePoint deadline;
  // When a suspect is asked directly again, or a removed member is told.
  TimePoint next_contact;
  // When a message of it last arrived here.
  TimePoint heard;
};

// Defaults keep a member through a pause of 2 s (suspicion starts 0.6 s after
// the first lost probe and lasts 3 s) and remove a dead one of 7 VMs within
// about 5 s.
struct MembershipOptions {
  std::vector<Endpoint> seeds;
  Duration probe_interval = std::chrono::milliseconds(500);
  Duration second_ping_after = std::chrono::milliseconds(150);
  Duration indirect_after = std::chrono::milliseconds(250);
  Duration probe_timeout = std::chrono::milliseconds(600);
  Duration suspicion = std::chrono::seconds(3);
  // Suspicion that is left when another VM has already removed the member.
  Duration short_suspicion = std::chrono::milliseconds(1500);
  // A longer gap between events means that this process was paused.
  Duration pause_threshold = std::chrono::milliseconds(400);
  Duration join_interval = std::chrono::milliseconds(300);
  // Removed members are remembered this long: their addresses stay in
  // quarantine and they are looked for after a partition.
  Duration removed_memory = std::chrono::hours(24);
  size_t indirect_helpers = 3;
  // A VM introduces itself with each probe this long after its start, and
  // compares members often: in a mass start, peers may not know it yet and
  // could not answer. 128 VMs started at once removed each other 266 times.
  Duration introduction = std::chrono::seconds(30);
  // Limits of what rides on one message.
  size_t update_bytes = 400;
  size_t held_entries = 12;
};

struct MembershipStats {
  uint64_t probes = 0;
  uint64_t suspicions = 0;
  uint64_t removals = 0;
  // Removals that a later message of the member proved wrong.
  uint64_t refuted_removals = 0;
  uint64_t refutations = 0;  // of this VM, by itself
  uint64_t pauses = 0;       // of this VM, noticed by itself
  uint64_t malformed = 0;
};

}  // namespace marjoramhall::control

#endif  // MARJORAMHALL_CONTROL_MEMBERSHIP_TYPES_H_
