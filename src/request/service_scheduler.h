// Schedules the requests of one service at one VM: admission, waiting queues,
// slots, target selection, target health, retries and rate limits. RequestPlane
// owns the requests.
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
  // Returns the record of a live request.
  std::function<RequestRecord&(RequestId)> find;
  // Starts the attempt; a slot is already acquired.
  std::function<void(RequestRecord&, const config::Target&, TimePoint now)>
      start;
  // Ends a request that is no longer in the queue.
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

  // Checks a new request against limits, queue length and its deadline. Returns
  // the refusal, or nothing when the request is admitted.
  std::optional<Refusal> Admit(const RequestRecord& request, TimePoint now);
  // Queues an admitted request, with `retry` at the front.
  void Enqueue(RequestRecord& request, bool retry);
  // Removes a waiting request from its queue.
  void Remove(const RequestRecord& request);
  // Messages of the loan protocol: see SlotBorrower and SlotLender.
  void OnBorrow(VmId from,
                Incarnation incarnation,
                uint64_t sequence,
                TimePoint now);
  void OnLend(VmId from, uint64_t sequence, TargetId target, TimePoint now);
  void OnGiveBack(VmId from, Incarnation incarnation, uint64_t sequence);
  // Sends reminders for old loans and releases the slots of expired ones.
  void CheckLoans(TimePoint now);
  // Lends free slots to recently refused borrowers.
  void LendToRefusedBorrowers(TimePoint now);
  void SetPeers(std::vector<VmId> peers) {
    borrower_.SetPeers(std::move(peers));
  }
  // Starts the waiting requests that can start. Cost: O(started * targets at
  // which this VM holds slots).
  void Dispatch(TimePoint now);

  // Ends an attempt: releases its slot, and records the target's health and the
  // service time.
  void OnAttemptEnd(const RequestRecord& request,
                    const AttemptResult& result,
                    TimePoint now);
  // True when the request may be tried again; consumes retry budget.
  bool AllowRetry(const RequestRecord& request,
                  const AttemptResult& result,
                  TimePoint now);

  // The demand to report to the allocator.
  SlotDemand Demand(bool leaving, TimePoint now) const;
  // After the leases have expired, ensures one slot at each target in this VM's
  // failure domain.
  void FallBackIfLeaseExpired(TimePoint now);
  // Drops the rate limits of idle callers.
  void Trim(TimePoint now) { limiter_.Trim(now); }

  SlotLeases& leases() { return leases_; }
  const SlotLeases& leases() const { return leases_; }
  RateLimiter& limiter() { return limiter_; }
  const AdmissionQueue& queue() const { return queue_; }
  const TargetHealth& health() const { return health_; }
  const Dispatcher& dispatcher() const { return dispatcher_; }
  const config::Service& service() const { return service_; }

 private:
  // Quantile of the time that a request of this kind holds a slot. At most half
  // of the time from the request's arrival to its deadline.
  Duration ServiceTime(const RequestRecord& request, double quantile) const;
  // Slots that long requests may use; the others are reserved for short ones.
  uint32_t LongSlotLimit(TimePoint now) const;
  // Slots that the class can use now, in total.
  double UsableSlots(config::Priority priority, TimePoint now) const;
  // Mean time that a request of the class holds a slot.
  Duration MeanServiceTime(config::Priority priority) const;
  AdmissionEstimate EstimateFor(const RequestRecord& request,
                                TimePoint now) const;
  // Dispatches one class. Returns false when no slot was free for a request.
  bool DispatchClass(config::Priority priority, TimePoint now);
  // Refuses the first waiting requests that would miss their deadline. Returns
  // false when no request is left.
  bool RefuseLate(config::Priority priority, TimePoint now);
  // Starts the first waiting request of the class, on a loan or on a free slot.
  void StartFirstWaiting(config::Priority priority,
                         TargetId target,
                         const std::optional<Loan>& loan,
                         TimePoint now);
  // Uses a borrowed slot for a waiting short request, or gives it back.
  void UseLoan(const Loan& loan, TimePoint now);
  // How long a borrowed slot may be used: twice the longest deadline of short
  // requests.
  Duration MaxLoanUseTime() const;
  // Acquires a free slot to lend. Returns its target, or kNone.
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
  uint32_t long_slots_in_use_ = 0;  // slots that long requests hold
  // Averaged over a time well above the service time of long requests. With a
  // shorter time, long requests would take the slots that short requests leave
  // free for a moment, and hold them.
  RateMeter short_arrival_rate_{5};
  // Added before the reserve is rounded down, in [0, 1). It is random, so that
  // the reserves of many VMs add up to the intended total.
  double reserve_rounding_;
  bool has_short_kinds_ = false;
  SlotBorrower borrower_;
  SlotLender lender_;
};

}  // namespace marjoramhall::request

#endif  // MARJORAMHALL_REQUEST_SERVICE_SCHEDULER_H_
