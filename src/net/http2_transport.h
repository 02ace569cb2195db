// Creates HTTP/2 sessions: from connections that a listener accepts, and from
// connections that we open.
#ifndef MARJORAMHALL_NET_HTTP2_TRANSPORT_H_
#define MARJORAMHALL_NET_HTTP2_TRANSPORT_H_

#include <functional>
#include <memory>
#include <string>

#include "src/base/endpoint.h"
#include "src/net/http2_session.h"

namespace asio {
class io_context;
}

namespace marjoramhall::net {

// Accepts connections and gives each a server session. Keeps its sessions until
// they close; destroying the listener closes them.
class Http2Listener {
 public:
  // Called for every accepted connection; returns the hooks of its session.
  using AcceptHook = std::function<SessionHooks()>;

  // `max_sessions`: connections above it are closed at once.
  Http2Listener(asio::io_context& io,
                Http2Limits limits,
                size_t max_sessions,
                std::shared_ptr<Http2Counters> counters,
                AcceptHook on_accept);
  ~Http2Listener();

  // Binds and listens. Returns an error that names the address, or nothing.
  std::string Open(const Endpoint& at);
  // The bound address; the port is the real one.
  const Endpoint& local_endpoint() const;
  // Accepts what the system already queued, closes the listening socket, and
  // ends all sessions gracefully.
  void Shutdown();
  // Closes everything at once.
  void Close();
  size_t sessions() const;
  uint64_t rejected() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

// Connects to a peer. `done` is called once, later, with a session, or with
// null and the error when no connection came up within `timeout`.
void ConnectHttp2(
    asio::io_context& io,
    const Endpoint& to,
    Duration timeout,
    const Http2Limits& limits,
    std::shared_ptr<Http2Counters> counters,
    SessionHooks hooks,
    std::function<void(Http2SessionPtr, const std::string& error)> done);

}  // namespace marjoramhall::net

#endif  // MARJORAMHALL_NET_HTTP2_TRANSPORT_H_
