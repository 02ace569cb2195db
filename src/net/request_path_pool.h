// Connections to targets: a bounded number for each target, opened on demand.
#ifndef MARJORAMHALL_NET_REQUEST_PATH_POOL_H_
#define MARJORAMHALL_NET_REQUEST_PATH_POOL_H_

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

// A request waits for a connection only while all connections of its target
// are at their stream limits or still being opened.
class TargetPool {
 public:
  // Receives a session that can open a stream now, or null and the error when
  // there is no connection to the target.
  using AcquireHook =
      std::function<void(Http2SessionPtr, const std::string& error)>;

  TargetPool(asio::io_context& io,
             const Http2Limits& limits,
             size_t per_target,
             Duration connect_timeout,
             std::shared_ptr<Http2Counters> counters);
  ~TargetPool();
  TargetPool(const TargetPool&) = delete;
  TargetPool& operator=(const TargetPool&) = delete;

  // Calls `done` once: before it returns when a connection is at hand, else
  // later. Returns a ticket for Cancel().
  uint64_t Acquire(const config::Target& target, AcquireHook done);
  // Drops a waiting Acquire(); its hook is not called.
  void Cancel(uint64_t ticket);
  // A stream to the target ended; one that waits may go on.
  void StreamEnded(TargetId target);
  // Ends the connections to targets that the deployment no longer has at the
  // same endpoint, or that are draining. Their open streams finish; what waits
  // for a connection to them is not sent.
  void Retain(const config::Deployment& deployment);
  // Ends all connections gracefully.
  void Shutdown();
  void Close();
  size_t connections(TargetId target) const;

 private:
  struct Waiter {
    uint64_t ticket = 0;
    AcquireHook done;
  };
  struct Entry {
    Endpoint endpoint;
    // Tells connections opened for an earlier endpoint apart.
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
  void Serve(TargetId id);
  Http2SessionPtr Choose(Entry& entry, bool idle_only);
  void ShutdownEntry(Entry& entry);

  asio::io_context& io_;
  const Http2Limits limits_;
  const size_t per_target_;
  const Duration connect_timeout_;
  std::shared_ptr<Http2Counters> counters_;
  std::map<TargetId, Entry> entries_;
  uint64_t last_ticket_ = 0;
  // Hooks of connections hold this weakly and may outlive the pool.
  std::shared_ptr<TargetPool*> self_;
};

}  // namespace marjoramhall::net

#endif  // MARJORAMHALL_NET_REQUEST_PATH_POOL_H_
