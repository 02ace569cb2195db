// Rendezvous hashing (highest random weight, Thaler and Ravishankar 1998):
// every VM ranks the members for a key alike, and a member that leaves or joins
// moves only the keys that it owns.
#ifndef MARJORAMHALL_CONFIG_RENDEZVOUS_H_
#define MARJORAMHALL_CONFIG_RENDEZVOUS_H_

#include <cstdint>
#include <vector>

#include "src/config/control_view.h"

namespace marjoramhall::config {

// What a key belongs to; keys of different spaces rank members independently.
enum class RendezvousSpace : uint64_t {
  kFlowBucket = 1,
  kSlotAllocator = 2,
  kKeyRange = 3,
  kStoreReader = 4,
};

// Score of a member for a key. The highest score owns the key. Cost: one
// 24-byte hash.
uint64_t RendezvousScore(RendezvousSpace space, uint64_t key, VmId member);

// Returns up to `count` members in falling order of score, leaving members
// after all others, so that a planned leave hands over before the VM is gone.
// Cost: O(members * count).
std::vector<VmId> RankMembers(RendezvousSpace space,
                              uint64_t key,
                              const std::vector<Member>& members,
                              size_t count);

}  // namespace marjoramhall::config

#endif  // MARJORAMHALL_CONFIG_RENDEZVOUS_H_
