// Assignment table and messages of the slot allocator. The planning of moves is
// in slot_planning.cc.
#include "src/request/slot_allocator.h"

#include <algorithm>

#include "src/protocol/request_control.pb.h"

namespace marjoramhall::request {
namespace {

constexpr Duration kPlanInterval = std::chrono::milliseconds(20);
constexpr Duration kQueryInterval = std::chrono::milliseconds(300);
// Planning goes on for this long after the last slow start or after the wait
// for unknown leases.
constexpr Duration kPlanningMargin = std::chrono::seconds(2);

}  // namespace

SlotAllocator::SlotAllocator(const RequestPlaneOptions& options,
                             ServiceId service,
                             uint64_t epoch,
                             TimePoint now,
                             TimePoint member_removed_at)
    : options_(options),
      service_(service),
      epoch_(epoch),
      started_at_(now),
      assign_none_before_(member_removed_at == TimePoint{}
                              ? TimePoint{}
                              : member_removed_at + options.slot_lease) {}

void SlotAllocator::SetTargets(const config::Service& service, TimePoint now) {
  std::vector<Target> targets;
  for (const config::Target& it : service.targets) {
    const auto old =
        std::find_if(targets_.begin(), targets_.end(),
                     [&](const Target& target) { return target.id == it.id; });
    Target target = old == targets_.end() ? Target{} : *old;
    if (old == targets_.end() && !first_view_) {
      target.added_at = now;
    }
    target.id = it.id;
    target.domain = it.domain;
    target.declared_slots = it.slots;
    target.draining = it.state == config::TargetState::kDraining;
    targets.push_back(std::move(target));
  }
  for (auto& [id, vm] : vms_) {
    std::vector<uint32_t> assigned(targets.size());
    std::vector<uint32_t> outstanding(targets.size());
    vm.total_assigned = 0;
    for (size_t i = 0; i < targets.size(); ++i) {
      for (size_t j = 0; j < targets_.size(); ++j) {
        if (targets[i].id == targets_[j].id) {
          assigned[i] = vm.assigned[j];
          outstanding[i] = vm.outstanding[j];
          vm.total_assigned += assigned[i];
        }
      }
    }
    vm.assigned = std::move(assigned);
    vm.outstanding = std::move(outstanding);
    vm.assignment_changed = true;
  }
  targets_ = std::move(targets);
  first_view_ = false;
}

void SlotAllocator::OnView(const config::ControlView& view,
                           const config::Service& service,
                           TimePoint now) {
  SetTargets(service, now);
  for (auto& [id, vm] : vms_) {
    vm.member = false;
  }
  std::vector<VmId> members;
  for (const config::Member& it : view.members) {
    Vm& vm = vms_[it.id];
    vm.assigned.resize(targets_.size());
    vm.outstanding.resize(targets_.size());
    vm.member = true;
    vm.removed_at = TimePoint{};
    vm.domain = it.domain;
    vm.leaving = it.state == config::MemberState::kLeaving;
    members.push_back(it.id);
  }
  for (auto& [id, vm] : vms_) {
    if (!vm.member && vm.removed_at == TimePoint{}) {
      vm.removed_at = now;
    }
  }
  limit_shares_.SetMembers(std::move(members));
  planning_needed_ = true;
}

void SlotAllocator::ChangeAssignment(Vm& vm, size_t target, int change) {
  vm.assigned[target] += static_cast<uint32_t>(change);
  vm.total_assigned += static_cast<uint32_t>(change);
  vm.assignment_changed = true;
  if (vm.outstanding[target] < vm.assigned[target]) {
    targets_[target].outstanding +=
        vm.assigned[target] - vm.outstanding[target];
    vm.outstanding[target] = vm.assigned[target];
  }
}

void SlotAllocator::ReleaseAll(Vm& vm) {
  for (size_t i = 0; i < targets_.size(); ++i) {
    targets_[i].outstanding -= vm.outstanding[i];
    vm.outstanding[i] = 0;
    vm.assigned[i] = 0;
  }
  vm.total_assigned = 0;
  planning_needed_ = true;
}

bool SlotAllocator::IsOutdatedBy(VmId from,
                                 const protocol::SlotReport& report) const {
  const auto it = vms_.find(from);
  const uint64_t sequence = it == vms_.end() ? 0 : it->second.grant_sequence;
  return report.epoch() > epoch_ ||
         (report.epoch() == epoch_ && report.applied() > sequence);
}

void SlotAllocator::OnReport(VmId from,
                             Incarnation incarnation,
                             const protocol::SlotReport& report,
                             TimePoint now) {
  const auto [position, added] = vms_.try_emplace(from);
  Vm& vm = position->second;
  if (added) {
    // The view does not list this VM yet.
    vm.removed_at = now;
  }
  vm.assigned.resize(targets_.size());
  vm.outstanding.resize(targets_.size());
  if (incarnation < vm.incarnation ||
      (incarnation == vm.incarnation &&
       report.sequence() <= vm.report_sequence)) {
    return;
  }
  if (incarnation > vm.incarnation) {
    // The process that held the old leases has ended.
    if (vm.incarnation != 0) {
      ReleaseAll(vm);
    }
    vm.incarnation = incarnation;
    vm.reported = false;
  }
  vm.report_sequence = report.sequence();
  vm.demand_slots = report.demand() / 100.0;
  vm.waiting_requests = report.waiting();
  vm.leaving |= report.leaving();
  vm.grant_requested |= report.wants_grant();
  const bool is_current = report.epoch() == epoch_ &&
                          report.applied() == vm.grant_sequence &&
                          !vm.assignment_changed;
  if (report.epoch() == epoch_) {
    vm.confirmed_sequence = std::max(vm.confirmed_sequence, report.applied());
  }
  std::vector<uint32_t> held(targets_.size());
  for (const auto& it : report.held()) {
    for (size_t i = 0; i < targets_.size(); ++i) {
      if (ToInteger(targets_[i].id) == it.target()) {
        held[i] = it.slots();
      }
    }
  }
  for (size_t i = 0; i < targets_.size(); ++i) {
    if (!vm.reported && vm.grant_sequence == 0) {
      // A new allocator first adopts the slots as the VMs report them.
      vm.total_assigned += held[i] - vm.assigned[i];
      vm.assigned[i] = held[i];
    }
    const uint32_t least = is_current ? vm.assigned[i] : vm.outstanding[i];
    const uint32_t outstanding = std::max({held[i], least, vm.assigned[i]});
    targets_[i].outstanding += outstanding - vm.outstanding[i];
    vm.outstanding[i] = outstanding;
  }
  if (!vm.reported) {
    vm.reported = true;
    vm.assignment_changed = true;
  }
  if (limit_shares_.OnReport(from, report)) {
    for (auto& [id, it] : vms_) {
      it.grant_requested |= it.reported;
    }
  }
  planning_needed_ = true;
}

bool SlotAllocator::IsReady(TimePoint now) const {
  return now - started_at_ >= options_.slot_lease ||
         std::all_of(vms_.begin(), vms_.end(), [](const auto& it) {
           return it.second.reported || !it.second.member;
         });
}

protocol::SlotGrant SlotAllocator::MakeGrant(VmId id, Vm& vm) {
  if (vm.assignment_changed) {
    ++vm.grant_sequence;
    vm.assignment_changed = false;
  }
  vm.grant_requested = false;
  protocol::SlotGrant grant;
  grant.set_service(ToInteger(service_));
  grant.set_epoch(epoch_);
  grant.set_sequence(vm.grant_sequence);
  grant.set_report(vm.report_sequence);
  for (size_t i = 0; i < targets_.size(); ++i) {
    if (vm.assigned[i] > 0) {
      auto* slots = grant.add_slots();
      slots->set_target(ToInteger(targets_[i].id));
      slots->set_slots(vm.assigned[i]);
    }
  }
  limit_shares_.AddShares(id, grant);
  return grant;
}

SlotAllocator::Actions SlotAllocator::Tick(TimePoint now) {
  Actions actions;
  if (!IsReady(now)) {
    if (now - last_queried_at_ >= kQueryInterval) {
      last_queried_at_ = now;
      for (const auto& [id, vm] : vms_) {
        if (vm.member && !vm.reported) {
          actions.queries.push_back(id);
        }
      }
    }
    return actions;
  }
  for (auto& [id, vm] : vms_) {
    if (!vm.member && now - vm.removed_at >= options_.slot_lease) {
      ReleaseAll(vm);
    }
  }
  std::erase_if(vms_, [&](const auto& it) {
    return !it.second.member &&
           now - it.second.removed_at >= options_.slot_lease;
  });
  const bool slow_starting =
      std::any_of(targets_.begin(), targets_.end(), [&](const Target& it) {
        return it.added_at != TimePoint{} &&
               now - it.added_at < options_.slow_start_time + kPlanningMargin;
      });
  if ((planning_needed_ || slow_starting ||
       now < assign_none_before_ + kPlanningMargin) &&
      now - last_planned_at_ >= kPlanInterval) {
    last_planned_at_ = now;
    planning_needed_ = false;
    PlanMoves(now);
  }
  for (auto& [id, vm] : vms_) {
    // Grants can be lost, so a grant is sent again until a report confirms it.
    const bool unconfirmed = vm.grant_sequence != vm.confirmed_sequence;
    const Duration since_grant = now - vm.grant_sent_at;
    if (vm.member && vm.reported &&
        (((vm.assignment_changed || vm.grant_requested) &&
          since_grant >= options_.slot_report_interval) ||
         (unconfirmed && since_grant >= kQueryInterval))) {
      vm.grant_sent_at = now;
      actions.grants.emplace_back(id, MakeGrant(id, vm));
    }
  }
  return actions;
}

uint32_t SlotAllocator::OutstandingSlots(TargetId target) const {
  for (const Target& it : targets_) {
    if (it.id == target) {
      return it.outstanding;
    }
  }
  return 0;
}

}  // namespace marjoramhall::request
