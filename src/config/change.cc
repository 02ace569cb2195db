// Applies operations to a deployment.
#include "src/config/change.h"

#include <algorithm>

#include "src/config/deployment_fields.h"
#include "src/config/json_reader.h"
#include "src/config/quarantine.h"
#include "src/config/validation.h"

namespace marjoramhall::config {
namespace {

constexpr size_t kMaxSummaryBytes = 240;

template <typename T>
T* FindByName(std::vector<T>& list, const std::string& name) {
  const auto it = std::find_if(list.begin(), list.end(), [&](const T& item) {
    return item.name == name;
  });
  return it == list.end() ? nullptr : &*it;
}

class OperationApplier {
 public:
  explicit OperationApplier(const Deployment& base) {
    result_.deployment = base;
  }

  void Apply(const Operation& it) {
    switch (it.kind) {
      case OperationKind::kAddService:
        AddService(it.new_service);
        break;
      case OperationKind::kAddTarget:
        AddTarget(it);
        break;
      case OperationKind::kAddDomain:
        next().domains.push_back(it.new_domain);
        break;
      case OperationKind::kChangeService:
        Change(it, FindService(it.name), ReadServiceSettings);
        break;
      case OperationKind::kChangeTarget:
        Change(it, FindTarget(it.name), ReadTargetSettings);
        break;
      case OperationKind::kChangeDomain:
        Change(it, FindDomain(it.name), ReadDomainSettings);
        break;
      case OperationKind::kRemoveService:
        Remove(next().services, FindService(it.name));
        break;
      case OperationKind::kRemoveTarget:
        RemoveTarget(it.name);
        break;
      case OperationKind::kRemoveDomain:
        Remove(next().domains, FindDomain(it.name));
        break;
      case OperationKind::kDrainTarget:
        SetState(it.name, TargetState::kDraining);
        break;
      case OperationKind::kUndrainTarget:
        SetState(it.name, TargetState::kActive);
        break;
      case OperationKind::kSetWeight:
        if (Target* target = FindTarget(it.name)) {
          target->weight = it.weight;
        }
        break;
    }
  }

  Deployment& next() { return result_.deployment; }
  ChangeResult& result() { return result_; }
  // Prefix of the error messages of the next operation.
  std::string context;

 private:
  void Report(const std::string& problem) {
    result_.errors.push_back(context + ": " + problem);
  }

  Service* FindService(const std::string& name) {
    Service* service = FindByName(next().services, name);
    if (service == nullptr) {
      Report("service \"" + name + "\" does not exist");
    }
    return service;
  }

  FailureDomain* FindDomain(const std::string& name) {
    FailureDomain* domain = FindByName(next().domains, name);
    if (domain == nullptr) {
      Report("failure domain \"" + name + "\" does not exist");
    }
    return domain;
  }

  Target* FindTarget(const std::string& name) {
    for (Service& it : next().services) {
      if (Target* target = FindByName(it.targets, name)) {
        return target;
      }
    }
    Report("target \"" + name + "\" does not exist");
    return nullptr;
  }

  // New ids are the largest, so appending keeps the lists sorted.
  void AddService(Service service) {
    service.id = static_cast<ServiceId>(next().next_service_id++);
    for (Target& it : service.targets) {
      it.id = static_cast<TargetId>(next().next_target_id++);
    }
    next().services.push_back(std::move(service));
  }

  void AddTarget(const Operation& it) {
    if (Service* service = FindService(it.service)) {
      service->targets.push_back(it.new_target);
      service->targets.back().id =
          static_cast<TargetId>(next().next_target_id++);
    }
  }

  template <typename T, typename ReadItem>
  void Change(const Operation& it, T* object, ReadItem read) {
    if (object == nullptr) {
      return;
    }
    JsonErrors errors;
    if (const auto json = ParseStrict(it.set, &errors)) {
      JsonObjectReader reader(*json, "set", &errors);
      read(reader, object);
      reader.Finish();
    }
    if (!errors.empty()) {
      Report(errors.Text());
    }
  }

  template <typename T>
  void Remove(std::vector<T>& list, const T* object) {
    if (object != nullptr) {
      list.erase(list.begin() + (object - list.data()));
    }
  }

