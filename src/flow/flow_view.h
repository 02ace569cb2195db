// A control view compiled for routing: services by address, targets by id, and
// for each bucket the members in rank order.
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
  uint32_t service = 0;  // index of its service
  uint32_t weight = 0;
  bool active = false;  // takes new flows
  Endpoint endpoint;
};

struct ServiceView {
  ServiceId id = ServiceId::kNone;
  FlowKey address;  // destination, destination port and protocol only
  uint32_t first_target = 0;
  uint32_t target_count = 0;
};

// Index into members(); at most 255 members route together.
using MemberIndex = uint8_t;
inline constexpr size_t kMaxFlowMembers = 255;

// Immutable. Buckets rank members alike for all services.
class FlowView {
 public:
  // `previous` may be null; its ranks are reused when the members are the same.
  // Cost without reuse: 4,096 * members hashes, about 2 ms for 32 members.
  FlowView(config::ControlViewPtr view, const FlowView* previous);

  Revision revision() const { return control_->deployment->revision; }
  const config::ControlView& control() const { return *control_; }
  uint64_t seed() const { return seed_; }
  MemberIndex self() const { return self_; }
  const std::vector<config::Member>& members() const {
    return control_->members;
  }
  // Equal on two VMs exactly when they rank members alike.
  uint64_t members_hash() const { return members_hash_; }
  const std::vector<ServiceView>& services() const { return services_; }
  const std::vector<TargetView>& targets() const { return targets_; }
  std::span<const TargetView> TargetsOf(const ServiceView& service) const {
    return {targets_.data() + service.first_target, service.target_count};
  }

  // Index of the service that a packet with this key is for.
  std::optional<uint32_t> FindService(const FlowKey& key) const;
  // Null for a target that the configuration does not have.
  const TargetView* FindTarget(TargetId id) const;
  std::optional<uint32_t> FindServiceById(ServiceId id) const;
  std::optional<MemberIndex> FindMember(VmId id) const;

  // Members in falling order of rank for a bucket.
  std::span<const MemberIndex> Ranks(uint32_t bucket) const {
    return {ranks_->data() + bucket * rank_width_, rank_width_};
  }
  VmId RankedVm(uint32_t bucket, size_t rank) const {
    const auto ranks = Ranks(bucket);
    return rank < ranks.size() ? members()[ranks[rank]].id : VmId::kNone;
  }

 private:
  void IndexServices();
  void RankBuckets(const FlowView* previous);

  config::ControlViewPtr control_;
  uint64_t seed_ = 0;
  MemberIndex self_ = 0;
  uint64_t members_hash_ = 0;
  size_t rank_width_ = 0;
  std::vector<ServiceView> services_;
  std::vector<TargetView> targets_;
  // Open addressing over service addresses and target ids: index + 1, or 0.
  std::vector<uint32_t> service_slots_;
  std::vector<uint32_t> target_slots_;
  std::shared_ptr<const std::vector<MemberIndex>> ranks_;
};

}  // namespace marjoramhall::flow

#endif  // MARJORAMHALL_FLOW_FLOW_VIEW_H_
