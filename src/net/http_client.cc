// Runs each call on a private io_context until its deadline. Asio does the I/O,
// Boost.Beast parses the responses.
#include "src/net/http_client.h"

#include <algorithm>
#include <array>
#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>
#include <atomic>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <limits>
#include <string_view>
#include <utility>

namespace marjoramhall::net {
namespace {

namespace http = boost::beast::http;
using asio::ip::tcp;

constexpr size_t kReadBufferBytes = size_t{16} << 10;
// Deadline while no operation is running.
constexpr auto kNoDeadline = std::numeric_limits<Duration::rep>::max();

}  // namespace

class HttpClient::Impl {
 public:
  explicit Impl(HttpClientOptions options)
      : options_(std::move(options)),
        host_(options_.server.ToString()),
        server_(asio::ip::make_address_v4(options_.server.address.ToV4()),
                options_.server.port),
        socket_(io_) {}

  std::optional<HttpResponse> Get(const std::string& target, Duration timeout) {
    response_began_ = false;
    if (!IsConnectionUsable() && !Connect()) {
      return std::nullopt;
    }
    const TimePoint deadline = SteadyNow() + timeout;
    auto response = Exchange("GET " + target + " HTTP/1.1\r\nHost: " + host_ +
                                 "\r\nAccept: application/json\r\n\r\n",
                             deadline);
    if (!response) {
      Close();
    }
    return response;
  }

  bool response_began() const { return response_began_; }

  void Cancel() {
    asio::post(io_, [this] { Close(); });
  }

  void CancelIfOverdue() {
    if (BootTimeNow().time_since_epoch().count() > boot_deadline_) {
      Cancel();
    }
  }

 private:
  // Whether the connection is open and has no unread input. A connection that
  // the server closed while it was idle would make the next call fail.
  bool IsConnectionUsable() {
    if (!socket_.is_open()) {
      return false;
    }
    char byte = 0;
    std::error_code ec;
    socket_.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, ec);
    if (ec != asio::error::would_block) {
      Close();
    }
    return socket_.is_open();
  }

  bool Connect() {
    std::error_code ec;
    socket_.open(tcp::v4(), ec);
    if (!ec) {
      socket_.set_option(tcp::no_delay(true), ec);
    }
    if (!ec) {
      socket_.non_blocking(true, ec);
    }
    if (!ec) {
      ec = RunUntilDone(SteadyNow() + options_.connect_timeout, [this](
                                                                    auto done) {
             socket_.async_connect(server_,
                                   [done](std::error_code it) { done(it, 0); });
           }).first;
    }
    if (ec) {
      Close();
    }
    return !ec;
  }

  std::optional<HttpResponse> Exchange(const std::string& request,
                                       TimePoint deadline) {
    const auto sent = RunUntilDone(deadline, [&](auto done) {
      asio::async_write(socket_, asio::buffer(request), done);
    });
    if (sent.first) {
      return std::nullopt;
    }
    http::response_parser<http::string_body> parser;
    parser.body_limit(options_.max_body_bytes);
    parser.eager(true);
    std::string unparsed;  // received but not parsed
    TimePoint transfer_end;
    while (!parser.is_done()) {
      const auto [ec, n] = RunUntilDone(deadline, [this](auto done) {
        socket_.async_read_some(asio::buffer(buf_), done);
      });
      if (n > 0) {
        const TimePoint now = SteadyNow();
        if (!std::exchange(response_began_, true)) {
          transfer_end = now + options_.max_transfer_time;
        }
        deadline = std::min(now + options_.stall_timeout, transfer_end);
      }
      boost::beast::error_code parse_error;
      if (ec == asio::error::eof && response_began_) {
        parser.put_eof(parse_error);  // fails unless the end is allowed here
        if (!parse_error && parser.is_done()) {
          break;
        }
      }
      if (ec) {
        return std::nullopt;
      }
      unparsed.append(buf_.data(), n);
      const size_t used = parser.put(
          boost::asio::buffer(unparsed.data(), unparsed.size()), parse_error);
      if (parse_error && parse_error != http::error::need_more) {
        return std::nullopt;
      }
      unparsed.erase(0, used);
    }
    auto message = parser.release();
    if (!message.keep_alive() || !unparsed.empty()) {
      Close();
    }
    HttpResponse response{static_cast<int>(message.result_int()),
                          std::move(message.body()), std::nullopt};
    if (const auto it = message.find(options_.header);
        !options_.header.empty() && it != message.end()) {
      response.header = std::string(it->value());
    }
    return response;
  }

  // Starts an operation and runs it until it completes. Closes the connection
  // if it has not completed at the deadline, by either clock.
  template <typename Start>
  std::pair<std::error_code, size_t> RunUntilDone(TimePoint deadline,
                                                  Start start) {
    std::pair<std::error_code, size_t> result = {asio::error::timed_out, 0};
    bool is_done = false;
    start([&](std::error_code ec, size_t n) {
      result = {ec, n};
      is_done = true;
    });
    const TimePoint boot_deadline = BootTimeNow() + (deadline - SteadyNow());
    boot_deadline_ = boot_deadline.time_since_epoch().count();
    io_.restart();
    while (!is_done && io_.run_one_until(deadline) > 0) {
    }
    boot_deadline_ = kNoDeadline;
    if (!is_done) {
      Close();
      while (!is_done && io_.run_one() > 0) {
      }
      result = {asio::error::timed_out, 0};
    }
    return result;
  }

  void Close() {
    std::error_code ec;
    socket_.close(ec);  // the socket is closed even if this fails
  }

  const HttpClientOptions options_;
  const std::string host_;
  const tcp::endpoint server_;
  asio::io_context io_;
  tcp::socket socket_;
  std::array<char, kReadBufferBytes> buf_{};
  bool response_began_ = false;                            // of the last Get()
  std::atomic<Duration::rep> boot_deadline_{kNoDeadline};  // of BootTimeNow()
};

HttpClient::HttpClient(HttpClientOptions options)
    : impl_(std::make_unique<Impl>(std::move(options))) {}

HttpClient::~HttpClient() = default;

std::optional<HttpResponse> HttpClient::Get(const std::string& target,
                                            Duration timeout) {
  return impl_->Get(target, timeout);
}

bool HttpClient::response_began() const {
  return impl_->response_began();
}

void HttpClient::Cancel() {
  impl_->Cancel();
}

void HttpClient::CancelIfOverdue() {
  impl_->CancelIfOverdue();
}

}  // namespace marjoramhall::net
