// Scheduling of one service's requests at one VM.
#include "src/request/service_scheduler.h"

#include <algorithm>
#include <cmath>

namespace marjoramhall::request {
namespace {

using config::Priority;

// A request is admitted when nine of ten requests of its kind would finish in
// time. The others would hold a slot for an answer that is too late.
constexpr double kAdmitQuantile = 0.9;
// A waiting request is refused when even a median one would miss the deadline.
constexpr double kStartQuantile = 0.5;
constexpr size_t kMaxBusyCallers = 16;  // per report
constexpr double kMaxCountedWaiting = 2;
constexpr Duration kRefusalRetryAfter = std::chrono::seconds(1);

Refusal NotRun(RefusalReason reason) {
  return {reason, Verdict::kNotRun, 503, kRefusalRetryAfter};
}

}  // namespace

ServiceScheduler::ServiceScheduler(const RequestPlaneOptions& options,
                                   ServiceId id,
                                   RandomSource& random,
                                   SchedulerHooks hooks)
    : options_(options),
      hooks_(std::move(hooks)),
      leases_(options, id),
      queue_(options.max_waiting_requests),
      health_(hooks_.health),
      dispatcher_(random),
      retry_budget_(options.retries_per_first_attempt),
      reserve_rounding_(static_cast<double>(random.Below(1000)) / 1000),
      borrower_(random, hooks_.loans),
      lender_(hooks_.loans) {}

void ServiceScheduler::OnView(const config::Service& service,
                              const std::string& own_domain,
                              size_t vms,
                              TimePoint) {
  service_ = service;
  dispatcher_.SetTargets(service.targets, own_domain);
  health_.SetTargets(service.targets);
  limiter_.SetKinds(service.kinds,
                    1.0 / static_cast<double>(std::max<size_t>(1, vms)));
  has_short_kinds_ = std::any_of(service.kinds.begin(), service.kinds.end(),
                                 [](const config::RequestKind& it) {
                                   return it.priority == Priority::kShort;
                                 });
  // Never shrinks: live requests keep their kind index when a change removes
  // kinds.
  kind_service_times_.resize(
      std::max(kind_service_times_.size(), service.kinds.size()));
}

uint32_t ServiceScheduler::LongSlotLimit(TimePoint now) const {
  const uint32_t total = leases_.total_limit();
  if (total < 2 || !has_short_kinds_) {
    return total;
  }
  const double mean_short_slots =
      short_arrival_rate_.Rate(now) *
      std::chrono::duration<double>(MeanServiceTime(Priority::kShort)).count();
  const double left = std::max(0.0, total - mean_short_slots);
  const auto reserved = static_cast<uint32_t>(
      mean_short_slots + options_.short_reserve_ratio * left +
      reserve_rounding_);
  return total - std::clamp(reserved, 1U, total);
}

double ServiceScheduler::UsableSlots(Priority priority, TimePoint now) const {
  if (priority == Priority::kLong) {
    return LongSlotLimit(now);
  }
  const uint32_t total = leases_.total_limit();
  return std::max(
      1.0, static_cast<double>(total) - std::min(total, long_slots_in_use_));
}

Duration ServiceScheduler::MeanServiceTime(Priority priority) const {
  return class_service_times_[static_cast<size_t>(priority)].Mean();
}

AdmissionEstimate ServiceScheduler::EstimateFor(const RequestRecord& request,
                                                TimePoint now) const {
  AdmissionEstimate estimate;
  estimate.requests_ahead = queue_.Size(request.priority);
  estimate.usable_slots = UsableSlots(request.priority, now);
  const double in_use =
      request.priority == Priority::kLong
          ? long_slots_in_use_
          : static_cast<double>(leases_.total_in_use()) - long_slots_in_use_;
  estimate.free_slots = std::max(0.0, estimate.usable_slots - in_use);
  estimate.mean_service_time = MeanServiceTime(request.priority);
  estimate.time_left = request.deadline - now;
  estimate.needed_time = ServiceTime(request, kAdmitQuantile);
  return estimate;
}

Duration ServiceScheduler::ServiceTime(const RequestRecord& request,
                                       double quantile) const {
  // A request that has used less than half of its time is started in
  // any case. Otherwise a few slow answers could keep a kind refused forever,
  // because no new service time would be measured.
  return std::min(kind_service_times_[request.info.kind].Quantile(quantile),
                  (request.deadline - request.arrived_at) / 2);
}

std::optional<Refusal> ServiceScheduler::Admit(const RequestRecord& request,
                                               TimePoint now) {
  arrival_rates_[static_cast<size_t>(request.priority)].Add(now);
  if (request.priority == Priority::kShort) {
    short_arrival_rate_.Add(now);
  }
  const Duration wait =
      limiter_.Admit(request.info.kind, request.info.caller, now);
  if (wait > Duration{0}) {
    return Refusal{RefusalReason::kLimit, Verdict::kNotRun, 429, wait};
  }
  if (dispatcher_.active_targets() == 0) {
    return NotRun(RefusalReason::kNoTarget);
  }
  if (queue_.IsFull(request.priority)) {
    return NotRun(RefusalReason::kOverload);
  }
  const AdmissionEstimate estimate = EstimateFor(request, now);
  if (!CanMeetDeadline(estimate)) {
    return NotRun(ExpectedWait(estimate) == Duration{0}
                      ? RefusalReason::kDeadline
                      : RefusalReason::kOverload);
  }
  return std::nullopt;
}

void ServiceScheduler::Enqueue(RequestRecord& request, bool retry) {
  request.state = RequestState::kWaiting;
  queue_.Push(request.priority, request.info.id, retry);
}

void ServiceScheduler::Remove(const RequestRecord& request) {
  queue_.Remove(request.priority, request.info.id);
}

bool ServiceScheduler::RefuseLate(Priority priority, TimePoint now) {
  while (queue_.Size(priority) > 0) {
    RequestRecord& request = hooks_.find(queue_.Front(priority));
    const Duration needed = ServiceTime(request, kStartQuantile);
    if (now + needed <= request.deadline && now < request.deadline) {
      return true;
    }
    queue_.PopFront(priority);
    hooks_.refuse(request, NotRun(RefusalReason::kDeadline), now);
  }
  return false;
}

void ServiceScheduler::StartFirstWaiting(Priority priority,
                                         TargetId target,
                                         const std::optional<Loan>& loan,
                                         TimePoint now) {
  RequestRecord& request = hooks_.find(queue_.Front(priority));
  queue_.PopFront(priority);
  if (!loan.has_value()) {
    leases_.Acquire(target);
  }
  health_.OnStart(target, now);
  long_slots_in_use_ += priority == Priority::kLong;
  if (request.attempts == 0) {
    retry_budget_.OnFirstAttempt();
  }
  request.target = target;
  request.loan = loan;
  request.started_at = now;
  ++request.attempts;
  request.state = RequestState::kRunning;
  hooks_.start(request, *dispatcher_.Find(target), now);
}

bool ServiceScheduler::DispatchClass(Priority priority, TimePoint now) {
  while (RefuseLate(priority, now)) {
    if (priority == Priority::kLong &&
        long_slots_in_use_ >= LongSlotLimit(now)) {
      return true;
    }
    const TargetId id = dispatcher_.PickTarget(
        leases_, health_, hooks_.find(queue_.Front(priority)).target,
        leases_.IsExpired(now), now);
    if (id == TargetId::kNone) {
      return false;
    }
    StartFirstWaiting(priority, id, std::nullopt, now);
  }
  return true;
}

void ServiceScheduler::Dispatch(TimePoint now) {
  if (DispatchClass(Priority::kShort, now)) {
    DispatchClass(Priority::kLong, now);
  } else {
    borrower_.RequestLoans(queue_.Size(Priority::kShort), MaxLoanUseTime(),
                           now);
  }
}

Duration ServiceScheduler::MaxLoanUseTime() const {
  Duration longest_deadline{0};
  for (const config::RequestKind& it : service_.kinds) {
    if (it.priority == Priority::kShort) {
      longest_deadline = std::max(longest_deadline, it.deadline);
    }
  }
  return longest_deadline * 2;
}

void ServiceScheduler::UseLoan(const Loan& loan, TimePoint now) {
  const config::Target* target = dispatcher_.Find(loan.target);
  if (target == nullptr || target->state != config::TargetState::kActive ||
      health_.AllowedRequests(loan.target, 1, now) == 0 ||
      !RefuseLate(Priority::kShort, now) ||
      hooks_.find(queue_.Front(Priority::kShort)).deadline >
          loan.usable_until) {
    borrower_.GiveBack(loan);
    return;
  }
  StartFirstWaiting(Priority::kShort, loan.target, loan, now);
}

void ServiceScheduler::OnLend(VmId from,
                              uint64_t sequence,
                              TargetId target,
                              TimePoint now) {
  Loan loan;
  if (borrower_.OnLend(from, sequence, target, &loan, now)) {
    UseLoan(loan, now);
  }
}

void ServiceScheduler::OnBorrow(VmId from,
                                Incarnation incarnation,
                                uint64_t sequence,
                                TimePoint now) {
  lender_.OnBorrow(
      from, incarnation, sequence, MaxLoanUseTime(),
      [&] { return AcquireToLend(now); }, now);
}

TargetId ServiceScheduler::AcquireToLend(TimePoint now) {
  if (queue_.Size(Priority::kShort) > 0 || leases_.IsExpired(now)) {
    return TargetId::kNone;
  }
  const TargetId id =
      dispatcher_.PickTarget(leases_, health_, TargetId::kNone, false, now);
  if (id != TargetId::kNone) {
    leases_.Acquire(id);
  }
  return id;
}

void ServiceScheduler::LendToRefusedBorrowers(TimePoint now) {
  if (lender_.HasRefused()) {
    lender_.RetryRefused([&] { return AcquireToLend(now); }, now);
  }
}

void ServiceScheduler::OnGiveBack(VmId from,
                                  Incarnation incarnation,
                                  uint64_t sequence) {
  const TargetId target = lender_.OnGiveBack(from, incarnation, sequence);
  if (target != TargetId::kNone) {
    leases_.Release(target);
  }
}

void ServiceScheduler::CheckLoans(TimePoint now) {
  for (const TargetId it : lender_.Tick(now)) {
    leases_.Release(it);
  }
}

void ServiceScheduler::OnAttemptEnd(const RequestRecord& request,
                                    const AttemptResult& result,
                                    TimePoint now) {
  if (!request.loan.has_value()) {
    leases_.Release(request.target);
  }
  long_slots_in_use_ -= request.priority == Priority::kLong;
  const Duration slot_time = now - request.started_at;
  switch (result.outcome) {
    case AttemptOutcome::kAnswered:
      if (result.status >= 500) {
        health_.OnFailure(request.target, now);
      } else {
        health_.OnSuccess(request.target, now);
      }
      kind_service_times_[request.info.kind].Add(slot_time);
      class_service_times_[static_cast<size_t>(request.priority)].Add(
          slot_time);
      break;
    case AttemptOutcome::kShed:
      health_.OnShed(request.target, now);
      break;
    case AttemptOutcome::kNotRun:
    case AttemptOutcome::kMayHaveRun:
      health_.OnFailure(request.target, now);
      break;
    case AttemptOutcome::kCancelled:
      health_.OnCancelled(request.target);
      class_service_times_[static_cast<size_t>(request.priority)].Add(
          slot_time);
      break;
  }
  if (request.loan.has_value()) {
    UseLoan(*request.loan, now);
  }
}

bool ServiceScheduler::AllowRetry(const RequestRecord& request,
                                  const AttemptResult& result,
                                  TimePoint now) {
  if (result.headers_sent || !request.info.body_resendable ||
      request.deadline <= now) {
    return false;
  }
  bool allowed = request.idempotent;
  if (!allowed && !request.may_have_run) {
    // Without a key, a shed request is not retried, because its bytes were
    // sent.
    allowed = result.outcome == AttemptOutcome::kNotRun ||
              (result.outcome == AttemptOutcome::kShed && request.keyed);
  }
  return allowed && retry_budget_.TryConsume();
}

SlotDemand ServiceScheduler::Demand(bool leaving, TimePoint now) const {
  SlotDemand demand;
  demand.leaving = leaving;
  const size_t waiting =
      queue_.Size(Priority::kShort) + queue_.Size(Priority::kLong);
  demand.waiting_requests = static_cast<uint32_t>(waiting);
  for (const Priority it : {Priority::kShort, Priority::kLong}) {
    demand.slots += arrival_rates_[static_cast<size_t>(it)].Rate(now) *
                    std::chrono::duration<double>(MeanServiceTime(it)).count();
  }
  // At most two waiting requests count. The queue of an overloaded VM grows
  // with its slots, so counting all of them would give most slots to the VMs
  // that already hold most.
  const double needed_now =
      leases_.total_in_use() + static_cast<double>(borrower_.in_use()) +
      std::min<double>(kMaxCountedWaiting, static_cast<double>(waiting));
  demand.slots = std::max(demand.slots, needed_now);
  if (limiter_.HasLimits()) {
    for (size_t i = 0; i < service_.kinds.size(); ++i) {
      demand.kind_rates.push_back(
          static_cast<uint32_t>(std::lround(limiter_.KindRate(i, now))));
    }
    demand.callers = limiter_.BusyCallers(now, kMaxBusyCallers);
  }
  return demand;
}

void ServiceScheduler::FallBackIfLeaseExpired(TimePoint now) {
  if (leases_.IsExpired(now)) {
    for (const TargetId it : dispatcher_.OwnDomainTargets()) {
      leases_.EnsureOneSlot(it);
    }
  }
}

}  // namespace marjoramhall::request
