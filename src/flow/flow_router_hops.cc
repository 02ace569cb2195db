// Packets from other VMs: decisions of the owner, copies for the backup and
// searches for flows that the owner has no entry of.
#include "src/config/rendezvous.h"
#include "src/flow/flow_router.h"

namespace marjoramhall::flow {
namespace {

using protocol::HopHeader;
using protocol::HopKind;

// Limit of hops between VMs that disagree on the owner. After it, the VM that
// has the packet acts as owner.
constexpr uint8_t kMaxRelays = 5;
// A packet that returns to its origin after more than 2 s is delivered, but
// gets no entry: the flow may have ended in the meantime.
constexpr Tick kMaxReturnAgeTicks = 20;

bool ClosesFlow(const PacketInfo& info) {
  return info.tcp_fin || info.tcp_rst;
}

}  // namespace

Route FlowRouter::HandleHopPacket(Packet& packet) {
  switch (packet.hop.kind) {
    case HopKind::kFirstPacket:
      return OnFirstPacket(packet);
    case HopKind::kQueryOwner:
      return OnQueryOwner(packet);
    case HopKind::kRecordFlow:
      return OnRecordFlow(packet);
    case HopKind::kCorrectTarget:
      return OnCorrectTarget(packet);
    case HopKind::kDeliver:
      return OnDeliver(packet);
    case HopKind::kSearch:
      return OnSearch(packet);
    case HopKind::kSearchFailed:
      return OnSearchFailed(packet);
    case HopKind::kFragment:
      break;
  }
  return OnFragment(packet);
}

Route FlowRouter::OnFirstPacket(Packet& packet) {
  HopHeader& hop = packet.hop;
  const MemberIndex owner = ActingOwner(packet.bucket, packet.now);
  if (owner != view_->self() && hop.hops < kMaxRelays) {
    if (view_->revision() >= hop.revision) {
      hop.revision = view_->revision();
      hop.target = PlacementTarget(packet);
    }
    return RouteToPeer(packet, owner, HopKind::kFirstPacket, 0, hop.target);
  }
  const FlowEntry* entry = FindValidEntry(packet);
  if (entry && (entry->flags & kEntryClosing) == 0) {
    hop.revision = view_->revision();
    return RecordAndForward(packet, entry->target, 0);
  }
  std::string_view reason = "newer-revision";
  TargetId target = hop.target;
  if (target == TargetId::kNone || hop.revision <= view_->revision()) {
    target = ChooseTarget(packet, reason);
    hop.revision = view_->revision();
  }
  if (target == TargetId::kNone) {
    return Drop(FlowCounter::kDropNoTarget);
  }
  ReportDecision(packet, target, reason);
  return RecordAndForward(packet, target, protocol::kHopNewFlow);
}

Route FlowRouter::OnQueryOwner(Packet& packet) {
  HopHeader& hop = packet.hop;
  const bool origin_has_entry = (hop.flags & protocol::kHopOriginHasEntry) != 0;
  const MemberIndex owner = ActingOwner(packet.bucket, packet.now);
  if (owner != view_->self() && hop.hops < kMaxRelays) {
    return RouteToPeer(packet, owner, HopKind::kQueryOwner, hop.flags,
                       hop.target);
  }
  const uint8_t end_flag = ClosesFlow(packet.info) ? protocol::kHopFlowEnd : 0;
  const uint8_t flags = protocol::kHopReturnToOrigin | end_flag;
  if (FlowEntry* entry = FindValidEntry(packet)) {
    if (packet.info.icmp_error) {
      return RouteToTarget(packet, entry->target);
    }
    entry->last_seen = packet.tick;
    if (origin_has_entry || packet.half_open || end_flag != 0) {
      return RecordAndForward(packet, entry->target, flags);
    }
    return DeliverDecision(packet, entry->target, flags);
  }
  if (origin_has_entry) {
    const TargetView* target = view_->FindTarget(hop.target);
    const bool valid = target ? target->service == packet.service
                              : hop.revision > view_->revision();
    if (valid) {
      return RecordAndForward(packet, hop.target, flags);
    }
    hop.target = TargetId::kNone;
  }
  const bool managed = IsManaged(packet.service, packet.bucket, packet.tick);
  if (packet.info.icmp_error && managed) {
    return Drop(FlowCounter::kDropUnknownFlow);
  }
  if (managed) {
    return StartSearch(packet);
  }
  const TargetId target = PlacementTarget(packet);
  if (target == TargetId::kNone) {
    return Drop(FlowCounter::kDropNoTarget);
  }
  if (packet.info.icmp_error) {
    return RouteToTarget(packet, target);
  }
  if (!packet.info.IsTcp()) {
    ReportDecision(packet, target, "placement");
  }
  return RecordAndForward(packet, target, flags);
}

Route FlowRouter::RecordAndForward(Packet& packet,
                                   TargetId target,
                                   uint8_t flags) {
  const bool new_flow = (flags & protocol::kHopNewFlow) != 0;
  UpsertEntry(packet, target, packet.info.tcp_syn,
              kEntryOwnerOrBackup |
                  ((flags & protocol::kHopFlowEnd) != 0 ? kEntryClosing : 0));
  flags = static_cast<uint8_t>(flags & ~protocol::kHopToOwner);
  if (!new_flow) {
    packet.hop.revision = view_->revision();
  }
  if (const auto backup = ActingBackup(packet.bucket, packet.now)) {
    return RouteToPeer(packet, *backup, HopKind::kRecordFlow, flags, target);
  }
  return DeliverDecision(packet, target, flags);
}

Route FlowRouter::RecordAtOwner(Packet& packet,
                                TargetId target,
                                uint8_t flags) {
  const MemberIndex owner = ActingOwner(packet.bucket, packet.now);
  if (owner == view_->self()) {
    return RecordAndForward(packet, target, flags);
  }
  packet.hop.revision = view_->revision();
  return RouteToPeer(packet, owner, HopKind::kRecordFlow,
                     static_cast<uint8_t>(flags | protocol::kHopToOwner),
                     target);
}

Route FlowRouter::DeliverDecision(Packet& packet,
                                  TargetId target,
                                  uint8_t flags) {
  const bool for_origin = (flags & protocol::kHopReturnToOrigin) != 0;
  const bool known = view_->FindTarget(target) != nullptr;
  const VmId origin = packet.hop.origin;
  const auto index = view_->FindMember(origin);
  if (origin != self_ && index && (for_origin || !known)) {
    return RouteToPeer(packet, *index, HopKind::kDeliver,
                       for_origin ? 0 : protocol::kHopDoNotCache, target);
  }
  if (!known && packet.hop.sender != VmId::kNone &&
      packet.hop.sender != self_) {
    // The target is of a newer revision. The sender chose it and knows its
    // address.
    if (const auto sender = view_->FindMember(packet.hop.sender)) {
      return RouteToPeer(packet, *sender, HopKind::kDeliver,
                         protocol::kHopDoNotCache, target);
    }
  }
  return RouteToTarget(packet, target);
}

TargetId FlowRouter::CorrectedTarget(const Packet& packet,
                                     const FlowEntry* entry) {
  const HopHeader& hop = packet.hop;
  const bool new_flow = (hop.flags & protocol::kHopNewFlow) != 0;
  const TargetView* decided = view_->FindTarget(hop.target);
  const TargetView* own_target = entry && (entry->flags & kEntryClosing) == 0
                                     ? view_->FindTarget(entry->target)
                                     : nullptr;
  const bool own_accepts = own_target && own_target->active;
  // The owner decided under an older configuration, in which the target was
  // active.
  const bool outdated =
      view_->revision() > hop.revision && !(decided && decided->active);
  if (!packet.info.tcp_syn || (!outdated && !(new_flow && own_accepts))) {
    return hop.target;
  }
  // A first packet reaches a target only through the backup. If the backup has
  // an entry, its target has already received the first packet.
  if (own_accepts) {
    return own_target->id;
  }
  std::string_view reason;
  const TargetId target =
      new_flow ? ChooseTarget(packet, reason) : TargetId::kNone;
  return target == TargetId::kNone ? hop.target : target;
}

Route FlowRouter::OnRecordFlow(Packet& packet) {
  HopHeader& hop = packet.hop;
  ++counters_[FlowCounter::kFlowsRecorded];
  const FlowEntry* entry = FindValidEntry(packet);
  if ((hop.flags & protocol::kHopToOwner) != 0) {
    // An entry of the owner takes precedence over the sender's target.
    return RecordAndForward(packet, entry ? entry->target : hop.target,
                            hop.flags);
  }
  const TargetId target = CorrectedTarget(packet, entry);
  if (target != hop.target) {
    ++counters_[FlowCounter::kDecisionsCorrected];
    UpsertEntry(packet, target, true, kEntryOwnerOrBackup);
    hop.revision = view_->revision();
    if (const auto sender = view_->FindMember(hop.sender)) {
      return RouteToPeer(packet, *sender, HopKind::kCorrectTarget, hop.flags,
                         target);
    }
  }
  UpsertEntry(
      packet, hop.target, packet.info.tcp_syn,
      kEntryOwnerOrBackup |
          ((hop.flags & protocol::kHopFlowEnd) != 0 ? kEntryClosing : 0));
  return DeliverDecision(packet, hop.target, hop.flags);
}

Route FlowRouter::OnCorrectTarget(Packet& packet) {
  UpsertEntry(packet, packet.hop.target, true, kEntryOwnerOrBackup);
  const auto sender = view_->FindMember(packet.hop.sender);
  return RouteToPeer(packet, *sender, HopKind::kDeliver,
                     protocol::kHopDoNotCache, packet.hop.target);
}

Route FlowRouter::OnDeliver(Packet& packet) {
  const HopHeader& hop = packet.hop;
  if ((hop.flags & protocol::kHopDoNotCache) == 0 && hop.origin == self_ &&
      packet.tick - hop.origin_tick <= kMaxReturnAgeTicks) {
    UpsertEntry(packet, hop.target, false,
                ClosesFlow(packet.info) ? kEntryClosing : 0);
  }
  return RouteToTarget(packet, hop.target);
}

Route FlowRouter::StartSearch(Packet& packet) {
  const bool alone = view_->members().size() == 1;
  if (!alone && !search_budget_.TryTake(1, packet.now)) {
    return Drop(FlowCounter::kDropSearchBudget);
  }
  ++counters_[FlowCounter::kSearches];
  const TargetId previous =
      Buckets(packet.service)
          .UniquePreviousTarget(packet.bucket, packet.tick,
                                recent_change_ticks_);
  if (previous != TargetId::kNone) {
    packet.hop.target = previous;
  }
  packet.hop.flags = 0;
  packet.hop.kind = HopKind::kQueryOwner;
  return ContinueSearch(packet);
}

// A search visits the members in falling order of score: first the available
// ones, then the others. Each VM continues below its own score, so that VMs
// with different views neither loop nor visit a VM twice.
Route FlowRouter::ContinueSearch(Packet& packet) {
  const auto& members = view_->members();
  const auto score = [&](VmId id) {
    return config::RendezvousScore(config::RendezvousSpace::kFlowBucket,
                                   packet.bucket, id);
  };
  bool visit_unavailable =
      (packet.hop.flags & protocol::kHopSearchSuspects) != 0;
  bool below_own_score = packet.hop.kind == HopKind::kSearch;
  const uint64_t own_score = score(self_);
  for (;; visit_unavailable = true, below_own_score = false) {
    std::optional<MemberIndex> next;
    uint64_t best = 0;
    for (size_t i = 0; i < members.size() && i < kMaxFlowMembers; ++i) {
      const auto index = static_cast<MemberIndex>(i);
      const uint64_t s = score(members[i].id);
      if (index == view_->self() || (below_own_score && s >= own_score) ||
          IsAvailable(index, packet.now) == visit_unavailable ||
          (next && s <= best)) {
        continue;
      }
      next = index;
      best = s;
    }
    if (next) {
      return RouteToPeer(packet, *next, HopKind::kSearch,
                         visit_unavailable ? protocol::kHopSearchSuspects : 0,
                         packet.hop.target);
    }
    if (visit_unavailable) {
      break;
    }
  }
  const MemberIndex owner = ActingOwner(packet.bucket, packet.now);
  if (owner == view_->self()) {
    return OnSearchFailed(packet);
  }
  return RouteToPeer(packet, owner, HopKind::kSearchFailed, 0,
                     packet.hop.target);
}

Route FlowRouter::OnSearch(Packet& packet) {
  if (FlowEntry* entry = FindValidEntry(packet)) {
    ++counters_[FlowCounter::kSearchHits];
    entry->last_seen = packet.tick;
    const uint8_t end_flag =
        ClosesFlow(packet.info) ? protocol::kHopFlowEnd : 0;
    return RecordAtOwner(packet, entry->target,
                         protocol::kHopReturnToOrigin | end_flag);
  }
  if (packet.hop.target == TargetId::kNone) {
    packet.hop.target = Buckets(packet.service)
                            .UniquePreviousTarget(packet.bucket, packet.tick,
                                                  recent_change_ticks_);
  }
  return ContinueSearch(packet);
}

Route FlowRouter::OnSearchFailed(Packet& packet) {
  const uint8_t flags = protocol::kHopReturnToOrigin;
  if (const FlowEntry* entry = FindValidEntry(packet)) {
    return RecordAndForward(packet, entry->target, flags);
  }
  ++counters_[FlowCounter::kSearchMisses];
  std::string_view reason = "past-target";
  TargetId target = packet.hop.target;
  const TargetView* previous = view_->FindTarget(target);
  if (!packet.info.IsTcp()) {
    target = ChooseTarget(packet, reason);
  } else if (!previous || previous->service != packet.service) {
    reason = "placement-after-walk";
    target = PlacementTarget(packet);
  }
  if (target == TargetId::kNone) {
    return Drop(FlowCounter::kDropNoTarget);
  }
  ReportDecision(packet, target, reason);
  return RecordAndForward(packet, target, flags);
}

}  // namespace marjoramhall::flow
