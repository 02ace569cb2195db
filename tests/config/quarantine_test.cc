// Guards against an address that is assigned to another service while a VM
// still holds a revision in which it belongs to the first one.
#include "src/config/quarantine.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

#include "tests/config/test_deployment.h"

namespace marjoramhall::config {
namespace {

using enum OperationKind;

std::map<Endpoint, std::string> OwnersByEndpoint(const Deployment& deployment) {
  std::map<Endpoint, std::string> owners;
  for (const Service& service : deployment.services) {
    for (const Target& it : service.targets) {
      owners[it.flow_endpoint] = service.name;
      owners[it.request_endpoint] = service.name;
    }
  }
  return owners;
}

Operation RandomMove(int step) {
  const bool add = *rc::gen::arbitrary<bool>();
  const uint32_t address = *rc::gen::inRange(0U, 3U);
  const std::string name = "moving-" + std::to_string(address);
  if (!add) {
    return MakeOperation(kRemoveTarget, name);
  }
  const bool to_short = (*rc::gen::arbitrary<bool>()) != (step % 2 == 0);
  return AddTarget(to_short ? "short" : "long",
                   MakeTestTarget(name, address + 1));
}

// Three VMs adopt revisions late and in random order. Each may send packets
// according to the revision that it holds.
RC_GTEST_PROP(QuarantineTest, NoVmHoldsAnAddressForAnotherService, ()) {
  std::vector<Deployment> held(3, MakeTestDeployment());
  Deployment current = held[0];
  int assigned = 0;
  for (int step = 0; step < 40; ++step) {
    if (*rc::gen::inRange(0, 3) == 0) {
      held[*rc::gen::inRange<size_t>(0, 3)] = current;
    }
    const Operation move = RandomMove(step);
    auto result = ApplyChange(current, {&move, 1}, {"c", "", "", 0});
    std::vector<KnownMember> members;
    members.reserve(held.size());
    for (const Deployment& it : held) {
      members.push_back({"vm", it.revision});
    }
    if (!result.errors.empty() ||
        !CheckQuarantine(current, result.deployment, members).empty()) {
      continue;
    }
    PruneReleased(members, 1, &result.deployment);
    current = result.deployment;
    assigned += move.kind == kAddTarget ? 1 : 0;
    const auto owners = OwnersByEndpoint(current);
    for (const Deployment& it : held) {
      for (const auto& [endpoint, service] : OwnersByEndpoint(it)) {
        const auto now = owners.find(endpoint);
        // RC_ASSERT would evaluate both operands of "||".
        const bool is_same = now == owners.end() || now->second == service;
        RC_ASSERT(is_same);
      }
    }
  }
  RC_TAG(assigned > 3 ? "many" : "few");
}

TEST(QuarantineTest, RefusalNamesTheMembersThatAreBehind) {
  const Deployment base = MakeTestDeployment();
  const Operation removal = MakeOperation(kRemoveTarget, "long-0");
  const Deployment removed =
      ApplyChange(base, {&removal, 1}, {"a", "", "", 0}).deployment;
  ASSERT_EQ(removed.released.size(), 2U);
  Target reused = base.services[1].targets[0];
  reused.name = "reused";
  const Operation addition = AddTarget("short", reused);
  const Deployment next =
      ApplyChange(removed, {&addition, 1}, {"b", "", "", 0}).deployment;
  EXPECT_TRUE(next.released.empty());
  const KnownMember members[] = {{"vm-1", 2}, {"vm-2", 1}};
  const auto reasons = CheckQuarantine(removed, next, members);
  ASSERT_EQ(reasons.size(), 2U);
  EXPECT_NE(reasons[0].find("vm-2 (holds 1)"), std::string::npos);
  EXPECT_EQ(reasons[0].find("vm-1"), std::string::npos);
  EXPECT_TRUE(CheckQuarantine(removed, next, {members, 1}).empty());
  // The service that released the address may use it again at once.
  const Operation back = AddTarget("long", reused);
  EXPECT_TRUE(CheckQuarantine(
                  removed,
                  ApplyChange(removed, {&back, 1}, {"b", "", "", 0}).deployment,
                  members)
                  .empty());
}

TEST(QuarantineTest, AddressCannotMoveWithinOneChange) {
  const Deployment base = MakeTestDeployment();
  Target moved = base.services[1].targets[0];
  moved.name = "moved";
  const Operation operations[] = {MakeOperation(kRemoveTarget, "long-0"),
                                  AddTarget("short", moved)};
  const Deployment next =
      ApplyChange(base, operations, {"a", "", "", 0}).deployment;
  EXPECT_EQ(CheckQuarantine(base, next, {}).size(), 2U);
}

}  // namespace
}  // namespace marjoramhall::config