  void RemoveTarget(const std::string& name) {
    for (Service& it : next().services) {
      if (const Target* target = FindByName(it.targets, name)) {
        Remove(it.targets, target);
        return;
      }
    }
    Report("target \"" + name + "\" does not exist");
  }

  void SetState(const std::string& name, TargetState state) {
    if (Target* target = FindTarget(name)) {
      target->state = state;
    }
  }

  ChangeResult result_;
};

std::string SummarizeOperations(std::span<const Operation> operations) {
  std::string text;
  for (const Operation& it : operations) {
    text += (text.empty() ? "" : "; ") + DescribeOperation(it);
    if (text.size() > kMaxSummaryBytes) {
      return text.substr(0, kMaxSummaryBytes) + "... (" +
             std::to_string(operations.size()) + " operations)";
    }
  }
  return text;
}

void AppendHistory(Deployment& next,
                   const ChangeInfo& info,
                   std::string summary) {
  next.history.push_back({info.change_id, info.author, info.reason,
                          info.accepted_at, next.revision, std::move(summary)});
  if (next.history.size() > kHistoryLimit) {
    next.history.erase(next.history.begin(),
                       next.history.end() - kHistoryLimit);
  }
}

void AddValidationErrors(ChangeResult& result) {
  for (std::string& it : ValidateDeployment(result.deployment)) {
    result.errors.push_back(std::move(it));
  }
}

}  // namespace

std::string DescribeOperation(const Operation& it) {
  switch (it.kind) {
    case OperationKind::kAddService:
      return "add service " + it.name;
    case OperationKind::kChangeService:
      return "change service " + it.name + ": " + it.set;
    case OperationKind::kRemoveService:
      return "remove service " + it.name;
    case OperationKind::kAddTarget:
      return "add target " + it.name + " to service " + it.service;
    case OperationKind::kChangeTarget:
      return "change target " + it.name + ": " + it.set;
    case OperationKind::kRemoveTarget:
      return "remove target " + it.name;
    case OperationKind::kDrainTarget:
      return "drain target " + it.name;
    case OperationKind::kUndrainTarget:
      return "undrain target " + it.name;
    case OperationKind::kSetWeight:
      return "set weight of target " + it.name + " to " +
             std::to_string(it.weight);
    case OperationKind::kAddDomain:
      return "add failure domain " + it.name;
    case OperationKind::kChangeDomain:
      return "change failure domain " + it.name + ": " + it.set;
    case OperationKind::kRemoveDomain:
      return "remove failure domain " + it.name;
  }
  return "unknown operation";
}

ChangeResult ApplyChange(const Deployment& base,
                         std::span<const Operation> operations,
                         const ChangeInfo& info) {
  OperationApplier applier(base);
  for (size_t i = 0; i < operations.size(); ++i) {
    applier.context = "operations[" + std::to_string(i) + "]";
    applier.Apply(operations[i]);
  }
  Deployment& next = applier.next();
  if (applier.result().errors.empty() && next.services == base.services &&
      next.domains == base.domains) {
    applier.result().errors.push_back("the change has no effect");
  }
  next.revision = base.revision + 1;
  UpdateReleased(base, &next);
  AppendHistory(next, info, SummarizeOperations(operations));
  AddValidationErrors(applier.result());
  return std::move(applier.result());
}

ChangeResult MakeInitialDeployment(Deployment written,
                                   const std::string& lineage,
                                   const ChangeInfo& info) {
  ChangeResult result;
  Deployment& next = result.deployment;
  next = std::move(written);
  next.lineage = lineage;
  next.revision = 1;
  next.history.clear();
  next.released.clear();
  // Ids in the file, if any, are from another lineage.
  next.next_service_id = 1;
  next.next_target_id = 1;
  for (Service& service : next.services) {
    service.id = static_cast<ServiceId>(next.next_service_id++);
    if (service.targets.empty()) {
      result.errors.push_back("service " + service.name +
                              ": expected at least one target");
    }
    for (Target& it : service.targets) {
      it.id = static_cast<TargetId>(next.next_target_id++);
    }
  }
  AppendHistory(next, info, "create the deployment");
  AddValidationErrors(result);
  return result;
}

}  // namespace marjoramhall::config
