// Guards against a removal that moves keys of remaining members, and against
// keys that stay with a leaving member.
#include "src/config/rendezvous.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace marjoramhall::config {
namespace {

std::vector<Member> MakeMembers(size_t count) {
  std::vector<Member> members(count);
  for (size_t i = 0; i < count; ++i) {
    members[i].id = VmIdOf("vm-" + std::to_string(i));
  }
  return members;
}

RC_GTEST_PROP(RendezvousTest,
              RemovalMovesOnlyKeysOfTheRemovedMember,
              (uint64_t key)) {
  auto members = MakeMembers(7);
  const auto before =
      RankMembers(RendezvousSpace::kFlowBucket, key, members, 2);
  members.erase(members.begin() + static_cast<long>(key % 7));
  const auto after = RankMembers(RendezvousSpace::kFlowBucket, key, members, 1);
  const bool owner_removed =
      std::none_of(members.begin(), members.end(),
                   [&](const Member& it) { return it.id == before[0]; });
  RC_ASSERT(after[0] == (owner_removed ? before[1] : before[0]));
}

RC_GTEST_PROP(RendezvousTest, LeavingMemberRanksLast, (uint64_t key)) {
  auto members = MakeMembers(5);
  members[key % 5].state = MemberState::kLeaving;
  const auto ranked = RankMembers(RendezvousSpace::kKeyRange, key, members, 5);
  RC_ASSERT(ranked.size() == 5U);
  RC_ASSERT(ranked.back() == members[key % 5].id);
}

}  // namespace
}  // namespace marjoramhall::config
