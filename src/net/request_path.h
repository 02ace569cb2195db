// The adapter of the request plane: accepts callers over HTTP/2, asks the core
// what to do with each request, and streams bodies and answers between callers
// and targets. It lives on the request thread.
#ifndef MARJORAMHALL_NET_REQUEST_PATH_H_
#define MARJORAMHALL_NET_REQUEST_PATH_H_

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
#include "src/net/request_path_core.h"
#include "src/request/request_events.h"
#include "src/request/request_options.h"

namespace asio {
class io_context;
}

namespace marjoramhall::net {

struct RequestPathOptions {
  Endpoint listen;
  VmId self = VmId::kNone;
  Incarnation incarnation = 0;
  uint64_t seed = 1;
  request::RequestPlaneOptions core;

  Http2Limits caller_limits;
  // The session window leaves room for many stalled answers beside a live one.
  Http2Limits target_limits{.session_window = uint32_t{16} << 20};
  // Callers' connections at once; above it, new ones are closed at once.
  size_t max_connections = 20000;
  // Connections to one target. Requests share a connection only when all of
  // them are in use, so that a long body does not hold up a short one.
  size_t connections_per_target = 8;
  Duration connect_timeout = std::chrono::milliseconds(1000);
  // New requests are refused (overload, not run) while bodies and answers of
  // this size are buffered over all connections, so that callers that read
  // nothing cannot use up the memory.
  size_t max_buffered_bytes = size_t{256} << 20;
  // Request bodies up to this size are kept until the request ends, so that it
  // can be sent again.
  size_t replay_bytes = size_t{64} * 1024;
  // Answers to keyed requests up to this size are handed to the core.
  size_t stored_answer_bytes = size_t{16} * 1024;
  Duration tick = std::chrono::milliseconds(10);
  // Time from PostStop until what still runs is cut.
  Duration stop_deadline = std::chrono::seconds(30);

  // Store access for key ranges, called on the request thread. Answered by
  // PostRangesRecorded.
  std::function<void(std::vector<request::KeyRangeRecord> records)>
      record_ranges;
  std::function<void()> read_ranges;

  // Replaces the real core; for tests.
  RequestCoreFactory make_core;
};

// Counters since Open(), and gauges, as of the last tick.
struct RequestStats {
  request::RequestStats core;
  Http2Counters callers;
  Http2Counters targets;
  uint64_t caller_sessions = 0;
  uint64_t rejected_sessions = 0;
  uint64_t open_requests = 0;
  // Refused before the core saw them: unknown service, oversized head, no
  // configuration.
  uint64_t refused_early = 0;
  // Answers cut after their head had gone to the caller.
  uint64_t answers_cut = 0;
  // Attempts in progress at each target, at most a second old. Targets without
  // any are left out.
  std::map<TargetId, uint64_t> in_progress;
};

class RequestPath {
 public:
  RequestPath(asio::io_context& io,
              RequestPathOptions options,
              SendToPeer send,
              DecisionHook decide);
  // Cuts what still runs. Call it on the request thread or after its end.
  ~RequestPath();
  RequestPath(const RequestPath&) = delete;
  RequestPath& operator=(const RequestPath&) = delete;

  // Binds the callers' address. Returns an error that names it, or nothing.
  std::string Open();
  // The bound address, with the port that the system chose.
  Endpoint local_endpoint() const;

  // The following are safe from any thread.
  void PostView(config::ControlViewPtr view);
  void PostPeerMessage(VmId from, std::string payload);
  void PostRangesRecorded(bool ok,
                          std::vector<request::KeyRangeRecord> records);
  // Ends gracefully: accepts nothing new, sends GOAWAY, finishes what runs, and
  // then calls `done` on the request thread. Calls after the first are ignored.
  void PostStop(std::function<void()> done);
  RequestStats Snapshot() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace marjoramhall::net

#endif  // MARJORAMHALL_NET_REQUEST_PATH_H_
