// Slot leases of one VM.
#include "src/request/slot_ledger.h"

#include <algorithm>
#include <cmath>

#include "src/protocol/request_control.pb.h"

namespace marjoramhall::request {
namespace {

// True when a figure moved enough to matter to the allocator.
bool Moved(double before, double after, double least) {
  return std::abs(after - before) > std::max(least, 0.15 * before);
}

}  // namespace

SlotLedger::SlotLedger(const RequestPlaneOptions& options, ServiceId service)
    : options_(options), service_(service) {}

SlotLedger::Slot& SlotLedger::SlotOf(TargetId target) {
  const auto it = std::lower_bound(
      slots_.begin(), slots_.end(), target,
      [](const Slot& slot, TargetId id) { return slot.target < id; });
  if (it != slots_.end() && it->target == target) {
    return *it;
  }
  return *slots_.insert(it, Slot{target, 0, 0});
}

void SlotLedger::DropEmpty() {
  std::erase_if(slots_,
                [](const Slot& it) { return it.limit == 0 && it.in_use == 0; });
}

void SlotLedger::Take(TargetId target) {
  ++SlotOf(target).in_use;
  ++total_in_use_;
}

void SlotLedger::Release(TargetId target) {
  Slot& slot = SlotOf(target);
  --slot.in_use;
  --total_in_use_;
  if (slot.in_use >= slot.limit) {
    // A slot that was taken away has become free; the allocator waits for it.
    report_due_ = true;
  }
  DropEmpty();
}

bool SlotLedger::Expired(TimePoint now) const {
  return now - renewed_at_ > options_.slot_lease;
}

void SlotLedger::EnsureOne(TargetId target) {
  Slot& slot = SlotOf(target);
  if (slot.limit == 0) {
    slot.limit = 1;
    ++total_limit_;
    report_due_ = true;
  }
}

void SlotLedger::SetAllocator(VmId allocator, TimePoint now) {
  if (allocator_ == allocator) {
    return;
  }
  if (allocator_ == VmId::kNone) {
    renewed_at_ = now;
  }
  allocator_ = allocator;
  applied_ = 0;
  report_due_ = true;
}

bool SlotLedger::OnGrant(VmId from,
                         const protocol::SlotGrant& grant,
                         TimePoint now) {
  if (from != allocator_ || grant.epoch() < epoch_) {
    return false;
  }
  for (const auto& [sequence, at] : sent_) {
    if (sequence == grant.report()) {
      renewed_at_ = std::max(renewed_at_, at);
    }
  }
  if (grant.epoch() == epoch_ && grant.sequence() <= applied_) {
    return false;
  }
  epoch_ = grant.epoch();
  applied_ = grant.sequence();
  report_due_ = true;
  for (Slot& it : slots_) {
    it.limit = 0;
  }
  total_limit_ = 0;
  for (const auto& it : grant.slots()) {
    SlotOf(static_cast<TargetId>(it.target())).limit = it.slots();
    total_limit_ += it.slots();
  }
  DropEmpty();
  renewed_at_ = std::max(renewed_at_, now - options_.report_interval);
  return true;
}

void SlotLedger::OnQuery(VmId from) {
  if (from == allocator_) {
    report_due_ = true;
  }
}

bool SlotLedger::Changed(const SlotDemand& demand) const {
  if (demand.leaving != reported_.leaving ||
      (demand.waiting > 0) != (reported_.waiting > 0) ||
      Moved(reported_.slots, demand.slots, 0.5) ||
      demand.callers.size() != reported_.callers.size() ||
      demand.kind_rates.size() != reported_.kind_rates.size()) {
    return true;
  }
  for (size_t i = 0; i < demand.kind_rates.size(); ++i) {
    if (Moved(reported_.kind_rates[i], demand.kind_rates[i], 2)) {
      return true;
    }
  }
  for (size_t i = 0; i < demand.callers.size(); ++i) {
    if (demand.callers[i].caller != reported_.callers[i].caller ||
        Moved(reported_.callers[i].rate, demand.callers[i].rate, 2)) {
      return true;
    }
  }
  return false;
}

std::optional<protocol::SlotReport> SlotLedger::TakeReport(
    const SlotDemand& demand,
    TimePoint now) {
  const Duration quiet = now - reported_at_;
  const bool renew = quiet >= options_.renew_interval;
  if (quiet < options_.report_interval || allocator_ == VmId::kNone ||
      !(report_due_ || renew || Changed(demand))) {
    return std::nullopt;
  }
  report_due_ = false;
  reported_at_ = now;
  reported_ = demand;
  sent_.emplace_back(++report_sequence_, now);
  if (sent_.size() > 16) {
    sent_.pop_front();
  }
  protocol::SlotReport report;
  report.set_service(ToInteger(service_));
  report.set_sequence(report_sequence_);
  report.set_epoch(epoch_);
  report.set_applied(applied_);
  for (const Slot& it : slots_) {
    auto* held = report.add_held();
    held->set_target(ToInteger(it.target));
    held->set_slots(std::max(it.limit, it.in_use));
  }
  report.set_demand(static_cast<uint32_t>(std::min(demand.slots, 1e6) * 100));
  report.set_waiting(demand.waiting);
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
  report.set_wants_grant(renew || applied_ == 0);
  return report;
}

}  // namespace marjoramhall::request
