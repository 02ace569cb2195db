// Packets from peers: decisions of the owner, records of the backup, walks.
#include "src/config/rendezvous.h"
#include "src/flow/flow_router.h"

namespace marjoramhall::flow {
namespace {

using protocol::HopHeader;
using protocol::HopKind;

// A packet may be passed on this often between VMs that disagree on the owner;
// then whoever holds it decides.
constexpr uint8_t kMaxRelays = 5;
// An answer older than this is delivered but not kept: the flow may have ended
// since the packet set out.
constexpr Tick kMaxAnswerAge = 20;

bool Ends(const PacketInfo& info) {
  return info.tcp_fin || info.tcp_rst;
}

}  // namespace

Route FlowRouter::Dispatch(Packet& packet) {
  switch (packet.hop.kind) {
    case HopKind::kFirstPacket:
      return OnFirst(packet);
    case HopKind::kQueryOwner:
      return OnAsk(packet);
    case HopKind::kRecordFlow:
      return OnRecord(packet);
    case HopKind::kCorrectTarget:
      return OnCorrect(packet);
    case HopKind::kDeliver:
      return OnDeliver(packet);
    case HopKind::kSearch:
      return OnWalk(packet);
    case HopKind::kSearchFailed:
      return OnWalkEnd(packet);
    case HopKind::kFragment:
      break;
  }
  return OnFragment(packet);
}

Route FlowRouter::OnFirst(Packet& packet) {
  HopHeader& hop = packet.hop;
  const MemberIndex owner = ActingOwner(packet.bucket, packet.now);
  if (owner != view_->self() && hop.hops < kMaxRelays) {
    if (view_->revision() >= hop.revision) {
      hop.revision = view_->revision();
      hop.target = PlacementTarget(packet);
    }
    return ToPeer(packet, owner, HopKind::kFirstPacket, 0, hop.target);
  }
  const FlowEntry* entry = FindValid(packet);
  if (entry && (entry->flags & kEntryClosing) == 0) {
    hop.revision = view_->revision();
    return RecordAndPass(packet, entry->target, 0);
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
  Decide(packet, target, reason);
  return RecordAndPass(packet, target, protocol::kHopNewFlow);
}

Route FlowRouter::OnAsk(Packet& packet) {
  HopHeader& hop = packet.hop;
  const bool claim = (hop.flags & protocol::kHopOriginHasEntry) != 0;
  const MemberIndex owner = ActingOwner(packet.bucket, packet.now);
  if (owner != view_->self() && hop.hops < kMaxRelays) {
    return ToPeer(packet, owner, HopKind::kQueryOwner, hop.flags, hop.target);
  }
  const uint8_t close = Ends(packet.info) ? protocol::kHopFlowEnd : 0;
  const uint8_t flags = protocol::kHopReturnToOrigin | close;
  if (FlowEntry* entry = FindValid(packet)) {
    if (packet.info.icmp_error) {
      return ToTarget(packet, entry->target);
    }
    entry->seen = packet.tick;
    if (claim || packet.half_open || close != 0) {
      return RecordAndPass(packet, entry->target, flags);
    }
    return Answer(packet, entry->target, flags);
  }
  if (claim) {
    const TargetView* target = view_->FindTarget(hop.target);
    const bool valid = target ? target->service == packet.service
                              : hop.revision > view_->revision();
    if (valid) {
      return RecordAndPass(packet, hop.target, flags);
    }
    hop.target = TargetId::kNone;
  }
  const bool managed = IsManaged(packet.service, packet.bucket, packet.tick);
  if (packet.info.icmp_error && managed) {
    return Drop(FlowCounter::kDropUnknownFlow);
  }
  if (managed) {
    return StartWalk(packet);
  }
  const TargetId target = PlacementTarget(packet);
  if (target == TargetId::kNone) {
    return Drop(FlowCounter::kDropNoTarget);
  }
  if (packet.info.icmp_error) {
    return ToTarget(packet, target);
  }
  if (!packet.info.IsTcp()) {
    Decide(packet, target, "placement");
  }
  return RecordAndPass(packet, target, flags);
}

Route FlowRouter::RecordAndPass(Packet& packet,
                                TargetId target,
                                uint8_t flags) {
  const bool fresh = (flags & protocol::kHopNewFlow) != 0;
  Keep(packet, target, packet.info.tcp_syn,
       kEntryHolder |
           ((flags & protocol::kHopFlowEnd) != 0 ? kEntryClosing : 0));
  flags = static_cast<uint8_t>(flags & ~protocol::kHopToOwner);
  if (!fresh) {
    packet.hop.revision = view_->revision();
  }
  if (const auto backup = Backup(packet.bucket, packet.now)) {
    return ToPeer(packet, *backup, HopKind::kRecordFlow, flags, target);
  }
  return Answer(packet, target, flags);
}

Route FlowRouter::RecordAtOwner(Packet& packet,
                                TargetId target,
                                uint8_t flags) {
  const MemberIndex owner = ActingOwner(packet.bucket, packet.now);
  if (owner == view_->self()) {
    return RecordAndPass(packet, target, flags);
  }
  packet.hop.revision = view_->revision();
  return ToPeer(packet, owner, HopKind::kRecordFlow,
                static_cast<uint8_t>(flags | protocol::kHopToOwner), target);
}

Route FlowRouter::Answer(Packet& packet, TargetId target, uint8_t flags) {
  const bool for_origin = (flags & protocol::kHopReturnToOrigin) != 0;
  const bool known = view_->FindTarget(target) != nullptr;
  const VmId origin = packet.hop.origin;
  const auto index = view_->FindMember(origin);
  if (origin != self_ && index && (for_origin || !known)) {
    return ToPeer(packet, *index, HopKind::kDeliver,
                  for_origin ? 0 : protocol::kHopDoNotCache, target);
  }
  if (!known && packet.hop.sender != VmId::kNone &&
      packet.hop.sender != self_) {
    // This VM lags behind the one that decided, which knows the address.
    if (const auto sender = view_->FindMember(packet.hop.sender)) {
      return ToPeer(packet, *sender, HopKind::kDeliver,
                    protocol::kHopDoNotCache, target);
    }
  }
  return ToTarget(packet, target);
}

// What the backup makes of the owner's decision about a first packet. `entry`
// is the backup's own entry of the flow or null.
TargetId FlowRouter::CorrectedTarget(const Packet& packet,
                                     const FlowEntry* entry) {
  const HopHeader& hop = packet.hop;
  const bool fresh = (hop.flags & protocol::kHopNewFlow) != 0;
  const TargetView* decided = view_->FindTarget(hop.target);
  const TargetView* own = entry && (entry->flags & kEntryClosing) == 0
                              ? view_->FindTarget(entry->target)
                              : nullptr;
  const bool own_accepts = own && own->active;
  // The owner decided under an old configuration.
  const bool outdated =
      view_->revision() > hop.revision && !(decided && decided->active);
  if (!packet.info.tcp_syn || (!outdated && !(fresh && own_accepts))) {
    return hop.target;
  }
  // A first packet reaches a target only through the backup, so an entry of the
  // backup means that its target knows the flow already.
  if (own_accepts) {
    return own->id;
  }
  std::string_view reason;
  const TargetId target =
      fresh ? ChooseTarget(packet, reason) : TargetId::kNone;
  return target == TargetId::kNone ? hop.target : target;
}

Route FlowRouter::OnRecord(Packet& packet) {
  HopHeader& hop = packet.hop;
  ++counters_[FlowCounter::kRecorded];
  const FlowEntry* entry = FindValid(packet);
  if ((hop.flags & protocol::kHopToOwner) != 0) {
    // What the owner has recorded already stands.
    return RecordAndPass(packet, entry ? entry->target : hop.target, hop.flags);
  }
  const TargetId target = CorrectedTarget(packet, entry);
  if (target != hop.target) {
    ++counters_[FlowCounter::kCorrected];
    Keep(packet, target, true, kEntryHolder);
    hop.revision = view_->revision();
    if (const auto sender = view_->FindMember(hop.sender)) {
      return ToPeer(packet, *sender, HopKind::kCorrectTarget, hop.flags,
                    target);
    }
  }
  Keep(packet, hop.target, packet.info.tcp_syn,
       kEntryHolder |
           ((hop.flags & protocol::kHopFlowEnd) != 0 ? kEntryClosing : 0));
  return Answer(packet, hop.target, hop.flags);
}

Route FlowRouter::OnCorrect(Packet& packet) {
  Keep(packet, packet.hop.target, true, kEntryHolder);
  const auto sender = view_->FindMember(packet.hop.sender);
  return ToPeer(packet, *sender, HopKind::kDeliver, protocol::kHopDoNotCache,
                packet.hop.target);
}

Route FlowRouter::OnDeliver(Packet& packet) {
  const HopHeader& hop = packet.hop;
  if ((hop.flags & protocol::kHopDoNotCache) == 0 && hop.origin == self_ &&
      packet.tick - hop.origin_tick <= kMaxAnswerAge) {
    Keep(packet, hop.target, false, Ends(packet.info) ? kEntryClosing : 0);
  }
  return ToTarget(packet, hop.target);
}

Route FlowRouter::StartWalk(Packet& packet) {
  const bool alone = view_->members().size() == 1;
  if (!alone && !walk_budget_.TryTake(1, packet.now)) {
    return Drop(FlowCounter::kDropWalkBudget);
  }
  ++counters_[FlowCounter::kWalks];
  const TargetId past =
      Buckets(packet.service)
          .SinglePast(packet.bucket, packet.tick, settle_ticks_);
  if (past != TargetId::kNone) {
    packet.hop.target = past;
  }
  packet.hop.flags = 0;
  packet.hop.kind = HopKind::kQueryOwner;
  return ContinueWalk(packet);
}

// The walk goes over the members in falling order of score, first those that
// answer, then the rest. A VM knows its place from its own score, so that VMs
// with different views neither loop nor repeat.
Route FlowRouter::ContinueWalk(Packet& packet) {
  const auto& members = view_->members();
  const auto score = [&](VmId id) {
    return config::RendezvousScore(config::RendezvousSpace::kFlowBucket,
                                   packet.bucket, id);
  };
  bool suspects = (packet.hop.flags & protocol::kHopSearchSuspects) != 0;
  bool bounded = packet.hop.kind == HopKind::kSearch;
  const uint64_t own = score(self_);
  for (;; suspects = true, bounded = false) {
    std::optional<MemberIndex> next;
    uint64_t best = 0;
    for (size_t i = 0; i < members.size() && i < kMaxFlowMembers; ++i) {
      const auto index = static_cast<MemberIndex>(i);
      const uint64_t s = score(members[i].id);
      if (index == view_->self() || (bounded && s >= own) ||
          IsUsable(index, packet.now) == suspects || (next && s <= best)) {
        continue;
      }
      next = index;
      best = s;
    }
    if (next) {
      return ToPeer(packet, *next, HopKind::kSearch,
                    suspects ? protocol::kHopSearchSuspects : 0,
                    packet.hop.target);
    }
    if (suspects) {
      break;
    }
  }
  const MemberIndex owner = ActingOwner(packet.bucket, packet.now);
  if (owner == view_->self()) {
    return OnWalkEnd(packet);
  }
  return ToPeer(packet, owner, HopKind::kSearchFailed, 0, packet.hop.target);
}

Route FlowRouter::OnWalk(Packet& packet) {
  if (FlowEntry* entry = FindValid(packet)) {
    ++counters_[FlowCounter::kWalkFound];
    entry->seen = packet.tick;
    const uint8_t close = Ends(packet.info) ? protocol::kHopFlowEnd : 0;
    return RecordAtOwner(packet, entry->target,
                         protocol::kHopReturnToOrigin | close);
  }
  if (packet.hop.target == TargetId::kNone) {
    packet.hop.target =
        Buckets(packet.service)
            .SinglePast(packet.bucket, packet.tick, settle_ticks_);
  }
  return ContinueWalk(packet);
}

Route FlowRouter::OnWalkEnd(Packet& packet) {
  const uint8_t flags = protocol::kHopReturnToOrigin;
  if (const FlowEntry* entry = FindValid(packet)) {
    return RecordAndPass(packet, entry->target, flags);
  }
  ++counters_[FlowCounter::kWalkLost];
  std::string_view reason = "past-target";
  TargetId target = packet.hop.target;
  const TargetView* past = view_->FindTarget(target);
  if (!packet.info.IsTcp()) {
    target = ChooseTarget(packet, reason);
  } else if (!past || past->service != packet.service) {
    reason = "placement-after-walk";
    target = PlacementTarget(packet);
  }
  if (target == TargetId::kNone) {
    return Drop(FlowCounter::kDropNoTarget);
  }
  Decide(packet, target, reason);
  return RecordAndPass(packet, target, flags);
}

}  // namespace marjoramhall::flow
