// A control view indexed for routing: services by address, targets by id, and
// for each bucket the members in order of rank.
#ifndef MARJORAMHALL_FLOW_FLOW_VIEW_H_
#define MARJORAMHALL_FLOW_FLOW_VIEW_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <vector>

#include "src/config/control_view.h"
#include "src/flow/flow_hash.h"

namespace marjoramhall::flow {

struct TargetView {
  TargetId id = TargetId::kNone;
  uint32_t service = 0;  // index into FlowView::services()
  uint32_t weight = 0;
  bool active = false;  // takes new flows
  Endpoint endpoint;
};

struct ServiceView {
  ServiceId id = ServiceId::kNone;
  FlowKey address;            // destination, destination port and protocol only
  uint32_t first_target = 0;  // index into FlowView::targets()
  uint32_t target_count = 0;
};

// Index into FlowView::members(). Only the first 255 members are ranked.
using MemberIndex = uint8_t;
inline constexpr size_t kMaxFlowMembers = 255;

// Immutable. The ranking of members for a bucket is the same for all services.
class FlowView {
 public:
  // `previous` may be null. Its ranking is shared when the members are the
  // same. Otherwise computes 4,096 hashes per member: about 2 ms for 32
  // members.
  FlowView(config::ControlViewPtr view, const FlowView* previous);

  Revision revision() const { return control_->deployment->revision; }
  const config::ControlView& control() const { return *control_; }
  uint64_t seed() const { return seed_; }
  MemberIndex self() const { return self_; }
  const std::vector<config::Member>& members() const {
    return control_->members;
  }
  // Hash of the members and of which of them are leaving. Equal on two VMs when
  // they rank the members alike.
  uint64_t members_hash() const { return members_hash_; }
  const std::vector<ServiceView>& services() const { return services_; }
  const std::vector<TargetView>& targets() const { return targets_; }
  std::span<const TargetView> TargetsOf(const ServiceView& service) const {
    return {targets_.data() + service.first_target, service.target_count};
  }

  // Returns the index of the service with the destination of `key`.
  std::optional<uint32_t> FindService(const FlowKey& key) const;
  // Returns null for a target that is not in the configuration.
  const TargetView* FindTarget(TargetId id) const;
  std::optional<uint32_t> FindServiceById(ServiceId id) const;
  std::optional<MemberIndex> FindMember(VmId id) const;

  // Returns the members for a bucket, highest rank first. The first is the
  // owner, the second its backup.
  std::span<const MemberIndex> RankedMembers(uint32_t bucket) const {
    return {ranks_->data() + bucket * ranked_member_count_,
            ranked_member_count_};
  }
  // Returns VmId::kNone when there are not that many members.
  VmId VmAtRank(uint32_t bucket, size_t rank) const {
    const auto ranks = RankedMembers(bucket);
    return rank < ranks.size() ? members()[ranks[rank]].id : VmId::kNone;
  }

 private:
  void IndexServices();
  void RankBuckets(const FlowView* previous);

  config::ControlViewPtr control_;
  uint64_t seed_ = 0;
  MemberIndex self_ = 0;
  uint64_t members_hash_ = 0;
  size_t ranked_member_count_ = 0;
  std::vector<ServiceView> services_;
  std::vector<TargetView> targets_;
  // Hash tables with open addressing over service addresses and target ids.
  // A slot holds index + 1, or 0 when it is free.
  std::vector<uint32_t> service_slots_;
  std::vector<uint32_t> target_slots_;
  std::shared_ptr<const std::vector<MemberIndex>> ranks_;
};

}  // namespace marjoramhall::flow

#endif  // MARJORAMHALL_FLOW_FLOW_VIEW_H_
