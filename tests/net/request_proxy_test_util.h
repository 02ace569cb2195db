// Fixture with a RequestProxy between real callers and targets on loopback
// sockets and a fake core.
#ifndef MARJORAMHALL_TESTS_NET_REQUEST_PROXY_TEST_UTIL_H_
#define MARJORAMHALL_TESTS_NET_REQUEST_PROXY_TEST_UTIL_H_

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "src/net/request_proxy.h"
#include "tests/net/http2_test_util.h"

namespace marjoramhall::net::testing {

// Starts an attempt of every request at the first target. Retries up to
// `retries` times after an outcome of not run, and refuses the request
// otherwise.
struct FakeCore {
  request::RequestHooks hooks;
  config::ControlViewPtr view;
  std::map<request::RequestId, request::RequestInfo> requests;
  std::map<request::RequestId, uint32_t> attempts;
  std::vector<request::AttemptResult> results;
  std::vector<request::RequestId> disconnected;
  int retries = 0;
  bool draining = false;
  // Does not start attempts.
  bool hold = false;

  void Start(request::RequestId id) {
    const config::Service* service = nullptr;
    for (const auto& it : view->deployment->services) {
      service = it.id == requests[id].service ? &it : service;
    }
    hooks.start_attempt(id, ++attempts[id], service->targets.at(0),
                        requests[id].deadline);
  }

