// The slots of one service that this VM holds as leases: how many it may use at
// each target, how many are in use, and the reports to the service's allocator.
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

// The demand of this VM for one service, as reported to the allocator.
struct SlotDemand {
  double slots = 0;  // that the VM could use now

  uint32_t waiting_requests = 0;
  bool leaving = false;
  std::vector<uint32_t> kind_rates;  // requests per second
  std::vector<RateLimiter::CallerDemand> callers;
};

class SlotLeases {
 public:
  struct TargetLease {
    TargetId target = TargetId::kNone;
    uint32_t limit = 0;
    // Exceeds `limit` for a while after a grant revoked slots. No request
    // starts at the target until enough requests have ended.
    uint32_t in_use = 0;
  };

  SlotLeases(const RequestPlaneOptions& options, ServiceId service);

  // Sorted by target. Entries with neither a limit nor use are erased.
  const std::vector<TargetLease>& leases() const { return leases_; }
  uint32_t total_limit() const { return total_limit_; }
  uint32_t total_in_use() const { return total_in_use_; }

  void Acquire(TargetId target);
  void Release(TargetId target);

  // True when the leases were not renewed within `slot_lease`. Then only
  // targets in this VM's failure domain may be used, with at least one slot
  // each.
  bool IsExpired(TimePoint now) const;
  // Raises the limit to at least one slot without an allocator.
  void EnsureOneSlot(TargetId target);

  // Sets the VM to report to. Grants and queries of other VMs are ignored.
  void SetAllocator(VmId allocator, TimePoint now);
  VmId allocator() const { return allocator_; }
  uint64_t epoch() const { return epoch_; }

  // Applies a grant of the allocator and ignores outdated ones. Returns true
  // when a newer grant has replaced the limits.
  bool OnGrant(VmId from, const protocol::SlotGrant& grant, TimePoint now);
  // Schedules a report.
  void OnQuery(VmId from);

  // Returns the report to send now, if one is due: at most one per
  // `slot_report_interval`, and only after a change or to renew the leases.
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
  uint64_t applied_sequence_ = 0;  // of the newest grant
  TimePoint renewed_at_{};         // start of the current lease time

  uint64_t report_sequence_ = 0;
  TimePoint last_report_at_{};
  bool report_due_ = true;
  SlotDemand reported_demand_;
  // Sequences and send times of recent reports. A lease is valid from the time
  // at which the report that renewed it was sent.
  std::deque<std::pair<uint64_t, TimePoint>> recent_reports_;
};

}  // namespace marjoramhall::request

#endif  // MARJORAMHALL_REQUEST_SLOT_LEASES_H_
