// Guards against a client that misreads the store: listings, watches, lost
// history and a store that does not answer.
#include "platform/store_api.h"

#include <gtest/gtest.h>

#include <chrono>
#include <set>

#include "platform/standin/store.h"

namespace marjoramhall::platform {
namespace {

using discovery::ReadStatus;
using std::chrono::milliseconds;
using std::chrono::seconds;

const Endpoint kAnyPort{IpAddress::FromV4(0x7f000001), 0};

discovery::TargetRecord Record(uint64_t instance) {
  discovery::TargetRecord record;
  record.id = "i-" + std::to_string(instance);
  record.service = "s";
  record.address = {IpAddress::FromV4(0x0a000001), 80};
  return record;
}

class StoreApiTest : public testing::Test {
 protected:
  void SetUp() override {
    ASSERT_EQ(store_.Open(kAnyPort), "");
    StoreApiOptions options;
    options.address = store_.local_endpoint();
    api_ = std::make_unique<StoreApi>(options);
  }

  StandInStore store_;
  std::unique_ptr<StoreApi> api_;
};

TEST_F(StoreApiTest, ListsAllPages) {
  for (uint64_t i = 10; i < 30; ++i) {
    store_.PutTarget(Record(i));
  }
  std::set<std::string> keys;
  std::string after;
  for (int pages = 0; pages < 10; ++pages) {
    const auto page = api_->List(after, seconds(1));
    ASSERT_EQ(page.status, ReadStatus::kOk);
    for (const auto& it : page.changes) {
      EXPECT_TRUE(it.target) << it.fault;
      keys.insert(it.key);
    }
    after = page.last_key;
    if (!page.has_more) {
      break;
    }
  }
  EXPECT_EQ(keys.size(), 20U);
}

TEST_F(StoreApiTest, WatchBringsWritesAndRemovals) {
  const uint64_t start = api_->List("", seconds(1)).revision;
  store_.PutTarget(Record(7));
  store_.RemoveTarget("i-7");
  const auto read = api_->Watch(start, seconds(1));
  ASSERT_EQ(read.status, ReadStatus::kOk);
  ASSERT_EQ(read.changes.size(), 2U);
  EXPECT_TRUE(read.changes[0].target);
  EXPECT_TRUE(read.changes[1].removed);
  EXPECT_EQ(read.revision, start + 2);
  EXPECT_EQ(api_->Watch(read.revision, milliseconds(50)).changes.size(), 0U);
}

TEST_F(StoreApiTest, TellsLostHistoryFromARefusalAndFromSilence) {
  const uint64_t start = api_->List("", seconds(1)).revision;
  store_.PutTarget(Record(7));
  store_.Compact();
  EXPECT_EQ(api_->Watch(start, milliseconds(50)).status,
            ReadStatus::kHistoryGone);
  store_.SetRefusing(true);
  EXPECT_EQ(api_->List("", seconds(1)).status, ReadStatus::kRefused);
  StoreApiOptions options;
  options.address = {IpAddress::FromV4(0x7f000001), 1};
  EXPECT_EQ(StoreApi(options).List("", seconds(1)).status,
            ReadStatus::kNoAnswer);
}

TEST_F(StoreApiTest, HandsOnAnUnreadableEntryWithItsFault) {
  store_.PutRaw("i-9", std::string("\xff\x00\x01", 3));
  const auto page = api_->List("", seconds(1));
  ASSERT_EQ(page.changes.size(), 1U);
  EXPECT_FALSE(page.changes[0].target);
  EXPECT_FALSE(page.changes[0].fault.empty());
}

}  // namespace
}  // namespace marjoramhall::platform
