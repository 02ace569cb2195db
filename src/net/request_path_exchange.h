// One request of a caller: its body, its attempts at targets, and the answer on
// its way back. Bytes flow from one side to the other only as fast as the other
// side takes them, so that a request holds at most the two receive windows and
// the replay buffer.
#ifndef MARJORAMHALL_NET_REQUEST_PATH_EXCHANGE_H_
#define MARJORAMHALL_NET_REQUEST_PATH_EXCHANGE_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "src/net/http2_session.h"
#include "src/net/request_path_pool.h"
#include "src/request/request_events.h"

namespace marjoramhall::net {

// What an exchange needs of the adapter. The adapter clears pool and hooks when
// it closes; streams that end after that have nothing to report to.
struct ExchangeEnvironment {
  TargetPool* pool = nullptr;
  size_t replay_bytes = 0;
  size_t stored_answer_bytes = 0;
  std::function<
      void(request::RequestId, uint32_t attempt, const request::AttemptResult&)>
      attempt_ended;
  std::function<void(request::RequestId)> caller_gone;
  // The exchange is over and may be destroyed, later.
  std::function<void(request::RequestId)> done;
  std::function<void()> answer_cut;
};

class Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(std::shared_ptr<const ExchangeEnvironment> environment,
           request::RequestId id,
           Http2SessionPtr caller,
           int32_t stream,
           MessageHead head,
           bool keyed);

  // Hooks of the caller's stream. They keep the exchange alive.
  StreamHooks CallerHooks();

  // What the core asks for; see request::RequestHooks.
  void StartAttempt(uint32_t attempt,
                    const config::Target& target,
                    Duration deadline);
  void CancelAttempt(uint32_t attempt);
  void Refuse(const request::Refusal& refusal);
  void Replay(const request::StoredAnswer& answer);
  // Adds the attempts that have not ended, by target.
  void CountAttempts(std::map<TargetId, uint64_t>& counts) const;
  // Cuts the request at both ends without telling the core.
  void Abort();

 private:
  struct Attempt {
    uint32_t number = 0;
    TargetId target = TargetId::kNone;
    TimePoint deadline;
    uint64_t ticket = 0;
    Http2SessionPtr session;
    int32_t stream = 0;
    // Request body bytes that left for the connection.
    uint64_t body_sent = 0;
    bool cancelled = false;
    // The whole answer is here; the attempt ends when its stream closes, so
    // that the core's next attempt finds the connection idle.
    bool answered = false;
    bool ended = false;
    int status = 0;
    request::StoredAnswer answer;
    bool answer_fits = true;
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
  // Resets an attempt's stream that is of no more use.
  static void Abandon(const AttemptPtr& attempt);
  bool CallerWaits() const { return !caller_done_ && !caller_gone_; }
  void FinishIfDone();

  const std::shared_ptr<const ExchangeEnvironment> environment_;
  const request::RequestId id_;
  const Http2SessionPtr caller_;
  const int32_t stream_;
  const HeaderFields head_;
  const bool keyed_;

  // The request body from its start, while it fits the replay buffer, or what
  // came beyond that and waits for the attempt's stream.
  std::string body_;
  bool body_ended_ = false;
  // Part of the body has left the buffer; no other attempt can be made.
  bool body_dropped_ = false;
  HeaderFields trailers_;
  uint64_t body_received_ = 0;
  uint64_t body_consumed_ = 0;

  std::vector<AttemptPtr> attempts_;
  // The attempt whose answer goes to the caller.
  AttemptPtr winner_;
  // The caller has its whole answer, or its stream was reset by us.
  bool caller_done_ = false;
  bool caller_gone_ = false;
  bool reported_done_ = false;
};

}  // namespace marjoramhall::net

#endif  // MARJORAMHALL_NET_REQUEST_PATH_EXCHANGE_H_
