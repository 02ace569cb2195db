// Connects, and reconnects after a delay.
#include "lab/http_load_connections.h"

#include <algorithm>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include "src/net/http2_transport.h"

namespace marjoramhall::lab {
namespace {

constexpr Duration kConnectTimeout = std::chrono::milliseconds(500);
constexpr Duration kReconnectDelay = std::chrono::milliseconds(50);
// A VM that refused a connection is not tried again for this long.
constexpr Duration kRefusedDelay = std::chrono::seconds(1);

}  // namespace

// A connection that is replaced by a new session whenever one ends.
struct LoadConnections::Connection : std::enable_shared_from_this<Connection> {
  Connection(asio::io_context& context, const Endpoint& to)
      : io(context), timer(context), endpoint(to) {}
  asio::io_context& io;
  asio::steady_timer timer;
  const Endpoint endpoint;
  net::Http2SessionPtr session;
  // Counts connection attempts; hooks of earlier sessions are ignored.
  uint64_t generation = 0;
  bool closed = false;
};

struct LoadConnections::Vm {
  std::vector<std::shared_ptr<Connection>> connections;
  size_t next = 0;
};

LoadConnections::LoadConnections(asio::io_context& io,
                                 const std::vector<Endpoint>& vms,
                                 size_t per_vm) {
  for (const Endpoint& it : vms) {
    vms_.push_back(std::make_unique<Vm>());
    for (size_t i = 0; i < std::max<size_t>(per_vm, 1); ++i) {
      vms_.back()->connections.push_back(std::make_shared<Connection>(io, it));
      Connect(vms_.back()->connections.back());
    }
  }
}

LoadConnections::~LoadConnections() {
  Close();
}

void LoadConnections::Connect(const std::shared_ptr<Connection>& connection) {
  const uint64_t generation = ++connection->generation;
  const std::weak_ptr<Connection> weak = connection;
  const auto ended = [weak, generation] {
    const auto it = weak.lock();
    if (it && it->generation == generation) {
      it->session.reset();
      ConnectLater(it, kReconnectDelay);
    }
  };
  net::SessionHooks hooks;
  hooks.on_draining = ended;
  hooks.on_closed = ended;
  net::ConnectHttp2(
      connection->io, connection->endpoint, kConnectTimeout, net::Http2Limits{},
      std::make_shared<net::Http2Counters>(), hooks,
      [weak](const net::Http2SessionPtr& session, const std::string&) {
        const auto it = weak.lock();
        if (!it || it->closed) {
          if (session) {
            session->Close();
          }
          return;
        }
        it->session = session;
        if (!session) {
          ConnectLater(it, kRefusedDelay);
        }
      });
}

void LoadConnections::ConnectLater(
    const std::shared_ptr<Connection>& connection,
    Duration delay) {
  if (connection->closed) {
    return;
  }
  connection->generation++;
  connection->timer.expires_after(delay);
  connection->timer.async_wait(
      [weak = std::weak_ptr<Connection>(connection)](std::error_code ec) {
        const auto it = weak.lock();
        if (it && !ec && !it->closed) {
          Connect(it);
        }
      });
}

net::Http2SessionPtr LoadConnections::Choose(size_t& vm) {
  for (size_t i = 0; i < vms_.size(); ++i) {
    const size_t index = (vm + i) % vms_.size();
    Vm& it = *vms_[index];
    for (size_t k = 0; k < it.connections.size(); ++k) {
      const auto& session =
          it.connections[it.next++ % it.connections.size()]->session;
      if (session && session->CanOpen()) {
        vm = index;
        return session;
      }
    }
  }
  return nullptr;
}

bool LoadConnections::IsComplete() const {
  return std::all_of(vms_.begin(), vms_.end(), [](const auto& vm) {
    return std::all_of(vm->connections.begin(), vm->connections.end(),
                       [](const auto& it) { return it->session != nullptr; });
  });
}

void LoadConnections::Close() {
  for (const auto& vm : vms_) {
    for (const auto& it : vm->connections) {
      it->closed = true;
      it->timer.cancel();
      if (it->session) {
        it->session->Close();
        it->session.reset();
      }
    }
  }
}

}  // namespace marjoramhall::lab
