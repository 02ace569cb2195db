// Streams one request and its response between a caller and its attempts.
#include "src/net/request_proxy_exchange.h"

#include <algorithm>
#include <utility>

#include "src/net/request_proxy_match.h"

namespace marjoramhall::net {

using request::AttemptOutcome;

Exchange::Exchange(std::shared_ptr<const ExchangeContext> context,
                   request::RequestId id,
                   Http2SessionPtr caller,
                   int32_t stream,
                   MessageHead head,
                   bool keyed)
    : context_(std::move(context)),
      id_(id),
      caller_(std::move(caller)),
      stream_(stream),
      head_(std::move(head.fields)),
      keyed_(keyed),
      body_ended_(head.end_stream) {}

StreamHooks Exchange::CallerHooks() {
  StreamHooks hooks;
  const auto self = shared_from_this();
  hooks.on_body = [self](std::string_view data) { self->OnCallerBody(data); };
  hooks.on_end = [self](HeaderFields trailers) {
    self->OnCallerEnd(std::move(trailers));
  };
  hooks.on_sent = [self](size_t bytes) { self->OnCallerSent(bytes); };
  hooks.on_close = [self](StreamEnd, uint32_t) { self->OnCallerClose(); };
  return hooks;
}

void Exchange::OnCallerBody(std::string_view data) {
  body_received_ += data.size();
  if (!IsCallerWaiting()) {
    caller_->Consume(stream_, data.size());
    return;
  }
  const bool fits =
      !body_dropped_ && body_received_ <= context_->max_resend_bytes;
  AttemptPtr open;
  for (const AttemptPtr& it : attempts_) {
    if (!it->ended && it->stream != 0) {
      it->session->Write(it->stream, data);
      open = it;
    }
  }
  if (fits) {
    body_.append(data);
    body_consumed_ += data.size();
    caller_->Consume(stream_, data.size());
  } else if (open) {
    body_dropped_ = true;
    body_.clear();
    body_.shrink_to_fit();
  } else if (!body_dropped_) {
    body_.append(data);
  }
  // Otherwise no attempt can use the body any more. The bytes are not consumed,
  // so the flow control window stays closed until the core ends the request.
}

void Exchange::OnCallerEnd(HeaderFields trailers) {
  if (body_ended_) {
    return;
  }
  body_ended_ = true;
  trailers_ = std::move(trailers);
  for (const AttemptPtr& it : attempts_) {
    if (!it->ended && it->stream != 0) {
      it->session->Finish(it->stream, trailers_);
    }
  }
}

void Exchange::OnCallerSent(size_t bytes) {
  if (responding_attempt_ && responding_attempt_->session) {
    responding_attempt_->session->Consume(responding_attempt_->stream, bytes);
  }
}

void Exchange::OnCallerClose() {
  if (caller_disconnected_) {
    return;
  }
  caller_disconnected_ = true;
  if (!caller_completed_) {
    if (context_->caller_disconnected) {
      context_->caller_disconnected(id_);
    }
  }
  FinishIfDone();
}

void Exchange::StartAttempt(uint32_t number,
                            const config::Target& target,
                            Duration deadline) {
  auto attempt = std::make_shared<Attempt>();
  attempt->number = number;
  attempt->target = target.id;
  attempt->deadline = SteadyNow() + deadline;
  attempts_.push_back(attempt);
  if (!IsCallerWaiting() || responding_attempt_ || body_dropped_) {
    EndAttempt(attempt, AttemptOutcome::kNotRun);
    return;
  }
  attempt->ticket = context_->pool->Acquire(
      target, [self = shared_from_this(), attempt](
                  const Http2SessionPtr& session, const std::string&) {
        self->OnConnection(attempt, session);
      });
}

void Exchange::OnConnection(const AttemptPtr& attempt,
                            const Http2SessionPtr& session) {
  if (attempt->ended) {
    return;
  }
  // While the attempt waited, the deadline may have passed, for example because
  // the process was suspended, or another attempt may have streamed the body.
  const Duration left = attempt->deadline - SteadyNow();
  if (!session || responding_attempt_ || body_dropped_ || !IsCallerWaiting() ||
      left <= Duration::zero()) {
    EndAttempt(attempt, AttemptOutcome::kNotRun);
    return;
  }
  const bool no_body = body_ended_ && body_.empty() && trailers_.empty();
  attempt->session = session;
  attempt->stream =
      session->Open(MakeTargetHead(head_, left), no_body, TargetHooks(attempt));
  if (attempt->stream == 0) {
    EndAttempt(attempt, AttemptOutcome::kNotRun);
    return;
  }
  if (no_body) {
    return;
  }
  session->Write(attempt->stream, body_);
  if (body_ended_) {
    session->Finish(attempt->stream, trailers_);
  }
  if (body_received_ > context_->max_resend_bytes) {
    body_dropped_ = true;
    body_.clear();
    body_.shrink_to_fit();
  }
}

StreamHooks Exchange::TargetHooks(const AttemptPtr& attempt) {
  StreamHooks hooks;
  const auto self = shared_from_this();
  hooks.on_head = [self, attempt](MessageHead head) {
    self->OnTargetHead(attempt, std::move(head));
  };
  hooks.on_body = [self, attempt](std::string_view data) {
    self->OnTargetBody(attempt, data);
  };
  hooks.on_end = [self, attempt](HeaderFields trailers) {
    self->OnTargetEnd(attempt, std::move(trailers));
  };
  hooks.on_sent = [self, attempt](size_t bytes) {
    self->OnTargetSent(attempt, bytes);
  };
  hooks.on_close = [self, attempt](StreamEnd end, uint32_t) {
    self->OnTargetClose(attempt, end);
  };
  return hooks;
}

void Exchange::OnTargetHead(const AttemptPtr& attempt, MessageHead head) {
  if (attempt->ended || attempt->cancelled) {
    return;
  }
  attempt->status = ParseStatus(head.fields);
  if (head.oversized) {
    ResetStream(attempt);
    EndAttempt(attempt, AttemptOutcome::kMayHaveRun);
    return;
  }
  if (IsShedResponse(head.fields)) {
    ResetStream(attempt);
    EndAttempt(attempt, AttemptOutcome::kShed);
    return;
  }
  if (responding_attempt_) {
    // A hedged attempt whose response came second.
    ResetStream(attempt);
    EndAttempt(attempt, AttemptOutcome::kCancelled);
    return;
  }
  responding_attempt_ = attempt;
  HeaderFields fields = MakeCallerHead(std::move(head.fields));
  if (keyed_) {
    attempt->answer.status = attempt->status;
    for (const auto& it : fields) {
      if (!it.first.starts_with(':')) {
        attempt->answer.headers.push_back(it);
      }
    }
  }
  if (IsCallerWaiting()) {
    caller_->Respond(stream_, fields, head.end_stream);
  }
}

void Exchange::OnTargetBody(const AttemptPtr& attempt, std::string_view data) {
  if (attempt != responding_attempt_ || attempt->ended || attempt->cancelled) {
    attempt->session->Consume(attempt->stream, data.size());
    return;
  }
  if (keyed_ && attempt->response_storable) {
    attempt->response_storable = attempt->answer.body.size() + data.size() <=
                                 context_->max_stored_response_bytes;
    if (attempt->response_storable) {
      attempt->answer.body.append(data);
    } else {
      attempt->answer.body = {};
    }
  }
  if (IsCallerWaiting()) {
    caller_->Write(stream_, data);
  } else {
    attempt->session->Consume(attempt->stream, data.size());
  }
}

void Exchange::OnTargetEnd(const AttemptPtr& attempt, HeaderFields trailers) {
  if (attempt->ended || attempt->cancelled) {
    return;
  }
  // Stored responses have no trailers, so a response with trailers is not
  // stored.
  attempt->response_storable = attempt->response_storable && trailers.empty();
  if (IsCallerWaiting()) {
    caller_->Finish(stream_, std::move(trailers));
    caller_completed_ = true;
  }
  attempt->response_complete = true;
  if (!attempt->session->IsFramed(attempt->stream)) {
    // The target responded without reading the rest of the request.
    ResetStream(attempt);
    if (attempt->session->IsWriteBlocked()) {
      EndAttempt(attempt, AttemptOutcome::kAnswered);
    }
  }
}

void Exchange::OnTargetSent(const AttemptPtr& attempt, size_t bytes) {
  attempt->body_sent += bytes;
  if (attempt->body_sent > body_consumed_) {
    const uint64_t n = attempt->body_sent - body_consumed_;
    body_consumed_ = attempt->body_sent;
    caller_->Consume(stream_, static_cast<size_t>(n));
  }
}

void Exchange::OnTargetClose(const AttemptPtr& attempt, StreamEnd end) {
  if (context_->pool != nullptr) {
    context_->pool->OnStreamEnded(attempt->target);
  }
  if (attempt->ended) {
    return;
  }
  if (attempt->response_complete) {
    EndAttempt(attempt, AttemptOutcome::kAnswered);
    return;
  }
  switch (end) {
    case StreamEnd::kNotSent:
    case StreamEnd::kRefused:
      EndAttempt(attempt, AttemptOutcome::kNotRun);
      break;
    case StreamEnd::kComplete:
    case StreamEnd::kBroken:
      EndAttempt(attempt, attempt->cancelled ? AttemptOutcome::kCancelled
                                             : AttemptOutcome::kMayHaveRun);
      break;
  }
}

void Exchange::CancelAttempt(uint32_t number) {
  for (const AttemptPtr& it : std::vector<AttemptPtr>(attempts_)) {
    if (it->number != number || it->ended || it->cancelled) {
      continue;
    }
    it->cancelled = true;
    if (it->stream == 0) {
      context_->pool->Cancel(it->ticket);
      EndAttempt(it, AttemptOutcome::kNotRun);
    } else {
      ResetStream(it);
      // The core waits for the end of the attempt before it responds to the
      // caller. A target that reads nothing must not delay that.
      if (it->session->IsWriteBlocked()) {
        EndAttempt(it, AttemptOutcome::kCancelled);
      }
    }
  }
}

void Exchange::ResetStream(const AttemptPtr& attempt) {
  if (attempt->session && attempt->stream != 0) {
    attempt->session->Reset(attempt->stream, kHttp2Cancel);
  }
}

void Exchange::EndAttempt(const AttemptPtr& attempt, AttemptOutcome outcome) {
  if (attempt->ended) {
    return;
  }
  attempt->ended = true;
  request::AttemptResult result;
  result.outcome = outcome;
  result.status = attempt->status;
  result.headers_sent = attempt == responding_attempt_;
  if (outcome == AttemptOutcome::kAnswered) {
    result.answer_stored = keyed_ && attempt->response_storable;
    if (result.answer_stored) {
      result.answer = std::move(attempt->answer);
    }
  } else if (attempt == responding_attempt_ && IsCallerWaiting()) {
    // Part of the response was sent. RST_STREAM tells the caller that it is
    // incomplete.
    caller_->Reset(stream_, kHttp2InternalError);
    caller_completed_ = true;
    if (context_->response_aborted) {
      context_->response_aborted();
    }
  }
  if (context_->attempt_ended) {
    context_->attempt_ended(id_, attempt->number, result);
  }
  FinishIfDone();
}

void Exchange::Refuse(const request::Refusal& refusal) {
  if (IsCallerWaiting()) {
    if (responding_attempt_) {
      caller_->Reset(stream_, kHttp2InternalError);
      if (context_->response_aborted) {
        context_->response_aborted();
      }
    } else {
      caller_->Respond(stream_, MakeRefusalHead(refusal), true);
    }
    caller_completed_ = true;
  }
  FinishIfDone();
}

void Exchange::Replay(const request::StoredAnswer& answer) {
  if (IsCallerWaiting() && !responding_attempt_) {
    caller_->Respond(stream_, MakeReplayHead(answer), answer.body.empty());
    if (!answer.body.empty()) {
      caller_->Write(stream_, answer.body);
      caller_->Finish(stream_);
    }
    caller_completed_ = true;
  }
  FinishIfDone();
}

void Exchange::CountAttempts(std::map<TargetId, uint64_t>& counts) const {
  for (const AttemptPtr& it : attempts_) {
    if (!it->ended) {
      counts[it->target]++;
    }
  }
}

void Exchange::Abort() {
  for (const AttemptPtr& it : attempts_) {
    if (!it->ended) {
      ResetStream(it);
    }
  }
  if (IsCallerWaiting()) {
    caller_->Reset(stream_, kHttp2InternalError);
    caller_completed_ = true;
  }
}

void Exchange::FinishIfDone() {
  const bool running = std::any_of(attempts_.begin(), attempts_.end(),
                                   [](const auto& it) { return !it->ended; });
  if (!reported_done_ && !IsCallerWaiting() && !running) {
    reported_done_ = true;
    if (context_->done) {
      context_->done(id_);
    }
  }
}

}  // namespace marjoramhall::net
