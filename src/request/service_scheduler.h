// One service at one VM: admission, queue, slots, choice of target, health,
// retries and limits, joined up. It decides on requests that RequestPlane owns.
#ifndef MARJORAMHALL_REQUEST_SERVICE_SCHEDULER_H_
#define MARJORAMHALL_REQUEST_SERVICE_SCHEDULER_H_

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
#include "src/request/slot_leases.h"
#include "src/request/slot_loans.h"
#include "src/request/target_health.h"

namespace marjoramhall::request {

struct SchedulerHooks {
  // The record of a live request.
  std::function<RequestRecord&(RequestId)> find;
  // The slot is taken; the attempt must start.
  std::function<void(RequestRecord&, const config::Target&, TimePoint now)>
      start;
  // The request has left the queue and must end.
  std::function<void(RequestRecord&, const Refusal&, TimePoint now)> refuse;
  HealthHook health;
  LoanHooks loans;
};

class ServiceScheduler {
 public:
  ServiceScheduler(const RequestPlaneOptions& options,
                   ServiceId id,
                   RandomSource& random,
                   SchedulerHooks hooks);

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
  void CheckLoans(TimePoint now);
  // Lends free slots to peers that were refused a moment ago.
  void LendToRefusedBorrowers(TimePoint now);
  void SetPeers(std::vector<VmId> peers) {
    borrower_.SetPeers(std::move(peers));
  }
  // Starts what can start. Cost: O(started * targets held).
  void Dispatch(TimePoint now);

  // An attempt ended: frees the slot, learns health and service time.
  void OnAttemptEnd(const RequestRecord& request,
                    const AttemptResult& result,
                    TimePoint now);
  // True when the request may be tried again; takes the right to it.
  bool AllowRetry(const RequestRecord& request,
                  const AttemptResult& result,
                  TimePoint now);

  SlotDemand Demand(bool leaving, TimePoint now) const;
  // Falls back on own targets when no allocator has been reached for long.
  void FallBackIfLeaseExpired(TimePoint now);
  void Trim(TimePoint now) { limiter_.Trim(now); }

  SlotLeases& leases() { return leases_; }
  const SlotLeases& leases() const { return leases_; }
  RateLimiter& limiter() { return limiter_; }
  const AdmissionQueue& queue() const { return queue_; }
  const TargetHealth& health() const { return health_; }
  const Dispatcher& dispatcher() const { return dispatcher_; }
  const config::Service& service() const { return service_; }

 private:
  // Time that a request of this kind needs at a target.
  Duration ServiceTime(const RequestRecord& request, double quantile) const;
  uint32_t LongSlotLimit(TimePoint now) const;
  double UsableSlots(config::Priority priority, TimePoint now) const;
  Duration MeanServiceTime(config::Priority priority) const;
  AdmissionEstimate EstimateFor(const RequestRecord& request,
                                TimePoint now) const;
  bool DispatchClass(config::Priority priority, TimePoint now);
  // Refuses the waiting requests that would be late; false when none is left.
  bool RefuseLate(config::Priority priority, TimePoint now);
  // Starts the first waiting request of the class.
  void StartFirstWaiting(config::Priority priority,
                         TargetId target,
                         const std::optional<Loan>& loan,
                         TimePoint now);
  // Uses a borrowed slot for a waiting short request, or gives it back.
  void UseLoan(const Loan& loan, TimePoint now);
  Duration LoanDuration() const;
  // Takes a free slot to lend it.
  TargetId AcquireToLend(TimePoint now);

  const RequestPlaneOptions& options_;
  SchedulerHooks hooks_;
  config::Service service_;
  SlotLeases leases_;
  AdmissionQueue queue_;
  TargetHealth health_;
  Dispatcher dispatcher_;
  RetryBudget retry_budget_;
  RateLimiter limiter_;
  std::vector<ServiceTimes> kind_service_times_;
  ServiceTimes class_service_times_[2];
  RateMeter arrival_rates_[2];
  uint32_t long_slots_in_use_ = 0;  // slots that long work holds
  // Arrivals of short work over a time well above that of long work, or long
  // work would take the slots of every lull and keep them.
  RateMeter short_arrival_rate_{5};
  // Rounds this VM's share of the reserve, so that the VMs' shares add up.
  double reserve_rounding_;
  bool has_short_kinds_ = false;
  SlotBorrower borrower_;
  SlotLender lender_;
};

}  // namespace marjoramhall::request

#endif  // MARJORAMHALL_REQUEST_SERVICE_SCHEDULER_H_
