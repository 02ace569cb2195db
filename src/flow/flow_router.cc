// Handling of views, packets from the fabric, fragments and ticks.
#include "src/flow/flow_router.h"

#include <algorithm>
#include <utility>

namespace marjoramhall::flow {
namespace {

using protocol::HopKind;

// The half-open table has 1/8 of the limit of the established one.
constexpr size_t kHalfOpenDivisor = 8;
// Ticks come every 10 ms. A gap of this length means that the VM was paused.
constexpr Duration kPauseThreshold = std::chrono::milliseconds(300);
constexpr Duration kControlInterval = std::chrono::milliseconds(50);
constexpr Duration kManagedUpdateInterval = std::chrono::milliseconds(500);
// An entry without an answer is sent to the owner for confirmation again after
// 1 s.
constexpr Tick kConfirmRetryTicks = 10;
// Limit of hops of a fragment between VMs that disagree on its owner.
constexpr uint8_t kMaxFragmentRelays = 4;

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
      idle_timeout_ticks_(ToTicks(options.idle_timeout)),
      recent_change_ticks_(
          ToTicks(options.idle_timeout + 2 * kLeaseExpiryWait)),
      confirm_interval_ticks_(ToTicks(options.confirm_interval)),
      table_(options.max_table_entries),
      half_open_(options.max_table_entries / kHalfOpenDivisor),
      peers_(options,
             self,
             incarnation,
             std::move(send),
             counters_,
             [this](const FlowHash& hash, TargetId target, TimePoint now) {
               OnException(hash, target, now);
             }),
      search_budget_(options.searches_per_second,
                     options.searches_per_second / 10),
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
  bool bucket_moved = false;
  buckets_.clear();
  for (const config::Service& it : view_->control().deployment->services) {
    auto& buckets = services_[it.id];
    if (!buckets) {
      buckets = std::make_unique<ServiceBuckets>();
    }
    bucket_moved |= buckets->Update(it, tick, recent_change_ticks_);
    buckets_.push_back(buckets.get());
  }
  std::erase_if(services_, [&](const auto& it) {
    return std::find(buckets_.begin(), buckets_.end(), it.second.get()) ==
           buckets_.end();
  });
  peers_.OnView(view_, now);
  UpdateOwnership(previous.get(), tick);
  const bool recount =
      bucket_moved || !previous ||
      previous->members_hash() != view_->members_hash() ||
      previous->control().deployment != view_->control().deployment;
  if (recount) {
    RebuildCounts();
  }
  UpdateManagedSet(tick);
}

bool FlowRouter::ResolveFlow(Packet& packet) {
  const auto service = view_->FindService(packet.info.key);
  if (!service) {
    return false;
  }
  packet.service = *service;
  packet.hash = HashFlow(packet.info.key, view_->seed());
  packet.bucket = packet.hash.Bucket();
  return true;
}

// A paused VM has not received the answers of its peers. It must not take them
// for unreachable and act as owner in their place.
void FlowRouter::DetectPause(TimePoint now) {
  if (now - last_tick_ > kPauseThreshold) {
    peers_.OnResume();
    last_tick_ = now;
  }
}

bool FlowRouter::ParseAndCount(Packet& packet, Route& dropped) {
  ++counters_[FlowCounter::kPackets];
  DetectPause(packet.now);
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

bool FlowRouter::PrepareFabricPacket(Packet& packet, Route& route) {
  if (!ParseAndCount(packet, route)) {
    return false;
  }
  packet.hop.origin = self_;
  packet.hop.origin_tick = packet.tick;
  if (packet.info.fragment) {
    route = OnFragment(packet);
    return false;
  }
  if (!ResolveFlow(packet)) {
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
  return PrepareFabricPacket(packet, route) ? RouteFlowPacket(packet) : route;
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
    if (PrepareFabricPacket(batch_[i], routes[first + i])) {
      table_.Prefetch(batch_[i].hash);
    } else {
      batch_[i].bytes = {};
    }
  }
  for (size_t i = 0; i < packets.size(); ++i) {
    if (!batch_[i].bytes.empty()) {
      routes[first + i] = RouteFlowPacket(batch_[i]);
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
  if (!ParseAndCount(packet, dropped)) {
    return dropped;
  }
  if (!view_->FindMember(packet.hop.sender)) {
    return Drop(FlowCounter::kDropUnknownPeer);
  }
  if (!peers_.OnPeerContact(packet.hop.sender, packet.hop.incarnation, now)) {
    return Drop(FlowCounter::kDropStaleIncarnation);
  }
  if (packet.hop.kind == HopKind::kFragment) {
    return OnFragment(packet);
  }
  if (packet.info.fragment && !packet.info.first_fragment) {
    packet.info.key.source_port = packet.hop.source_port;
    packet.info.key.destination_port = packet.hop.destination_port;
  }
  if (!ResolveFlow(packet)) {
    return Drop(FlowCounter::kDropNoService);
  }
  if (view_->services()[packet.service].id != packet.hop.service) {
    return Drop(FlowCounter::kDropServiceMismatch);
  }
  return HandleHopPacket(packet);
}

Route FlowRouter::RouteFlowPacket(Packet& packet) {
  if (packet.info.tcp_syn) {
    return RouteFirstPacket(packet);
  }
  FlowEntry* entry = FindValidEntry(packet);
  if (!entry) {
    return RouteUnknownFlow(packet);
  }
  if (packet.info.icmp_error) {
    return RouteToTarget(packet, entry->target);
  }
  if ((packet.info.tcp_fin || packet.info.tcp_rst) &&
      (entry->flags & kEntryClosing) == 0) {
    return RouteClosingPacket(packet, *entry);
  }
  // The packet that completes the handshake has to reach both owner and backup.
  // Otherwise the entry of the one that misses it expires as half-open.
  const bool completes =
      packet.half_open && (entry->flags & kEntryOwnerOrBackup) != 0;
  if (completes || NeedsConfirmation(packet, *entry)) {
    return ConfirmWithOwner(packet, *entry);
  }
  entry->last_seen = packet.tick;
  if (packet.half_open) {
    PromoteEntry(entry);
  }
  ++counters_[FlowCounter::kTableHits];
  return RouteToTarget(*packet.target);
}

// The owner decides on first packets even when this VM has an entry, which may
// be of an earlier flow with the same 5-tuple.
Route FlowRouter::RouteFirstPacket(Packet& packet) {
  const MemberIndex owner = ActingOwner(packet.bucket, packet.now);
  if (owner == view_->self()) {
    return OnFirstPacket(packet);
  }
  bool half_open = false;
  FlowEntry* entry = FindEntry(packet.hash, half_open);
  if (entry && (entry->flags & kEntryOwnerOrBackup) == 0) {
    EraseEntry(packet.hash);
  }
  packet.hop.revision = view_->revision();
  return RouteToPeer(packet, owner, HopKind::kFirstPacket, 0,
                     PlacementTarget(packet));
}

Route FlowRouter::RouteUnknownFlow(Packet& packet) {
  const bool closes = packet.info.tcp_fin || packet.info.tcp_rst;
  // The ACK that completes a handshake goes through the owner, so that owner
  // and backup know every established flow. It cannot be distinguished from
  // other ACKs without payload, so all of them are sent to the owner.
  const bool bare_ack = packet.info.IsTcp() && packet.info.payload_size == 0 &&
                        !closes && !packet.info.icmp_error;
  const ServiceView& service = view_->services()[packet.service];
  if (!bare_ack && !IsSteered(packet.bucket) &&
      peers_.IsSettled(view_->VmAtRank(packet.bucket, 0), service.id,
                       packet.bucket, packet.now)) {
    const TargetId target = PlacementTarget(packet);
    if (target == TargetId::kNone) {
      return Drop(FlowCounter::kDropNoTarget);
    }
    ++counters_[FlowCounter::kSettledDirect];
    if (closes) {
      return RecordAtOwner(packet, target, protocol::kHopFlowEnd);
    }
    if (!packet.info.icmp_error) {
      UpsertEntry(packet, target, false, 0);
    }
    return RouteToTarget(packet, target);
  }
  const MemberIndex owner = ActingOwner(packet.bucket, packet.now);
  packet.hop.revision = view_->revision();
  // A hint for an owner that joined after a change of the bucket: the target
  // that the flow may be on.
  packet.hop.target = Buckets(packet.service)
                          .UniquePreviousTarget(packet.bucket, packet.tick,
                                                recent_change_ticks_);
  if (owner == view_->self()) {
    return OnQueryOwner(packet);
  }
  ++counters_[FlowCounter::kOwnerQueries];
  return RouteToPeer(packet, owner, HopKind::kQueryOwner, 0, packet.hop.target);
}

Route FlowRouter::RouteClosingPacket(Packet& packet, FlowEntry& entry) {
  RemoveFromCounts(entry);
  entry.flags |= kEntryClosing;
  entry.last_seen = packet.tick;
  return RecordAtOwner(packet, entry.target, protocol::kHopFlowEnd);
}

bool FlowRouter::NeedsConfirmation(const Packet& packet, FlowEntry& entry) {
  const BucketState& state = Buckets(packet.service).At(packet.bucket);
  const Tick age = packet.tick - entry.last_confirmed;
  if (entry.target == state.target && !IsSteered(packet.bucket)) {
    return age >= idle_timeout_ticks_ / 4;
  }
  if (packet.tick - entry.last_seen >= confirm_interval_ticks_) {
    entry.flags |= kEntryMaybeReused;
  }
  if ((entry.flags & kEntryMaybeReused) != 0 ||
      age >= confirm_interval_ticks_) {
    return true;
  }
  const Tick changed =
      std::max(state.changed_at, ownership_[packet.bucket].owner_changed_at);
  return (entry.flags & kEntryConfirmPending) == 0 &&
         static_cast<int32_t>(changed - entry.last_confirmed) > 0;
}

Route FlowRouter::ConfirmWithOwner(Packet& packet, FlowEntry& entry) {
  ++counters_[FlowCounter::kConfirmations];
  const MemberIndex owner = ActingOwner(packet.bucket, packet.now);
  const TargetId target = entry.target;
  entry.last_seen = packet.tick;
  if (owner == view_->self()) {
    return RecordAndForward(packet, target, 0);
  }
  const bool deviates =
      target != Buckets(packet.service).At(packet.bucket).target ||
      IsSteered(packet.bucket);
  entry.flags |= kEntryConfirmPending;
  entry.last_confirmed =
      packet.tick + kConfirmRetryTicks -
      (deviates ? confirm_interval_ticks_ : idle_timeout_ticks_ / 4);
  PromoteEntry(&entry);
  packet.hop.revision = view_->revision();
  return RouteToPeer(packet, owner, HopKind::kQueryOwner,
                     protocol::kHopOriginHasEntry, target);
}

Route FlowRouter::OnFragment(Packet& packet) {
  const FlowHash id = HashFragment(packet.info, view_->seed());
  const MemberIndex owner = ActingOwner(id.Bucket(), packet.now);
  if (owner != view_->self() && packet.hop.hops < kMaxFragmentRelays) {
    return RouteToPeer(packet, owner, HopKind::kFragment, 0, TargetId::kNone);
  }
  if (packet.info.first_fragment) {
    if (!ResolveFlow(packet)) {
      return Drop(FlowCounter::kDropNoService);
    }
    const Route route = RouteFlowPacket(packet);
    for (HeldFragment& it :
         fragments_.OnFirstFragment(id, packet.info, packet.tick)) {
      Packet later;
      later.info = it.info;
      later.info.key = packet.info.key;
      later.hop = it.hop;
      later.now = packet.now;
      later.tick = packet.tick;
      later.bytes = it.bytes;
      ResolveFlow(later);
      Route released = RouteFlowPacket(later);
      released_.push_back({std::move(it.bytes), released});
    }
    return route;
  }
  if (fragments_.CompleteKey(id, packet.info)) {
    return ResolveFlow(packet) ? RouteFlowPacket(packet)
                               : Drop(FlowCounter::kDropNoService);
  }
  HeldFragment held{
      {packet.bytes.begin(), packet.bytes.end()}, packet.info, packet.hop};
  if (!fragments_.Hold(id, std::move(held), packet.tick)) {
    return Drop(FlowCounter::kDropFragmentLimit);
  }
  ++counters_[FlowCounter::kFragmentsHeld];
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
  // Sweeps each table once per second.
  const auto slots_to_sweep = [&](const FlowTable& table) {
    const double elapsed =
        std::min(1.0, std::chrono::duration<double>(now - last_tick_).count());
    return static_cast<size_t>(static_cast<double>(table.SlotCount()) *
                               elapsed) +
           1;
  };
  table_.Sweep(slots_to_sweep(table_), [&](FlowEntry& entry) {
    return SweepEntry(entry, false, tick);
  });
  half_open_.Sweep(slots_to_sweep(half_open_), [&](FlowEntry& entry) {
    return SweepEntry(entry, true, tick);
  });
  last_tick_ = now;
  counters_[FlowCounter::kDropFragmentTimeout] += fragments_.Expire(tick);
  if (now >= next_managed_update_) {
    next_managed_update_ = now + kManagedUpdateInterval;
    UpdateManagedSet(tick);
  }
  if (now >= next_control_tick_) {
    next_control_tick_ = now + kControlInterval;
    peers_.OnTick(OwnLoad(), now);
  }
}

Route FlowRouter::RouteToTarget(const Packet& packet, TargetId target) {
  const TargetView* it = view_->FindTarget(target);
  if (!it) {
    return Drop(FlowCounter::kDropTargetGone);
  }
  // Never send a packet to a target of another service.
  if (it->service != packet.service) {
    return Drop(FlowCounter::kDropServiceMismatch);
  }
  return RouteToTarget(*it);
}

Route FlowRouter::RouteToTarget(const TargetView& target) {
  Route route;
  route.kind = RouteKind::kTarget;
  route.target = target.id;
  route.endpoint = target.endpoint;
  return route;
}

Route FlowRouter::RouteToPeer(Packet& packet,
                              MemberIndex peer,
                              HopKind kind,
                              uint8_t flags,
                              TargetId target) {
  // Two searches over the members of the largest group and the way to and from
  // the owner.
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
