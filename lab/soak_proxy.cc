// Implementation with Asio.
#include "lab/soak_proxy.h"

#include <array>
#include <asio/connect.hpp>
#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <atomic>
#include <chrono>
#include <list>
#include <thread>

namespace marjoramhall::lab {
namespace {

using asio::ip::tcp;

constexpr auto kAnswerDelay = std::chrono::milliseconds(300);

tcp::endpoint ToAsio(const Endpoint& endpoint) {
  return {asio::ip::make_address_v4(endpoint.address.ToV4()), endpoint.port};
}

// A client connection and its upstream connection. Kept alive by its pending
// operations.
class Session : public std::enable_shared_from_this<Session> {
 public:
  Session(tcp::socket client,
          asio::io_context& io,
          const std::atomic<ProxyMode>& mode)
      : mode_(mode), client_(std::move(client)), upstream_(io), timer_(io) {}

  void Start(const tcp::endpoint& upstream) {
    upstream_.async_connect(
        upstream, [self = shared_from_this()](const std::error_code& ec) {
          if (ec) {
            self->Reset();
            return;
          }
          self->Relay(self->client_, self->upstream_, self->requests_, true);
          self->Relay(self->upstream_, self->client_, self->answers_, false);
        });
  }

  void Reset() {
    std::error_code ec;
    client_.set_option(asio::socket_base::linger(true, 0), ec);
    client_.close(ec);
    upstream_.close(ec);
  }

 private:
  using Buffer = std::array<char, 16'384>;

  void Relay(tcp::socket& from, tcp::socket& to, Buffer& buf, bool request) {
    from.async_read_some(
        asio::buffer(buf), [self = shared_from_this(), &from, &to, &buf,
                            request](const std::error_code& ec, size_t n) {
          if (ec) {
            self->Reset();
            return;
          }
          const ProxyMode mode = self->mode_;
          self->bytes_dropped_ |= mode == ProxyMode::kSilent ||
                                  (mode == ProxyMode::kOneWay && !request);
          if (self->bytes_dropped_) {
            self->Relay(from, to, buf, request);
          } else if (mode == ProxyMode::kDelay && !request) {
            self->timer_.expires_after(kAnswerDelay);
            self->timer_.async_wait(
                [self, &from, &to, &buf, n](const std::error_code&) {
                  self->Write(from, to, buf, n, false);
                });
          } else {
            self->Write(from, to, buf, n, request);
          }
        });
  }

  void Write(tcp::socket& from,
             tcp::socket& to,
             Buffer& buf,
             size_t n,
             bool request) {
    asio::async_write(to, asio::buffer(buf.data(), n),
                      [self = shared_from_this(), &from, &to, &buf, request](
                          const std::error_code& ec, size_t) {
                        if (ec) {
                          self->Reset();
                        } else {
                          self->Relay(from, to, buf, request);
                        }
                      });
  }

  const std::atomic<ProxyMode>& mode_;
  tcp::socket client_;
  tcp::socket upstream_;
  asio::steady_timer timer_;
  Buffer requests_{};
  Buffer answers_{};
  bool bytes_dropped_ = false;
};

}  // namespace

struct SoakProxy::Impl {
  Impl(Endpoint local, Endpoint store)
      : listen(local),
        upstream(store),
        work(asio::make_work_guard(io)),
        acceptor(io) {}

  void Accept() {
    acceptor.async_accept([this](const std::error_code& ec, tcp::socket peer) {
      if (ec) {
        return;
      }
      auto session = std::make_shared<Session>(std::move(peer), io, mode);
      if (mode == ProxyMode::kReset) {
        session->Reset();
      } else {
        sessions.remove_if([](const auto& it) { return it.expired(); });
        sessions.push_back(session);
        session->Start(ToAsio(upstream));
      }
      Accept();
    });
  }

  Endpoint listen;
  const Endpoint upstream;
  asio::io_context io;
  asio::executor_work_guard<asio::io_context::executor_type> work;
  tcp::acceptor acceptor;
  std::list<std::weak_ptr<Session>> sessions;
  std::atomic<ProxyMode> mode{ProxyMode::kPass};
  std::thread thread;
};

SoakProxy::SoakProxy(Endpoint listen, Endpoint upstream)
    : impl_(std::make_unique<Impl>(listen, upstream)) {}

SoakProxy::~SoakProxy() {
  impl_->io.stop();
  if (impl_->thread.joinable()) {
    impl_->thread.join();
  }
}

std::string SoakProxy::Open() {
  std::error_code ec;
  impl_->acceptor.open(tcp::v4(), ec);
  impl_->acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
  impl_->acceptor.bind(ToAsio(impl_->listen), ec);
  if (!ec) {
    impl_->acceptor.listen(asio::socket_base::max_listen_connections, ec);
  }
  if (ec) {
    return "cannot listen on " + impl_->listen.ToString() + ": " + ec.message();
  }
  impl_->listen.port = impl_->acceptor.local_endpoint().port();
  impl_->Accept();
  impl_->thread = std::thread([this] { impl_->io.run(); });
  return "";
}

Endpoint SoakProxy::local_endpoint() const {
  return impl_->listen;
}

void SoakProxy::SetMode(ProxyMode mode) {
  impl_->mode = mode;
  if (mode != ProxyMode::kReset) {
    return;
  }
  asio::post(impl_->io, [this] {
    for (const auto& it : impl_->sessions) {
      if (const auto session = it.lock()) {
        session->Reset();
      }
    }
  });
}

}  // namespace marjoramhall::lab
