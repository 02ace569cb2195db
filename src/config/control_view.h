// The control plane's output to the flow and request planes: the accepted
// configuration and the members. A view is immutable; each change is published
// as a new view.
#ifndef MARJORAMHALL_CONFIG_CONTROL_VIEW_H_
#define MARJORAMHALL_CONFIG_CONTROL_VIEW_H_

#include <functional>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "src/base/endpoint.h"
#include "src/base/enum_names.h"
#include "src/base/ids.h"
#include "src/config/deployment.h"

namespace marjoramhall::config {

enum class MemberState {
  kAlive,
  // Did not answer recently. Remains a member and keeps its ownership.
  kSuspect,
  // Planned leave: takes no new ownership and finishes its current work.
  kLeaving,
};
inline constexpr EnumName<MemberState> kMemberStateNames[] = {
    {MemberState::kAlive, "alive"},
    {MemberState::kSuspect, "suspect"},
    {MemberState::kLeaving, "leaving"},
};
constexpr std::span<const EnumName<MemberState>> NamesOf(MemberState) {
  return kMemberStateNames;
}

struct Member {
  VmId id = VmId::kNone;
  std::string name;
  std::string domain;
  Incarnation incarnation = 0;
  MemberState state = MemberState::kAlive;
  Endpoint control_endpoint;  // ZeroMQ, TCP
  Endpoint hop_endpoint;      // packets forwarded between VMs, UDP
  Endpoint request_endpoint;  // callers' requests, HTTP/2
  Revision revision = 0;      // newest revision that it is known to hold

  bool operator==(const Member&) const = default;
};

struct ControlView {
  // Rises with every view that this VM publishes.
  uint64_t number = 0;
  VmId self = VmId::kNone;
  // Never null; revision 0 means that no configuration is known yet.
  DeploymentPtr deployment;
  // Sorted by id; contains this VM itself. Removed VMs are not listed.
  std::vector<Member> members;
};

using ControlViewPtr = std::shared_ptr<const ControlView>;

// Called with each new view on the control thread.
using ViewHook = std::function<void(ControlViewPtr)>;

// Returns the id of a VM: the 64-bit XXH3 hash of its name, never kNone.
VmId VmIdOf(const std::string& name);

}  // namespace marjoramhall::config

#endif  // MARJORAMHALL_CONFIG_CONTROL_VIEW_H_
