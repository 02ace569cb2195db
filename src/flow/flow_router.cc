// Entry of packets and events into the flow plane core.
#include "src/flow/flow_router.h"

#include <algorithm>
#include <utility>

namespace marjoramhall::flow {
namespace {

using protocol::HopKind;

// The half-open section is this part of the established one.
constexpr size_t kHalfOpenShare = 8;
// Ticks come every 10 ms; a gap of this length is a pause.
constexpr Duration kPauseThreshold = std::chrono::milliseconds(300);
constexpr Duration kControlInterval = std::chrono::milliseconds(50);
constexpr Duration kManagedInterval = std::chrono::milliseconds(500);
// An entry that was put to the owner and got no answer is put again after 1 s.
constexpr Tick kAskAgain = 10;

}  // namespace

FlowRouter::FlowRouter(const FlowOptions& options,
                       VmId self,
                       Incarnation incarnation,
                       SendToPeer send,
                       DecisionHook decide,
                       uint64_t seed)
    : options_(options),
      self_(self),
      decide_(std::move(decide)),
      seed_(seed),
      hop_key_(protocol::DeriveHopKey(options.shared_key)),
      idle_ticks_(ToTicks(options.idle_timeout)),
      settle_ticks_(ToTicks(options.idle_timeout + 2 * kLeaseWait)),
      confirm_ticks_(ToTicks(options.confirm_interval)),
      table_(options.max_table_entries),
      half_open_(options.max_table_entries / kHalfOpenShare),
      peers_(options,
             self,
             incarnation,
             std::move(send),
             counters_,
             [this](const FlowHash& hash, TargetId target, TimePoint now) {
               OnException(hash, target, now);
             }),
      walk_budget_(options.walks_per_second, options.walks_per_second / 10),
      ownership_(kBucketCount) {}

void FlowRouter::OnView(config::ControlViewPtr view, TimePoint now) {
  const auto& deployment = *view->deployment;
  if (view_ && view_->control().deployment->lineage == deployment.lineage &&
      view_->revision() > deployment.revision) {
    return;
  }
  const Tick tick = ToTick(now);
  const std::shared_ptr<const FlowView> previous = std::move(view_);
  view_ = std::make_shared<FlowView>(std::move(view), previous.get());
  bool moved = false;
  buckets_.clear();
  for (const config::Service& it : view_->control().deployment->services) {
    auto& buckets = services_[it.id];
    if (!buckets) {
      buckets = std::make_unique<ServiceBuckets>();
    }
    moved |= buckets->Update(it, tick, settle_ticks_);
    buckets_.push_back(buckets.get());
  }
  std::erase_if(services_, [&](const auto& it) {
    return std::find(buckets_.begin(), buckets_.end(), it.second.get()) ==
           buckets_.end();
  });
  peers_.OnView(view_, now);
  UpdateOwnership(previous.get(), tick);
  const bool recount =
      moved || !previous || previous->members_hash() != view_->members_hash() ||
      previous->control().deployment != view_->control().deployment;
  if (recount) {
    Recount();
  }
  UpdateManagedSet(tick);
}

bool FlowRouter::Identify(Packet& packet) {
  const auto service = view_->FindService(packet.info.key);
  if (!service) {
    return false;
  }
  packet.service = *service;
  packet.hash = HashFlow(packet.info.key, view_->seed());
  packet.bucket = packet.hash.Bucket();
  return true;
}

// A VM that did not run for a while has missed answers of its peers; that does
// not mean that they are out of reach, and it must not take over from them.
void FlowRouter::NoticePause(TimePoint now) {
  if (now - last_tick_ > kPauseThreshold) {
    peers_.OnResume();
    last_tick_ = now;
  }
}

bool FlowRouter::Prepare(Packet& packet, Route& dropped) {
  ++counters_[FlowCounter::kPackets];
  NoticePause(packet.now);
  packet.tick = ToTick(packet.now);
  if (!view_) {
    dropped = Drop(FlowCounter::kDropNoConfiguration);
    return false;
  }
  const ParseError error = ParsePacket(packet.bytes, packet.info);
  if (error != ParseError::kNone) {
    ++counters_.parse_errors[static_cast<size_t>(error)];
    dropped = Route{};
    return false;
  }
  return true;
}

bool FlowRouter::Admit(Packet& packet, Route& route) {
  if (!Prepare(packet, route)) {
    return false;
  }
  packet.hop.origin = self_;
  packet.hop.origin_tick = packet.tick;
  if (packet.info.fragment) {
    route = OnFragment(packet);
    return false;
  }
  if (!Identify(packet)) {
    route = Drop(FlowCounter::kDropNoService);
    return false;
  }
  return true;
}

Route FlowRouter::OnFabricPacket(std::span<const uint8_t> bytes,
                                 TimePoint now) {
  Packet packet;
  packet.bytes = bytes;
  packet.now = now;
  Route route;
  return Admit(packet, route) ? RouteEntry(packet) : route;
}

void FlowRouter::OnFabricBatch(
    std::span<const std::span<const uint8_t>> packets,
    TimePoint now,
    std::vector<Route>& routes) {
  const size_t first = routes.size();
  routes.resize(first + packets.size());
  batch_.clear();
  batch_.resize(packets.size());
  for (size_t i = 0; i < packets.size(); ++i) {
    batch_[i].bytes = packets[i];
    batch_[i].now = now;
    if (Admit(batch_[i], routes[first + i])) {
      table_.Prefetch(batch_[i].hash);
    } else {
      batch_[i].bytes = {};
    }
  }
  for (size_t i = 0; i < packets.size(); ++i) {
    if (!batch_[i].bytes.empty()) {
      routes[first + i] = RouteEntry(batch_[i]);
    }
  }
}

Route FlowRouter::OnHopDatagram(std::span<const uint8_t> datagram,
                                std::span<const uint8_t>& bytes,
                                TimePoint now) {
  Packet packet;
  const protocol::HopError error =
      protocol::DecodeHopHeader(datagram, hop_key_, packet.hop);
  if (error != protocol::HopError::kNone) {
    ++counters_.hop_errors[static_cast<size_t>(error)];
    return Route{};
  }
  bytes = datagram.subspan(protocol::kHopHeaderSize);
  packet.bytes = bytes;
  packet.now = now;
  Route dropped;
  if (!Prepare(packet, dropped)) {
    return dropped;
  }
  if (!view_->FindMember(packet.hop.sender)) {
    return Drop(FlowCounter::kDropUnknownPeer);
  }
  if (!peers_.OnHopPacket(packet.hop.sender, packet.hop.incarnation, now)) {
    return Drop(FlowCounter::kDropOldPeer);
  }
  if (packet.hop.kind == HopKind::kFragment) {
    return OnFragment(packet);
  }
  if (packet.info.fragment && !packet.info.first_fragment) {
    packet.info.key.source_port = packet.hop.source_port;
    packet.info.key.destination_port = packet.hop.destination_port;
  }
  if (!Identify(packet)) {
    return Drop(FlowCounter::kDropNoService);
  }
  if (view_->services()[packet.service].id != packet.hop.service) {
    return Drop(FlowCounter::kDropOtherService);
  }
  return Dispatch(packet);
}

Route FlowRouter::RouteEntry(Packet& packet) {
  if (packet.info.tcp_syn) {
    return RouteFirst(packet);
  }
  FlowEntry* entry = FindValid(packet);
  if (!entry) {
    return RouteUnknown(packet);
  }
  if (packet.info.icmp_error) {
    return ToTarget(packet, entry->target);
  }
  if ((packet.info.tcp_fin || packet.info.tcp_rst) &&
      (entry->flags & kEntryClosing) == 0) {
    return RouteClose(packet, *entry);
  }
  // The packet that completes the handshake: owner and backup both have to
  // learn it, or the entry of the other one ends with the half-open timeout.
  const bool completes = packet.half_open && (entry->flags & kEntryHolder) != 0;
  if (completes || NeedsConfirmation(packet, *entry)) {
    return Confirm(packet, *entry);
  }
  entry->seen = packet.tick;
  if (packet.half_open) {
    Promote(entry);
  }
  ++counters_[FlowCounter::kHits];
  return ToTarget(*packet.target);
}

// The owner decides about first packets even when this VM has an entry: the
// entry may belong to an earlier flow with the same 5-tuple.
Route FlowRouter::RouteFirst(Packet& packet) {
  const MemberIndex owner = ActingOwner(packet.bucket, packet.now);
  if (owner == view_->self()) {
    return OnFirst(packet);
  }
  bool half_open = false;
  FlowEntry* entry = Find(packet.hash, half_open);
  if (entry && (entry->flags & kEntryHolder) == 0) {
    Forget(packet.hash);
  }
  packet.hop.revision = view_->revision();
  return ToPeer(packet, owner, HopKind::kFirstPacket, 0,
                PlacementTarget(packet));
}

Route FlowRouter::RouteUnknown(Packet& packet) {
  const bool ends = packet.info.tcp_fin || packet.info.tcp_rst;
  // The acknowledgement that completes a handshake goes through the owner, so
  // that owner and backup know every established flow. It cannot be told from
  // other bare acknowledgements.
  const bool bare_ack = packet.info.IsTcp() && packet.info.payload_size == 0 &&
                        !ends && !packet.info.icmp_error;
  const ServiceView& service = view_->services()[packet.service];
  if (!bare_ack && !IsSteered(packet.bucket) &&
      peers_.IsSettled(view_->RankedVm(packet.bucket, 0), service.id,
                       packet.bucket, packet.now)) {
    const TargetId target = PlacementTarget(packet);
    if (target == TargetId::kNone) {
      return Drop(FlowCounter::kDropNoTarget);
    }
    ++counters_[FlowCounter::kSettledDirect];
    if (ends) {
      return RecordAtOwner(packet, target, protocol::kHopFlowEnd);
    }
    if (!packet.info.icmp_error) {
      Keep(packet, target, false, 0);
    }
    return ToTarget(packet, target);
  }
  const MemberIndex owner = ActingOwner(packet.bucket, packet.now);
  packet.hop.revision = view_->revision();
  // Without a claim, the target is this VM's idea of where the flow was before
  // a change, for an owner that joined later.
  packet.hop.target =
      Buckets(packet.service)
          .SinglePast(packet.bucket, packet.tick, settle_ticks_);
  if (owner == view_->self()) {
    return OnAsk(packet);
  }
  ++counters_[FlowCounter::kAsked];
  return ToPeer(packet, owner, HopKind::kQueryOwner, 0, packet.hop.target);
}

Route FlowRouter::RouteClose(Packet& packet, FlowEntry& entry) {
  Unaccount(entry);
  entry.flags |= kEntryClosing;
  entry.seen = packet.tick;
  return RecordAtOwner(packet, entry.target, protocol::kHopFlowEnd);
}

bool FlowRouter::NeedsConfirmation(const Packet& packet, FlowEntry& entry) {
  const BucketState& state = Buckets(packet.service).At(packet.bucket);
  const Tick age = packet.tick - entry.confirmed;
  if (entry.target == state.target && !IsSteered(packet.bucket)) {
    return age >= idle_ticks_ / 4;
  }
  if (packet.tick - entry.seen >= confirm_ticks_) {
    entry.flags |= kEntryDoubt;
  }
  if ((entry.flags & kEntryDoubt) != 0 || age >= confirm_ticks_) {
    return true;
  }
  const Tick changed =
      std::max(state.changed, ownership_[packet.bucket].owner_changed);
  return (entry.flags & kEntryAsked) == 0 &&
         static_cast<int32_t>(changed - entry.confirmed) > 0;
}

Route FlowRouter::Confirm(Packet& packet, FlowEntry& entry) {
  ++counters_[FlowCounter::kConfirmed];
  const MemberIndex owner = ActingOwner(packet.bucket, packet.now);
  const TargetId target = entry.target;
  entry.seen = packet.tick;
  if (owner == view_->self()) {
    return RecordAndPass(packet, target, 0);
  }
  const bool deviates =
      target != Buckets(packet.service).At(packet.bucket).target ||
      IsSteered(packet.bucket);
  entry.flags |= kEntryAsked;
  entry.confirmed =
      packet.tick + kAskAgain - (deviates ? confirm_ticks_ : idle_ticks_ / 4);
  Promote(&entry);
  packet.hop.revision = view_->revision();
  return ToPeer(packet, owner, HopKind::kQueryOwner,
                protocol::kHopOriginHasEntry, target);
}

Route FlowRouter::OnFragment(Packet& packet) {
  const FlowHash id = HashFragment(packet.info, view_->seed());
  const MemberIndex owner = ActingOwner(id.Bucket(), packet.now);
  if (owner != view_->self() && packet.hop.hops < 4) {
    return ToPeer(packet, owner, HopKind::kFragment, 0, TargetId::kNone);
  }
  if (packet.info.first_fragment) {
    if (!Identify(packet)) {
      return Drop(FlowCounter::kDropNoService);
    }
    const Route route = RouteEntry(packet);
    for (HeldFragment& it : fragments_.OnFirst(id, packet.info, packet.tick)) {
      Packet later;
      later.info = it.info;
      later.info.key = packet.info.key;
      later.hop = it.hop;
      later.now = packet.now;
      later.tick = packet.tick;
      later.bytes = it.bytes;
      Identify(later);
      Route released = RouteEntry(later);
      released_.push_back({std::move(it.bytes), released});
    }
    return route;
  }
  if (fragments_.Complete(id, packet.info)) {
    return Identify(packet) ? RouteEntry(packet)
                            : Drop(FlowCounter::kDropNoService);
  }
  HeldFragment held{
      {packet.bytes.begin(), packet.bytes.end()}, packet.info, packet.hop};
  if (!fragments_.Hold(id, std::move(held), packet.tick)) {
    return Drop(FlowCounter::kDropFragmentLimit);
  }
  ++counters_[FlowCounter::kHeld];
  Route route;
  route.kind = RouteKind::kHeld;
  return route;
}

std::vector<ReleasedPacket> FlowRouter::TakeReleasedPackets() {
  return std::exchange(released_, {});
}

void FlowRouter::OnPeerMessage(VmId from,
                               std::string_view payload,
                               TimePoint now) {
  if (view_) {
    peers_.OnMessage(from, payload, managed_, now);
  }
}

void FlowRouter::OnTick(TimePoint now) {
  if (!view_) {
    return;
  }
  const Tick tick = ToTick(now);
  if (now - last_tick_ > kPauseThreshold) {
    peers_.OnResume();
  }
  // One pass over each table per second.
  const auto share = [&](const FlowTable& table) {
    const double elapsed =
        std::min(1.0, std::chrono::duration<double>(now - last_tick_).count());
    return static_cast<size_t>(static_cast<double>(table.SlotCount()) *
                               elapsed) +
           1;
  };
  table_.Sweep(share(table_), [&](FlowEntry& entry) {
    return SweepEntry(entry, false, tick);
  });
  half_open_.Sweep(share(half_open_), [&](FlowEntry& entry) {
    return SweepEntry(entry, true, tick);
  });
  last_tick_ = now;
  counters_[FlowCounter::kDropFragmentLate] += fragments_.Expire(tick);
  if (now >= next_managed_) {
    next_managed_ = now + kManagedInterval;
    UpdateManagedSet(tick);
  }
  if (now >= next_control_) {
    next_control_ = now + kControlInterval;
    peers_.OnTick(OwnLoad(), now);
  }
}

Route FlowRouter::ToTarget(const Packet& packet, TargetId target) {
  const TargetView* it = view_->FindTarget(target);
  if (!it) {
    return Drop(FlowCounter::kDropTargetGone);
  }
  // Last guard of the promise that no packet reaches another service.
  if (it->service != packet.service) {
    return Drop(FlowCounter::kDropOtherService);
  }
  return ToTarget(*it);
}

Route FlowRouter::ToTarget(const TargetView& target) {
  Route route;
  route.kind = RouteKind::kTarget;
  route.target = target.id;
  route.endpoint = target.endpoint;
  return route;
}

Route FlowRouter::ToPeer(Packet& packet,
                         MemberIndex peer,
                         HopKind kind,
                         uint8_t flags,
                         TargetId target) {
  // Two walks over the largest group and the way to and from the owner.
  constexpr uint8_t kHopLimit = 80;
  if (packet.hop.hops >= kHopLimit) {
    return Drop(FlowCounter::kDropHopLimit);
  }
  const config::Member& member = view_->members()[peer];
  Route route;
  route.kind = RouteKind::kPeer;
  route.peer = member.id;
  route.endpoint = member.hop_endpoint;
  route.target = target;
  route.hop = packet.hop;
  route.hop.kind = kind;
  route.hop.flags = flags;
  route.hop.target = target;
  route.hop.service = kind == HopKind::kFragment
                          ? ServiceId::kNone
                          : view_->services()[packet.service].id;
  route.hop.sender = self_;
  route.hop.incarnation = peers_.incarnation();
  route.hop.source_port = packet.info.key.source_port;
  route.hop.destination_port = packet.info.key.destination_port;
  ++route.hop.hops;
  return route;
}

Route FlowRouter::Drop(FlowCounter reason) {
  ++counters_[reason];
  return Route{};
}

}  // namespace marjoramhall::flow
