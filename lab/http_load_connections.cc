#include "lab/http_load_connections.h"

#include <algorithm>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include "src/net/http2_transport.h"

namespace marjoramhall::lab {
namespace {

constexpr Duration kConnectTimeout = std::chrono::milliseconds(500);
constexpr Duration kReconnectPause = std::chrono::milliseconds(50);
// A VM that refuses a connection counts as gone this long; callers use others.
constexpr Duration kRefusedPause = std::chrono::seconds(1);

}  // namespace

// One connection and its successors.
struct LoadConnections::Line : std::enable_shared_from_this<Line> {
  Line(asio::io_context& context, const Endpoint& to)
      : io(context), timer(context), endpoint(to) {}
  asio::io_context& io;
  asio::steady_timer timer;
  const Endpoint endpoint;
  net::Http2SessionPtr session;
  uint64_t generation = 0;
  bool closed = false;
};

struct LoadConnections::Vm {
  std::vector<std::shared_ptr<Line>> lines;
  size_t next = 0;
};

LoadConnections::LoadConnections(asio::io_context& io,
                                 const std::vector<Endpoint>& vms,
                                 size_t per_vm) {
  for (const Endpoint& it : vms) {
    vms_.push_back(std::make_unique<Vm>());
    for (size_t i = 0; i < std::max<size_t>(per_vm, 1); ++i) {
      vms_.back()->lines.push_back(std::make_shared<Line>(io, it));
      Connect(vms_.back()->lines.back());
    }
  }
}

LoadConnections::~LoadConnections() {
  Close();
}

void LoadConnections::Connect(const std::shared_ptr<Line>& line) {
  const uint64_t generation = ++line->generation;
  const std::weak_ptr<Line> weak = line;
  const auto ended = [weak, generation] {
    const auto it = weak.lock();
    if (it && it->generation == generation) {
      it->session.reset();
      ConnectLater(it, kReconnectPause);
    }
  };
  net::SessionHooks hooks;
  hooks.on_draining = ended;
  hooks.on_closed = ended;
  net::ConnectHttp2(
      line->io, line->endpoint, kConnectTimeout, net::Http2Limits{},
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
          ConnectLater(it, kRefusedPause);
        }
      });
}

void LoadConnections::ConnectLater(const std::shared_ptr<Line>& line,
                                   Duration pause) {
  if (line->closed) {
    return;
  }
  line->generation++;
  line->timer.expires_after(pause);
  line->timer.async_wait(
      [weak = std::weak_ptr<Line>(line)](std::error_code ec) {
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
    for (size_t k = 0; k < it.lines.size(); ++k) {
      const auto& session = it.lines[it.next++ % it.lines.size()]->session;
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
    return std::all_of(vm->lines.begin(), vm->lines.end(),
                       [](const auto& it) { return it->session != nullptr; });
  });
}

void LoadConnections::Close() {
  for (const auto& vm : vms_) {
    for (const auto& it : vm->lines) {
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
