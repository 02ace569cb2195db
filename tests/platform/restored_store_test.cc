// Guards against a view that stays behind a store that came back from an older
// copy: its revisions go back and are given out again. Plays the store's
// client, the follower, the registry and the relay over a stand-in of the
// store.
#include <gtest/gtest.h>

#include <optional>

#include "platform/standin/store.h"
#include "tests/platform/following_vm.h"

namespace marjoramhall::platform {
namespace {

using forward::TargetState;
using std::chrono::milliseconds;
using std::chrono::seconds;

discovery::TargetRecord MakeRecord(uint64_t instance, bool draining = false) {
  discovery::TargetRecord record;
  char id[16];
  std::snprintf(id, sizeof(id), "i-%08x", static_cast<unsigned>(instance));
  record.id = id;
  record.service = "s";
  record.address = {IpAddress::FromV4(0x0a000001),
                    static_cast<uint16_t>(1000 + instance)};
  record.draining = draining;
  return record;
}

discovery::ConfigRecord MakeConfig(uint64_t version) {
  discovery::ConfigRecord config;
  config.version = version;
  discovery::RouteRecord route;
  route.address = {IpAddress::FromV4(0xc6120001), 443};
  route.shares = {{"s", 1}};
  config.routes.push_back(route);
  return config;
}

class RestoredStoreTest : public testing::Test {
 protected:
  void SetUp() override {
    ASSERT_EQ(store_.Open({IpAddress::FromV4(0x7f000001), 0}), "");
    vm_.emplace(store_.local_endpoint());
    store_.PutConfig(MakeConfig(3));
    store_.PutTarget(MakeRecord(7));
    store_.PutTarget(MakeRecord(8));
  }

  // Writes that the restored store will not have.
  void LoseWrites(int n) {
    store_.TakeCopy();
    for (int i = 0; i < n; ++i) {
      store_.PutTarget(MakeRecord(7));
    }
    vm_->Steps(3);
    store_.RestoreCopy();
  }

  StandInStore store_;
  std::optional<FollowingVm> vm_;
};

TEST_F(RestoredStoreTest, ADrainBelowTheLostRevisionsTakesEffect) {
  LoseWrites(20);
  vm_->Steps(3);
  store_.PutTarget(MakeRecord(7, true));
  vm_->Steps(2);
  EXPECT_EQ(vm_->StateOf(7), TargetState::kDraining);
}

TEST_F(RestoredStoreTest, ARelayPassesOnChangesBelowTheLostRevisions) {
  // The VM that asks has followed the relay up to the lost revisions.
  LoseWrites(20);
  const auto follower_revision = vm_->registry.position();
  vm_->Steps(3);
  store_.PutConfig(MakeConfig(4));
  vm_->Steps(2);
  const discovery::ChangeSet set = vm_->PollRelay(follower_revision);
  uint64_t version = 0;
  for (const auto& it : set.changes) {
    version = it.config ? it.config->version : version;
  }
  EXPECT_EQ(version, 4U);
}

TEST_F(RestoredStoreTest, NoChangeIsMissedWhenTheNewHistoryIsAlreadyLonger) {
  // The store has the revision that the VM watches from, so that it does not
  // answer that this history is gone.
  LoseWrites(3);
  store_.PutTarget(MakeRecord(8, true));
  for (int i = 0; i < 5; ++i) {
    store_.PutTarget(MakeRecord(7));
  }
  vm_->Steps(4);
  EXPECT_EQ(vm_->StateOf(8), TargetState::kDraining);
}

}  // namespace
}  // namespace marjoramhall::platform
