// Slot leases of one VM and its reports to the allocator.
#include "src/request/slot_leases.h"

#include <algorithm>
#include <cmath>

#include "src/protocol/request_control.pb.h"

namespace marjoramhall::request {
namespace {

constexpr size_t kMaxRecentReports = 16;
constexpr double kMinChangeRatio = 0.15;
constexpr double kMinSlotsChange = 0.5;
constexpr double kMaxReportedSlots = 1e6;
constexpr double kMinRateChange = 2;  // requests per second

// True when a value has changed enough to report it: by more than
// kMinChangeRatio and by more than `min_change`.
bool ChangedNoticeably(double before, double after, double min_change) {
  return std::abs(after - before) >
         std::max(min_change, kMinChangeRatio * before);
}

}  // namespace

SlotLeases::SlotLeases(const RequestPlaneOptions& options, ServiceId service)
    : options_(options), service_(service) {}

SlotLeases::TargetLease& SlotLeases::LeaseFor(TargetId target) {
  const auto it = std::lower_bound(
      leases_.begin(), leases_.end(), target,
      [](const TargetLease& lease, TargetId id) { return lease.target < id; });
  if (it != leases_.end() && it->target == target) {
    return *it;
  }
  return *leases_.insert(it, TargetLease{target, 0, 0});
}

void SlotLeases::EraseEmpty() {
  std::erase_if(leases_, [](const TargetLease& it) {
    return it.limit == 0 && it.in_use == 0;
  });
}

void SlotLeases::Acquire(TargetId target) {
  ++LeaseFor(target).in_use;
  ++total_in_use_;
}

void SlotLeases::Release(TargetId target) {
  TargetLease& lease = LeaseFor(target);
  --lease.in_use;
  --total_in_use_;
  if (lease.in_use >= lease.limit) {
    // A revoked slot has become free. The allocator waits for this report to
    // assign it elsewhere.
    report_due_ = true;
  }
  EraseEmpty();
}

bool SlotLeases::IsExpired(TimePoint now) const {
  return now - renewed_at_ > options_.slot_lease;
}

void SlotLeases::EnsureOneSlot(TargetId target) {
  TargetLease& lease = LeaseFor(target);
  if (lease.limit == 0) {
    lease.limit = 1;
    ++total_limit_;
    report_due_ = true;
  }
}

void SlotLeases::SetAllocator(VmId allocator, TimePoint now) {
  if (allocator_ == allocator) {
    return;
  }
  if (allocator_ == VmId::kNone) {
    renewed_at_ = now;
  }
  allocator_ = allocator;
  applied_sequence_ = 0;
  report_due_ = true;
}

bool SlotLeases::OnGrant(VmId from,
                         const protocol::SlotGrant& grant,
                         TimePoint now) {
  if (from != allocator_ || grant.epoch() < epoch_) {
    return false;
  }
  for (const auto& [sequence, at] : recent_reports_) {
    if (sequence == grant.report()) {
      renewed_at_ = std::max(renewed_at_, at);
    }
  }
  if (grant.epoch() == epoch_ && grant.sequence() <= applied_sequence_) {
    return false;
  }
  epoch_ = grant.epoch();
  applied_sequence_ = grant.sequence();
  report_due_ = true;
  for (TargetLease& it : leases_) {
    it.limit = 0;
  }
  total_limit_ = 0;
  for (const auto& it : grant.slots()) {
    LeaseFor(static_cast<TargetId>(it.target())).limit = it.slots();
    total_limit_ += it.slots();
  }
  EraseEmpty();
  renewed_at_ = std::max(renewed_at_, now - options_.slot_report_interval);
  return true;
}

void SlotLeases::OnQuery(VmId from) {
  if (from == allocator_) {
    report_due_ = true;
  }
}

bool SlotLeases::DemandChanged(const SlotDemand& demand) const {
  if (demand.leaving != reported_demand_.leaving ||
      (demand.waiting_requests > 0) !=
          (reported_demand_.waiting_requests > 0) ||
      ChangedNoticeably(reported_demand_.slots, demand.slots,
                        kMinSlotsChange) ||
      demand.callers.size() != reported_demand_.callers.size() ||
      demand.kind_rates.size() != reported_demand_.kind_rates.size()) {
    return true;
  }
  for (size_t i = 0; i < demand.kind_rates.size(); ++i) {
    if (ChangedNoticeably(reported_demand_.kind_rates[i], demand.kind_rates[i],
                          kMinRateChange)) {
      return true;
    }
  }
  for (size_t i = 0; i < demand.callers.size(); ++i) {
    if (demand.callers[i].caller != reported_demand_.callers[i].caller ||
        ChangedNoticeably(reported_demand_.callers[i].rate,
                          demand.callers[i].rate, kMinRateChange)) {
      return true;
    }
  }
  return false;
}

std::optional<protocol::SlotReport> SlotLeases::MakeReportIfDue(
    const SlotDemand& demand,
    TimePoint now) {
  const Duration since_last_report = now - last_report_at_;
  const bool renew = since_last_report >= options_.lease_renew_interval;
  if (since_last_report < options_.slot_report_interval ||
      allocator_ == VmId::kNone ||
      !(report_due_ || renew || DemandChanged(demand))) {
    return std::nullopt;
  }
  report_due_ = false;
  last_report_at_ = now;
  reported_demand_ = demand;
  recent_reports_.emplace_back(++report_sequence_, now);
  if (recent_reports_.size() > kMaxRecentReports) {
    recent_reports_.pop_front();
  }
  protocol::SlotReport report;
  report.set_service(ToInteger(service_));
  report.set_sequence(report_sequence_);
  report.set_epoch(epoch_);
  report.set_applied(applied_sequence_);
  for (const TargetLease& it : leases_) {
    auto* held = report.add_held();
    held->set_target(ToInteger(it.target));
    held->set_slots(std::max(it.limit, it.in_use));
  }
  // In hundredths of a slot.
  report.set_demand(
      static_cast<uint32_t>(std::min(demand.slots, kMaxReportedSlots) * 100));
  report.set_waiting(demand.waiting_requests);
  report.set_leaving(demand.leaving);
  for (const uint32_t it : demand.kind_rates) {
    report.add_kind_rates(it);
  }
  for (const RateLimiter::CallerDemand& it : demand.callers) {
    auto* caller = report.add_callers();
    caller->set_kind(it.kind);
    caller->set_caller(it.caller);
    caller->set_rate(static_cast<uint32_t>(std::lround(it.rate)));
  }
  report.set_wants_grant(renew || applied_sequence_ == 0);
  return report;
}

}  // namespace marjoramhall::request
