// Requests of one service at one VM.
#include "src/request/service_runner.h"

#include <algorithm>
#include <cmath>

namespace marjoramhall::request {
namespace {

using config::Priority;

// A request is admitted when nine of ten of its kind would finish in time; the
// rest would hold a slot for an answer that comes too late.
constexpr double kAdmitQuantile = 0.9;
// A waiting request is given up when even an ordinary one would be late.
constexpr double kStartQuantile = 0.5;
constexpr size_t kBusyCallers = 16;
constexpr Duration kOverloadRetryAfter = std::chrono::seconds(1);

Refusal NotRun(RefusalReason reason) {
  return {reason, Verdict::kNotRun, 503, kOverloadRetryAfter};
}

}  // namespace

ServiceRunner::ServiceRunner(const RequestPlaneOptions& options,
                             ServiceId id,
                             RandomSource& random,
                             RunnerHooks hooks)
    : options_(options),
      hooks_(std::move(hooks)),
      ledger_(options, id),
      queue_(options.max_waiting_requests),
      health_(hooks_.health),
      dispatcher_(random),
      budget_(options.retry_ratio),
      rounding_(static_cast<double>(random.Below(1000)) / 1000),
      borrower_(random, hooks_.loans),
      lender_(hooks_.loans) {}

void ServiceRunner::OnView(const config::Service& service,
                           const std::string& own_domain,
                           size_t vms,
                           TimePoint) {
  service_ = service;
  dispatcher_.SetTargets(service.targets, own_domain);
  health_.SetTargets(service.targets);
  limiter_.SetKinds(service.kinds,
                    1.0 / static_cast<double>(std::max<size_t>(1, vms)));
  has_short_ = std::any_of(service.kinds.begin(), service.kinds.end(),
                           [](const config::RequestKind& it) {
                             return it.priority == Priority::kShort;
                           });
  // Live requests keep their kind's index when a change removes kinds.
  kind_times_.resize(std::max(kind_times_.size(), service.kinds.size()));
}

uint32_t ServiceRunner::LongLimit(TimePoint now) const {
  const uint32_t total = ledger_.total_limit();
  if (total < 2 || !has_short_) {
    return total;
  }
  const double load =
      short_arrivals_.Rate(now) *
      std::chrono::duration<double>(MeanOf(Priority::kShort)).count();
  const double left = std::max(0.0, total - load);
  const auto reserved =
      static_cast<uint32_t>(load + options_.reserved_short * left + rounding_);
  return total - std::clamp(reserved, 1U, total);
}

double ServiceRunner::SlotsFor(Priority priority, TimePoint now) const {
  if (priority == Priority::kLong) {
    return LongLimit(now);
  }
  const uint32_t total = ledger_.total_limit();
  return std::max(1.0,
                  static_cast<double>(total) - std::min(total, long_in_use_));
}

Duration ServiceRunner::MeanOf(Priority priority) const {
  return class_times_[static_cast<size_t>(priority)].Mean();
}

AdmissionInput ServiceRunner::InputFor(const RequestRecord& request,
                                       TimePoint now) const {
  AdmissionInput input;
  input.ahead = queue_.Size(request.priority);
  input.slots = SlotsFor(request.priority, now);
  const double in_use =
      request.priority == Priority::kLong
          ? long_in_use_
          : static_cast<double>(ledger_.total_in_use()) - long_in_use_;
  input.free = std::max(0.0, input.slots - in_use);
  input.mean = MeanOf(request.priority);
  input.time_left = request.deadline - now;
  input.service = ServiceTime(request, kAdmitQuantile);
  return input;
}

Duration ServiceRunner::ServiceTime(const RequestRecord& request,
                                    double quantile) const {
  // A request that has not waited long is started whatever was measured. A few
  // slow answers could else keep a kind refused for ever, since nothing new
  // would be measured.
  return std::min(kind_times_[request.info.kind].Quantile(quantile),
                  (request.deadline - request.arrived_at) / 2);
}

std::optional<Refusal> ServiceRunner::Admit(const RequestRecord& request,
                                            TimePoint now) {
  arrivals_[static_cast<size_t>(request.priority)].Add(now);
  if (request.priority == Priority::kShort) {
    short_arrivals_.Add(now);
  }
  const Duration wait =
      limiter_.Admit(request.info.kind, request.info.caller, now);
  if (wait > Duration{0}) {
    return Refusal{RefusalReason::kLimit, Verdict::kNotRun, 429, wait};
  }
  if (dispatcher_.active() == 0) {
    return NotRun(RefusalReason::kNoTarget);
  }
  if (queue_.Full(request.priority)) {
    return NotRun(RefusalReason::kOverload);
  }
  const AdmissionInput input = InputFor(request, now);
  if (!MeetsDeadline(input)) {
    return NotRun(ExpectedWait(input) == Duration{0}
                      ? RefusalReason::kDeadline
                      : RefusalReason::kOverload);
  }
  return std::nullopt;
}

void ServiceRunner::Enqueue(RequestRecord& request, bool retry) {
  request.state = RequestState::kWaiting;
  queue_.Push(request.priority, request.info.id, retry);
}

void ServiceRunner::Remove(const RequestRecord& request) {
  queue_.Remove(request.priority, request.info.id);
}

bool ServiceRunner::DropLate(Priority priority, TimePoint now) {
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

void ServiceRunner::StartFront(Priority priority,
                               TargetId target,
                               const std::optional<Loan>& loan,
                               TimePoint now) {
  RequestRecord& request = hooks_.find(queue_.Front(priority));
  queue_.PopFront(priority);
  if (!loan.has_value()) {
    ledger_.Take(target);
  }
  health_.OnStart(target, now);
  long_in_use_ += priority == Priority::kLong;
  if (request.attempts == 0) {
    budget_.OnFirstAttempt();
  }
  request.target = target;
  request.loan = loan;
  request.started_at = now;
  ++request.attempts;
  request.state = RequestState::kRunning;
  hooks_.start(request, *dispatcher_.Find(target), now);
}

bool ServiceRunner::PumpClass(Priority priority, TimePoint now) {
  while (DropLate(priority, now)) {
    if (priority == Priority::kLong && long_in_use_ >= LongLimit(now)) {
      return true;
    }
    const TargetId id = dispatcher_.Pick(
        ledger_, health_, hooks_.find(queue_.Front(priority)).target,
        ledger_.Expired(now), now);
    if (id == TargetId::kNone) {
      return false;
    }
    StartFront(priority, id, std::nullopt, now);
  }
  return true;
}

void ServiceRunner::Pump(TimePoint now) {
  if (PumpClass(Priority::kShort, now)) {
    PumpClass(Priority::kLong, now);
  } else {
    borrower_.Ask(queue_.Size(Priority::kShort), LoanTime(), now);
  }
}

Duration ServiceRunner::LoanTime() const {
  Duration longest{0};
  for (const config::RequestKind& it : service_.kinds) {
    if (it.priority == Priority::kShort) {
      longest = std::max(longest, it.deadline);
    }
  }
  return longest * 2;
}

void ServiceRunner::UseLoan(const Loan& loan, TimePoint now) {
  const config::Target* target = dispatcher_.Find(loan.target);
  if (target == nullptr || target->state != config::TargetState::kActive ||
      health_.Allowed(loan.target, 1, now) == 0 ||
      !DropLate(Priority::kShort, now) ||
      hooks_.find(queue_.Front(Priority::kShort)).deadline >
          loan.usable_until) {
    borrower_.GiveBack(loan);
    return;
  }
  StartFront(Priority::kShort, loan.target, loan, now);
}

void ServiceRunner::OnLend(VmId from,
                           uint64_t sequence,
                           TargetId target,
                           TimePoint now) {
  Loan loan;
  if (borrower_.OnLend(from, sequence, target, &loan, now)) {
    UseLoan(loan, now);
  }
}

void ServiceRunner::OnBorrow(VmId from,
                             Incarnation process,
                             uint64_t sequence,
                             TimePoint now) {
  lender_.OnBorrow(
      from, process, sequence, LoanTime(), [&] { return TakeToLend(now); },
      now);
}

TargetId ServiceRunner::TakeToLend(TimePoint now) {
  if (queue_.Size(Priority::kShort) > 0 || ledger_.Expired(now)) {
    return TargetId::kNone;
  }
  const TargetId id =
      dispatcher_.Pick(ledger_, health_, TargetId::kNone, false, now);
  if (id != TargetId::kNone) {
    ledger_.Take(id);
  }
  return id;
}

void ServiceRunner::ServeBorrowers(TimePoint now) {
  if (lender_.HasRefused()) {
    lender_.ServeRefused([&] { return TakeToLend(now); }, now);
  }
}

void ServiceRunner::OnGiveBack(VmId from,
                               Incarnation process,
                               uint64_t sequence) {
  const TargetId target = lender_.OnGiveBack(from, process, sequence);
  if (target != TargetId::kNone) {
    ledger_.Release(target);
  }
}

void ServiceRunner::TickLoans(TimePoint now) {
  for (const TargetId it : lender_.Tick(now)) {
    ledger_.Release(it);
  }
}

void ServiceRunner::OnAttemptEnd(const RequestRecord& request,
                                 const AttemptResult& result,
                                 TimePoint now) {
  if (!request.loan.has_value()) {
    ledger_.Release(request.target);
  }
  long_in_use_ -= request.priority == Priority::kLong;
  const Duration held = now - request.started_at;
  switch (result.outcome) {
    case AttemptOutcome::kAnswered:
      if (result.status >= 500) {
        health_.OnFailure(request.target, now);
      } else {
        health_.OnSuccess(request.target, now);
      }
      kind_times_[request.info.kind].Add(held);
      class_times_[static_cast<size_t>(request.priority)].Add(held);
      break;
    case AttemptOutcome::kShed:
      health_.OnShed(request.target, now);
      break;
    case AttemptOutcome::kNotRun:
    case AttemptOutcome::kMayHaveRun:
      health_.OnFailure(request.target, now);
      break;
    case AttemptOutcome::kCancelled:
      health_.OnNeutral(request.target);
      class_times_[static_cast<size_t>(request.priority)].Add(held);
      break;
  }
  if (request.loan.has_value()) {
    UseLoan(*request.loan, now);
  }
}

bool ServiceRunner::TakeRetry(const RequestRecord& request,
                              const AttemptResult& result,
                              TimePoint now) {
  if (result.headers_sent || !request.info.body_resendable ||
      request.deadline <= now) {
    return false;
  }
  bool allowed = request.idempotent;
  if (!allowed && !request.may_have_run) {
    // Without a key, a shed request stays untried: its bytes were sent.
    allowed = result.outcome == AttemptOutcome::kNotRun ||
              (result.outcome == AttemptOutcome::kShed && request.keyed);
  }
  return allowed && budget_.Take();
}

SlotDemand ServiceRunner::Demand(bool leaving, TimePoint now) const {
  SlotDemand demand;
  demand.leaving = leaving;
  const size_t waiting =
      queue_.Size(Priority::kShort) + queue_.Size(Priority::kLong);
  demand.waiting = static_cast<uint32_t>(waiting);
  for (const Priority it : {Priority::kShort, Priority::kLong}) {
    demand.slots += arrivals_[static_cast<size_t>(it)].Rate(now) *
                    std::chrono::duration<double>(MeanOf(it)).count();
  }
  // Waiting requests count little here: the queue of an overloaded VM grows
  // with its slots, so counting them would give most to whom has most.
  const double asked = ledger_.total_in_use() +
                       static_cast<double>(borrower_.in_use()) +
                       std::min<double>(2, static_cast<double>(waiting));
  demand.slots = std::max(demand.slots, asked);
  if (limiter_.HasLimits()) {
    for (size_t i = 0; i < service_.kinds.size(); ++i) {
      demand.kind_rates.push_back(
          static_cast<uint32_t>(std::lround(limiter_.KindRate(i, now))));
    }
    demand.callers = limiter_.BusyCallers(now, kBusyCallers);
  }
  return demand;
}

void ServiceRunner::CheckLease(TimePoint now) {
  if (ledger_.Expired(now)) {
    for (const TargetId it : dispatcher_.OwnTargets()) {
      ledger_.EnsureOne(it);
    }
  }
}

}  // namespace marjoramhall::request
