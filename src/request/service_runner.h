// One service at one VM: admission, queue, slots, choice of target, health,
// retries and limits, joined up. It decides on requests that RequestPlane owns.
#ifndef MARJORAMHALL_REQUEST_SERVICE_RUNNER_H_
#define MARJORAMHALL_REQUEST_SERVICE_RUNNER_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "src/config/control_view.h"
#include "src/request/admission_queue.h"
#include "src/request/dispatcher.h"
#include "src/request/rate_limiter.h"
#include "src/request/request_record.h"
#include "src/request/retry_budget.h"
#include "src/request/service_times.h"
#include "src/request/slot_ledger.h"
#include "src/request/slot_loans.h"
#include "src/request/target_health.h"

namespace marjoramhall::request {

struct RunnerHooks {
  // The record of a live request.
  std::function<RequestRecord&(RequestId)> find;
  // The slot is taken; the attempt must start.
  std::function<void(RequestRecord&, const config::Target&, TimePoint now)>
      start;
  // The request has left the queue and must end.
  std::function<void(RequestRecord&, const Refusal&, TimePoint now)> refuse;
  HealthHook health;
  LoanSender loans;
};

class ServiceRunner {
 public:
  ServiceRunner(const RequestPlaneOptions& options,
                ServiceId id,
                RandomSource& random,
                RunnerHooks hooks);

  void OnView(const config::Service& service,
              const std::string& own_domain,
              size_t vms,
              TimePoint now);

  // Limits and deadline admission of a new request; nothing when admitted.
  std::optional<Refusal> Admit(const RequestRecord& request, TimePoint now);
  // Queues an admitted request; `retry` puts it first.
  void Enqueue(RequestRecord& request, bool retry);
  // A waiting request ends.
  void Remove(const RequestRecord& request);
  // A message about loans of slots.
  void OnBorrow(VmId from,
                Incarnation process,
                uint64_t sequence,
                TimePoint now);
  void OnLend(VmId from, uint64_t sequence, TargetId target, TimePoint now);
  void OnGiveBack(VmId from, Incarnation process, uint64_t sequence);
  void TickLoans(TimePoint now);
  // Lends free slots to peers that were refused a moment ago.
  void ServeBorrowers(TimePoint now);
  void SetPeers(std::vector<VmId> peers) {
    borrower_.SetPeers(std::move(peers));
  }
  // Starts what can start. Cost: O(started * targets held).
  void Pump(TimePoint now);

  // An attempt ended: frees the slot, learns health and service time.
  void OnAttemptEnd(const RequestRecord& request,
                    const AttemptResult& result,
                    TimePoint now);
  // True when the request may be tried again; takes the right to it.
  bool TakeRetry(const RequestRecord& request,
                 const AttemptResult& result,
                 TimePoint now);

  SlotDemand Demand(bool leaving, TimePoint now) const;
  // Falls back on own targets when no allocator has been reached for long.
  void CheckLease(TimePoint now);
  void Trim(TimePoint now) { limiter_.Trim(now); }

  SlotLedger& ledger() { return ledger_; }
  const SlotLedger& ledger() const { return ledger_; }
  RateLimiter& limiter() { return limiter_; }
  const AdmissionQueue& queue() const { return queue_; }
  const TargetHealth& health() const { return health_; }
  const Dispatcher& dispatcher() const { return dispatcher_; }
  const config::Service& service() const { return service_; }

 private:
  // Time that a request of this kind needs at a target.
  Duration ServiceTime(const RequestRecord& request, double quantile) const;
  uint32_t LongLimit(TimePoint now) const;
  double SlotsFor(config::Priority priority, TimePoint now) const;
  Duration MeanOf(config::Priority priority) const;
  AdmissionInput InputFor(const RequestRecord& request, TimePoint now) const;
  bool PumpClass(config::Priority priority, TimePoint now);
  // Refuses the waiting requests that would be late; false when none is left.
  bool DropLate(config::Priority priority, TimePoint now);
  // Starts the first waiting request of the class.
  void StartFront(config::Priority priority,
                  TargetId target,
                  const std::optional<Loan>& loan,
                  TimePoint now);
  // Uses a borrowed slot for a waiting short request, or gives it back.
  void UseLoan(const Loan& loan, TimePoint now);
  Duration LoanTime() const;
  // Takes a free slot to lend it.
  TargetId TakeToLend(TimePoint now);

  const RequestPlaneOptions& options_;
  RunnerHooks hooks_;
  config::Service service_;
  SlotLedger ledger_;
  AdmissionQueue queue_;
  TargetHealth health_;
  Dispatcher dispatcher_;
  RetryBudget budget_;
  RateLimiter limiter_;
  std::vector<ServiceTimes> kind_times_;
  ServiceTimes class_times_[2];
  RateMeter arrivals_[2];
  uint32_t long_in_use_ = 0;  // slots that long work holds
  // Arrivals of short work over a time well above that of long work, or long
  // work would take the slots of every lull and keep them.
  RateMeter short_arrivals_{5};
  // Rounds this VM's share of the reserve, so that the VMs' shares add up.
  double rounding_;
  bool has_short_ = false;
  SlotBorrower borrower_;
  SlotLender lender_;
};

}  // namespace marjoramhall::request

#endif  // MARJORAMHALL_REQUEST_SERVICE_RUNNER_H_
