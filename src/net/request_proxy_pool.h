// Connection pool for targets, with a limited number of connections per target
// that are opened on demand.
#ifndef MARJORAMHALL_NET_REQUEST_PROXY_POOL_H_
#define MARJORAMHALL_NET_REQUEST_PROXY_POOL_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "src/base/ids.h"
#include "src/base/time.h"
#include "src/config/deployment.h"
#include "src/net/http2_session.h"

namespace asio {
class io_context;
}

namespace marjoramhall::net {

// A request waits for a connection only while all connections to its target are
// at their stream limits or still being opened. Must be used on the thread of
// the io_context.
class TargetPool {
 public:
  // Called with a session that can open a stream, or with null and an error if
  // there is no connection to the target.
  using AcquireHook =
      std::function<void(Http2SessionPtr, const std::string& error)>;

  TargetPool(asio::io_context& io,
             const Http2Limits& limits,
             size_t max_connections_per_target,
             Duration connect_timeout,
             std::shared_ptr<Http2Counters> counters);
  ~TargetPool();
  TargetPool(const TargetPool&) = delete;
  TargetPool& operator=(const TargetPool&) = delete;

  // Calls `done` exactly once, unless cancelled: before returning if a
  // connection is available, otherwise later. Returns a ticket for Cancel().
  uint64_t Acquire(const config::Target& target, AcquireHook done);
  // Cancels a waiting Acquire(), whose hook is then not called. Cost: linear in
  // the number of targets and waiting requests.
  void Cancel(uint64_t ticket);
  // Must be called when a stream to the target has ended, so that a waiting
  // request can use the connection.
  void OnStreamEnded(TargetId target);
  // Shuts down the connections to targets that are draining or that the
  // deployment no longer contains with the same endpoint. Open streams
  // continue; requests that wait for a connection to such a target fail.
  void RetainTargets(const config::Deployment& deployment);
  // Shuts down all connections gracefully.
  void Shutdown();
  // Closes all connections immediately.
  void Close();
  size_t connections(TargetId target) const;

 private:
  struct Waiter {
    uint64_t ticket = 0;
    AcquireHook done;
  };
  struct Entry {
    Endpoint endpoint;
    // Distinguishes connections that were opened for an earlier endpoint.
    uint64_t generation = 0;
    std::vector<Http2SessionPtr> sessions;
    size_t connecting = 0;
    std::deque<Waiter> waiters;
  };

  void Connect(TargetId id, Entry& entry);
  void OnConnected(TargetId id,
                   uint64_t generation,
                   const Http2SessionPtr& session,
                   const std::string& error);
  void ServeWaiters(TargetId id);
  Http2SessionPtr ChooseSession(Entry& entry, bool idle_only);
  void ShutdownEntry(Entry& entry);

  asio::io_context& io_;
  const Http2Limits limits_;
  const size_t max_connections_per_target_;
  const Duration connect_timeout_;
  std::shared_ptr<Http2Counters> counters_;
  std::map<TargetId, Entry> entries_;
  uint64_t last_ticket_ = 0;
  // Hooks of connections refer to this weakly, because they may outlive the
  // pool.
  std::shared_ptr<TargetPool*> self_;
};

}  // namespace marjoramhall::net

#endif  // MARJORAMHALL_NET_REQUEST_PROXY_POOL_H_
