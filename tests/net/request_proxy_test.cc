// Guards against requests that may have run but are reported as not run,
// truncated responses that look complete, unlimited buffering, and requests
// that are lost by cancellation or a graceful stop. Uses real callers and
// targets.
#include <gtest/gtest.h>

#include "src/net/request_proxy_match.h"
#include "tests/net/request_proxy_test_util.h"

namespace marjoramhall::net {
namespace {

using namespace testing;  // NOLINT(google-build-using-namespace)
using request::AttemptOutcome;

TEST_F(RequestProxyTest, ForwardsTheResponseAndTheDeadline) {
  StartTarget();
  StartProxy(target_->local_endpoint());
  HeaderFields head = Get("/boards");
  head.emplace_back("request-timeout-ms", "2500");
  head.emplace_back("x-other", "kept");
  const StreamEvents seen = SendAndWait(head);
  EXPECT_EQ(seen.end, StreamEnd::kComplete);
  EXPECT_EQ(Field(seen, ":status"), "200");
  EXPECT_EQ(seen.body, "hello");
  ASSERT_EQ(target_heads_.size(), 1u);
  EXPECT_EQ(FieldOf(target_heads_[0], "request-timeout-ms"), "2500");
  EXPECT_EQ(FieldOf(target_heads_[0], "x-other"), "kept");
  ASSERT_EQ(core_.results.size(), 1u);
  EXPECT_EQ(core_.results[0].outcome, AttemptOutcome::kAnswered);
  EXPECT_FALSE(core_.results[0].answer_stored);
}

TEST_F(RequestProxyTest, ResponseToAKeyedRequestIsStored) {
  StartTarget();
  StartProxy(target_->local_endpoint());
  HeaderFields head = Post("/quotes");
  head.emplace_back("idempotency-key", "k1");
  SendAndWait(head);
  ASSERT_EQ(core_.results.size(), 1u);
  EXPECT_TRUE(core_.results[0].answer_stored);
  EXPECT_EQ(core_.results[0].answer.status, 200);
  EXPECT_EQ(core_.results[0].answer.body, "hello");
}

TEST_F(RequestProxyTest, ReplayIsACompleteResponse) {
  StartTarget();
  core_.hold = true;
  StartProxy(target_->local_endpoint());
  auto seen = std::make_shared<StreamEvents>();
  caller_->Open(Get("/"), true, Record(seen));
  ASSERT_TRUE(RunUntil(io_, [&] { return core_.requests.size() == 1; }));
  // Operations of the core's hooks run after its next event.
  core_.hooks.replay(core_.requests.begin()->first,
                     {201, {{"x-a", "b"}, {"content-length", "9"}}, "stored"});
  ASSERT_TRUE(RunUntil(io_, [&] { return seen->closes > 0; }));
  EXPECT_EQ(seen->end, StreamEnd::kComplete);
  EXPECT_EQ(seen->body, "stored");
  EXPECT_EQ(RefusalOf(*seen), "201 answered ");
}

TEST_F(RequestProxyTest, UnknownServiceIsRefusedWithTheReason) {
  StartTarget();
  StartProxy(target_->local_endpoint());
  EXPECT_EQ(RefusalOf(SendAndWait(Get("/", "other.test"))),
            "404 not-run unknown-service");
  ASSERT_EQ(decisions_.size(), 1u);
  EXPECT_EQ(decisions_[0].second, "unknown-service");
}

TEST_F(RequestProxyTest, FailedConnectionIsNotRun) {
  uint16_t port = 0;
  {
    const RawServer closed(io_);
    port = closed.local().port;
  }
  StartProxy(Loopback(port));
  EXPECT_EQ(RefusalOf(SendAndWait(Get("/"))), "503 not-run target-failed");
}

TEST_F(RequestProxyTest, TargetFailureBeforeTheBodyMayHaveRun) {
  RawServer server(io_);
  StartProxy(server.local());
  auto seen = std::make_shared<StreamEvents>();
  caller_->Open(Post("/"), false, Record(seen));
  ASSERT_TRUE(
      RunUntil(io_, [&] { return server.last && server.last->FramesOf(1); }));
  server.last->Close();
  ASSERT_TRUE(RunUntil(io_, [&] { return seen->closes > 0; }));
  EXPECT_EQ(RefusalOf(*seen), "502 may-have-run target-failed");
}

TEST_F(RequestProxyTest, TargetFailureDuringTheBodyMayHaveRun) {
  RawServer server(io_);
  StartProxy(server.local());
  auto seen = std::make_shared<StreamEvents>();
  const int32_t id = caller_->Open(Post("/"), false, Record(seen));
  caller_->Write(id, std::string(30'000, 'x'));
  ASSERT_TRUE(
      RunUntil(io_, [&] { return server.last && server.last->FramesOf(0); }));
  server.last->Close();
  ASSERT_TRUE(RunUntil(io_, [&] { return seen->closes > 0; }));
  EXPECT_EQ(RefusalOf(*seen), "502 may-have-run target-failed");
  EXPECT_EQ(seen->end, StreamEnd::kComplete);
}

TEST_F(RequestProxyTest, TargetFailureAfterTheBodyMayHaveRun) {
  RawServer server(io_);
  StartProxy(server.local());
  auto seen = std::make_shared<StreamEvents>();
  const int32_t id = caller_->Open(Post("/"), false, Record(seen));
  caller_->Write(id, "whole body");
  caller_->Finish(id);
  ASSERT_TRUE(RunUntil(io_, [&] {
    return server.last &&
           server.last->received().find("whole body") != std::string::npos;
  }));
  server.last->Close();
  ASSERT_TRUE(RunUntil(io_, [&] { return seen->closes > 0; }));
  EXPECT_EQ(RefusalOf(*seen), "502 may-have-run target-failed");
}

TEST_F(RequestProxyTest, RefusedStreamIsNotRunAndTheBodyIsResent) {
  std::vector<std::string> bodies;
  int refusals = 1;
  serve_ = [&](const Http2SessionPtr& session, int32_t stream) {
    auto body = std::make_shared<std::string>();
    StreamHooks hooks;
    if (refusals-- > 0) {
      session->Reset(stream, kHttp2RefusedStream);
      return hooks;
    }
    hooks.on_body = [&, session, stream, body](std::string_view data) {
      body->append(data);
      session->Consume(stream, data.size());
    };
    hooks.on_end = [&, session, stream, body](const HeaderFields&) {
      bodies.push_back(*body);
      session->Respond(stream, {{":status", "200"}}, true);
    };
    return hooks;
  };
  StartTarget();
  core_.retries = 1;
  StartProxy(target_->local_endpoint());
  auto seen = std::make_shared<StreamEvents>();
  HeaderFields head = Post("/");
  head.emplace_back("content-length", "60000");
  const int32_t id = caller_->Open(head, false, Record(seen));
  caller_->Write(id, std::string(60'000, 'q'));
  caller_->Finish(id);
  ASSERT_TRUE(RunUntil(io_, [&] { return seen->closes > 0; }));
  EXPECT_EQ(Field(*seen, ":status"), "200");
  ASSERT_EQ(core_.results.size(), 2u);
  EXPECT_EQ(core_.results[0].outcome, AttemptOutcome::kNotRun);
  ASSERT_EQ(bodies.size(), 1u);
  EXPECT_EQ(bodies[0], std::string(60'000, 'q'));
}

TEST_F(RequestProxyTest, GoawayWithALowerIdIsNotRun) {
  RawServer server(io_);
  StartProxy(server.local());
  auto seen = std::make_shared<StreamEvents>();
  caller_->Open(Get("/"), true, Record(seen));
  ASSERT_TRUE(
      RunUntil(io_, [&] { return server.last && server.last->FramesOf(1); }));
  server.last->Send(kSettings + Frame(7, 0, 0, Int32(0) + Int32(0)));
  ASSERT_TRUE(RunUntil(io_, [&] { return seen->closes > 0; }));
  EXPECT_EQ(RefusalOf(*seen), "503 not-run target-failed");
}

TEST_F(RequestProxyTest, ShedResponseIsReportedAndNotForwarded) {
  serve_ = [](const Http2SessionPtr& session, int32_t stream) {
    session->Respond(stream, {{":status", "503"}, {"x-not-run", "1"}}, true);
    return StreamHooks{};
  };
  StartTarget();
  StartProxy(target_->local_endpoint());
  EXPECT_EQ(RefusalOf(SendAndWait(Get("/"))), "503 not-run target-failed");
  ASSERT_EQ(core_.results.size(), 1u);
  EXPECT_EQ(core_.results[0].outcome, AttemptOutcome::kShed);
  EXPECT_EQ(core_.results[0].status, 503);
}

// If a target fails during its response, the caller must not take the received
// part for a complete response.
TEST_F(RequestProxyTest, TruncatedResponseIsResetAtTheCaller) {
  RawServer server(io_);
  StartProxy(server.local());
  auto seen = std::make_shared<StreamEvents>();
  caller_->Open(Get("/"), true, Record(seen));
  ASSERT_TRUE(
      RunUntil(io_, [&] { return server.last && server.last->FramesOf(1); }));
  server.last->Send(kSettings + Frame(1, 4, 1, kStatus200) +
                    Frame(0, 0, 1, "half"));
  ASSERT_TRUE(RunUntil(io_, [&] { return seen->body == "half"; }));
  server.last->Close();
  ASSERT_TRUE(RunUntil(io_, [&] { return seen->closes > 0; }));
  EXPECT_EQ(seen->end, StreamEnd::kBroken);
  EXPECT_FALSE(seen->ended);
  ASSERT_EQ(core_.results.size(), 1u);
  EXPECT_EQ(core_.results[0].outcome, AttemptOutcome::kMayHaveRun);
  EXPECT_TRUE(core_.results[0].headers_sent);
}

TEST_F(RequestProxyTest, ResetByTheCallerCancelsTheAttempt) {
  auto at_target = std::make_shared<StreamEvents>();
  serve_ = [&](const Http2SessionPtr&, int32_t) { return Record(at_target); };
  StartTarget();
  StartProxy(target_->local_endpoint());
  const int32_t id = caller_->Open(Get("/"), true, {});
  ASSERT_TRUE(RunUntil(io_, [&] { return target_heads_.size() == 1; }));
  caller_->Reset(id, kHttp2Cancel);
  ASSERT_TRUE(RunUntil(io_, [&] { return at_target->closes > 0; }));
  EXPECT_EQ(at_target->error_code, kHttp2Cancel);
  ASSERT_TRUE(RunUntil(io_, [&] { return core_.results.size() == 1; }));
  EXPECT_EQ(core_.results[0].outcome, AttemptOutcome::kCancelled);
}

TEST_F(RequestProxyTest, DisconnectOfTheCallerCancelsTheAttempt) {
  auto at_target = std::make_shared<StreamEvents>();
  serve_ = [&](const Http2SessionPtr&, int32_t) { return Record(at_target); };
  StartTarget();
  StartProxy(target_->local_endpoint());
  caller_->Open(Get("/"), true, {});
  ASSERT_TRUE(RunUntil(io_, [&] { return target_heads_.size() == 1; }));
  caller_->Close();
  ASSERT_TRUE(RunUntil(io_, [&] { return at_target->closes > 0; }));
}

// With 100 MB in each direction, the buffered bytes must stay within the
// receive windows.
TEST_F(RequestProxyTest, LargeBodiesUseLimitedMemory) {
  constexpr size_t kBytes = size_t{100} << 20;
  size_t at_target = 0;
  serve_ = [&](const Http2SessionPtr& session, int32_t stream) {
    session->Respond(stream, {{":status", "200"}}, false);
    StreamHooks hooks;
    hooks.on_body = [&, session, stream](std::string_view data) {
      at_target += data.size();
      session->Write(stream, data);
    };
    hooks.on_sent = [session, stream](size_t n) {
      session->Consume(stream, n);
    };
    hooks.on_end = [session, stream](const HeaderFields&) {
      session->Finish(stream);
    };
    return hooks;
  };
  StartTarget();
  StartProxy(target_->local_endpoint());
  auto seen = std::make_shared<StreamEvents>();
  auto id = std::make_shared<int32_t>(0);
  const std::string chunk(size_t{64} << 10, 'z');
  size_t written = 0;
  StreamHooks hooks =
      Record(seen, [&, id](size_t n) { caller_->Consume(*id, n); });
  const auto fill = [&, id] {
    while (written < kBytes && caller_->PendingBytes(*id) < 2 * chunk.size()) {
      caller_->Write(*id, chunk);
      written += chunk.size();
    }
    if (written >= kBytes) {
      caller_->Finish(*id);
    }
  };
  hooks.on_sent = [&](size_t) { fill(); };
  *id = caller_->Open(Post("/"), false, hooks);
  fill();
  ASSERT_TRUE(RunUntil(io_, [&] { return seen->closes > 0; }));
  EXPECT_EQ(seen->end, StreamEnd::kComplete);
  EXPECT_EQ(at_target, kBytes);
  EXPECT_EQ(seen->body_bytes, kBytes);
  Settle(io_, 10);
  const RequestStats stats = proxy_->Snapshot();
  const Http2Limits limits;
  // Bytes received but not consumed plus bytes written but not framed.
  EXPECT_LE(stats.callers.peak_buffered, size_t{2} * limits.stream_window);
  EXPECT_LE(stats.targets.peak_buffered,
            size_t{2} * limits.stream_window + options_.max_resend_bytes);
  EXPECT_EQ(stats.callers.buffered, 0u);
  EXPECT_EQ(stats.targets.buffered, 0u);
}

TEST_F(RequestProxyTest, GracefulStopCompletesRunningRequests) {
  std::vector<std::pair<Http2SessionPtr, int32_t>> held;
  serve_ = [&](const Http2SessionPtr& session, int32_t stream) {
    held.emplace_back(session, stream);
    return StreamHooks{};
  };
  StartTarget();
  StartProxy(target_->local_endpoint());
  auto running = std::make_shared<StreamEvents>();
  auto late = std::make_shared<StreamEvents>();
  caller_->Open(Get("/1"), true, Record(running));
  ASSERT_TRUE(RunUntil(io_, [&] { return held.size() == 1; }));
  bool stopped = false;
  ASSERT_TRUE(RunUntil(io_, [&] {
    return proxy_->Snapshot().in_progress ==
           std::map<TargetId, uint64_t>{{TargetId{1}, 1}};
  }));
  proxy_->PostStop([&] { stopped = true; });
  caller_->Open(Get("/2"), true, Record(late));
  ASSERT_TRUE(RunUntil(io_, [&] { return late->closes > 0; }));
  EXPECT_EQ(RefusalOf(*late), "503 not-run draining");
  EXPECT_EQ(Field(*late, "retry-after"), "2");
  ASSERT_TRUE(RunUntil(io_, [&] { return !caller_->CanOpen(); }));
  EXPECT_FALSE(stopped);
  held[0].first->Respond(held[0].second, {{":status", "200"}}, true);
  ASSERT_TRUE(RunUntil(io_, [&] { return stopped && running->closes > 0; }));
  EXPECT_EQ(running->end, StreamEnd::kComplete);
}

// Malformed input on one connection must not affect requests on others.
TEST_F(RequestProxyTest, MalformedInputDoesNotAffectOtherCallers) {
  std::vector<std::pair<Http2SessionPtr, int32_t>> held;
  serve_ = [&](const Http2SessionPtr& session, int32_t stream) {
    held.emplace_back(session, stream);
    return StreamHooks{};
  };
  StartTarget();
  StartProxy(target_->local_endpoint());
  auto seen = std::make_shared<StreamEvents>();
  caller_->Open(Get("/"), true, Record(seen));
  ASSERT_TRUE(RunUntil(io_, [&] { return held.size() == 1; }));
  const std::string start = std::string(kPreface) + kSettings;
  const std::string oversized_frame("\xff\xff\xff\x00\x00\x00\x00\x00\x01", 9);
  for (const std::string& bytes :
       {std::string("GET / HTTP/1.1\r\nhost: yardbook.test\r\n\r\n"),
        start + oversized_frame, start + Frame(1, 4, 1, "\xff\xff\xff\xff\xff"),
        start + Frame(0, 0, 1, "data on an idle stream"),
        start + Frame(8, 0, 0, Int32(0)),
        start + Frame(1, 4, 2, "\x82\x86\x84")}) {
    const auto raw = ConnectRaw(io_, proxy_->local_endpoint());
    raw->Send(bytes);
    EXPECT_TRUE(RunUntil(io_, [&] { return raw->closed(); }));
  }
  // A truncated frame, followed by the end of the connection.
  const auto raw = ConnectRaw(io_, proxy_->local_endpoint());
  raw->Send(start + Frame(1, 4, 1, "\x82\x86\x84").substr(0, 11));
  raw->Close();
  held[0].first->Respond(held[0].second, {{":status", "200"}}, true);
  ASSERT_TRUE(RunUntil(io_, [&] { return seen->closes > 0; }));
  EXPECT_EQ(seen->end, StreamEnd::kComplete);
  EXPECT_EQ(target_heads_.size(), 1u);
}

TEST_F(RequestProxyTest, OversizedHeadersAreRefused) {
  StartTarget();
  StartProxy(target_->local_endpoint());
  HeaderFields head = Get("/");
  head.emplace_back("x-large", std::string(20'000, 'x'));
  EXPECT_EQ(RefusalOf(SendAndWait(head)), "431 not-run head-too-large");
  EXPECT_TRUE(target_heads_.empty());
}

// A request that waits for a connection while its target starts draining must
// not be sent to the target.
TEST_F(RequestProxyTest, WaitingRequestIsNotSentToADrainingTarget) {
  serve_ = [](const Http2SessionPtr&, int32_t) { return StreamHooks{}; };
  options_.connections_per_target = 1;
  options_.target_limits.streams = 1;
  StartTarget();
  StartProxy(target_->local_endpoint());
  auto waiting = std::make_shared<StreamEvents>();
  caller_->Open(Get("/1"), true, {});
  caller_->Open(Get("/2"), true, Record(waiting));
  ASSERT_TRUE(RunUntil(io_, [&] {
    return target_heads_.size() == 1 && core_.requests.size() == 2;
  }));
  auto view = std::make_shared<config::ControlView>(*core_.view);
  auto deployment = std::make_shared<config::Deployment>(*view->deployment);
  deployment->services[0].targets[0].state = config::TargetState::kDraining;
  view->deployment = deployment;
  proxy_->PostView(view);
  ASSERT_TRUE(RunUntil(io_, [&] { return waiting->closes > 0; }));
  EXPECT_EQ(RefusalOf(*waiting), "503 not-run target-failed");
  EXPECT_EQ(target_heads_.size(), 1u);
}

// Callers that read nothing must not exhaust the memory.
TEST_F(RequestProxyTest, NewRequestsAreRefusedWhileTooMuchIsBuffered) {
  serve_ = [](const Http2SessionPtr& session, int32_t stream) {
    session->Respond(stream, {{":status", "200"}}, false);
    session->Write(stream, std::string(size_t{1} << 20, 'x'));
    session->Finish(stream);
    return StreamHooks{};
  };
  options_.max_buffered_bytes = size_t{100} << 10;
  StartTarget();
  StartProxy(target_->local_endpoint());
  auto slow = std::make_shared<StreamEvents>();
  const int32_t id = caller_->Open(Get("/"), true, Record(slow));
  ASSERT_TRUE(RunUntil(io_, [&] {
    return proxy_->Snapshot().callers.buffered > options_.max_buffered_bytes;
  }));
  EXPECT_EQ(RefusalOf(SendAndWait(Get("/"))), "503 not-run overload");
  caller_->Reset(id, kHttp2Cancel);
  ASSERT_TRUE(
      RunUntil(io_, [&] { return proxy_->Snapshot().callers.buffered == 0; }));
  EXPECT_EQ(target_heads_.size(), 1u);
}

TEST_F(RequestProxyTest, ConnectionsToATargetAreLimited) {
  std::vector<std::pair<Http2SessionPtr, int32_t>> held;
  serve_ = [&](const Http2SessionPtr& session, int32_t stream) {
    held.emplace_back(session, stream);
    return StreamHooks{};
  };
  options_.connections_per_target = 3;
  StartTarget();
  StartProxy(target_->local_endpoint());
  std::vector<std::shared_ptr<StreamEvents>> seen;
  for (int i = 0; i < 10; ++i) {
    seen.push_back(std::make_shared<StreamEvents>());
    caller_->Open(Get("/"), true, Record(seen.back()));
  }
  ASSERT_TRUE(RunUntil(io_, [&] { return held.size() == 10; }));
  EXPECT_EQ(target_->sessions(), 3u);
  for (const auto& [session, stream] : held) {
    session->Respond(stream, {{":status", "200"}}, true);
  }
  for (const auto& it : seen) {
    ASSERT_TRUE(RunUntil(io_, [&] { return it->closes > 0; }));
    EXPECT_EQ(it->end, StreamEnd::kComplete);
  }
}

TEST(RequestProxyMatchTest, UsesTheFirstMatchingKindAndLimitsTheDeadline) {
  config::Deployment deployment = *ViewWith(Loopback(1))->deployment;
  config::RequestKind pulls;
  pulls.method = "GET";
  pulls.path_prefix = "/boards";
  pulls.deadline = std::chrono::seconds(1);
  deployment.services[0].kinds.insert(deployment.services[0].kinds.begin(),
                                      pulls);
  MessageHead head{Get("/boards/7", "Yardbook.TEST:8080"), true, false};
  head.fields.emplace_back("request-timeout-ms", "99999");
  auto info = MatchRequest(deployment, head, "127.0.0.1", 100);
  ASSERT_TRUE(info);
  EXPECT_EQ(info->kind, 0u);
  EXPECT_EQ(info->deadline, std::chrono::seconds(1));
  EXPECT_EQ(info->caller, "127.0.0.1");
  EXPECT_TRUE(info->body_resendable);

  head.fields[0].second = "POST";
  head.end_stream = false;
  head.fields.back().second = "12x";
  info = MatchRequest(deployment, head, "127.0.0.1", 100);
  ASSERT_TRUE(info);
  EXPECT_EQ(info->kind, 1u);
  EXPECT_EQ(info->deadline, std::chrono::seconds(10));
  EXPECT_FALSE(info->body_resendable);
  head.fields.emplace_back("content-length", "100");
  EXPECT_TRUE(MatchRequest(deployment, head, "", 100)->body_resendable);
  EXPECT_FALSE(MatchRequest(deployment, head, "", 99)->body_resendable);
}

}  // namespace
}  // namespace marjoramhall::net
