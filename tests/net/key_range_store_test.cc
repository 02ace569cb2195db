// Guards against two VMs that both assume to own a key range. This could happen
// if a write whose result was lost counts as failed, or if a stale writer
// overwrites a newer record.
#include "src/net/key_range_store.h"

#include <gtest/gtest.h>

#include <map>
#include <optional>

namespace marjoramhall::net {
namespace {

using control::StoreStatus;
using control::StoreValue;
using request::KeyRangeRecord;

// Completes calls immediately. The next `lost_results` writes take effect but
// report an unknown result.
struct FakeStore {
  std::map<std::string, StoreValue> values;
  int lost_results = 0;
  int conflicts = 0;
  bool down = false;

  control::StoreClient Client() {
    control::StoreClient client;
    client.read = [this](const std::string& key,
                         const control::ReadCallback& done) {
      down ? done(StoreStatus::kUnavailable, {})
           : done(StoreStatus::kOk, values[key]);
    };
    client.compare_and_swap = [this](const std::string& key, uint64_t expected,
                                     std::string value,
                                     const control::WriteCallback& done) {
      if (down) {
        done(StoreStatus::kUnavailable, 0);
        return;
      }
      if (conflicts > 0) {
        --conflicts;
        ++values[key].version;
      }
      if (values[key].version != expected) {
        done(StoreStatus::kConflict, 0);
        return;
      }
      values[key] = {std::move(value), expected + 1};
      if (lost_results > 0) {
        --lost_results;
        done(StoreStatus::kUnknown, 0);
        return;
      }
      done(StoreStatus::kOk, expected + 1);
    };
    return client;
  }
};

constexpr VmId kFirst = static_cast<VmId>(0xfedcba9876543210);
constexpr VmId kSecond = static_cast<VmId>(2);

struct Outcome {
  bool ok = false;
  std::vector<KeyRangeRecord> records;
};

Outcome Record(KeyRangeStore& store, std::vector<KeyRangeRecord> records) {
  std::optional<Outcome> outcome;
  store.Record(std::move(records),
               [&](bool ok, std::vector<KeyRangeRecord> table) {
                 ASSERT_FALSE(outcome.has_value());
                 outcome = {ok, std::move(table)};
               });
  EXPECT_TRUE(outcome.has_value());
  return outcome.value_or(Outcome{});
}

TEST(KeyRangeStoreTest, WriteWithALostResultSucceeds) {
  FakeStore fake;
  fake.lost_results = 1;
  KeyRangeStore store(fake.Client(), "ranges");
  const KeyRangeRecord record{7, 1, kFirst, kSecond};
  EXPECT_TRUE(Record(store, {record}).ok);
  store.Read([&](bool ok, const std::vector<KeyRangeRecord>& table) {
    EXPECT_TRUE(ok);
    ASSERT_EQ(table.size(), 1U);
    EXPECT_EQ(table[0], record);
  });
}

TEST(KeyRangeStoreTest, OnlyTheNextEpochIsAcceptedAndAllRecordsOrNone) {
  FakeStore fake;
  KeyRangeStore store(fake.Client(), "ranges");
  ASSERT_TRUE(Record(store, {{1, 1, kFirst, kSecond}}).ok);
  // Another VM writes the same epoch later and is rejected.
  EXPECT_FALSE(Record(store, {{1, 1, kSecond, kFirst}}).ok);
  // One stale record makes the whole batch fail.
  EXPECT_FALSE(
      Record(store, {{2, 1, kSecond, kFirst}, {1, 3, kSecond, kFirst}}).ok);
  const Outcome next = Record(store, {{1, 2, kSecond, VmId::kNone}});
  EXPECT_TRUE(next.ok);
  ASSERT_EQ(next.records.size(), 1U);
  EXPECT_EQ(next.records[0].owner, kSecond);
}

TEST(KeyRangeStoreTest, ConflictsAreRetriedAndOutagesReported) {
  FakeStore fake;
  KeyRangeStore store(fake.Client(), "ranges");
  fake.conflicts = 2;
  EXPECT_TRUE(Record(store, {{1, 1, kFirst, kSecond}}).ok);
  fake.conflicts = 100;
  EXPECT_FALSE(Record(store, {{2, 1, kFirst, kSecond}}).ok);
  fake.conflicts = 0;
  fake.down = true;
  EXPECT_FALSE(Record(store, {{3, 1, kFirst, kSecond}}).ok);
}

}  // namespace
}  // namespace marjoramhall::net
