// Helpers for tests over real loopback sockets: functions that run the
// io_context, raw peers that send arbitrary bytes, and a recorder of stream
// events.
#ifndef MARJORAMHALL_TESTS_NET_HTTP2_TEST_UTIL_H_
#define MARJORAMHALL_TESTS_NET_HTTP2_TEST_UTIL_H_

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>

#include "src/base/endpoint.h"
#include "src/net/http2_session.h"
#include "src/net/http2_transport.h"

namespace marjoramhall::net::testing {

inline Endpoint Loopback(uint16_t port) {
  return {IpAddress::FromV4(0x7f000001), port};
}

// Runs the io_context until `done` returns true. Returns false after two
// minutes, which only a failing test reaches.
inline bool RunUntil(asio::io_context& io, const std::function<bool()>& done) {
  const TimePoint end = SteadyNow() + std::chrono::seconds(120);
  while (SteadyNow() < end) {
    if (done()) {
      return true;
    }
    io.restart();
    io.run_one_for(std::chrono::seconds(1));
  }
  return done();
}

// Runs the ready handlers for a limited time.
inline void Settle(asio::io_context& io, int rounds = 20) {
  for (int i = 0; i < rounds; ++i) {
    io.restart();
    io.run_for(std::chrono::milliseconds(2));
  }
}

// Encodes an HTTP/2 frame.
inline std::string Frame(uint8_t type,
                         uint8_t flags,
                         uint32_t stream,
                         std::string_view payload) {
  std::string out;
  const auto size = static_cast<uint32_t>(payload.size());
  for (const uint32_t it : {size >> 16, size >> 8, size}) {
    out.push_back(static_cast<char>(it & 0xff));
  }
  out.push_back(static_cast<char>(type));
  out.push_back(static_cast<char>(flags));
  for (const int shift : {24, 16, 8, 0}) {
    out.push_back(static_cast<char>((stream >> shift) & 0xff));
  }
  return out.append(payload);
}

// Encodes an integer in network byte order.
inline std::string Int32(uint32_t value) {
  std::string out;
  for (const int shift : {24, 16, 8, 0}) {
    out.push_back(static_cast<char>((value >> shift) & 0xff));
  }
  return out;
}

inline constexpr std::string_view kPreface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
inline const std::string kSettings = Frame(4, 0, 0, "");
// HPACK: indexed ":status: 200".
inline constexpr std::string_view kStatus200 = "\x88";

// A TCP connection that records the bytes it receives.
class RawConnection : public std::enable_shared_from_this<RawConnection> {
 public:
  explicit RawConnection(asio::ip::tcp::socket socket)
      : socket_(std::move(socket)) {}

  void Read() {
    socket_.async_read_some(
        asio::buffer(buf_),
        [self = shared_from_this()](std::error_code ec, size_t n) {
          self->received_.append(self->buf_.data(), n);
          if (ec) {
            self->closed_ = true;
          } else {
            self->Read();
          }
        });
  }
  void Send(const std::string& bytes) {
    std::error_code ec;
    asio::write(socket_, asio::buffer(bytes), ec);
  }
  void Close() {
    std::error_code ec;
    socket_.close(ec);
  }
  const std::string& received() const { return received_; }
  bool closed() const { return closed_; }

  // Returns the number of complete frames of a type that were received. Skips
  // the client's connection preface.
  int FramesOf(uint8_t type) const {
    std::string_view rest = received_;
    if (rest.starts_with(kPreface)) {
      rest.remove_prefix(kPreface.size());
    }
    int count = 0;
    while (rest.size() >= 9) {
      const size_t size = static_cast<uint8_t>(rest[0]) << 16 |
                          static_cast<uint8_t>(rest[1]) << 8 |
                          static_cast<uint8_t>(rest[2]);
      if (rest.size() < 9 + size) {
        break;
      }
      count += static_cast<uint8_t>(rest[3]) == type ? 1 : 0;
      rest.remove_prefix(9 + size);
    }
    return count;
  }

 private:
  asio::ip::tcp::socket socket_;
  std::array<char, 65536> buf_{};
  std::string received_;
  bool closed_ = false;
};

// Accepts connections for a test that acts as the target.
class RawServer {
 public:
  explicit RawServer(asio::io_context& io)
      : acceptor_(io, {asio::ip::address_v4::loopback(), 0}) {
    Accept();
  }
  Endpoint local() const { return Loopback(acceptor_.local_endpoint().port()); }
  // The newest connection, or null.
  std::shared_ptr<RawConnection> last;
  int accepted = 0;

 private:
  void Accept() {
    acceptor_.async_accept(
        [this](std::error_code ec, asio::ip::tcp::socket socket) {
          if (!ec) {
            last = std::make_shared<RawConnection>(std::move(socket));
            accepted++;
            last->Read();
            Accept();
          }
        });
  }
  asio::ip::tcp::acceptor acceptor_;
};

inline std::shared_ptr<RawConnection> ConnectRaw(asio::io_context& io,
                                                 const Endpoint& to) {
  asio::ip::tcp::socket socket(io);
  socket.connect({asio::ip::address_v4::loopback(), to.port});
  auto it = std::make_shared<RawConnection>(std::move(socket));
  it->Read();
  return it;
}

// The events that a stream has reported.
struct StreamEvents {
  MessageHead head;
  std::string body;
  size_t body_bytes = 0;
  bool ended = false;
  int closes = 0;
  StreamEnd end = StreamEnd::kBroken;
  uint32_t error_code = 0;
};

// Returns hooks that record into `seen`. If `consume` is set, it is called with
// the size of each body part.
inline StreamHooks Record(const std::shared_ptr<StreamEvents>& seen,
                          std::function<void(size_t)> consume = {}) {
  StreamHooks hooks;
  hooks.on_head = [seen](MessageHead head) { seen->head = std::move(head); };
  hooks.on_body = [seen, consume = std::move(consume)](std::string_view data) {
    seen->body_bytes += data.size();
    if (seen->body.size() < (1u << 20)) {
      seen->body.append(data);
    }
    if (consume) {
      consume(data.size());
    }
  };
  hooks.on_end = [seen](HeaderFields) { seen->ended = true; };
  hooks.on_close = [seen](StreamEnd end, uint32_t code) {
    seen->closes++;
    seen->end = end;
    seen->error_code = code;
  };
  return hooks;
}

inline HeaderFields Get(std::string path, std::string host = "yardbook.test") {
  return {{":method", "GET"},
          {":scheme", "http"},
          {":authority", std::move(host)},
          {":path", std::move(path)}};
}

inline HeaderFields Post(std::string path, std::string host = "yardbook.test") {
  HeaderFields head = Get(std::move(path), std::move(host));
  head[0].second = "POST";
  return head;
}

}  // namespace marjoramhall::net::testing

#endif  // MARJORAMHALL_TESTS_NET_HTTP2_TEST_UTIL_H_
