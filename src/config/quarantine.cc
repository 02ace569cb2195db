// Updates and checks of released addresses.
#include "src/config/quarantine.h"

#include <algorithm>
#include <map>

namespace marjoramhall::config {
namespace {

using AddressOwners = std::map<Endpoint, ServiceId>;

AddressOwners AddressOwnersOf(const Deployment& deployment) {
  AddressOwners owners;
  for (const Service& service : deployment.services) {
    owners.insert({service.flow_address, service.id});
    for (const Target& it : service.targets) {
      owners.insert({it.flow_endpoint, service.id});
      owners.insert({it.request_endpoint, service.id});
    }
  }
  return owners;
}

std::string MembersBehind(std::span<const KnownMember> members,
                          Revision revision) {
  std::string names;
  for (const KnownMember& it : members) {
    if (it.revision < revision) {
      names += (names.empty() ? "" : ", ") + it.name + " (holds " +
               std::to_string(it.revision) + ")";
    }
  }
  return names;
}

}  // namespace

void UpdateReleased(const Deployment& base, Deployment* next) {
  const AddressOwners before = AddressOwnersOf(base);
  const AddressOwners after = AddressOwnersOf(*next);
  std::erase_if(next->released, [&](const ReleasedAddress& it) {
    return after.contains(it.endpoint);
  });
  for (const auto& [endpoint, service] : before) {
    if (!after.contains(endpoint)) {
      next->released.push_back({endpoint, service, next->revision});
    }
  }
}

std::vector<std::string> CheckQuarantine(const Deployment& base,
                                         const Deployment& next,
                                         std::span<const KnownMember> members) {
  std::vector<std::string> reasons;
  const AddressOwners before = AddressOwnersOf(base);
  std::map<Endpoint, const ReleasedAddress*> released;
  for (const ReleasedAddress& it : base.released) {
    released[it.endpoint] = &it;
  }
  for (const auto& [endpoint, service] : AddressOwnersOf(next)) {
    const auto used = before.find(endpoint);
    if (used != before.end()) {
      if (used->second != service) {
        reasons.push_back("address " + endpoint.ToString() +
                          " belongs to another service; release it in a "
                          "change of its own first");
      }
      continue;
    }
    const auto it = released.find(endpoint);
    if (it == released.end() || it->second->service == service) {
      continue;
    }
    const Revision needed = it->second->released_in;
    const std::string behind = MembersBehind(members, needed);
    if (!behind.empty()) {
      reasons.push_back("address " + endpoint.ToString() +
                        " was released by another service in revision " +
                        std::to_string(needed) +
                        ", which these VMs do not hold yet: " + behind);
    }
  }
  return reasons;
}

void PruneReleased(std::span<const KnownMember> members,
                   size_t limit,
                   Deployment* next) {
  Revision held = next->revision;
  for (const KnownMember& it : members) {
    held = std::min(held, it.revision);
  }
  size_t excess =
      next->released.size() > limit ? next->released.size() - limit : 0;
  std::erase_if(next->released, [&](const ReleasedAddress& it) {
    if (excess == 0 || it.released_in > held) {
      return false;
    }
    --excess;
    return true;
  });
}

}  // namespace marjoramhall::config
