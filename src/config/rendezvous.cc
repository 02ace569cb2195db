// Ranks members by rendezvous hashing.
#include "src/config/rendezvous.h"

#include <xxhash.h>

#include <algorithm>

namespace marjoramhall::config {

uint64_t RendezvousScore(RendezvousSpace space, uint64_t key, VmId member) {
  const uint64_t buf[3] = {static_cast<uint64_t>(space), key,
                           ToInteger(member)};
  return XXH3_64bits(buf, sizeof(buf));
}

std::vector<VmId> RankMembers(RendezvousSpace space,
                              uint64_t key,
                              const std::vector<Member>& members,
                              size_t count) {
  struct Ranked {
    bool leaving;
    uint64_t score;
    VmId id;
  };
  std::vector<Ranked> ranked;
  ranked.reserve(members.size());
  for (const Member& it : members) {
    ranked.push_back({it.state == MemberState::kLeaving,
                      RendezvousScore(space, key, it.id), it.id});
  }
  const size_t n = std::min(count, ranked.size());
  std::partial_sort(ranked.begin(), ranked.begin() + static_cast<long>(n),
                    ranked.end(), [](const Ranked& a, const Ranked& b) {
                      if (a.leaving != b.leaving) {
                        return b.leaving;
                      }
                      return a.score != b.score ? a.score > b.score
                                                : a.id < b.id;
                    });
  std::vector<VmId> result;
  for (size_t i = 0; i < n; ++i) {
    result.push_back(ranked[i].id);
  }
  return result;
}

}  // namespace marjoramhall::config
