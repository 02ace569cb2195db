// The HTTP/2 listener and outgoing connections.
#include "src/net/http2_transport.h"

#include <algorithm>
#include <unordered_map>
#include <utility>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include "src/net/http2_session_impl.h"

namespace marjoramhall::net {
namespace {

using Tcp = asio::ip::tcp;

// Delay after a failed accept, for example without free file descriptors. It
// keeps the accept loop from spinning.
constexpr Duration kAcceptRetryDelay = std::chrono::milliseconds(20);

Tcp::endpoint ToAsio(const Endpoint& it) {
  if (it.address.IsV4()) {
    return {asio::ip::address_v4(it.address.ToV4()), it.port};
  }
  return {asio::ip::address_v6(it.address.bytes), it.port};
}

Endpoint FromAsio(const Tcp::endpoint& it) {
  Endpoint out;
  out.port = it.port();
  if (it.address().is_v4()) {
    out.address = IpAddress::FromV4(it.address().to_v4().to_uint());
  } else {
    out.address.bytes = it.address().to_v6().to_bytes();
  }
  return out;
}

}  // namespace

class Http2Listener::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& io,
       const Http2Limits& limits,
       size_t max_sessions,
       std::shared_ptr<Http2Counters> counters,
       AcceptHook on_accept)
      : acceptor_(io),
        accept_timer_(io),
        limits_(limits),
        max_sessions_(max_sessions),
        counters_(std::move(counters)),
        on_accept_(std::move(on_accept)) {}

  std::string Open(const Endpoint& listen) {
    const Tcp::endpoint local = ToAsio(listen);
    std::error_code ec;
    acceptor_.open(local.protocol(), ec);
    if (!ec) {
      acceptor_.set_option(Tcp::acceptor::reuse_address(true), ec);
    }
    if (!ec) {
      acceptor_.bind(local, ec);
    }
    if (!ec) {
      acceptor_.listen(4096, ec);
    }
    if (!ec) {
      acceptor_.non_blocking(true, ec);
    }
    if (ec) {
      return "cannot listen on " + listen.ToString() + ": " + ec.message();
    }
    local_endpoint_ = FromAsio(acceptor_.local_endpoint());
    Accept();
    return {};
  }

  void Accept() {
    acceptor_.async_accept(
        [self = shared_from_this()](std::error_code ec, Tcp::socket socket) {
          if (!self->acceptor_.is_open()) {
            return;
          }
          if (!ec) {
            self->Add(std::move(socket));
            self->Accept();
            return;
          }
          self->accept_timer_.expires_after(kAcceptRetryDelay);
          self->accept_timer_.async_wait([self](std::error_code error) {
            if (!error && self->acceptor_.is_open()) {
              self->Accept();
            }
          });
        });
  }

  void Add(Tcp::socket socket) {
    std::error_code ec;
    const Tcp::endpoint peer = socket.remote_endpoint(ec);
    if (ec || sessions_.size() >= max_sessions_) {
      rejected_++;
      return;
    }
    const uint64_t id = ++last_id_;
    SessionHooks hooks = on_accept_();
    hooks.on_closed = [weak = weak_from_this(), id,
                       on_closed = std::move(hooks.on_closed)] {
      if (const auto self = weak.lock()) {
        self->sessions_.erase(id);
      }
      if (on_closed) {
        on_closed();
      }
    };
    auto session = std::make_shared<Http2SessionImpl>(
        std::move(socket), Http2Role::kServer, FromAsio(peer), limits_,
        counters_, std::move(hooks));
    sessions_.emplace(id, session);
    session->Start();
    if (stopping_) {
      session->Shutdown();
    }
  }

  void Shutdown() {
    if (stopping_) {
      return;
    }
    stopping_ = true;
    // Closing the socket would reset connections that the system has completed
    // but that are not accepted yet. Requests may already be in flight on them.
    std::error_code ec;
    while (acceptor_.is_open()) {
      Tcp::socket socket(acceptor_.get_executor());
      acceptor_.accept(socket, ec);
      if (ec) {
        break;
      }
      Add(std::move(socket));
    }
    acceptor_.close(ec);
    accept_timer_.cancel();
    for (auto& [id, it] : sessions_) {
      it->Shutdown();
    }
  }

  void Close() {
    std::error_code ec;
    acceptor_.close(ec);
    accept_timer_.cancel();
    for (auto& [id, it] : sessions_) {
      it->Close();
    }
  }

  const Endpoint& local_endpoint() const { return local_endpoint_; }
  size_t sessions() const { return sessions_.size(); }
  uint64_t rejected() const { return rejected_; }

 private:
  Tcp::acceptor acceptor_;
  asio::steady_timer accept_timer_;
  const Http2Limits limits_;
  const size_t max_sessions_;
  std::shared_ptr<Http2Counters> counters_;
  AcceptHook on_accept_;
  Endpoint local_endpoint_;
  std::unordered_map<uint64_t, Http2SessionPtr> sessions_;
  uint64_t last_id_ = 0;
  uint64_t rejected_ = 0;
  bool stopping_ = false;
};

Http2Listener::Http2Listener(asio::io_context& io,
                             Http2Limits limits,
                             size_t max_sessions,
                             std::shared_ptr<Http2Counters> counters,
                             AcceptHook on_accept)
    : impl_(std::make_shared<Impl>(io,
                                   limits,
                                   max_sessions,
                                   std::move(counters),
                                   std::move(on_accept))) {}

Http2Listener::~Http2Listener() {
  impl_->Close();
}

std::string Http2Listener::Open(const Endpoint& listen) {
  return impl_->Open(listen);
}

const Endpoint& Http2Listener::local_endpoint() const {
  return impl_->local_endpoint();
}

void Http2Listener::Shutdown() {
  impl_->Shutdown();
}

void Http2Listener::Close() {
  impl_->Close();
}

size_t Http2Listener::sessions() const {
  return impl_->sessions();
}

uint64_t Http2Listener::rejected() const {
  return impl_->rejected();
}

void ConnectHttp2(
    asio::io_context& io,
    const Endpoint& to,
    Duration timeout,
    const Http2Limits& limits,
    std::shared_ptr<Http2Counters> counters,
    SessionHooks hooks,
    std::function<void(Http2SessionPtr, const std::string& error)> done) {
  struct Pending {
    explicit Pending(asio::io_context& context)
        : socket(context), timer(context) {}
    Tcp::socket socket;
    asio::steady_timer timer;
    bool timed_out = false;
  };
  auto pending = std::make_shared<Pending>(io);
  pending->timer.expires_after(timeout);
  pending->timer.async_wait([pending](std::error_code ec) {
    if (!ec) {
      pending->timed_out = true;
      pending->socket.close(ec);
    }
  });
  pending->socket.async_connect(
      ToAsio(to),
      [pending, to, limits, counters = std::move(counters),
       hooks = std::move(hooks), done = std::move(done)](std::error_code ec) {
        pending->timer.cancel();
        if (ec || pending->timed_out) {
          done(nullptr, "cannot connect to " + to.ToString() + ": " +
                            (pending->timed_out ? "timed out" : ec.message()));
          return;
        }
        auto session = std::make_shared<Http2SessionImpl>(
            std::move(pending->socket), Http2Role::kClient, to, limits,
            counters, hooks);
        session->Start();
        done(session, {});
      });
}

}  // namespace marjoramhall::net
