// Planning of slot moves: computes quotas from demand, assigns free slots to
// the VM with the highest deficit and revokes slots from VMs above their quota.
#include <algorithm>

#include "src/request/slot_allocator.h"

namespace marjoramhall::request {
namespace {

// A VM keeps slots up to this many above its quota, so that small changes of
// demand move no slot.
constexpr double kToleratedSurplusSlots = 0.75;
// Deficit from which slots are revoked from other VMs.
constexpr double kMinDeficitSlots = 0.75;
// Counts as this many slots of deficit, so that a VM gets slots in its own
// failure domain when deficits are similar.
constexpr double kSameDomainBonusSlots = 0.5;
// Counts as this many held slots, so that slots in other failure domains are
// revoked first.
constexpr double kOtherDomainBonusSlots = 0.5;

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
  const double elapsed_ratio =
      static_cast<double>(age.count()) /
      static_cast<double>(options_.slow_start_time.count());
  return std::min(
      target.declared_slots,
      1 + static_cast<uint32_t>(elapsed_ratio * target.declared_slots));
}

void SlotAllocator::ComputeQuotas(uint32_t slots) {
  double demand = 0;
  double receivers = 0;
  for (auto& [id, vm] : vms_) {
    vm.quota_slots = 0;
    if (vm.member && vm.reported && !vm.leaving) {
      demand += vm.demand_slots;
      receivers += 1;
    }
  }
  for (auto& [id, vm] : vms_) {
    if (!vm.member || !vm.reported || vm.leaving) {
      continue;
    }
    // Spare slots are divided evenly, since the next request can arrive at any
    // VM.
    vm.quota_slots = demand <= slots
                         ? vm.demand_slots + (slots - demand) / receivers
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
      Vm* donor = nullptr;
      for (auto& [id, vm] : vms_) {
        if (vm.assigned[i] > 0 &&
            (donor == nullptr || vm.Deficit() < donor->Deficit())) {
          donor = &vm;
        }
      }
      ChangeAssignment(*donor, i, -1);
      --assigned;
    }
  }
}

void SlotAllocator::AssignFreeSlots(TimePoint now) {
  if (now < assign_none_before_) {
    return;
  }
  // One slot per target and round, which spreads a VM's slots over many
  // targets.
  for (bool assigned_any = true; assigned_any;) {
    assigned_any = false;
    for (size_t i = 0; i < targets_.size(); ++i) {
      if (targets_[i].outstanding >= EffectiveSlots(targets_[i], now)) {
        continue;
      }
      Vm* best = nullptr;
      double best_deficit = 0;
      for (auto& [id, vm] : vms_) {
        if (!vm.member || !vm.reported || vm.leaving) {
          continue;
        }
        const double deficit =
            vm.Deficit() +
            (vm.domain == targets_[i].domain ? kSameDomainBonusSlots : 0.0) -
            kSameDomainBonusSlots * vm.assigned[i];
        if (best == nullptr || deficit > best_deficit) {
          best = &vm;
          best_deficit = deficit;
        }
      }
      if (best != nullptr) {
        ChangeAssignment(*best, i, 1);
        assigned_any = true;
      }
    }
  }
}

void SlotAllocator::RevokeForOtherVms() {
  double missing = 0;
  uint32_t returning = 0;
  for (const auto& [id, vm] : vms_) {
    if (vm.Deficit() >= kMinDeficitSlots && vm.waiting_requests > 0) {
      missing += vm.Deficit();
      // Without waiting requests, a deficit of one more slot is tolerated.
    } else if (vm.Deficit() >= 1 + kMinDeficitSlots) {
      missing += vm.Deficit() - 1;
    }
    for (size_t i = 0; i < targets_.size(); ++i) {
      returning += vm.outstanding[i] - vm.assigned[i];
    }
  }
  for (double wanted = missing - returning; wanted >= kMinDeficitSlots;
       wanted -= 1) {
    Vm* donor = nullptr;
    for (auto& [id, vm] : vms_) {
      if (vm.total_assigned > 0 &&
          (donor == nullptr || vm.Deficit() < donor->Deficit())) {
        donor = &vm;
      }
    }
    if (donor == nullptr || donor->Deficit() > -kToleratedSurplusSlots) {
      return;
    }
    size_t best = targets_.size();
    double best_score = -1;
    for (size_t i = 0; i < targets_.size(); ++i) {
      const double score =
          donor->assigned[i] +
          (targets_[i].domain == donor->domain ? 0 : kOtherDomainBonusSlots);
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
