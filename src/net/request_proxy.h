// I/O of the request plane: accepts requests of callers over HTTP/2, lets the
// core decide about each, and streams requests and responses between callers
// and targets. Runs on the request thread, which is the thread of the
// io_context.
#ifndef MARJORAMHALL_NET_REQUEST_PROXY_H_
#define MARJORAMHALL_NET_REQUEST_PROXY_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "src/base/decision.h"
#include "src/base/endpoint.h"
#include "src/base/ids.h"
#include "src/base/peer_channel.h"
#include "src/base/time.h"
#include "src/config/control_view.h"
#include "src/net/http2_session.h"
#include "src/net/request_proxy_core.h"
#include "src/request/request_events.h"
#include "src/request/request_options.h"

namespace asio {
class io_context;
}

namespace marjoramhall::net {

struct RequestProxyOptions {
  Endpoint listen;
  VmId self = VmId::kNone;
  Incarnation incarnation = 0;
  uint64_t seed = 1;
  request::RequestPlaneOptions core;

  Http2Limits caller_limits;
  // The session window has room for many stalled responses besides active ones.
  Http2Limits target_limits{.session_window = uint32_t{16} << 20};
  // Maximum number of connections from callers. Further ones are closed
  // immediately.
  size_t max_connections = 20000;
  // Maximum number of connections to one target. Requests share a connection
  // only when all are in use, so that a long body does not delay a short one.
  size_t connections_per_target = 8;
  Duration connect_timeout = std::chrono::milliseconds(1000);
  // New requests are refused (overload, not run) while more than this is
  // buffered for all connections. It keeps callers that read nothing from
  // exhausting the memory.
  size_t max_buffered_bytes = size_t{256} << 20;
  // Request bodies up to this size are buffered until the request ends, so that
  // it can be sent again.
  size_t max_resend_bytes = size_t{64} * 1024;
  // Responses to requests with an idempotency key are passed to the core for
  // storing up to this size.
  size_t max_stored_response_bytes = size_t{16} * 1024;
  Duration tick_interval = std::chrono::milliseconds(10);
  // Time from PostStop() until the remaining requests are aborted.
  Duration stop_deadline = std::chrono::seconds(30);

  // Store access for key ranges. Called on the request thread; results are
  // reported with PostRangeStoreReply().
  std::function<void(std::vector<request::KeyRangeRecord> records)>
      record_ranges;
  std::function<void()> read_ranges;

  // Replaces request::RequestPlane in tests.
  RequestCoreFactory make_core;
};

// Counters since Open() and gauges. Updated at each tick.
struct RequestStats {
  request::RequestStats core;
  Http2Counters callers;
  Http2Counters targets;
  uint64_t caller_sessions = 0;
  uint64_t rejected_sessions = 0;
  uint64_t open_requests = 0;
  // Refused without passing them to the core: unknown service, oversized header
  // section, no configuration, too many buffered bytes.
  uint64_t refused_before_core = 0;
  // Responses aborted after their header section had been sent to the caller.
  uint64_t aborted_responses = 0;
  // Attempts in progress per target, at most one second old. Targets without
  // attempts are omitted.
  std::map<TargetId, uint64_t> in_progress;
};

class RequestProxy {
 public:
  RequestProxy(asio::io_context& io,
               RequestProxyOptions options,
               SendToPeer send,
               DecisionHook decide);
  // Aborts the remaining requests. Must run on the request thread or after the
  // thread has ended.
  ~RequestProxy();
  RequestProxy(const RequestProxy&) = delete;
  RequestProxy& operator=(const RequestProxy&) = delete;

  // Binds the address for callers. Returns an error that names the address, or
  // an empty string.
  std::string Open();
  // Returns the bound address, including a port chosen by the system.
  Endpoint local_endpoint() const;

  // The following functions are thread-safe.
  void PostView(config::ControlViewPtr view);
  void PostPeerMessage(VmId from, std::string payload);
  void PostRangeStoreReply(bool ok,
                           std::vector<request::KeyRangeRecord> records);
  // Stops gracefully: accepts no new requests, sends GOAWAY, completes the
  // running requests, then calls `done` on the request thread. Only the first
  // call has an effect.
  void PostStop(std::function<void()> done);
  RequestStats Snapshot() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace marjoramhall::net

#endif  // MARJORAMHALL_NET_REQUEST_PROXY_H_
