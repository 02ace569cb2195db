// One request of a caller: its body, its attempts at targets and the response
// to the caller. Bytes are read from one side only as fast as the other side
// accepts them. A request therefore buffers at most the two receive windows and
// the buffer for resending the body.
#ifndef MARJORAMHALL_NET_REQUEST_PROXY_EXCHANGE_H_
#define MARJORAMHALL_NET_REQUEST_PROXY_EXCHANGE_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "src/net/http2_session.h"
#include "src/net/request_proxy_pool.h"
#include "src/request/request_events.h"

namespace marjoramhall::net {

// Options and hooks that all exchanges share. RequestProxy clears the pool and
// the hooks when it closes, and streams that end later are not reported.
struct ExchangeContext {
  TargetPool* pool = nullptr;
  size_t max_resend_bytes = 0;
  size_t max_stored_response_bytes = 0;
  std::function<
      void(request::RequestId, uint32_t attempt, const request::AttemptResult&)>
      attempt_ended;
  std::function<void(request::RequestId)> caller_disconnected;
  // The exchange has ended. Its owner may drop it.
  std::function<void(request::RequestId)> done;
  std::function<void()> response_aborted;
};

class Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(std::shared_ptr<const ExchangeContext> context,
           request::RequestId id,
           Http2SessionPtr caller,
           int32_t stream,
           MessageHead head,
           bool keyed);

  // Returns the hooks of the caller's stream. They keep the exchange alive.
  StreamHooks CallerHooks();

  // Operations requested by the core; see request::RequestHooks.
  void StartAttempt(uint32_t attempt,
                    const config::Target& target,
                    Duration deadline);
  void CancelAttempt(uint32_t attempt);
  void Refuse(const request::Refusal& refusal);
  void Replay(const request::StoredAnswer& answer);
  // Adds the number of attempts in progress per target to `counts`.
  void CountAttempts(std::map<TargetId, uint64_t>& counts) const;
  // Resets the streams of the caller and of all attempts without reporting to
  // the core.
  void Abort();

 private:
  struct Attempt {
    uint32_t number = 0;
    TargetId target = TargetId::kNone;
    TimePoint deadline;
    uint64_t ticket = 0;
    Http2SessionPtr session;
    int32_t stream = 0;
    // Request body bytes that have been framed.
    uint64_t body_sent = 0;
    bool cancelled = false;
    // The complete response was received. The attempt ends when its stream
    // closes, so that the connection is idle for the core's next attempt.
    bool response_complete = false;
    bool ended = false;
    int status = 0;
    request::StoredAnswer answer;
    bool response_storable = true;
  };
  using AttemptPtr = std::shared_ptr<Attempt>;

  void OnCallerBody(std::string_view data);
  void OnCallerEnd(HeaderFields trailers);
  void OnCallerSent(size_t bytes);
  void OnCallerClose();

  void OnConnection(const AttemptPtr& attempt, const Http2SessionPtr& session);
  StreamHooks TargetHooks(const AttemptPtr& attempt);
  void OnTargetHead(const AttemptPtr& attempt, MessageHead head);
  void OnTargetBody(const AttemptPtr& attempt, std::string_view data);
  void OnTargetEnd(const AttemptPtr& attempt, HeaderFields trailers);
  void OnTargetSent(const AttemptPtr& attempt, size_t bytes);
  void OnTargetClose(const AttemptPtr& attempt, StreamEnd end);

  void EndAttempt(const AttemptPtr& attempt, request::AttemptOutcome outcome);
  // Resets the stream of an attempt that is no longer needed.
  static void ResetStream(const AttemptPtr& attempt);
  bool IsCallerWaiting() const {
    return !caller_completed_ && !caller_disconnected_;
  }
  void FinishIfDone();

  const std::shared_ptr<const ExchangeContext> context_;
  const request::RequestId id_;
  const Http2SessionPtr caller_;
  const int32_t stream_;
  const HeaderFields head_;
  const bool keyed_;  // the request has an idempotency key

  // The request body from its start. A body above max_resend_bytes is kept only
  // until an attempt's stream takes it.
  std::string body_;
  bool body_ended_ = false;
  // Part of the body is no longer buffered, so no other attempt is possible.
  bool body_dropped_ = false;
  HeaderFields trailers_;
  uint64_t body_received_ = 0;
  uint64_t body_consumed_ = 0;

  std::vector<AttemptPtr> attempts_;
  // The attempt whose response is sent to the caller.
  AttemptPtr responding_attempt_;
  // The caller was sent its complete response, or this VM reset its stream.
  bool caller_completed_ = false;
  bool caller_disconnected_ = false;
  bool reported_done_ = false;
};

}  // namespace marjoramhall::net

#endif  // MARJORAMHALL_NET_REQUEST_PROXY_EXCHANGE_H_
