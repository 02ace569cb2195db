// Tests of the HTTP store client against the stand-in store and its faults.
#include "lab/store_server.h"

#include <gtest/gtest.h>

#include <asio/io_context.hpp>
#include <optional>

#include "src/net/http_store_client.h"

namespace marjoramhall::lab {
namespace {

using control::StoreStatus;
using control::StoreValue;
using std::chrono::milliseconds;
using std::chrono::seconds;

class StoreServerTest : public testing::Test {
 protected:
  void SetUp() override {
    ASSERT_EQ(server_.Open({IpAddress::FromV4(0x7f000001), 0}), "");
    net::HttpStoreOptions options;
    options.endpoint = server_.local_endpoint();
    http_.emplace(io_, options);
    client_ = http_->Client();
  }

  // Runs the io_context until `done` has a value, for at most 20 s.
  template <typename T>
  T RunUntilDone(std::optional<T>& done) {
    const TimePoint end = SteadyNow() + seconds(20);
    while (!done && SteadyNow() < end) {
      io_.restart();
      io_.run_for(milliseconds(2));
    }
    return done.value_or(T{StoreStatus::kUnknown, {}});
  }

  std::pair<StoreStatus, StoreValue> Read(const std::string& key) {
    std::optional<std::pair<StoreStatus, StoreValue>> out;
    client_.read(key, [&](StoreStatus status, StoreValue value) {
      out.emplace(status, std::move(value));
    });
    return RunUntilDone(out);
  }
  std::pair<StoreStatus, uint64_t> Write(uint64_t expected,
                                         const std::string& value) {
    std::optional<std::pair<StoreStatus, uint64_t>> out;
    client_.compare_and_swap("key", expected, value,
                             [&](StoreStatus status, uint64_t version) {
                               out.emplace(status, version);
                             });
    return RunUntilDone(out);
  }
  std::pair<StoreStatus, control::StoreLease> Lease(const std::string& holder,
                                                    Duration ttl) {
    std::optional<std::pair<StoreStatus, control::StoreLease>> out;
    client_.acquire_lease("name", holder, ttl,
                          [&](StoreStatus status, control::StoreLease lease) {
                            out.emplace(status, lease);
                          });
    return RunUntilDone(out);
  }

  asio::io_context io_;
  StoreServer server_;
  std::optional<net::HttpStoreClient> http_;
  control::StoreClient client_;
};

TEST(StoreServerStopTest, EndsWhenDestroyedRightAfterOpen) {
  for (int i = 0; i < 200; ++i) {
    StoreServer server;
    ASSERT_EQ(server.Open({IpAddress::FromV4(0x7f000001), 0}), "");
  }
}

TEST_F(StoreServerTest, ReadsAndSwapsByVersion) {
  EXPECT_EQ(Read("key").second.version, 0u);
  const auto [status, version] = Write(0, "one");
  EXPECT_EQ(status, StoreStatus::kOk);
  EXPECT_EQ(Write(0, "two").first, StoreStatus::kConflict);
  EXPECT_EQ(Write(version, "three").first, StoreStatus::kOk);
  EXPECT_EQ(Read("key").second.value, "three");
  EXPECT_EQ(server_.CallCount("writes"), 3u);
}

// Guards against a watch that misses a change, or that does not end at its
// timeout if nothing changes.
TEST_F(StoreServerTest, WakesAWatchOnAChange) {
  const uint64_t version = Write(0, "one").second;
  std::optional<std::pair<StoreStatus, StoreValue>> woken;
  client_.watch("key", version, seconds(30),
                [&](StoreStatus status, StoreValue value) {
                  woken.emplace(status, std::move(value));
                });
  EXPECT_EQ(Write(version, "two").first, StoreStatus::kOk);
  EXPECT_EQ(RunUntilDone(woken).second.value, "two");
  std::optional<std::pair<StoreStatus, StoreValue>> unchanged;
  client_.watch("key", woken->second.version, milliseconds(30),
                [&](StoreStatus status, StoreValue value) {
                  unchanged.emplace(status, std::move(value));
                });
  EXPECT_EQ(RunUntilDone(unchanged).second.value, "two");
}

// Guards against taking a lost answer for a refusal: the write took effect, so
// its result is unknown.
TEST_F(StoreServerTest, DistinguishesLostAnswersFromRefusals) {
  StoreFaults faults;
  faults.lose_next_answers = 1;
  server_.SetFaults(faults);
  EXPECT_EQ(Write(0, "one").first, StoreStatus::kUnknown);
  EXPECT_EQ(Read("key").second.value, "one");
  faults = StoreFaults();
  faults.down = true;
  server_.SetFaults(faults);
  EXPECT_EQ(Write(0, "two").first, StoreStatus::kUnavailable);
  EXPECT_EQ(Read("key").first, StoreStatus::kUnavailable);
}

TEST_F(StoreServerTest, ReportsAStoreThatDoesNotListenAsUnavailable) {
  net::HttpStoreOptions options;
  options.endpoint = {IpAddress::FromV4(0x7f000001), 1};
  http_.emplace(io_, options);
  client_ = http_->Client();
  EXPECT_EQ(Write(0, "one").first, StoreStatus::kUnavailable);
}

// Guards against a holder that was paused beyond its lease and gets it back
// without a change of the fencing token.
TEST_F(StoreServerTest, ExpiredLeaseGetsAHigherFencingToken) {
  const auto first = Lease("a", milliseconds(1));
  EXPECT_EQ(first.first, StoreStatus::kOk);
  std::this_thread::sleep_for(milliseconds(5));
  const auto second = Lease("b", seconds(60));
  EXPECT_EQ(second.first, StoreStatus::kOk);
  EXPECT_GT(second.second.fencing_token, first.second.fencing_token);
  EXPECT_EQ(Lease("a", seconds(1)).first, StoreStatus::kConflict);
  EXPECT_EQ(Lease("b", seconds(1)).second.fencing_token,
            second.second.fencing_token);
}

// Guards against a restore that reuses versions: a write that expects an old
// version would succeed.
TEST_F(StoreServerTest, RestoresContentWithNewVersions) {
  const uint64_t version = Write(0, "one").second;
  EXPECT_EQ(server_.Restore(R"({"key": {"revision": 1}})"), "");
  const auto value = Read("key").second;
  EXPECT_EQ(value.value, R"({"revision":1})");
  EXPECT_GT(value.version, version);
  EXPECT_NE(server_.Restore("[]"), "");
}

}  // namespace
}  // namespace marjoramhall::lab
