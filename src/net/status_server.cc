// The server, implemented with Asio and the request parser of Boost.Beast.
#include "src/net/status_server.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <chrono>
#include <optional>
#include <utility>

namespace marjoramhall::net {
namespace {

namespace http = boost::beast::http;
using asio::ip::tcp;

// Readiness is checked twice a second, so a slower check has failed anyway.
constexpr auto kConnectionTimeout = std::chrono::milliseconds(500);
// Longer than HttpClient waits for the rest of a response that has begun: a
// large one takes its time on the link of a small VM.
constexpr auto kSendTimeout = std::chrono::milliseconds(2500);
constexpr size_t kMaxRequestBytes = 4096;
// Short compared to the interval of readiness checks.
constexpr auto kAcceptRetryDelay = std::chrono::milliseconds(100);

constexpr int kStatusBadRequest = 400;
constexpr int kStatusNotFound = 404;
constexpr int kStatusMethodNotAllowed = 405;

std::string FindParameter(std::string_view query, std::string_view name) {
  while (!query.empty()) {
    const std::string_view part = query.substr(0, query.find('&'));
    query.remove_prefix(std::min(query.size(), part.size() + 1));
    if (part.starts_with(name) && part.size() > name.size() &&
        part[name.size()] == '=') {
      return std::string(part.substr(name.size() + 1));
    }
  }
  return "";
}

}  // namespace

struct StatusServer::Impl : std::enable_shared_from_this<Impl> {
  struct Connection {
    explicit Connection(tcp::socket accepted)
        : socket(std::move(accepted)), timer(socket.get_executor()) {}

    tcp::socket socket;
    asio::steady_timer timer;
    std::array<char, kMaxRequestBytes> buf{};
    size_t received = 0;
    std::optional<http::request_parser<http::empty_body>> parser{std::in_place};
    // Of the response that is being sent; empty otherwise.
    std::string response_text;
    std::shared_ptr<const std::string> shared_body;
  };
  using ConnectionPtr = std::shared_ptr<Connection>;

  Impl(asio::io_context& io,
       Endpoint endpoint,
       std::vector<StatusRoute> given,
       StatusServerOptions initial)
      : options(initial),
        listen(endpoint),
        routes(std::move(given)),
        acceptor(io),
        accept_timer(io) {}

  void Accept() {
    acceptor.async_accept([self = shared_from_this()](std::error_code ec,
                                                      tcp::socket socket) {
      if (ec == asio::error::operation_aborted || !self->acceptor.is_open()) {
        return;
      }
      if (ec) {
        self->RetryAcceptLater();
        return;
      }
      // A connection above the limit is closed by its destructor.
      if (self->connections < self->options.max_connections) {
        self->Serve(std::make_shared<Connection>(std::move(socket)));
      }
      self->Accept();
    });
  }

  // Without free file descriptors, accepting fails immediately. The delay keeps
  // the accept loop from spinning.
  void RetryAcceptLater() {
    accept_timer.expires_after(kAcceptRetryDelay);
    accept_timer.async_wait([self = shared_from_this()](std::error_code ec) {
      if (!ec && self->acceptor.is_open()) {
        self->Accept();
      }
    });
  }

  void Serve(const ConnectionPtr& it) {
    ++connections;
    std::error_code ec;
    // Without this, a response to a further request may wait for the
    // acknowledgment of the one before.
    it->socket.set_option(tcp::no_delay(true), ec);
    CloseAfter(it, kConnectionTimeout);
    Read(it);
  }

  // Replaces an earlier time limit of the connection.
  static void CloseAfter(const ConnectionPtr& it, Duration delay) {
    it->timer.expires_after(delay);
    it->timer.async_wait([it](std::error_code ec) {
      if (!ec) {
        std::error_code closed;
        it->socket.close(closed);  // cancels the pending operation
      }
    });
  }

  void Read(const ConnectionPtr& it) {
    it->socket.async_read_some(
        asio::buffer(it->buf.data() + it->received,
                     it->buf.size() - it->received),
        [self = shared_from_this(), it](std::error_code ec, size_t n) {
          if (ec) {
            self->End(*it);
            return;
          }
          if (it->received == 0) {
            CloseAfter(it, kConnectionTimeout);
          }
          it->received += n;
          self->OnBytes(it);
        });
  }

