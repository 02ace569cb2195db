// Builds the lookup tables and the member ranking of a FlowView.
#include "src/flow/flow_view.h"

#include <xxhash.h>

#include <algorithm>
#include <bit>
#include <cstring>
#include <utility>

#include "src/config/rendezvous.h"

namespace marjoramhall::flow {
namespace {

// The multipliers are 2^64 divided by the golden ratio, and one from the
// finalizer of MurmurHash3.
size_t AddressHash(const FlowKey& key) {
  uint64_t words[2];
  std::memcpy(words, key.destination.bytes.data(), sizeof(words));
  uint64_t hash = words[0] * 0x9e3779b97f4a7c15ULL ^ words[1];
  hash ^= (uint64_t{key.destination_port} << 8) |
          static_cast<uint64_t>(key.protocol);
  hash *= 0xff51afd7ed558ccdULL;
  return static_cast<size_t>(hash ^ (hash >> 32));
}

size_t TargetIdHash(TargetId id) {
  return static_cast<size_t>((ToInteger(id) * 0x9e3779b97f4a7c15ULL) >> 32);
}

bool SameAddress(const FlowKey& a, const FlowKey& b) {
  return a.destination_port == b.destination_port && a.protocol == b.protocol &&
         a.destination == b.destination;
}

size_t SlotCountFor(size_t n) {
  return std::bit_ceil(n * 2 + 1);
}

}  // namespace

FlowView::FlowView(config::ControlViewPtr view, const FlowView* previous)
    : control_(std::move(view)),
      seed_(FlowSeed(control_->deployment->lineage)) {
  const auto& list = members();
  std::vector<uint64_t> identity;
  for (size_t i = 0; i < list.size(); ++i) {
    if (list[i].id == control_->self) {
      self_ = static_cast<MemberIndex>(i);
    }
    identity.push_back(ToInteger(list[i].id));
    identity.push_back(list[i].state == config::MemberState::kLeaving ? 1 : 0);
  }
  members_hash_ =
      XXH3_64bits(identity.data(), identity.size() * sizeof(uint64_t));
  IndexServices();
  RankBuckets(previous);
}

void FlowView::IndexServices() {
  for (const config::Service& it : control_->deployment->services) {
    ServiceView service;
    service.id = it.id;
    service.address.destination = it.flow_address.address;
    service.address.destination_port = it.flow_address.port;
    service.address.protocol = it.flow_protocol;
    service.first_target = static_cast<uint32_t>(targets_.size());
    service.target_count = static_cast<uint32_t>(it.targets.size());
    for (const config::Target& target : it.targets) {
      targets_.push_back(
          {target.id, static_cast<uint32_t>(services_.size()), target.weight,
           target.state == config::TargetState::kActive, target.flow_endpoint});
    }
    services_.push_back(service);
  }
  service_slots_.assign(SlotCountFor(services_.size()), 0);
  for (uint32_t i = 0; i < services_.size(); ++i) {
    size_t slot = AddressHash(services_[i].address);
    while (service_slots_[slot & (service_slots_.size() - 1)] != 0) {
      ++slot;
    }
    service_slots_[slot & (service_slots_.size() - 1)] = i + 1;
  }
  target_slots_.assign(SlotCountFor(targets_.size()), 0);
  for (uint32_t i = 0; i < targets_.size(); ++i) {
    size_t slot = TargetIdHash(targets_[i].id);
    while (target_slots_[slot & (target_slots_.size() - 1)] != 0) {
      ++slot;
    }
    target_slots_[slot & (target_slots_.size() - 1)] = i + 1;
  }
}

void FlowView::RankBuckets(const FlowView* previous) {
  ranked_member_count_ = std::min(members().size(), kMaxFlowMembers);
  if (previous && previous->members_hash_ == members_hash_ &&
      previous->members().size() == members().size()) {
    ranks_ = previous->ranks_;
    return;
  }
  const auto& list = members();
  const size_t n = ranked_member_count_;
  auto ranks = std::make_shared<std::vector<MemberIndex>>();
  ranks->reserve(kBucketCount * n);
  std::vector<std::pair<uint64_t, MemberIndex>> scores(n);
  for (uint32_t b = 0; b < kBucketCount; ++b) {
    for (size_t i = 0; i < n; ++i) {
      scores[i] = {config::RendezvousScore(config::RendezvousSpace::kFlowBucket,
                                           b, list[i].id),
                   static_cast<MemberIndex>(i)};
    }
    std::sort(scores.begin(), scores.end(), [&](auto& a, auto& c) {
      const bool a_leaves =
          list[a.second].state == config::MemberState::kLeaving;
      const bool c_leaves =
          list[c.second].state == config::MemberState::kLeaving;
      if (a_leaves != c_leaves) {
        return c_leaves;
      }
      return a.first != c.first ? a.first > c.first : a.second < c.second;
    });
    for (const auto& it : scores) {
      ranks->push_back(it.second);
    }
  }
  ranks_ = std::move(ranks);
}

std::optional<uint32_t> FlowView::FindService(const FlowKey& key) const {
  const size_t mask = service_slots_.size() - 1;
  for (size_t slot = AddressHash(key);; ++slot) {
    const uint32_t index = service_slots_[slot & mask];
    if (index == 0) {
      return std::nullopt;
    }
    if (SameAddress(services_[index - 1].address, key)) {
      return index - 1;
    }
  }
}

const TargetView* FlowView::FindTarget(TargetId id) const {
  const size_t mask = target_slots_.size() - 1;
  for (size_t slot = TargetIdHash(id);; ++slot) {
    const uint32_t index = target_slots_[slot & mask];
    if (index == 0) {
      return nullptr;
    }
    if (targets_[index - 1].id == id) {
      return &targets_[index - 1];
    }
  }
}

std::optional<uint32_t> FlowView::FindServiceById(ServiceId id) const {
  for (uint32_t i = 0; i < services_.size(); ++i) {
    if (services_[i].id == id) {
      return i;
    }
  }
  return std::nullopt;
}

std::optional<MemberIndex> FlowView::FindMember(VmId id) const {
  const auto& list = members();
  const auto it = std::lower_bound(
      list.begin(), list.end(), id,
      [](const config::Member& member, VmId key) { return member.id < key; });
  if (it == list.end() || it->id != id) {
    return std::nullopt;
  }
  return static_cast<MemberIndex>(it - list.begin());
}

}  // namespace marjoramhall::flow
