// Computes the effects of a change.
#include "src/control/plan.h"

#include <algorithm>
#include <utility>

#include "src/config/quarantine.h"

namespace marjoramhall::control {
namespace {

using config::Deployment;
using config::Service;
using config::Target;
using config::TargetState;

// Above this number, released addresses that no longer need the quarantine are
// dropped.
constexpr size_t kMaxReleasedAddresses = 1000;

bool TakesNewWork(const Target& target) {
  return target.state == TargetState::kActive && target.weight > 0;
}

const Service* FindService(const Deployment& deployment, ServiceId id) {
  for (const Service& it : deployment.services) {
    if (it.id == id) {
      return &it;
    }
  }
  return nullptr;
}

const Target* FindTarget(const Service* service, TargetId id) {
  if (service != nullptr) {
    for (const Target& it : service->targets) {
      if (it.id == id) {
        return &it;
      }
    }
  }
  return nullptr;
}

double FlowShare(const Service* service, TargetId id) {
  double total = 0;
  double weight = 0;
  if (service != nullptr) {
    for (const Target& it : service->targets) {
      if (TakesNewWork(it)) {
        total += it.weight;
        weight = it.id == id ? it.weight : weight;
      }
    }
  }
  return total > 0 ? weight / total : 0;
}

uint64_t ActiveSlots(const Service* service) {
  uint64_t slots = 0;
  if (service != nullptr) {
    for (const Target& it : service->targets) {
      slots += it.state == TargetState::kActive ? it.slots : 0;
    }
  }
  return slots;
}

class PlanBuilder {
 public:
  PlanBuilder(const Deployment& base,
              const std::optional<TargetLoads>& load,
              Plan& plan)
      : base_(base), load_(load), plan_(plan) {}

  void Run() {
    for (const Service& it : base_.services) {
      CompareService(&it, FindService(plan_.next, it.id));
    }
    for (const Service& it : plan_.next.services) {
      if (FindService(base_, it.id) == nullptr) {
        CompareService(nullptr, &it);
      }
    }
    WarnAboutDomains();
    if (!load_ || !load_->complete) {
      Warn(WarningKind::kCountsIncomplete, "",
           "flows and requests of some VMs are not counted");
    }
  }

 private:
  TargetLoad LoadOf(TargetId id) const {
    if (load_) {
      const auto it = load_->targets.find(id);
      if (it != load_->targets.end()) {
        return it->second;
      }
    }
    return {};
  }

  void Warn(WarningKind kind, const std::string& object, std::string text) {
    plan_.warnings.push_back({kind, object, std::move(text)});
  }

  void CompareService(const Service* before, const Service* after) {
    if (before != nullptr && after != nullptr && *before == *after) {
      return;
    }
    ServiceEffect effect;
    effect.service = before != nullptr ? before->name : after->name;
    effect.slots_before = ActiveSlots(before);
    effect.slots_after = ActiveSlots(after);
    if (before != nullptr) {
      for (const Target& it : before->targets) {
        CompareTarget(it, before, after, &effect);
      }
    }
    WarnAboutService(before, after, effect);
    plan_.services.push_back(effect);
  }

  void CompareTarget(const Target& target,
                     const Service* before,
                     const Service* after,
                     ServiceEffect* effect) {
    const TargetLoad load = LoadOf(target.id);
    effect->slots_in_use += load.requests;
    effect->moved_share += std::max(
        0.0, FlowShare(before, target.id) - FlowShare(after, target.id));
    const Target* next = FindTarget(after, target.id);
    if (next == nullptr) {
      CheckRemoval(target, load);
    } else if (target.state == TargetState::kActive &&
               next->state == TargetState::kDraining) {
      effect->flows += load.flows;
      effect->requests += load.requests;
    }
  }

  void CheckRemoval(const Target& target, const TargetLoad& load) {
    if (target.state != TargetState::kDraining) {
      plan_.refusals.push_back("target " + target.name +
                               " is active; drain it before its removal");
    }
    if (load.flows > 0 || load.requests > 0) {
      plan_.refusals.push_back("the removal of target " + target.name +
                               " would cut " + std::to_string(load.flows) +
                               " flows and " + std::to_string(load.requests) +
                               " requests; wait until they end");
    }
    if (!load_ || !load_->complete) {
      Warn(WarningKind::kCountsIncomplete, target.name,
           "target " + target.name +
               " may have flows at VMs that are not counted; its removal "
               "would cut them");
    }
  }

