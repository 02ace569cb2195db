// Guards against bodies that are mixed up, truncated or buffered without limit,
// and against stream ends that misreport whether a message was complete or a
// request may have run. Uses real loopback sockets.
#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include "tests/net/http2_test_util.h"

namespace marjoramhall::net {
namespace {

using namespace testing;  // NOLINT(google-build-using-namespace)

class Http2SessionTest : public ::testing::Test {
 protected:
  // Starts a server that passes its requests to `on_request_`.
  void StartServer() {
    listener_ =
        std::make_unique<Http2Listener>(io_, limits_, 100, counters_, [this] {
          SessionHooks hooks;
          hooks.on_request = [this](const Http2SessionPtr& session,
                                    int32_t stream, MessageHead head) {
            server_session_ = session;
            requests_++;
            return on_request_(session, stream, std::move(head));
          };
          return hooks;
        });
    ASSERT_EQ(listener_->Open(Loopback(0)), "");
  }

  Http2SessionPtr Connect(const Endpoint& to) {
    Http2SessionPtr out;
    bool done = false;
    SessionHooks hooks;
    hooks.on_draining = [this] { draining_ = true; };
    hooks.on_closed = [this] { session_closed_ = true; };
    ConnectHttp2(io_, to, std::chrono::seconds(5), limits_, counters_, hooks,
                 [&](Http2SessionPtr it, const std::string& error) {
                   EXPECT_EQ(error, "");
                   out = std::move(it);
                   done = true;
                 });
    EXPECT_TRUE(RunUntil(io_, [&] { return done; }));
    return out;
  }

  // Waits until the raw target has received the header section of a request.
  std::shared_ptr<RawConnection> AwaitHead(RawServer& server) {
    EXPECT_TRUE(RunUntil(
        io_, [&] { return server.last && server.last->FramesOf(1) > 0; }));
    server.last->Send(kSettings);
    return server.last;
  }

  // Opens a client stream to a raw target that sends `response` and, if `close`
  // is set, closes the connection. Returns what the stream reported.
  StreamEvents EndAfter(const std::string& response, bool close) {
    RawServer server(io_);
    const auto client = Connect(server.local());
    auto seen = std::make_shared<StreamEvents>();
    client->Open(Get("/a"), true, Record(seen));
    const auto target = AwaitHead(server);
    target->Send(response);
    if (close) {
      target->Close();
    }
    EXPECT_TRUE(RunUntil(io_, [&] { return seen->closes > 0; }));
    Settle(io_);
    EXPECT_EQ(seen->closes, 1);
    return *seen;
  }

