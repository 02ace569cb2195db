// The slots of one service that this VM holds as leases: what may be used, what
// is in use, and the reports that the allocator needs.
#ifndef MARJORAMHALL_REQUEST_SLOT_LEASES_H_
#define MARJORAMHALL_REQUEST_SLOT_LEASES_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

#include "src/base/ids.h"
#include "src/base/time.h"
#include "src/request/rate_limiter.h"
#include "src/request/request_options.h"

namespace marjoramhall::protocol {
class SlotGrant;
class SlotReport;
}  // namespace marjoramhall::protocol

namespace marjoramhall::request {

// What a VM needs, as it goes into a report.
struct SlotDemand {
  double slots = 0;
  uint32_t waiting_requests = 0;
  bool leaving = false;
  std::vector<uint32_t> kind_rates;
  std::vector<RateLimiter::CallerDemand> callers;
};

class SlotLeases {
 public:
  struct TargetLease {
    TargetId target = TargetId::kNone;
    uint32_t limit = 0;
    // May exceed limit after a grant took slots away; then no request starts
    // there until enough have ended.
    uint32_t in_use = 0;
  };

  SlotLeases(const RequestPlaneOptions& options, ServiceId service);

  // Sorted by target; entries without limit and use are dropped.
  const std::vector<TargetLease>& leases() const { return leases_; }
  uint32_t total_limit() const { return total_limit_; }
  uint32_t total_in_use() const { return total_in_use_; }

  void Acquire(TargetId target);
  void Release(TargetId target);

  // True when the leases have not been renewed for the lease time. Then only
  // targets in the own failure domain may be used, at least one slot at each.
  bool IsExpired(TimePoint now) const;
  // Sets limits without an allocator, for a VM that cannot reach one.
  void EnsureOneSlot(TargetId target);

  void SetAllocator(VmId allocator, TimePoint now);
  VmId allocator() const { return allocator_; }
  uint64_t epoch() const { return epoch_; }

  // Applies a grant of the allocator; older ones are ignored. Returns true when
  // a limit changed.
  bool OnGrant(VmId from, const protocol::SlotGrant& grant, TimePoint now);
  // The allocator asks for a report.
  void OnQuery(VmId from);

  // The report to send now, if there is one: at most one per report interval,
  // and only on a change or for renewal.
  std::optional<protocol::SlotReport> MakeReportIfDue(const SlotDemand& demand,
                                                      TimePoint now);

 private:
  TargetLease& LeaseFor(TargetId target);
  void EraseEmpty();
  bool DemandChanged(const SlotDemand& demand) const;

  const RequestPlaneOptions& options_;
  ServiceId service_;
  // total_limit_ and total_in_use_ are the sums over leases_.
  std::vector<TargetLease> leases_;
  uint32_t total_limit_ = 0;
  uint32_t total_in_use_ = 0;

  VmId allocator_ = VmId::kNone;
  uint64_t epoch_ = 0;
  uint64_t applied_sequence_ = 0;
  TimePoint renewed_at_{};

  uint64_t report_sequence_ = 0;
  TimePoint last_report_at_{};
  bool report_due_ = true;
  SlotDemand reported_demand_;
  // Send times of recent reports, so that a lease counts from when the report
  // that renewed it was sent.
  std::deque<std::pair<uint64_t, TimePoint>> recent_reports_;
};

}  // namespace marjoramhall::request

#endif  // MARJORAMHALL_REQUEST_SLOT_LEASES_H_
