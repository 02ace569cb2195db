// Planning of slot moves: quotas by demand, free slots to the neediest VM,
// slots back from VMs that hold more than their quota.
#include <algorithm>

#include "src/request/slot_allocator.h"

namespace marjoramhall::request {
namespace {

// A VM keeps slots up to this much above its quota, so that small changes of
// demand move nothing.
constexpr double kSurplusSlots = 0.75;
// Need of a VM from which slots are taken from others for it.
constexpr double kDeficitSlots = 0.75;
// A VM prefers targets in its failure domain when needs are alike.
constexpr double kSameDomainBonus = 0.5;

}  // namespace

uint32_t SlotAllocator::EffectiveSlots(const Target& target,
                                       TimePoint now) const {
  if (target.draining) {
    return 0;
  }
  const Duration age = now - target.added_at;
  if (target.added_at == TimePoint{} || age >= options_.slow_start_time) {
    return target.declared_slots;
  }
  const double part = static_cast<double>(age.count()) /
                      static_cast<double>(options_.slow_start_time.count());
  return std::min(target.declared_slots,
                  1 + static_cast<uint32_t>(part * target.declared_slots));
}

void SlotAllocator::ComputeQuotas(uint32_t slots) {
  double demand = 0;
  double takers = 0;
  for (auto& [id, vm] : vms_) {
    vm.quota_slots = 0;
    if (vm.member && vm.reported && !vm.leaving) {
      demand += vm.demand_slots;
      takers += 1;
    }
  }
  for (auto& [id, vm] : vms_) {
    if (!vm.member || !vm.reported || vm.leaving) {
      continue;
    }
    // A spare slot goes where work arrives next, which is any VM.
    vm.quota_slots = demand <= slots
                         ? vm.demand_slots + (slots - demand) / takers
                         : slots * vm.demand_slots / demand;
  }
}

void SlotAllocator::RevokeExcessSlots(TimePoint now) {
  for (size_t i = 0; i < targets_.size(); ++i) {
    const uint32_t limit = EffectiveSlots(targets_[i], now);
    uint32_t assigned = 0;
    for (const auto& [id, vm] : vms_) {
      assigned += vm.assigned[i];
    }
    while (assigned > limit) {
      Vm* most = nullptr;
      for (auto& [id, vm] : vms_) {
        if (vm.assigned[i] > 0 &&
            (most == nullptr || vm.Deficit() < most->Deficit())) {
          most = &vm;
        }
      }
      ChangeAssignment(*most, i, -1);
      --assigned;
    }
  }
}

void SlotAllocator::AssignFreeSlots(TimePoint now) {
  if (now < assign_none_before_) {
    return;
  }
  // One slot of each target in turn, so that a VM's slots lie at many targets.
  for (bool given = true; given;) {
    given = false;
    for (size_t i = 0; i < targets_.size(); ++i) {
      if (targets_[i].outstanding >= EffectiveSlots(targets_[i], now)) {
        continue;
      }
      Vm* best = nullptr;
      double best_need = 0;
      for (auto& [id, vm] : vms_) {
        if (!vm.member || !vm.reported || vm.leaving) {
          continue;
        }
        const double need =
            vm.Deficit() +
            (vm.domain == targets_[i].domain ? kSameDomainBonus : 0.0) -
            kSameDomainBonus * vm.assigned[i];
        if (best == nullptr || need > best_need) {
          best = &vm;
          best_need = need;
        }
      }
      if (best != nullptr) {
        ChangeAssignment(*best, i, 1);
        given = true;
      }
    }
  }
}

void SlotAllocator::RevokeForOtherVms() {
  double need = 0;
  uint32_t returning = 0;
  for (const auto& [id, vm] : vms_) {
    if (vm.Deficit() >= kDeficitSlots && vm.waiting_requests > 0) {
      need += vm.Deficit();
    } else if (vm.Deficit() >= 1 + kDeficitSlots) {
      need += vm.Deficit() - 1;
    }
    for (size_t i = 0; i < targets_.size(); ++i) {
      returning += vm.outstanding[i] - vm.assigned[i];
    }
  }
  for (double wanted = need - returning; wanted >= kDeficitSlots; wanted -= 1) {
    Vm* donor = nullptr;
    for (auto& [id, vm] : vms_) {
      if (vm.total_assigned > 0 &&
          (donor == nullptr || vm.Deficit() < donor->Deficit())) {
        donor = &vm;
      }
    }
    if (donor == nullptr || donor->Deficit() > -kSurplusSlots) {
      return;
    }
    size_t best = targets_.size();
    double best_score = -1;
    for (size_t i = 0; i < targets_.size(); ++i) {
      const double score =
          donor->assigned[i] + (targets_[i].domain == donor->domain ? 0 : 0.5);
      if (donor->assigned[i] > 0 && score > best_score) {
        best = i;
        best_score = score;
      }
    }
    ChangeAssignment(*donor, best, -1);
  }
}

void SlotAllocator::PlanMoves(TimePoint now) {
  uint32_t slots = 0;
  for (const Target& it : targets_) {
    slots += EffectiveSlots(it, now);
  }
  ComputeQuotas(slots);
  for (auto& [id, vm] : vms_) {
    for (size_t i = 0; vm.leaving && i < targets_.size(); ++i) {
      while (vm.assigned[i] > 0) {
        ChangeAssignment(vm, i, -1);
      }
    }
  }
  RevokeExcessSlots(now);
  AssignFreeSlots(now);
  RevokeForOtherVms();
}

}  // namespace marjoramhall::request