  asio::io_context io_;
  Http2Limits limits_;
  std::shared_ptr<Http2Counters> counters_ = std::make_shared<Http2Counters>();
  std::unique_ptr<Http2Listener> listener_;
  std::function<StreamHooks(Http2SessionPtr, int32_t, MessageHead)>
      on_request_ = [](const Http2SessionPtr& session,
                       int32_t stream,
                       const MessageHead&) {
        session->Respond(stream, {{":status", "200"}}, true);
        return StreamHooks{};
      };
  Http2SessionPtr server_session_;
  int requests_ = 0;
  bool draining_ = false;
  bool session_closed_ = false;
};

TEST_F(Http2SessionTest, ConcurrentBodiesAreEchoedUnchanged) {
  on_request_ = [](const Http2SessionPtr& session, int32_t stream,
                   const MessageHead& head) {
    session->Respond(stream,
                     {{":status", "200"},
                      {"x-path", std::string(FieldOf(head.fields, ":path"))}},
                     false);
    StreamHooks hooks;
    hooks.on_body = [session, stream](std::string_view data) {
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
  StartServer();
  const auto client = Connect(listener_->local_endpoint());
  std::vector<std::shared_ptr<StreamEvents>> seen;
  std::vector<std::string> bodies;
  for (int i = 0; i < 20; ++i) {
    seen.push_back(std::make_shared<StreamEvents>());
    bodies.emplace_back(static_cast<size_t>(i) * 30'011,
                        static_cast<char>('a' + i));
    auto id = std::make_shared<int32_t>(0);
    *id = client->Open(Post("/" + std::to_string(i)), false,
                       Record(seen.back(), [client, id](size_t n) {
                         client->Consume(*id, n);
                       }));
    ASSERT_GT(*id, 0);
    client->Write(*id, bodies.back());
    client->Finish(*id);
  }
  for (int i = 0; i < 20; ++i) {
    ASSERT_TRUE(RunUntil(io_, [&] { return seen[i]->closes > 0; }));
    EXPECT_EQ(seen[i]->end, StreamEnd::kComplete);
    EXPECT_EQ(FieldOf(seen[i]->head.fields, "x-path"), "/" + std::to_string(i));
    EXPECT_EQ(seen[i]->body, bodies[i]);
  }
  EXPECT_EQ(counters_->buffered, 0u);
}

// A slow user must not let the receive buffer grow without limit.
TEST_F(Http2SessionTest, UnconsumedBodyIsLimitedByTheWindow) {
  auto seen = std::make_shared<StreamEvents>();
  on_request_ = [&](const Http2SessionPtr&, int32_t, const MessageHead&) {
    return Record(seen);
  };
  StartServer();
  const auto client = Connect(listener_->local_endpoint());
  const int32_t id = client->Open(Post("/"), false, {});
  client->Write(id, std::string(2 << 20, 'x'));
  ASSERT_TRUE(
      RunUntil(io_, [&] { return seen->body_bytes >= limits_.stream_window; }));
  Settle(io_);
  EXPECT_EQ(seen->body_bytes, limits_.stream_window);
  EXPECT_GE(client->PendingBytes(id), (2u << 20) - limits_.stream_window);
}

TEST_F(Http2SessionTest, TrailersFollowTheBody) {
  on_request_ = [](const Http2SessionPtr& session, int32_t stream,
                   const MessageHead&) {
    session->Respond(stream, {{":status", "200"}}, false);
    session->Write(stream, "part");
    session->Finish(stream, {{"x-sum", "7"}});
    return StreamHooks{};
  };
  StartServer();
  const auto client = Connect(listener_->local_endpoint());
  auto seen = std::make_shared<StreamEvents>();
  HeaderFields trailers;
  StreamHooks hooks = Record(seen);
  hooks.on_end = [&](HeaderFields it) { trailers = std::move(it); };
  client->Open(Get("/"), true, hooks);
  ASSERT_TRUE(RunUntil(io_, [&] { return seen->closes > 0; }));
  EXPECT_EQ(seen->end, StreamEnd::kComplete);
  EXPECT_EQ(seen->body, "part");
  EXPECT_EQ(FieldOf(trailers, "x-sum"), "7");
}

TEST_F(Http2SessionTest, RefusedStreamIsNotRun) {
  const StreamEvents seen = EndAfter(Frame(3, 0, 1, Int32(7)), false);
  EXPECT_EQ(seen.end, StreamEnd::kRefused);
}

TEST_F(Http2SessionTest, GoawayWithLowerIdIsNotRun) {
  const StreamEvents seen =
      EndAfter(Frame(7, 0, 0, Int32(0) + Int32(0)), false);
  EXPECT_EQ(seen.end, StreamEnd::kRefused);
  EXPECT_TRUE(draining_);
}

// The GOAWAY covers the stream, so the peer may have processed it.
TEST_F(Http2SessionTest, GoawayWithSameIdThenDisconnectMayHaveRun) {
  const StreamEvents seen = EndAfter(Frame(7, 0, 0, Int32(1) + Int32(0)), true);
  EXPECT_EQ(seen.end, StreamEnd::kBroken);
}

TEST_F(Http2SessionTest, DisconnectAfterTheRequestMayHaveRun) {
  EXPECT_EQ(EndAfter("", true).end, StreamEnd::kBroken);
}

// The peer sends a response and then REFUSED_STREAM. The request may have run
// although the peer denies it.
TEST_F(Http2SessionTest, RefusedStreamAfterAResponseMayHaveRun) {
  const StreamEvents seen =
      EndAfter(Frame(1, 4, 1, kStatus200) + Frame(3, 0, 1, Int32(7)), false);
  EXPECT_EQ(seen.end, StreamEnd::kBroken);
}

TEST_F(Http2SessionTest, ClosedWithoutEndStreamIsNotComplete) {
  const StreamEvents seen =
      EndAfter(Frame(1, 4, 1, kStatus200) + Frame(0, 0, 1, "abc"), true);
  EXPECT_EQ(seen.end, StreamEnd::kBroken);
  EXPECT_FALSE(seen.ended);
}

// RST_STREAM(NO_ERROR) without END_STREAM must not count as a complete
// response.
TEST_F(Http2SessionTest, ResetWithoutErrorIsNotComplete) {
  const StreamEvents seen =
      EndAfter(Frame(1, 4, 1, kStatus200) + Frame(3, 0, 1, Int32(0)), false);
  EXPECT_EQ(seen.end, StreamEnd::kBroken);
}

TEST_F(Http2SessionTest, ContentLengthMismatchIsNotComplete) {
  // Literal field without indexing: content-length (static index 28).
  const std::string head =
      std::string(kStatus200) + std::string("\x0f\x0d\x02", 3) + "10";
  const StreamEvents seen =
      EndAfter(Frame(1, 4, 1, head) + Frame(0, 1, 1, "abc"), false);
  EXPECT_EQ(seen.end, StreamEnd::kBroken);
  EXPECT_FALSE(seen.ended);
}

// Close() before the first flush: no byte of the request was written.
TEST_F(Http2SessionTest, StreamClosedBeforeTheFirstFlushIsNotSent) {
  RawServer server(io_);
  const auto client = Connect(server.local());
  Settle(io_);
  auto seen = std::make_shared<StreamEvents>();
  client->Open(Get("/"), true, Record(seen));
  client->Close();
  ASSERT_TRUE(RunUntil(io_, [&] { return seen->closes > 0; }));
  EXPECT_EQ(seen->end, StreamEnd::kNotSent);
  EXPECT_EQ(client->Open(Get("/"), true, {}), 0);
}

// A target closes an idle connection just before a request is sent. The request
// must not be reported as one that may have run.
TEST_F(Http2SessionTest, RequestOnAConnectionClosedByThePeerIsNotSent) {
  RawServer server(io_);
  const auto client = Connect(server.local());
  ASSERT_TRUE(RunUntil(io_, [&] { return server.accepted == 1; }));
  Settle(io_, 5);
  // Closes without running the io_context, so the session does not know yet.
  server.last->Close();
  auto seen = std::make_shared<StreamEvents>();
  ASSERT_GT(client->Open(Get("/"), true, Record(seen)), 0);
  ASSERT_TRUE(RunUntil(io_, [&] { return seen->closes > 0; }));
  EXPECT_EQ(seen->end, StreamEnd::kNotSent);
}

// A caller cancels many streams of one connection during an overload. The limit
// on resets must not end the connection for the other streams.
TEST_F(Http2SessionTest, ManyCancelledStreamsKeepTheConnection) {
  on_request_ = [](const Http2SessionPtr& session, int32_t stream,
                   const MessageHead& head) {
    if (FieldOf(head.fields, ":path") == "/last") {
      session->Respond(stream, {{":status", "200"}}, true);
    }
    return StreamHooks{};
  };
  StartServer();
  const auto client = Connect(listener_->local_endpoint());
  for (int i = 1; i <= 3000; ++i) {
    const int32_t id = client->Open(Get("/"), true, {});
    ASSERT_GT(id, 0);
    ASSERT_TRUE(RunUntil(io_, [&] { return requests_ == i; }));
    client->Reset(id, kHttp2Cancel);
    ASSERT_TRUE(RunUntil(io_, [&] { return client->open_streams() == 0; }));
  }
  auto seen = std::make_shared<StreamEvents>();
  client->Open(Get("/last"), true, Record(seen));
  ASSERT_TRUE(RunUntil(io_, [&] { return seen->closes > 0; }));
  EXPECT_EQ(seen->end, StreamEnd::kComplete);
}

TEST_F(Http2SessionTest, ResetReachesThePeer) {
  auto seen = std::make_shared<StreamEvents>();
  on_request_ = [&](const Http2SessionPtr&, int32_t, const MessageHead&) {
    return Record(seen);
  };
  StartServer();
  const auto client = Connect(listener_->local_endpoint());
  const int32_t id = client->Open(Get("/"), true, {});
  ASSERT_TRUE(RunUntil(io_, [&] { return requests_ == 1; }));
  client->Reset(id, kHttp2Cancel);
  ASSERT_TRUE(RunUntil(io_, [&] { return seen->closes > 0; }));
  EXPECT_EQ(seen->error_code, kHttp2Cancel);
  EXPECT_EQ(seen->end, StreamEnd::kBroken);
}

// A graceful shutdown must serve requests that were sent before the client
// received the GOAWAY.
TEST_F(Http2SessionTest, ShutdownFinishesOpenAndLateStreams) {
  std::vector<std::pair<Http2SessionPtr, int32_t>> held;
  on_request_ = [&](const Http2SessionPtr& session, int32_t stream,
                    const MessageHead&) {
    held.emplace_back(session, stream);
    return StreamHooks{};
  };
  StartServer();
  const auto client = Connect(listener_->local_endpoint());
  auto first = std::make_shared<StreamEvents>();
  auto late = std::make_shared<StreamEvents>();
  client->Open(Get("/1"), true, Record(first));
  ASSERT_TRUE(RunUntil(io_, [&] { return held.size() == 1; }));
  // In flight when the server shuts down. The client writes it before it can
  // receive the GOAWAY.
  client->Open(Get("/2"), true, Record(late));
  listener_->Shutdown();
  ASSERT_TRUE(RunUntil(io_, [&] { return held.size() == 2 && draining_; }));
  EXPECT_FALSE(client->CanOpen());
  for (const auto& [session, stream] : held) {
    session->Respond(stream, {{":status", "200"}}, true);
  }
  ASSERT_TRUE(RunUntil(io_, [&] { return session_closed_; }));
  EXPECT_EQ(first->end, StreamEnd::kComplete);
  EXPECT_EQ(late->end, StreamEnd::kComplete);
  EXPECT_TRUE(RunUntil(io_, [&] { return listener_->sessions() == 0; }));
}

TEST_F(Http2SessionTest, OversizedHeadersAreMarked) {
  bool oversized = false;
  on_request_ = [&](const Http2SessionPtr& session, int32_t stream,
                    const MessageHead& head) {
    oversized = head.oversized;
    session->Respond(stream, {{":status", "431"}}, true);
    return StreamHooks{};
  };
  StartServer();
  const auto client = Connect(listener_->local_endpoint());
  HeaderFields head = Get("/");
  head.emplace_back("x-large", std::string(limits_.header_bytes, 'x'));
  auto seen = std::make_shared<StreamEvents>();
  client->Open(head, true, Record(seen));
  ASSERT_TRUE(RunUntil(io_, [&] { return seen->closes > 0; }));
  EXPECT_TRUE(oversized);
  EXPECT_EQ(FieldOf(seen->head.fields, ":status"), "431");
}

// Streams above the limit get REFUSED_STREAM while the peer has not
// acknowledged the limit, so the peer knows that they did not run. A peer that
// exceeds the limit after acknowledging it loses its connection.
TEST_F(Http2SessionTest, StreamsAboveTheLimitAreRefused) {
  limits_.streams = 2;
  on_request_ = [](const Http2SessionPtr&, int32_t, const MessageHead&) {
    return StreamHooks{};
  };
  StartServer();
  const auto raw = ConnectRaw(io_, listener_->local_endpoint());
  // ":method: GET", ":scheme: http", ":path: /", ":authority: a".
  const std::string head = std::string("\x82\x86\x84\x41\x01", 5) + "a";
  std::string bytes = std::string(kPreface) + kSettings;
  for (const uint32_t id : {1, 3, 5}) {
    bytes += Frame(1, 5, id, head);
  }
  raw->Send(bytes);
  ASSERT_TRUE(RunUntil(io_, [&] { return raw->FramesOf(3) == 1; }));
  EXPECT_EQ(requests_, 2);
  EXPECT_NE(raw->received().find(Frame(3, 0, 5, Int32(7))), std::string::npos);
}

TEST_F(Http2SessionTest, IdleSessionsAreClosed) {
  limits_.idle_timeout = std::chrono::milliseconds(50);
  StartServer();
  // One peer sends nothing, the other an incomplete header section.
  const auto silent = ConnectRaw(io_, listener_->local_endpoint());
  const auto slow = ConnectRaw(io_, listener_->local_endpoint());
  slow->Send(std::string(kPreface) + kSettings + Frame(1, 0, 1, "\x82\x86"));
  EXPECT_TRUE(
      RunUntil(io_, [&] { return silent->closed() && slow->closed(); }));
}

// A target host that fails without closing the connection must not keep streams
// open.
TEST_F(Http2SessionTest, SilentPeerBreaksItsStreams) {
  limits_.ping_after = std::chrono::milliseconds(60);
  RawServer server(io_);
  const auto client = Connect(server.local());
  auto seen = std::make_shared<StreamEvents>();
  client->Open(Get("/"), true, Record(seen));
  ASSERT_TRUE(RunUntil(io_, [&] { return seen->closes > 0; }));
  EXPECT_EQ(seen->end, StreamEnd::kBroken);
  EXPECT_EQ(server.last->FramesOf(6), 1);
}

// Invalid input must end only its own session, not others of the listener.
RC_GTEST_FIXTURE_PROP(Http2SessionTest, InvalidInputEndsOnlyItsSession, ()) {
  StartServer();
  const auto good = Connect(listener_->local_endpoint());
  const auto raw = ConnectRaw(io_, listener_->local_endpoint());
  std::string bytes;
  if (*rc::gen::arbitrary<bool>()) {
    bytes = std::string(kPreface) + kSettings;
  }
  const auto frames =
      *rc::gen::container<std::vector<std::string>>(rc::gen::apply(
          [](uint8_t type, uint8_t flags, uint32_t stream,
             const std::string& payload) {
            return Frame(type, flags, stream, payload);
          },
          rc::gen::inRange<uint8_t>(0, 12), rc::gen::arbitrary<uint8_t>(),
          rc::gen::inRange<uint32_t>(0, 8), rc::gen::arbitrary<std::string>()));
  for (const auto& it : frames) {
    bytes += it;
  }
  bytes += *rc::gen::arbitrary<std::string>();
  raw->Send(bytes);
  auto seen = std::make_shared<StreamEvents>();
  good->Open(Get("/"), true, Record(seen));
  RC_ASSERT(RunUntil(io_, [&] { return seen->closes > 0; }));
  RC_ASSERT(seen->end == StreamEnd::kComplete);
  raw->Close();
  good->Close();
  RC_ASSERT(RunUntil(io_, [&] { return listener_->sessions() == 0; }));
}

}  // namespace
}  // namespace marjoramhall::net
