// Calls on an io_context of their own, run until the time limit. Asio moves the
// bytes, the parser of Boost.Beast reads them.
#include "src/net/http_client.h"

#include <array>
#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <string_view>
#include <utility>

namespace marjoramhall::net {
namespace {

namespace http = boost::beast::http;
using asio::ip::tcp;

constexpr size_t kReadBytes = size_t{16} << 10;

}  // namespace

class HttpClient::Impl {
 public:
  explicit Impl(HttpClientOptions options)
      : options_(options),
        host_(options.server.ToString()),
        server_(asio::ip::make_address_v4(options.server.address.ToV4()),
                options.server.port),
        socket_(io_) {}

  std::optional<HttpAnswer> Get(const std::string& target, Duration limit) {
    if (!IsUsable() && !Connect()) {
      return std::nullopt;
    }
    const TimePoint end = SteadyNow() + limit;
    auto answer = Exchange("GET " + target + " HTTP/1.1\r\nHost: " + host_ +
                               "\r\nAccept: application/json\r\n\r\n",
                           end);
    if (!answer) {
      Close();
    }
    return answer;
  }

  void Cancel() {
    asio::post(io_, [this] { Close(); });
  }

 private:
  // Whether the connection is open and silent. One that the server has closed
  // while it was idle would fail the next call.
  bool IsUsable() {
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
      ec = Await(SteadyNow() + options_.connect_limit, [this](auto done) {
             socket_.async_connect(server_,
                                   [done](std::error_code it) { done(it, 0); });
           }).first;
    }
    if (ec) {
      Close();
    }
    return !ec;
  }

  std::optional<HttpAnswer> Exchange(const std::string& request,
                                     TimePoint end) {
    const auto sent = Await(end, [&](auto done) {
      asio::async_write(socket_, asio::buffer(request), done);
    });
    if (sent.first) {
      return std::nullopt;
    }
    http::response_parser<http::string_body> parser;
    parser.body_limit(options_.max_body_bytes);
    parser.eager(true);
    std::string pending;  // received, not yet understood
    while (!parser.is_done()) {
      const auto [ec, n] = Await(end, [this](auto done) {
        socket_.async_read_some(asio::buffer(buf_), done);
      });
      boost::beast::error_code fault;
      if (ec == asio::error::eof) {
        parser.put_eof(fault);  // an error unless the answer ends so
        if (!fault && parser.is_done()) {
          break;
        }
      }
      if (ec) {
        return std::nullopt;
      }
      pending.append(buf_.data(), n);
      const size_t used = parser.put(
          boost::asio::buffer(pending.data(), pending.size()), fault);
      if (fault && fault != http::error::need_more) {
        return std::nullopt;
      }
      pending.erase(0, used);
    }
    auto message = parser.release();
    if (!message.keep_alive() || !pending.empty()) {
      Close();
    }
    return HttpAnswer{static_cast<int>(message.result_int()),
                      std::move(message.body())};
  }

  // Starts an operation and runs it to its end, or to the time limit, which
  // closes the connection.
  template <typename Start>
  std::pair<std::error_code, size_t> Await(TimePoint end, Start start) {
    std::pair<std::error_code, size_t> result = {asio::error::timed_out, 0};
    bool is_done = false;
    start([&](std::error_code ec, size_t n) {
      result = {ec, n};
      is_done = true;
    });
    io_.restart();
    while (!is_done && io_.run_one_until(end) > 0) {
    }
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
    socket_.close(ec);  // an error leaves it closed all the same
  }

  const HttpClientOptions options_;
  const std::string host_;
  const tcp::endpoint server_;
  asio::io_context io_;
  tcp::socket socket_;
  std::array<char, kReadBytes> buf_{};
};

HttpClient::HttpClient(HttpClientOptions options)
    : impl_(std::make_unique<Impl>(options)) {}

HttpClient::~HttpClient() = default;

std::optional<HttpAnswer> HttpClient::Get(const std::string& target,
                                          Duration limit) {
  return impl_->Get(target, limit);
}

void HttpClient::Cancel() {
  impl_->Cancel();
}

}  // namespace marjoramhall::net