  void OnBytes(const ConnectionPtr& it) {
    boost::beast::error_code ec;
    const size_t used =
        it->parser->put(boost::asio::buffer(it->buf.data(), it->received), ec);
    std::copy(it->buf.begin() + static_cast<ptrdiff_t>(used),
              it->buf.begin() + static_cast<ptrdiff_t>(it->received),
              it->buf.begin());
    it->received -= used;
    const bool incomplete =
        (!ec || ec == http::error::need_more) && !it->parser->is_header_done();
    if (incomplete && it->received < it->buf.size()) {
      Read(it);
    } else if (it->parser->is_header_done()) {
      const bool keep_alive =
          options.keep_alive > Duration{0} && it->parser->get().keep_alive();
      Respond(it, HandleRequest(it->parser->get()), keep_alive);
    } else {
      Respond(it, {kStatusBadRequest, "request not understood\n"}, false);
    }
  }

  StatusResponse HandleRequest(
      const http::request<http::empty_body>& request) const {
    if (request.method() != http::verb::get) {
      return {kStatusMethodNotAllowed, "only GET is served\n"};
    }
    const std::string_view target(request.target().data(),
                                  request.target().size());
    const std::string_view path = target.substr(0, target.find('?'));
    const std::string_view query =
        target.substr(std::min(target.size(), path.size() + 1));
    const auto route =
        std::find_if(routes.begin(), routes.end(),
                     [&](const StatusRoute& it) { return it.path == path; });
    return route == routes.end()
               ? StatusResponse{kStatusNotFound, "no such page\n"}
               : route->handler([query](std::string_view name) {
                   return FindParameter(query, name);
                 });
  }

  void Respond(const ConnectionPtr& it,
               StatusResponse response,
               bool keep_alive) {
    it->shared_body = std::move(response.shared_body);
    if (it->shared_body == nullptr) {
      it->shared_body = std::make_shared<const std::string>();
    }
    const auto reason =
        http::obsolete_reason(static_cast<http::status>(response.status));
    it->response_text = fmt::format(
        "HTTP/1.1 {} {}\r\nContent-Type: text/plain; version=0.0.4\r\n"
        "Content-Length: {}\r\n{}\r\n{}",
        response.status, std::string_view(reason.data(), reason.size()),
        response.body.size() + it->shared_body->size(),
        keep_alive ? "" : "Connection: close\r\n", response.body);
    CloseAfter(it, kSendTimeout);
    const std::array<asio::const_buffer, 2> parts = {
        asio::buffer(it->response_text), asio::buffer(*it->shared_body)};
    asio::async_write(it->socket, parts,
                      [self = shared_from_this(), it, keep_alive](
                          std::error_code ec, size_t) {
                        std::string().swap(it->response_text);
                        it->shared_body.reset();
                        if (!ec && keep_alive) {
                          self->AwaitNextRequest(it);
                          return;
                        }
                        if (!ec) {
                          it->socket.shutdown(tcp::socket::shutdown_send, ec);
                        }
                        self->End(*it);
                      });
  }

  void AwaitNextRequest(const ConnectionPtr& it) {
    it->parser.emplace();
    if (it->received > 0) {
      CloseAfter(it, kConnectionTimeout);
      OnBytes(it);
      return;
    }
    CloseAfter(it, options.keep_alive);
    Read(it);
  }

  void End(Connection& connection) {
    connection.timer.cancel();
    --connections;
  }

  const StatusServerOptions options;
  const Endpoint listen;
  const std::vector<StatusRoute> routes;
  tcp::acceptor acceptor;
  asio::steady_timer accept_timer;
  size_t connections = 0;
};

StatusServer::StatusServer(asio::io_context& io,
                           Endpoint listen,
                           std::vector<StatusRoute> routes,
                           StatusServerOptions options)
    : impl_(std::make_shared<Impl>(io, listen, std::move(routes), options)) {}

StatusServer::~StatusServer() {
  std::error_code ec;
  impl_->acceptor.close(ec);  // the acceptor is closed even if this fails
}

std::string StatusServer::Open() {
  const tcp::endpoint local(
      asio::ip::make_address_v4(impl_->listen.address.ToV4()),
      impl_->listen.port);
  tcp::acceptor& acceptor = impl_->acceptor;
  std::error_code ec;
  acceptor.open(local.protocol(), ec);
  if (!ec) {
    acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
  }
  if (!ec) {
    acceptor.bind(local, ec);
  }
  if (!ec) {
    acceptor.listen(asio::socket_base::max_listen_connections, ec);
  }
  if (ec) {
    return "cannot listen on " + impl_->listen.ToString() + ": " + ec.message();
  }
  impl_->Accept();
  return "";
}

Endpoint StatusServer::LocalEndpoint() const {
  std::error_code ec;
  const tcp::endpoint local = impl_->acceptor.local_endpoint(ec);
  return ec ? Endpoint{}
            : Endpoint{IpAddress::FromV4(local.address().to_v4().to_uint()),
                       local.port()};
}

}  // namespace marjoramhall::net
