// Guards against faults in the interaction of RequestProxy and RequestPlane on
// one VM: unlimited concurrency, repeated execution of an idempotency key,
// missing cancellation and an incomplete drain. Uses real loopback sockets.
#include <gtest/gtest.h>

#include "tests/net/request_proxy_test_util.h"

namespace marjoramhall::net {
namespace {

using namespace testing;  // NOLINT(google-build-using-namespace)

class RequestProxyPlaneTest : public RequestProxyTest {
 protected:
  void StartRealProxy(const Endpoint& target) {
    options_.listen = Loopback(0);
    options_.self = VmId{1};
    options_.incarnation = 1;
    // A store that accepts every record.
    options_.record_ranges =
        [this](const std::vector<request::KeyRangeRecord>& records) {
          for (const auto& it : records) {
            ranges_[it.range] = it;
          }
          proxy_->PostRangeStoreReply(true, records);
        };
    options_.read_ranges = [this] {
      std::vector<request::KeyRangeRecord> all;
      for (const auto& [range, it] : ranges_) {
        all.push_back(it);
      }
      proxy_->PostRangeStoreReply(true, all);
    };
    proxy_ = std::make_unique<RequestProxy>(
        io_, options_, [](VmId, PeerChannel, const std::string&) {},
        [](const Decision&) {});
    ASSERT_EQ(proxy_->Open(), "");
    auto view = std::make_shared<config::ControlView>(*ViewWith(target));
    auto deployment = std::make_shared<config::Deployment>(*view->deployment);
    config::RequestKind pulls;
    pulls.name = "pulls";
    pulls.method = "GET";
    pulls.idempotent = true;
    pulls.deadline = std::chrono::seconds(5);
    auto& kinds = deployment->services[0].kinds;
    kinds.insert(kinds.begin(), pulls);
    view->deployment = deployment;
    proxy_->PostView(view);
    ASSERT_TRUE(
        RunUntil(io_, [&] { return proxy_->Snapshot().core.slots_held > 0; }));
    caller_ = ConnectCaller();
  }

  std::map<uint32_t, request::KeyRangeRecord> ranges_;
};

TEST_F(RequestProxyPlaneTest, ManyRequestsShareTheSlots) {
  StartTarget();
  StartRealProxy(target_->local_endpoint());
  std::vector<std::shared_ptr<StreamEvents>> seen;
  for (int i = 0; i < 60; ++i) {
    seen.push_back(std::make_shared<StreamEvents>());
    caller_->Open(Get("/" + std::to_string(i)), true, Record(seen.back()));
  }
  for (const auto& it : seen) {
    ASSERT_TRUE(RunUntil(io_, [&] { return it->closes > 0; }));
    EXPECT_EQ(Field(*it, ":status"), "200");
  }
  EXPECT_LE(target_->sessions(), 3u);
}

// A second request with the same idempotency key must get the stored response
// of the first one and must not run again.
TEST_F(RequestProxyPlaneTest, ResubmittedKeyIsReplayed) {
  StartTarget();
  StartRealProxy(target_->local_endpoint());
  HeaderFields head = Post("/quotes");
  head.emplace_back("idempotency-key", "abc");
  head.emplace_back("idempotency-attempt", "1");
  const StreamEvents first = SendAndWait(head);
  EXPECT_EQ(Field(first, ":status"), "200");
  head.back().second = "2";
  const StreamEvents second = SendAndWait(head);
  EXPECT_EQ(Field(second, ":status"), "200");
  EXPECT_EQ(Field(second, "x-verdict"), "answered");
  EXPECT_EQ(second.body, "hello");
  EXPECT_EQ(target_heads_.size(), 1u);
}

TEST_F(RequestProxyPlaneTest, ExpiredDeadlineCancelsAndMayHaveRun) {
  auto at_target = std::make_shared<StreamEvents>();
  serve_ = [&](const Http2SessionPtr&, int32_t) { return Record(at_target); };
  StartTarget();
  StartRealProxy(target_->local_endpoint());
  HeaderFields head = Get("/slow");
  head.emplace_back("request-timeout-ms", "100");
  const StreamEvents seen = SendAndWait(head);
  EXPECT_EQ(RefusalOf(seen), "504 may-have-run deadline");
  ASSERT_TRUE(RunUntil(io_, [&] { return at_target->closes > 0; }));
  EXPECT_EQ(at_target->error_code, kHttp2Cancel);
}

TEST_F(RequestProxyPlaneTest, GracefulStopDrainsTheCore) {
  std::vector<std::pair<Http2SessionPtr, int32_t>> held;
  serve_ = [&](const Http2SessionPtr& session, int32_t stream) {
    held.emplace_back(session, stream);
    return StreamHooks{};
  };
  StartTarget();
  StartRealProxy(target_->local_endpoint());
  auto seen = std::make_shared<StreamEvents>();
  caller_->Open(Get("/"), true, Record(seen));
  ASSERT_TRUE(RunUntil(io_, [&] { return held.size() == 1; }));
  bool stopped = false;
  proxy_->PostStop([&] { stopped = true; });
  Settle(io_, 10);
  EXPECT_FALSE(stopped);
  held[0].first->Respond(held[0].second, {{":status", "200"}}, true);
  ASSERT_TRUE(RunUntil(io_, [&] { return stopped && seen->closes > 0; }));
  EXPECT_EQ(seen->end, StreamEnd::kComplete);
}

}  // namespace
}  // namespace marjoramhall::net