  void WarnAboutService(const Service* before,
                        const Service* after,
                        const ServiceEffect& effect) {
    if (before == nullptr || after == nullptr) {
      return;
    }
    const auto count = [](const Service* service, auto predicate) {
      return std::count_if(service->targets.begin(), service->targets.end(),
                           predicate);
    };
    if (count(before, TakesNewWork) > 0 && count(after, TakesNewWork) == 0) {
      Warn(WarningKind::kLastTarget, after->name,
           "service " + after->name + " would have no active target left");
    }
    const auto is_draining = [](const Target& it) {
      return it.state == TargetState::kDraining;
    };
    const auto draining = count(after, is_draining);
    if (draining > 1 && draining > count(before, is_draining)) {
      Warn(WarningKind::kSeveralDrains, after->name,
           std::to_string(draining) + " targets of service " + after->name +
               " would drain at once");
    }
    if (effect.slots_after < effect.slots_before &&
        effect.slots_after < effect.slots_in_use) {
      Warn(WarningKind::kCapacity, after->name,
           "service " + after->name + " uses " +
               std::to_string(effect.slots_in_use) +
               " slots now and would have " +
               std::to_string(effect.slots_after));
    }
  }

  // Counts, for each failure domain, the targets in `base` and those that are
  // draining before the change, and draining or removed after it.
  void WarnAboutDomains() {
    struct Count {
      size_t total = 0;
      size_t unavailable_before = 0;
      size_t unavailable_after = 0;
    };
    std::map<std::string, Count> counts;
    for (const Service& service : base_.services) {
      const Service* after = FindService(plan_.next, service.id);
      for (const Target& it : service.targets) {
        Count& count = counts[it.domain];
        const Target* next = FindTarget(after, it.id);
        ++count.total;
        count.unavailable_before += it.state == TargetState::kDraining ? 1 : 0;
        count.unavailable_after +=
            next == nullptr || next->state == TargetState::kDraining ? 1 : 0;
      }
    }
    for (const auto& [domain, it] : counts) {
      if (it.unavailable_after > it.unavailable_before &&
          it.unavailable_after * 3 > it.total) {
        Warn(WarningKind::kThirdOfDomain, domain,
             std::to_string(it.unavailable_after) + " of " +
                 std::to_string(it.total) + " targets of failure domain " +
                 domain + " would take no new work");
      }
    }
  }

  const Deployment& base_;
  const std::optional<TargetLoads>& load_;
  Plan& plan_;
};

void ListOperations(std::span<const config::Operation> operations, Plan* plan) {
  using enum config::OperationKind;
  for (const config::Operation& it : operations) {
    switch (it.kind) {
      case kAddService:
      case kAddTarget:
      case kAddDomain:
        plan->additions.push_back(config::DescribeOperation(it));
        break;
      case kRemoveService:
      case kRemoveTarget:
      case kRemoveDomain:
        plan->removals.push_back(config::DescribeOperation(it));
        break;
      default:
        plan->changes.push_back(config::DescribeOperation(it));
        break;
    }
  }
}

}  // namespace

std::string PlanWarning::Code() const {
  return std::string(NameOf(kind)) + (object.empty() ? "" : " " + object);
}

bool PlanWarning::IsStructural() const {
  return kind == WarningKind::kLastTarget ||
         kind == WarningKind::kSeveralDrains ||
         kind == WarningKind::kThirdOfDomain;
}

Plan MakePlan(const Deployment& base,
              std::span<const config::Operation> operations,
              const config::ChangeInfo& info,
              const std::optional<TargetLoads>& load,
              std::span<const config::KnownMember> members) {
  Plan plan;
  ListOperations(operations, &plan);
  config::ChangeResult result = config::ApplyChange(base, operations, info);
  plan.next = std::move(result.deployment);
  plan.refusals = std::move(result.errors);
  for (std::string& it : config::CheckQuarantine(base, plan.next, members)) {
    plan.refusals.push_back(std::move(it));
  }
  PlanBuilder(base, load, plan).Run();
  config::PruneReleased(members, kMaxReleasedAddresses, &plan.next);
  return plan;
}

}  // namespace marjoramhall::control
