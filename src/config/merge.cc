// Computes fingerprints of objects and detects conflicts.
#include "src/config/merge.h"

#include <xxhash.h>

#include <algorithm>
#include <string_view>

#include "src/config/deployment_fields.h"

namespace marjoramhall::config {
namespace {

constexpr std::string_view kTargetPrefix = "target ";
constexpr std::string_view kServicePrefix = "service ";
constexpr std::string_view kServiceTargetsPrefix = "targets of service ";
constexpr std::string_view kDomainPrefix = "failure domain ";

uint64_t Fingerprint(const Json& json) {
  const std::string text =
      json.dump(-1, ' ', false, Json::error_handler_t::replace);
  const uint64_t hash = XXH3_64bits(text.data(), text.size());
  return hash == 0 ? 1 : hash;
}

const Service* FindService(const Deployment& deployment,
                           std::string_view name) {
  for (const Service& it : deployment.services) {
    if (it.name == name) {
      return &it;
    }
  }
  return nullptr;
}

uint64_t ServiceFingerprint(const Deployment& deployment,
                            std::string_view name,
                            bool with_targets) {
  const Service* found = FindService(deployment, name);
  if (found == nullptr) {
    return 0;
  }
  if (with_targets) {
    return Fingerprint(ServiceToJson(*found));
  }
  Service service = *found;
  service.targets.clear();
  return Fingerprint(ServiceToJson(service));
}

uint64_t TargetFingerprint(const Deployment& deployment,
                           std::string_view name) {
  for (const Service& service : deployment.services) {
    for (const Target& it : service.targets) {
      if (it.name == name) {
        return Fingerprint(TargetToJson(it));
      }
    }
  }
  return 0;
}

uint64_t DomainFingerprint(const Deployment& deployment,
                           std::string_view name) {
  for (const FailureDomain& it : deployment.domains) {
    if (it.name == name) {
      return Fingerprint(DomainToJson(it));
    }
  }
  return 0;
}

uint64_t FingerprintOf(const Deployment& deployment, std::string_view object) {
  if (object.starts_with(kTargetPrefix)) {
    return TargetFingerprint(deployment, object.substr(kTargetPrefix.size()));
  }
  if (object.starts_with(kServiceTargetsPrefix)) {
    return ServiceFingerprint(
        deployment, object.substr(kServiceTargetsPrefix.size()), true);
  }
  if (object.starts_with(kServicePrefix)) {
    return ServiceFingerprint(deployment, object.substr(kServicePrefix.size()),
                              false);
  }
  return DomainFingerprint(deployment, object.substr(kDomainPrefix.size()));
}

std::string ObjectName(std::string_view type, const std::string& name) {
  return std::string(type) + name;
}

std::vector<std::string> ObjectsWrittenBy(const Operation& it) {
  switch (it.kind) {
    case OperationKind::kAddService: {
      std::vector<std::string> objects = {ObjectName(kServicePrefix, it.name)};
      for (const Target& target : it.new_service.targets) {
        objects.push_back(ObjectName(kTargetPrefix, target.name));
      }
      return objects;
    }
    case OperationKind::kChangeService:
      return {ObjectName(kServicePrefix, it.name)};
    case OperationKind::kRemoveService:
      return {ObjectName(kServiceTargetsPrefix, it.name)};
    case OperationKind::kAddTarget:
    case OperationKind::kChangeTarget:
    case OperationKind::kRemoveTarget:
    case OperationKind::kDrainTarget:
    case OperationKind::kUndrainTarget:
    case OperationKind::kSetWeight:
      return {ObjectName(kTargetPrefix, it.name)};
    case OperationKind::kAddDomain:
    case OperationKind::kChangeDomain:
    case OperationKind::kRemoveDomain:
      return {ObjectName(kDomainPrefix, it.name)};
  }
  return {};
}

}  // namespace

std::vector<ObjectFingerprint> FingerprintObjects(
    const Deployment& base,
    std::span<const Operation> operations) {
  std::vector<std::string> objects;
  for (const Operation& it : operations) {
    for (std::string& object : ObjectsWrittenBy(it)) {
      objects.push_back(std::move(object));
    }
  }
  std::sort(objects.begin(), objects.end());
  objects.erase(std::unique(objects.begin(), objects.end()), objects.end());
  std::vector<ObjectFingerprint> fingerprints;
  fingerprints.reserve(objects.size());
  for (const std::string& it : objects) {
    fingerprints.push_back({it, FingerprintOf(base, it)});
  }
  return fingerprints;
}

std::vector<std::string> FindConflicts(
    const Deployment& current,
    std::span<const ObjectFingerprint> fingerprints) {
  std::vector<std::string> conflicts;
  for (const ObjectFingerprint& it : fingerprints) {
    if (FingerprintOf(current, it.object) != it.fingerprint) {
      conflicts.push_back(it.object);
    }
  }
  return conflicts;
}

bool HistoryCovers(const Deployment& current, Revision revision) {
  return current.history.size() < kHistoryLimit ||
         current.history.front().revision <= revision + 1;
}

}  // namespace marjoramhall::config
