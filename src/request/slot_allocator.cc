// The table of slots of one service: state and messages. The planning of moves
// is in slot_planning.cc.
#include "src/request/slot_allocator.h"

#include <algorithm>

#include "src/protocol/request_control.pb.h"

namespace marjoramhall::request {
namespace {

constexpr Duration kPlanInterval = std::chrono::milliseconds(20);
constexpr Duration kQueryInterval = std::chrono::milliseconds(300);
constexpr Duration kRenewGrant = std::chrono::seconds(2);

}  // namespace

SlotAllocator::SlotAllocator(const RequestPlaneOptions& options,
                             ServiceId service,
                             uint64_t epoch,
                             TimePoint now,
                             TimePoint lost_member_at)
    : options_(options),
      service_(service),
      epoch_(epoch),
      started_at_(now),
      frozen_until_(lost_member_at == TimePoint{}
                        ? TimePoint{}
                        : lost_member_at + options.slot_lease) {}

void SlotAllocator::SetTargets(const config::Service& service, TimePoint now) {
  std::vector<Target> targets;
  for (const config::Target& it : service.targets) {
    const auto old =
        std::find_if(targets_.begin(), targets_.end(),
                     [&](const Target& target) { return target.id == it.id; });
    Target target = old == targets_.end() ? Target{} : *old;
    if (old == targets_.end() && !first_view_) {
      target.appeared = now;
    }
    target.id = it.id;
    target.domain = it.domain;
    target.declared = it.slots;
    target.draining = it.state == config::TargetState::kDraining;
    targets.push_back(std::move(target));
  }
  for (auto& [id, vm] : vms_) {
    std::vector<uint32_t> assigned(targets.size());
    std::vector<uint32_t> charged(targets.size());
    vm.total_assigned = 0;
    for (size_t i = 0; i < targets.size(); ++i) {
      for (size_t j = 0; j < targets_.size(); ++j) {
        if (targets[i].id == targets_[j].id) {
          assigned[i] = vm.assigned[j];
          charged[i] = vm.charged[j];
          vm.total_assigned += assigned[i];
        }
      }
    }
    vm.assigned = std::move(assigned);
    vm.charged = std::move(charged);
    vm.changed = true;
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
    vm.charged.resize(targets_.size());
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
  shares_.SetMembers(std::move(members));
  dirty_ = true;
}

void SlotAllocator::Assign(Vm& vm, size_t target, int change) {
  vm.assigned[target] += static_cast<uint32_t>(change);
  vm.total_assigned += static_cast<uint32_t>(change);
  vm.changed = true;
  if (vm.charged[target] < vm.assigned[target]) {
    targets_[target].charged += vm.assigned[target] - vm.charged[target];
    vm.charged[target] = vm.assigned[target];
  }
}

void SlotAllocator::ReleaseAll(Vm& vm) {
  for (size_t i = 0; i < targets_.size(); ++i) {
    targets_[i].charged -= vm.charged[i];
    vm.charged[i] = 0;
    vm.assigned[i] = 0;
  }
  vm.total_assigned = 0;
  dirty_ = true;
}

bool SlotAllocator::IsOutdatedBy(VmId from,
                                 const protocol::SlotReport& report) const {
  const auto it = vms_.find(from);
  const uint64_t sequence = it == vms_.end() ? 0 : it->second.sequence;
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
    // A VM that this view does not list yet.
    vm.removed_at = now;
  }
  vm.assigned.resize(targets_.size());
  vm.charged.resize(targets_.size());
  if (incarnation < vm.incarnation ||
      (incarnation == vm.incarnation && report.sequence() <= vm.report)) {
    return;
  }
  if (incarnation > vm.incarnation) {
    // The process that held the old leases is gone.
    if (vm.incarnation != 0) {
      ReleaseAll(vm);
    }
    vm.incarnation = incarnation;
    vm.reported = false;
  }
  vm.report = report.sequence();
  vm.demand = report.demand() / 100.0;
  vm.waiting = report.waiting();
  vm.leaving |= report.leaving();
  vm.answer |= report.wants_grant();
  const bool current = report.epoch() == epoch_ &&
                       report.applied() == vm.sequence && !vm.changed;
  if (report.epoch() == epoch_) {
    vm.confirmed = std::max(vm.confirmed, report.applied());
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
    if (!vm.reported && vm.sequence == 0) {
      // An allocator that has just taken over leaves slots where they are.
      vm.total_assigned += held[i] - vm.assigned[i];
      vm.assigned[i] = held[i];
    }
    const uint32_t floor = current ? vm.assigned[i] : vm.charged[i];
    const uint32_t charged = std::max({held[i], floor, vm.assigned[i]});
    targets_[i].charged += charged - vm.charged[i];
    vm.charged[i] = charged;
  }
  if (!vm.reported) {
    vm.reported = true;
    vm.changed = true;
  }
  if (shares_.OnReport(from, report)) {
    for (auto& [id, it] : vms_) {
      it.answer |= it.reported;
    }
  }
  dirty_ = true;
}

bool SlotAllocator::Ready(TimePoint now) const {
  return now - started_at_ >= options_.slot_lease ||
         std::all_of(vms_.begin(), vms_.end(), [](const auto& it) {
           return it.second.reported || !it.second.member;
         });
}

protocol::SlotGrant SlotAllocator::MakeGrant(VmId id, Vm& vm) {
  if (vm.changed) {
    ++vm.sequence;
    vm.changed = false;
  }
  vm.answer = false;
  protocol::SlotGrant grant;
  grant.set_service(ToInteger(service_));
  grant.set_epoch(epoch_);
  grant.set_sequence(vm.sequence);
  grant.set_report(vm.report);
  for (size_t i = 0; i < targets_.size(); ++i) {
    if (vm.assigned[i] > 0) {
      auto* slots = grant.add_slots();
      slots->set_target(ToInteger(targets_[i].id));
      slots->set_slots(vm.assigned[i]);
    }
  }
  shares_.Fill(id, grant);
  return grant;
}

SlotAllocator::Actions SlotAllocator::Tick(TimePoint now) {
  Actions actions;
  if (!Ready(now)) {
    if (now - queried_at_ >= kQueryInterval) {
      queried_at_ = now;
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
  const bool warming =
      std::any_of(targets_.begin(), targets_.end(), [&](const Target& it) {
        return it.appeared != TimePoint{} &&
               now - it.appeared < options_.slow_start + kRenewGrant;
      });
  if ((dirty_ || warming || now < frozen_until_ + kRenewGrant) &&
      now - planned_at_ >= kPlanInterval) {
    planned_at_ = now;
    dirty_ = false;
    Plan(now);
  }
  for (auto& [id, vm] : vms_) {
    // A change that no report has confirmed is sent again: grants can be lost.
    const bool unconfirmed = vm.sequence != vm.confirmed;
    const Duration quiet = now - vm.sent_at;
    if (vm.member && vm.reported &&
        (((vm.changed || vm.answer) && quiet >= options_.report_interval) ||
         (unconfirmed && quiet >= kQueryInterval))) {
      vm.sent_at = now;
      actions.grants.emplace_back(id, MakeGrant(id, vm));
    }
  }
  return actions;
}

uint32_t SlotAllocator::Charged(TargetId target) const {
  for (const Target& it : targets_) {
    if (it.id == target) {
      return it.charged;
    }
  }
  return 0;
}

}  // namespace marjoramhall::request
