// Rendezvous hashing (highest random weight, Thaler and Ravishankar 1998). All
// VMs compute the same ranking of members for a key. A member that joins or
// leaves moves only the keys that it owns.
#ifndef MARJORAMHALL_CONFIG_RENDEZVOUS_H_
#define MARJORAMHALL_CONFIG_RENDEZVOUS_H_

#include <cstdint>
#include <vector>

#include "src/config/control_view.h"

namespace marjoramhall::config {

// Separate key spaces, in which members are ranked independently.
enum class RendezvousSpace : uint64_t {
  kFlowBucket = 1,
  kSlotAllocator = 2,
  kKeyRange = 3,
  kStoreReader = 4,
};

// Score of a member for a key. The highest score owns the key. Cost: one
// 24-byte hash.
uint64_t RendezvousScore(RendezvousSpace space, uint64_t key, VmId member);

// Returns up to `count` members in descending order of score. Leaving members
// come after all others, so that they hand over their keys before they are
// gone. Cost: O(members * log(count)).
std::vector<VmId> RankMembers(RendezvousSpace space,
                              uint64_t key,
                              const std::vector<Member>& members,
                              size_t count);

}  // namespace marjoramhall::config

#endif  // MARJORAMHALL_CONFIG_RENDEZVOUS_H_
