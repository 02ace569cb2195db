// The stages of a request at the VM that received it, from its headers to its
// end.
#include <algorithm>

#include "src/request/request_plane_impl.h"

namespace marjoramhall::request {
namespace {

constexpr Duration kRefusalRetryAfter = std::chrono::seconds(1);

}  // namespace

RequestRecord* RequestPlane::Impl::Find(RequestId id) {
  const auto it = requests_.find(id);
  return it == requests_.end() ? nullptr : &it->second;
}

ServiceScheduler* RequestPlane::Impl::SchedulerOf(ServiceId id) {
  const auto it = services_.find(id);
  return it == services_.end() ? nullptr : it->second.scheduler.get();
}

void RequestPlane::Impl::LogDecision(DecisionKind kind,
                                     const RequestInfo& info,
                                     TargetId target,
                                     std::string_view outcome,
                                     std::string_view reason) const {
  Decision decision;
  decision.kind = kind;
  decision.subject = info.id;
  decision.service = info.service;
  decision.target = target;
  decision.vm = key_context_.self;
  decision.revision = view_ == nullptr ? 0 : view_->deployment->revision;
  decision.outcome = outcome;
  decision.reason = reason;
  decide_(decision);
}

void RequestPlane::Impl::RefuseNew(const RequestInfo& info,
                                   Refusal refusal,
                                   TimePoint) {
  ++stats_.refused_not_run;
  LogDecision(DecisionKind::kRefuseRequest, info, TargetId::kNone,
              NameOf(refusal.verdict), NameOf(refusal.reason));
  hooks_.refuse(info.id, refusal);
}

void RequestPlane::Impl::OnRequest(const RequestInfo& info, TimePoint now) {
  range_ownership_.OnEventTime(now);
  now_ = now;
  ++stats_.requests;
  Refusal refusal{RefusalReason::kNoConfiguration, Verdict::kNotRun, 503,
                  kRefusalRetryAfter};
  if (view_ == nullptr || view_->deployment->revision == 0) {
    RefuseNew(info, refusal, now);
    return;
  }
  ServiceScheduler* scheduler = SchedulerOf(info.service);
  if (scheduler == nullptr || info.kind >= scheduler->service().kinds.size()) {
    RefuseNew(
        info,
        {RefusalReason::kUnknownService, Verdict::kNotRun, 404, Duration{0}},
        now);
    return;
  }
  if (draining_ || requests_.size() >= options_.max_live_requests) {
    refusal.reason =
        draining_ ? RefusalReason::kDraining : RefusalReason::kOverload;
    RefuseNew(info, refusal, now);
    return;
  }
  const config::RequestKind& kind = scheduler->service().kinds[info.kind];
  RequestRecord request;
  request.info = info;
  request.priority = kind.priority;
  request.idempotent = kind.idempotent;
  request.keyed = !kind.idempotent && !info.idempotency_key.empty();
  request.arrived_at = now;
  const Duration left = info.deadline > Duration{0}
                            ? std::min(info.deadline, kind.deadline)
                            : kind.deadline;
  request.deadline = now + left;
  if (const auto refused = scheduler->Admit(request, now)) {
    RefuseNew(info, *refused, now);
    return;
  }
  RequestRecord& record =
      requests_.emplace(info.id, std::move(request)).first->second;
  deadlines_.emplace(record.deadline, info.id);
  if (record.keyed) {
    record.state = RequestState::kClaiming;
    key_claims_.Start(info.id, {info.service, info.idempotency_key},
                      info.fingerprint, info.declared_first_attempt, left, now);
  } else {
    scheduler->Enqueue(record, false);
    ScheduleDispatch(info.service);
  }
  FinishEvent(now);
}

void RequestPlane::Impl::OnClaimGranted(RequestId id, TimePoint) {
  RequestRecord* request = Find(id);
  if (request != nullptr && request->state == RequestState::kClaiming) {
    SchedulerOf(request->info.service)->Enqueue(*request, false);
    ScheduleDispatch(request->info.service);
  }
}

void RequestPlane::Impl::StartAttempt(RequestRecord& request,
                                      const config::Target& target,
                                      TimePoint now) {
  ++stats_.attempts;
  stats_.retries += request.attempts > 1;
  LogDecision(DecisionKind::kRouteRequest, request.info, target.id,
              request.attempts > 1 ? "retry" : "start",
              target.domain == own_domain_ ? "own-domain" : "spill-over");
  hooks_.start_attempt(request.info.id, request.attempts, target,
                       request.deadline - now);
}

void RequestPlane::Impl::OnAttemptEnd(RequestId id,
                                      uint32_t attempt,
                                      const AttemptResult& result,
                                      TimePoint now) {
  range_ownership_.OnEventTime(now);
  now_ = now;
  RequestRecord* request = Find(id);
  if (request == nullptr || attempt != request->attempts ||
      (request->state != RequestState::kRunning &&
       request->state != RequestState::kCancelling)) {
    return;
  }
  ServiceScheduler& scheduler = *SchedulerOf(request->info.service);
  ScheduleDispatch(request->info.service);
  scheduler.OnAttemptEnd(*request, result, now);
  const bool cancelled = request->state == RequestState::kCancelling;
  request->may_have_run |= result.outcome == AttemptOutcome::kMayHaveRun ||
                           result.outcome == AttemptOutcome::kCancelled ||
                           result.headers_sent;
  if (result.outcome == AttemptOutcome::kAnswered) {
    EndAnswered(*request, result, now);
  } else if (request->caller_disconnected) {
    EndDisconnected(*request, now);
  } else if (cancelled) {
    Refuse(
        *request,
        {RefusalReason::kDeadline, Verdict::kNotRun, 503, kRefusalRetryAfter},
        now);
  } else if (!draining_ || request->attempts < 2 || request->idempotent) {
    if (scheduler.AllowRetry(*request, result, now)) {
      scheduler.Enqueue(*request, true);
    } else {
      Refuse(*request,
             {RefusalReason::kTargetFailed, Verdict::kNotRun, 503,
              kRefusalRetryAfter},
             now);
    }
  } else {
    Refuse(*request,
           {RefusalReason::kTargetFailed, Verdict::kNotRun, 503,
            kRefusalRetryAfter},
           now);
  }
  FinishEvent(now);
}

void RequestPlane::Impl::OnCallerDisconnected(RequestId id, TimePoint now) {
  range_ownership_.OnEventTime(now);
  now_ = now;
  RequestRecord* request = Find(id);
  if (request == nullptr || request->caller_disconnected) {
    return;
  }
  request->caller_disconnected = true;
  switch (request->state) {
    case RequestState::kWaiting:
      SchedulerOf(request->info.service)->Remove(*request);
      EndDisconnected(*request, now);
      break;
    case RequestState::kClaiming:
      EndDisconnected(*request, now);
      break;
    case RequestState::kRunning:
      request->state = RequestState::kCancelling;
      hooks_.cancel_attempt(id, request->attempts);
      break;
    case RequestState::kCancelling:
      break;
  }
  FinishEvent(now);
}

void RequestPlane::Impl::ExpireDeadlines(TimePoint now) {
  while (!deadlines_.empty() && deadlines_.top().first <= now) {
    const RequestId id = deadlines_.top().second;
    deadlines_.pop();
    RequestRecord* request = Find(id);
    if (request == nullptr) {
      continue;
    }
    switch (request->state) {
      case RequestState::kClaiming:
        Refuse(*request, key_claims_.TimeoutRefusal(id), now);
        break;
      case RequestState::kWaiting:
        SchedulerOf(request->info.service)->Remove(*request);
        Refuse(*request,
               {RefusalReason::kDeadline, Verdict::kNotRun, 503,
                kRefusalRetryAfter},
               now);
        break;
      case RequestState::kRunning:
        request->state = RequestState::kCancelling;
        hooks_.cancel_attempt(id, request->attempts);
        break;
      case RequestState::kCancelling:
        break;
    }
  }
}

void RequestPlane::Impl::Refuse(RequestRecord& request,
                                Refusal refusal,
                                TimePoint now) {
  if (request.may_have_run) {
    refusal.verdict = Verdict::kMayHaveRun;
    refusal.status = refusal.reason == RefusalReason::kDeadline ? 504 : 502;
    refusal.retry_after = Duration{0};
  }
  if (refusal.verdict == Verdict::kNotRun) {
    ++stats_.refused_not_run;
  } else {
    ++stats_.refused_may_have_run;
  }
  LogDecision(DecisionKind::kRefuseRequest, request.info, request.target,
              NameOf(refusal.verdict), NameOf(refusal.reason));
  key_claims_.Finish(
      request.info.id,
      request.may_have_run ? ClaimOutcome::kMayHaveRun : ClaimOutcome::kNotRun,
      nullptr, now);
  const RequestId id = request.info.id;
  Erase(request);
  hooks_.refuse(id, refusal);
}

void RequestPlane::Impl::Replay(RequestRecord& request,
                                const StoredAnswer& answer,
                                TimePoint now) {
  ++stats_.replayed;
  LogDecision(DecisionKind::kEndRequest, request.info, TargetId::kNone,
              NameOf(Verdict::kAnswered), "replayed");
  const RequestId id = request.info.id;
  key_claims_.Finish(id, ClaimOutcome::kNotRun, nullptr, now);
  Erase(request);
  hooks_.replay(id, answer);
}

void RequestPlane::Impl::EndAnswered(RequestRecord& request,
                                     const AttemptResult& result,
                                     TimePoint now) {
  ++stats_.answered;
  LogDecision(DecisionKind::kEndRequest, request.info, request.target,
              NameOf(Verdict::kAnswered),
              request.attempts > 1 ? "after-retry" : "");
  key_claims_.Finish(request.info.id, ClaimOutcome::kAnswered,
                     result.answer_stored ? &result.answer : nullptr, now);
  Erase(request);
}

void RequestPlane::Impl::EndDisconnected(RequestRecord& request,
                                         TimePoint now) {
  ++stats_.caller_disconnects;
  LogDecision(
      DecisionKind::kEndRequest, request.info, request.target,
      NameOf(request.may_have_run ? Verdict::kMayHaveRun : Verdict::kNotRun),
      "caller-gone");
  key_claims_.Finish(
      request.info.id,
      request.may_have_run ? ClaimOutcome::kMayHaveRun : ClaimOutcome::kNotRun,
      nullptr, now);
  Erase(request);
}

void RequestPlane::Impl::Erase(RequestRecord& request) {
  requests_.erase(request.info.id);
}

}  // namespace marjoramhall::request
