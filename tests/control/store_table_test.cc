// Guards against stale writes, against leases that a paused holder still uses
// after it lost them, and against watches that do not end.
#include "src/control/store_table.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace marjoramhall::control {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The fencing token rises when the holder changes and after every expiry, so
// that the token of a holder that was paused is outdated.
RC_GTEST_PROP(StoreTable, RaisesTheFencingTokenWithEveryNewGrant, ()) {
  StoreTable table;
  TimePoint now{seconds(1)};
  std::string holder;
  TimePoint expires{};
  uint64_t fencing_token = 0;
  const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(0, 3), rc::gen::inRange(0, 2000)));
  for (const auto& [who, pause_ms] : steps) {
    now += milliseconds(pause_ms);
    const std::string name(1, static_cast<char>('a' + who));
    const auto [status, lease] =
        table.AcquireLease("lease", name, seconds(1), now);
    const bool held = fencing_token != 0 && now < expires;
    RC_ASSERT((status == StoreStatus::kConflict) == (held && holder != name));
    if (status == StoreStatus::kOk) {
      RC_ASSERT((held ? lease.fencing_token == fencing_token
                      : lease.fencing_token > fencing_token));
      holder = name;
      fencing_token = lease.fencing_token;
      expires = now + seconds(1);
    }
  }
}

TEST(StoreTable, CompletesWatchesOnChangesAndDeadlines) {
  StoreTable table;
  const uint64_t version = table.CompareAndSwap("a", 0, "1").second;
  std::vector<std::string> seen;
  const auto note = [&](const StoreValue& it) { seen.push_back(it.value); };
  table.Watch("a", 0, TimePoint(seconds(5)), note);
  EXPECT_EQ(seen.size(), 1u);
  table.Watch("a", version, TimePoint(seconds(5)), note);
  table.Watch("b", 0, TimePoint(seconds(5)), note);
  EXPECT_EQ(table.CompareAndSwap("a", version, "2").first, StoreStatus::kOk);
  EXPECT_EQ(seen, (std::vector<std::string>{"1", "2"}));
  table.ExpireWatches(TimePoint(seconds(5)));
  EXPECT_EQ(seen.size(), 3u);
  EXPECT_EQ(table.waiting_watches(), 0u);
}

TEST(StoreTable, RejectsStaleVersionsAndLargeValues) {
  StoreTable table;
  EXPECT_EQ(table.CompareAndSwap("a", 7, "1").first, StoreStatus::kConflict);
  EXPECT_EQ(
      table.CompareAndSwap("a", 0, std::string(kMaxStoreValueBytes + 1, 'x'))
          .first,
      StoreStatus::kUnavailable);
  const uint64_t first = table.CompareAndSwap("a", 0, "1").second;
  table.Restore({{"a", "1"}});
  EXPECT_EQ(table.CompareAndSwap("a", first, "2").first,
            StoreStatus::kConflict);
}

}  // namespace
}  // namespace marjoramhall::control
