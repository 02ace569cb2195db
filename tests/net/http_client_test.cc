// Guards against a client that accepts a late or truncated response, or that
// blocks longer than its timeout.
#include "src/net/http_client.h"

#include <gtest/gtest.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <functional>
#include <thread>

namespace marjoramhall::net {
namespace {

using asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kOk[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

// A server that runs one script per accepted connection, in order.
class ScriptedServer {
 public:
  using Script = std::function<void(tcp::socket&)>;

  explicit ScriptedServer(std::vector<Script> scripts)
      : acceptor_(io_, {asio::ip::make_address_v4("127.0.0.1"), 0}),
        thread_([this, scripts = std::move(scripts)] {
          for (const Script& it : scripts) {
            tcp::socket socket = acceptor_.accept();
            ++connections_;
            it(socket);
          }
        }) {}
  ~ScriptedServer() { thread_.join(); }
  ScriptedServer(const ScriptedServer&) = delete;
  ScriptedServer& operator=(const ScriptedServer&) = delete;

  HttpClientOptions Options() const {
    HttpClientOptions options;
    options.server = {IpAddress::FromV4(0x7f000001),
                      acceptor_.local_endpoint().port()};
    return options;
  }
  int connections() const { return connections_; }

 private:
  asio::io_context io_;
  tcp::acceptor acceptor_;
  std::atomic<int> connections_{0};
  std::thread thread_;
};

// Reads the header section of a request. Returns an empty string if the client
// has disconnected.
std::string ReadRequest(tcp::socket& socket) {
  std::string text;
  std::error_code ec;
  asio::read_until(socket, asio::dynamic_buffer(text), "\r\n\r\n", ec);
  return ec ? "" : text;
}

void Write(tcp::socket& socket, const std::string& text) {
  std::error_code ec;  // the client may have disconnected
  asio::write(socket, asio::buffer(text), ec);
}

TEST(HttpClientTest, ReusesTheConnection) {
  std::string first;
  ScriptedServer server({[&](tcp::socket& socket) {
    first = ReadRequest(socket);
    Write(socket, kOk);
    ReadRequest(socket);
    Write(socket, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
    ReadRequest(socket);
  }});
  {
    HttpClient client(server.Options());
    const auto response = client.Get("/a?b=c", seconds(5));
    ASSERT_TRUE(response);
    EXPECT_EQ(response->status, 200);
    EXPECT_EQ(response->body, "ok");
    const auto second = client.Get("/d", seconds(5));
    ASSERT_TRUE(second);
    EXPECT_EQ(second->status, 404);
  }
  EXPECT_EQ(server.connections(), 1);
  EXPECT_EQ(first.substr(0, first.find('\r')), "GET /a?b=c HTTP/1.1");
}

TEST(HttpClientTest, ReadsAResponseThatArrivesInPieces) {
  const std::string body(100'000, 'x');
  ScriptedServer server({[&](tcp::socket& socket) {
    ReadRequest(socket);
    Write(socket, "HTTP/1.1 200 OK\r\nContent-Le");
    std::this_thread::sleep_for(milliseconds(20));
    Write(socket, "ngth: 100000\r\n\r\n" + body.substr(0, 1));
    std::this_thread::sleep_for(milliseconds(20));
    Write(socket, body.substr(1));
    ReadRequest(socket);
  }});
  HttpClient client(server.Options());
  const auto response = client.Get("/", seconds(5));
  ASSERT_TRUE(response);
  EXPECT_EQ(response->body, body);
}

TEST(HttpClientTest, ReadsChunkedAndConnectionTerminatedResponses) {
  ScriptedServer server({[](tcp::socket& socket) {
                           ReadRequest(socket);
                           Write(
                               socket,
                               "HTTP/1.1 200 OK\r\nTransfer-Encoding: "
                               "chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n");
                           ReadRequest(socket);
                           Write(socket, "HTTP/1.1 200 OK\r\n\r\nto the end");
                         },
                         [](tcp::socket& socket) {
                           ReadRequest(socket);
                           Write(socket, kOk);
                         }});
  HttpClient client(server.Options());
  auto response = client.Get("/", seconds(5));
  ASSERT_TRUE(response);
  EXPECT_EQ(response->body, "abc");
  response = client.Get("/", seconds(5));
  ASSERT_TRUE(response);
  EXPECT_EQ(response->body, "to the end");
  EXPECT_TRUE(client.Get("/", seconds(5)));
}

TEST(HttpClientTest, AClosedConnectionIsNoResponse) {
  ScriptedServer server({[](tcp::socket& socket) { ReadRequest(socket); }});
  HttpClient client(server.Options());
  EXPECT_FALSE(client.Get("/", seconds(5)));
}

TEST(HttpClientTest, RejectsATruncatedResponse) {
  ScriptedServer server(
      {[](tcp::socket& socket) {
         ReadRequest(socket);
         Write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab");
       },
       [](tcp::socket& socket) {
         ReadRequest(socket);
         Write(socket, "no HTTP at all\r\n\r\n");
       },
       [](tcp::socket& socket) {
         ReadRequest(socket);
         Write(socket, kOk);
       }});
  HttpClient client(server.Options());
  EXPECT_FALSE(client.Get("/", seconds(5)));
  EXPECT_FALSE(client.Get("/", seconds(5)));
  EXPECT_TRUE(client.Get("/", seconds(5)));
}

TEST(HttpClientTest, IgnoresALateResponseOfAnEarlierCall) {
  ScriptedServer server({[](tcp::socket& socket) {
                           ReadRequest(socket);
                           std::this_thread::sleep_for(milliseconds(200));
                           Write(socket, kOk);
                         },
                         [](tcp::socket& socket) {
                           ReadRequest(socket);
                           Write(socket,
                                 "HTTP/1.1 503 Busy\r\nContent-Length: 0"
                                 "\r\n\r\n");
                           ReadRequest(socket);
                         }});
  HttpClient client(server.Options());
  EXPECT_FALSE(client.Get("/", milliseconds(50)));
  const auto response = client.Get("/", seconds(5));
  ASSERT_TRUE(response);
  EXPECT_EQ(response->status, 503);
}

TEST(HttpClientTest, ReconnectsAfterTheServerClosedAnIdleConnection) {
  ScriptedServer server({[](tcp::socket& socket) {
                           ReadRequest(socket);
                           Write(socket, kOk);
                         },
                         [](tcp::socket& socket) {
                           ReadRequest(socket);
                           Write(socket, kOk);
                         }});
  HttpClient client(server.Options());
  EXPECT_TRUE(client.Get("/", seconds(5)));
  std::this_thread::sleep_for(milliseconds(100));  // until the close arrives
  EXPECT_TRUE(client.Get("/", seconds(5)));
}

TEST(HttpClientTest, RejectsATooLargeBody) {
  ScriptedServer server({[](tcp::socket& socket) {
    ReadRequest(socket);
    Write(socket, kOk);
    ReadRequest(socket);
  }});
  HttpClientOptions options = server.Options();
  options.max_body_bytes = 1;
  HttpClient client(options);
  EXPECT_FALSE(client.Get("/", seconds(5)));
}

// Writes a response body of `parts` bytes, one every `gap`, until the client
// disconnects.
ScriptedServer::Script SlowBody(int parts, milliseconds gap) {
  return [parts, gap](tcp::socket& socket) {
    ReadRequest(socket);
    Write(socket, "HTTP/1.1 200 OK\r\nContent-Length: " +
                      std::to_string(parts) + "\r\n\r\n");
    std::error_code ec;
    for (int i = 0; i < parts && !ec; ++i) {
      std::this_thread::sleep_for(gap);
      asio::write(socket, asio::buffer("x", 1), ec);
    }
  };
}

TEST(HttpClientTest, ALargeResponseMayTakeLongerThanItsBeginning) {
  ScriptedServer server({SlowBody(20, milliseconds(50))});
  HttpClient client(server.Options());
  const auto response = client.Get("/", milliseconds(400));
  ASSERT_TRUE(response);
  EXPECT_EQ(response->body.size(), 20U);
}

TEST(HttpClientTest, AResponseThatStallsOrNeverEndsIsIncomplete) {
  ScriptedServer server({SlowBody(2, seconds(2)),
                         SlowBody(1000, milliseconds(20)),
                         [](tcp::socket& socket) {
                           ReadRequest(socket);
                           ReadRequest(socket);
                         }});
  HttpClientOptions options = server.Options();
  options.stall_timeout = milliseconds(200);
  options.max_transfer_time = milliseconds(600);
  HttpClient client(options);
  EXPECT_FALSE(client.Get("/", seconds(5)));
  EXPECT_TRUE(client.response_began());
  EXPECT_FALSE(client.Get("/", seconds(5)));
  EXPECT_TRUE(client.response_began());
  EXPECT_FALSE(client.Get("/", milliseconds(50)));
  EXPECT_FALSE(client.response_began());
}

TEST(HttpClientTest, CancelEndsABlockedCall) {
  ScriptedServer server({[](tcp::socket& socket) {
    ReadRequest(socket);
    ReadRequest(socket);
  }});
  HttpClient client(server.Options());
  const auto began = std::chrono::steady_clock::now();
  std::thread other([&] {
    std::this_thread::sleep_for(milliseconds(50));
    client.Cancel();
  });
  EXPECT_FALSE(client.Get("/", seconds(30)));
  other.join();
  EXPECT_LT(std::chrono::steady_clock::now() - began, seconds(10));
}

}  // namespace
}  // namespace marjoramhall::net
