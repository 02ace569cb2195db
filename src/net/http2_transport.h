// Creates HTTP/2 sessions from accepted connections and from outgoing ones.
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

// Accepts connections and creates a server session for each. Owns the sessions
// until they close. Destroying the listener closes them.
class Http2Listener {
 public:
  // Called for every accepted connection; returns the hooks of its session.
  using AcceptHook = std::function<SessionHooks()>;

  // Connections above `max_sessions` are closed immediately.
  Http2Listener(asio::io_context& io,
                Http2Limits limits,
                size_t max_sessions,
                std::shared_ptr<Http2Counters> counters,
                AcceptHook on_accept);
  ~Http2Listener();

  // Binds and listens. Returns an error that names the address, or an empty
  // string.
  std::string Open(const Endpoint& listen);
  // Returns the bound address, including a port chosen by the system.
  const Endpoint& local_endpoint() const;
  // Accepts the connections that the system has already queued, closes the
  // listening socket and shuts down all sessions gracefully.
  void Shutdown();
  // Closes the listening socket and all sessions immediately.
  void Close();
  size_t sessions() const;
  // Number of connections closed because of `max_sessions`.
  uint64_t rejected() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

// Connects to a peer. `done` is called exactly once, from the io_context, with
// the session, or with null and an error if connecting failed or took longer
// than `timeout`.
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
