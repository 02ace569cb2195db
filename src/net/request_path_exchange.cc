#include "src/net/request_path_exchange.h"

#include <algorithm>
#include <utility>

#include "src/net/request_path_match.h"

namespace marjoramhall::net {

using request::AttemptOutcome;

Exchange::Exchange(std::shared_ptr<const ExchangeEnvironment> environment,
                   request::RequestId id,
                   Http2SessionPtr caller,
                   int32_t stream,
                   MessageHead head,
                   bool keyed)
    : environment_(std::move(environment)),
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
  if (!CallerWaits()) {
    caller_->Consume(stream_, data.size());
    return;
  }
  const bool fits =
      !body_dropped_ && body_received_ <= environment_->replay_bytes;
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
  // Otherwise no attempt can take the body any more; the window stays closed
  // until the core ends the request.
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
  if (winner_ && winner_->session) {
    winner_->session->Consume(winner_->stream, bytes);
  }
}

void Exchange::OnCallerClose() {
  if (caller_gone_) {
    return;
  }
  caller_gone_ = true;
  if (!caller_done_) {
    if (environment_->caller_gone) {
      environment_->caller_gone(id_);
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
  if (!CallerWaits() || winner_ || body_dropped_) {
    EndAttempt(attempt, AttemptOutcome::kNotRun);
    return;
  }
  attempt->ticket = environment_->pool->Acquire(
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
  // While it waited, the deadline may have passed (a paused process sends
  // nothing late), or another attempt may have streamed the body away.
  const Duration left = attempt->deadline - SteadyNow();
  if (!session || winner_ || body_dropped_ || !CallerWaits() ||
      left <= Duration::zero()) {
    EndAttempt(attempt, AttemptOutcome::kNotRun);
    return;
  }
  const bool no_body = body_ended_ && body_.empty() && trailers_.empty();
  attempt->session = session;
  attempt->stream =
      session->Open(TargetHead(head_, left), no_body, TargetHooks(attempt));
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
  if (body_received_ > environment_->replay_bytes) {
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
  attempt->status = StatusOf(head.fields);
  if (head.oversized) {
    Abandon(attempt);
    EndAttempt(attempt, AttemptOutcome::kMayHaveRun);
    return;
  }
  if (IsShed(head.fields)) {
    Abandon(attempt);
    EndAttempt(attempt, AttemptOutcome::kShed);
    return;
  }
  if (winner_) {
    // A hedged attempt that came second.
    Abandon(attempt);
    EndAttempt(attempt, AttemptOutcome::kCancelled);
    return;
  }
  winner_ = attempt;
  HeaderFields fields = CallerHead(std::move(head.fields));
  if (keyed_) {
    attempt->answer.status = attempt->status;
    for (const auto& it : fields) {
      if (!it.first.starts_with(':')) {
        attempt->answer.headers.push_back(it);
      }
    }
  }
  if (CallerWaits()) {
    caller_->Respond(stream_, fields, head.end_stream);
  }
}

void Exchange::OnTargetBody(const AttemptPtr& attempt, std::string_view data) {
  if (attempt != winner_ || attempt->ended || attempt->cancelled) {
    attempt->session->Consume(attempt->stream, data.size());
    return;
  }
  if (keyed_ && attempt->answer_fits) {
    attempt->answer_fits = attempt->answer.body.size() + data.size() <=
                           environment_->stored_answer_bytes;
    if (attempt->answer_fits) {
      attempt->answer.body.append(data);
    } else {
      attempt->answer.body = {};
    }
  }
  if (CallerWaits()) {
    caller_->Write(stream_, data);
  } else {
    attempt->session->Consume(attempt->stream, data.size());
  }
}

void Exchange::OnTargetEnd(const AttemptPtr& attempt, HeaderFields trailers) {
  if (attempt->ended || attempt->cancelled) {
    return;
  }
  // A stored answer has no trailers, so one with trailers is not stored.
  attempt->answer_fits = attempt->answer_fits && trailers.empty();
  if (CallerWaits()) {
    caller_->Finish(stream_, std::move(trailers));
    caller_done_ = true;
  }
  attempt->answered = true;
  if (!attempt->session->IsFramed(attempt->stream)) {
    // The target did not need the rest of the request.
    Abandon(attempt);
    if (attempt->session->IsBlocked()) {
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
  if (environment_->pool != nullptr) {
    environment_->pool->StreamEnded(attempt->target);
  }
  if (attempt->ended) {
    return;
  }
  if (attempt->answered) {
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
      environment_->pool->Cancel(it->ticket);
      EndAttempt(it, AttemptOutcome::kNotRun);
    } else {
      Abandon(it);
      // The core waits for the end of the attempt before it answers the caller;
      // a target that reads nothing must not hold that up.
      if (it->session->IsBlocked()) {
        EndAttempt(it, AttemptOutcome::kCancelled);
      }
    }
  }
}

void Exchange::Abandon(const AttemptPtr& attempt) {
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
  result.headers_sent = attempt == winner_;
  if (outcome == AttemptOutcome::kAnswered) {
    result.answer_stored = keyed_ && attempt->answer_fits;
    if (result.answer_stored) {
      result.answer = std::move(attempt->answer);
    }
  } else if (attempt == winner_ && CallerWaits()) {
    // Part of the answer is out. RST_STREAM keeps it from looking whole.
    caller_->Reset(stream_, kHttp2InternalError);
    caller_done_ = true;
    if (environment_->answer_cut) {
      environment_->answer_cut();
    }
  }
  if (environment_->attempt_ended) {
    environment_->attempt_ended(id_, attempt->number, result);
  }
  FinishIfDone();
}

void Exchange::Refuse(const request::Refusal& refusal) {
  if (CallerWaits()) {
    if (winner_) {
      caller_->Reset(stream_, kHttp2InternalError);
      if (environment_->answer_cut) {
        environment_->answer_cut();
      }
    } else {
      caller_->Respond(stream_, RefusalHead(refusal), true);
    }
    caller_done_ = true;
  }
  FinishIfDone();
}

void Exchange::Replay(const request::StoredAnswer& answer) {
  if (CallerWaits() && !winner_) {
    caller_->Respond(stream_, ReplayHead(answer), answer.body.empty());
    if (!answer.body.empty()) {
      caller_->Write(stream_, answer.body);
      caller_->Finish(stream_);
    }
    caller_done_ = true;
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
      Abandon(it);
    }
  }
  if (CallerWaits()) {
    caller_->Reset(stream_, kHttp2InternalError);
    caller_done_ = true;
  }
}

void Exchange::FinishIfDone() {
  const bool running = std::any_of(attempts_.begin(), attempts_.end(),
                                   [](const auto& it) { return !it->ended; });
  if (!reported_done_ && !CallerWaits() && !running) {
    reported_done_ = true;
    if (environment_->done) {
      environment_->done(id_);
    }
  }
}

}  // namespace marjoramhall::net