  void OnRequest(const request::RequestInfo& info) {
    if (draining) {
      hooks.refuse(info.id, {request::RefusalReason::kDraining,
                             Verdict::kNotRun, 503, Duration(1500'000)});
      return;
    }
    requests[info.id] = info;
    if (!hold) {
      Start(info.id);
    }
  }

  void OnAttemptEnd(request::RequestId id,
                    const request::AttemptResult& result) {
    using request::AttemptOutcome;
    results.push_back(result);
    const bool not_run = result.outcome == AttemptOutcome::kNotRun ||
                         result.outcome == AttemptOutcome::kShed;
    if (requests.count(id) == 0) {
      return;
    }
    if (not_run && attempts[id] <= static_cast<uint32_t>(retries)) {
      Start(id);
      return;
    }
    if (result.outcome != AttemptOutcome::kAnswered) {
      hooks.refuse(id, {request::RefusalReason::kTargetFailed,
                        not_run ? Verdict::kNotRun : Verdict::kMayHaveRun,
                        not_run ? 503 : 502, Duration(0)});
    }
    requests.erase(id);
  }

  void OnCallerDisconnected(request::RequestId id) {
    disconnected.push_back(id);
    if (requests.erase(id) > 0 && attempts.count(id) > 0) {
      hooks.cancel_attempt(id, attempts[id]);
    }
  }

  RequestCoreFactory Factory() {
    return [this](request::RequestHooks it) {
      hooks = std::move(it);
      RequestCore core;
      core.on_view = [this](config::ControlViewPtr now, TimePoint) {
        view = std::move(now);
      };
      core.on_peer_message = [](VmId, std::string_view, TimePoint) {};
      core.on_request = [this](const request::RequestInfo& info, TimePoint) {
        OnRequest(info);
      };
      core.on_attempt_end = [this](request::RequestId id, uint32_t,
                                   const request::AttemptResult& result,
                                   TimePoint) { OnAttemptEnd(id, result); };
      core.on_caller_disconnected = [this](request::RequestId id, TimePoint) {
        OnCallerDisconnected(id);
      };
      core.on_range_store_reply =
          [](bool, const std::vector<request::KeyRangeRecord>&, TimePoint) {};
      core.on_tick = [](TimePoint) {};
      core.begin_drain = [this](TimePoint) { draining = true; };
      core.is_drained = [this] { return requests.empty(); };
      core.stats = [] { return request::RequestStats{}; };
      return core;
    };
  }
};

// Returns a view whose deployment has the service "yardbook.test" with one
// target.
inline config::ControlViewPtr ViewWith(const Endpoint& target) {
  auto deployment = std::make_shared<config::Deployment>();
  deployment->lineage = "test";
  deployment->revision = 1;
  deployment->domains = {{"a", "r"}};
  config::Service service;
  service.id = ServiceId{1};
  service.name = "yardbook";
  service.host = "yardbook.test";
  config::RequestKind kind;
  kind.name = "any";
  service.kinds = {kind};
  config::Target it;
  it.id = TargetId{1};
  it.name = "t1";
  it.domain = "a";
  it.request_endpoint = target;
  it.slots = 3;
  service.targets = {it};
  deployment->services = {service};
  auto view = std::make_shared<config::ControlView>();
  view->number = 1;
  view->self = VmId{1};
  view->deployment = deployment;
  config::Member self;
  self.id = VmId{1};
  self.name = "vm1";
  self.domain = "a";
  view->members = {self};
  return view;
}

class RequestProxyTest : public ::testing::Test {
 protected:
  ~RequestProxyTest() override {
    if (caller_) {
      caller_->Close();
    }
    proxy_.reset();
    target_.reset();
    Settle(io_, 2);
  }

  void StartTarget() {
    target_ = std::make_unique<Http2Listener>(
        io_, Http2Limits{}, 100, std::make_shared<Http2Counters>(), [this] {
          SessionHooks hooks;
          hooks.on_request = [this](const Http2SessionPtr& session,
                                    int32_t stream, MessageHead head) {
            target_heads_.push_back(head.fields);
            return serve_(session, stream);
          };
          return hooks;
        });
    ASSERT_EQ(target_->Open(Loopback(0)), "");
  }

  void StartProxy(const Endpoint& target) {
    options_.listen = Loopback(0);
    options_.make_core = core_.Factory();
    proxy_ = std::make_unique<RequestProxy>(
        io_, options_, [](VmId, PeerChannel, const std::string&) {},
        [this](const Decision& it) {
          decisions_.emplace_back(it.outcome, it.reason);
        });
    ASSERT_EQ(proxy_->Open(), "");
    proxy_->PostView(ViewWith(target));
    ASSERT_TRUE(RunUntil(io_, [&] { return core_.view != nullptr; }));
    caller_ = ConnectCaller();
  }

  Http2SessionPtr ConnectCaller() {
    Http2SessionPtr out;
    ConnectHttp2(io_, proxy_->local_endpoint(), std::chrono::seconds(5),
                 Http2Limits{}, caller_counters_, {},
                 [&](Http2SessionPtr it, const std::string&) { out = it; });
    EXPECT_TRUE(RunUntil(io_, [&] { return out != nullptr; }));
    return out;
  }

  // Sends a request without a body and waits until its stream closes.
  StreamEvents SendAndWait(const HeaderFields& head) {
    auto seen = std::make_shared<StreamEvents>();
    EXPECT_GT(caller_->Open(head, true, Record(seen)), 0);
    EXPECT_TRUE(RunUntil(io_, [&] { return seen->closes > 0; }));
    return *seen;
  }

  static std::string Field(const StreamEvents& seen, std::string_view name) {
    return std::string(FieldOf(seen.head.fields, name));
  }

  // Returns the status, verdict and reason of a refusal.
  static std::string RefusalOf(const StreamEvents& seen) {
    return Field(seen, ":status") + " " + Field(seen, "x-verdict") + " " +
           Field(seen, "x-refusal-reason");
  }

  asio::io_context io_;
  FakeCore core_;
  RequestProxyOptions options_;
  std::unique_ptr<RequestProxy> proxy_;
  std::unique_ptr<Http2Listener> target_;
  std::vector<HeaderFields> target_heads_;
  std::function<StreamHooks(const Http2SessionPtr&, int32_t)> serve_ =
      [](const Http2SessionPtr& session, int32_t stream) {
        session->Respond(stream, {{":status", "200"}}, false);
        session->Write(stream, "hello");
        session->Finish(stream);
        return StreamHooks{};
      };
  std::shared_ptr<Http2Counters> caller_counters_ =
      std::make_shared<Http2Counters>();
  Http2SessionPtr caller_;
  std::vector<std::pair<std::string, std::string>> decisions_;
};

}  // namespace marjoramhall::net::testing

#endif  // MARJORAMHALL_TESTS_NET_REQUEST_PROXY_TEST_UTIL_H_
