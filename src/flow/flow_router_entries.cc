// Flow entries and their counts, bucket ownership and the choice of targets.
#include <algorithm>

#include "src/flow/flow_router.h"

namespace marjoramhall::flow {
namespace {

// Upper bound for a sweep over the table: 1 s, plus a margin for late ticks.
constexpr Duration kMaxSweepDuration = std::chrono::milliseconds(1500);

}  // namespace

FlowEntry* FlowRouter::FindEntry(const FlowHash& hash, bool& half_open) {
  half_open = false;
  if (FlowEntry* entry = table_.Find(hash)) {
    return entry;
  }
  half_open = true;
  return half_open_.Find(hash);
}

FlowEntry* FlowRouter::FindValidEntry(Packet& packet) {
  FlowEntry* entry = FindEntry(packet.hash, packet.half_open);
  if (!entry) {
    return nullptr;
  }
  packet.target = view_->FindTarget(entry->target);
  return packet.target && packet.target->service == packet.service ? entry
                                                                   : nullptr;
}

// Moves a half-open entry to the table of established flows and returns its new
// address. When that table is full, the entry stays and may be evicted.
FlowEntry* FlowRouter::PromoteEntry(FlowEntry* entry) {
  const FlowHash hash = entry->hash;
  bool half_open = false;
  FindEntry(hash, half_open);
  if (!half_open) {
    return entry;
  }
  FlowEntry* established = table_.Insert(hash);
  if (!established) {
    ++counters_[FlowCounter::kUntrackedFlows];
    return entry;
  }
  *established = *entry;
  half_open_.Erase(entry);
  AddToCounts(*established);
  return established;
}

// Creates or updates the entry of a packet's flow. Returns null when the table
// is full, and for a closing flow without an entry.
FlowEntry* FlowRouter::UpsertEntry(const Packet& packet,
                                   TargetId target,
                                   bool half_open,
                                   uint16_t flags) {
  bool in_half_open = false;
  FlowEntry* entry = FindEntry(packet.hash, in_half_open);
  if (!entry) {
    if ((flags & kEntryClosing) != 0) {
      return nullptr;
    }
    // When the table is half full, a flow of which this VM is neither owner nor
    // backup starts as half-open and becomes established with its second
    // packet. A flood of stray packets then evicts only other half-open
    // entries.
    const bool starts_half_open = (flags & kEntryOwnerOrBackup) == 0 &&
                                  table_.size() >= table_.limit() / 2;
    in_half_open = half_open || starts_half_open;
    entry = in_half_open ? half_open_.InsertEvicting(packet.hash)
                         : table_.Insert(packet.hash);
    if (!entry) {
      ++counters_[FlowCounter::kUntrackedFlows];
      return nullptr;
    }
    entry->last_seen = packet.tick;
  } else if (!in_half_open) {
    RemoveFromCounts(*entry);
  }
  // Repeated first packets do not extend the life of a half-open entry, so that
  // an earlier choice of a target that is now draining expires.
  const bool reopened = half_open && (entry->target != target ||
                                      (entry->flags & kEntryClosing) != 0);
  if (!half_open || reopened) {
    entry->last_seen = packet.tick;
  }
  if (reopened) {
    entry->flags = 0;
  }
  entry->target = target;
  entry->last_confirmed = packet.tick;
  entry->flags = static_cast<uint16_t>(
      (entry->flags & ~(kEntryMaybeReused | kEntryConfirmPending)) | flags);
  if ((flags & kEntryOwnerOrBackup) != 0) {
    entry->replicated_epoch = ownership_[packet.bucket].epoch;
  }
  if (in_half_open) {
    return half_open ? entry : PromoteEntry(entry);
  }
  AddToCounts(*entry);
  return entry;
}

void FlowRouter::EraseEntry(const FlowHash& hash) {
  bool half_open = false;
  FlowEntry* entry = FindEntry(hash, half_open);
  if (entry && half_open) {
    half_open_.Erase(entry);
  } else if (entry) {
    RemoveFromCounts(*entry);
    table_.Erase(entry);
  }
}

// Only for entries in the table of established flows.
void FlowRouter::AddToCounts(FlowEntry& entry) {
  const TargetView* target = view_->FindTarget(entry.target);
  if (!target || (entry.flags & kEntryOwnerOrBackup) == 0 ||
      (entry.flags & kEntryClosing) != 0) {
    return;
  }
  const uint32_t bucket = entry.hash.Bucket();
  if (IsOwnedHere(bucket)) {
    entry.flags |= kEntryInOwnerLoad;
    ++owned_load_[static_cast<size_t>(target - view_->targets().data())];
  }
  BucketState& state = Buckets(target->service).At(bucket);
  if (state.target != entry.target) {
    entry.flags |= kEntryException;
    ++state.exception_count;
  }
}

void FlowRouter::RemoveFromCounts(FlowEntry& entry) {
  const TargetView* target = view_->FindTarget(entry.target);
  if (target && (entry.flags & kEntryInOwnerLoad) != 0) {
    --owned_load_[static_cast<size_t>(target - view_->targets().data())];
  }
  if (target && (entry.flags & kEntryException) != 0) {
    --Buckets(target->service).At(entry.hash.Bucket()).exception_count;
  }
  entry.flags = static_cast<uint16_t>(entry.flags &
                                      ~(kEntryInOwnerLoad | kEntryException));
}

// The counts depend on the targets and the ownership of the view, so they are
// computed anew for a new view. Cost: one pass over the table.
void FlowRouter::RebuildCounts() {
  owned_load_.assign(view_->targets().size(), 0);
  for (ServiceBuckets* it : buckets_) {
    for (uint32_t b = 0; b < kBucketCount; ++b) {
      it->At(b).exception_count = 0;
    }
  }
  table_.ForEach([&](FlowEntry& entry) {
    entry.flags = static_cast<uint16_t>(entry.flags &
                                        ~(kEntryInOwnerLoad | kEntryException));
    AddToCounts(entry);
  });
}

bool FlowRouter::SweepEntry(FlowEntry& entry, bool half_open, Tick tick) {
  const Tick age = tick - entry.last_seen;
  Tick limit = idle_timeout_ticks_;
  if (half_open) {
    limit = ToTicks(options_.half_open_timeout);
  } else if ((entry.flags & kEntryClosing) != 0) {
    limit = ToTicks(options_.closing_timeout);
  }
  const bool target_removed =
      !view_->FindTarget(entry.target) &&
      ToInteger(entry.target) < view_->control().deployment->next_target_id;
  // Signed comparison, because `last_seen` may be one tick ahead by rounding.
  if (target_removed || static_cast<int32_t>(age - limit) > 0) {
    if (!half_open) {
      RemoveFromCounts(entry);
    }
    return false;
  }
  if (!half_open && (entry.flags & kEntryException) != 0) {
    ReplicateException(entry);
  }
  return true;
}

// Queues an exception for the owner of its bucket, or for the backup when this
// VM is the owner. This is done once after each change of owner or backup.
void FlowRouter::ReplicateException(FlowEntry& entry) {
  const uint32_t bucket = entry.hash.Bucket();
  if (entry.replicated_epoch == ownership_[bucket].epoch) {
    return;
  }
  const VmId to = view_->VmAtRank(bucket, IsOwnedHere(bucket) ? 1 : 0);
  if (to == VmId::kNone ||
      peers_.QueueException(to, entry.hash, entry.target)) {
    entry.replicated_epoch = ownership_[bucket].epoch;
  }
}

void FlowRouter::OnException(const FlowHash& hash,
                             TargetId target,
                             TimePoint now) {
  const Tick tick = ToTick(now);
  bool half_open = false;
  FlowEntry* entry = FindEntry(hash, half_open);
  if (entry) {
    entry = PromoteEntry(entry);
    RemoveFromCounts(*entry);
  } else {
    entry = table_.Insert(hash);
    if (!entry) {
      ++counters_[FlowCounter::kUntrackedFlows];
      return;
    }
    entry->target = target;
    entry->last_seen = tick;
    entry->last_confirmed = tick;
  }
  ++counters_[FlowCounter::kExceptionsApplied];
  entry->flags |= kEntryOwnerOrBackup;
  // An owner still has to replicate the entry to the backup. A backup does not
  // replicate it further.
  if (!IsOwnedHere(hash.Bucket())) {
    entry->replicated_epoch = ownership_[hash.Bucket()].epoch;
  }
  AddToCounts(*entry);
}

size_t FlowRouter::ExceptionCount() const {
  size_t n = 0;
  for (const ServiceBuckets* it : buckets_) {
    for (uint32_t b = 0; b < kBucketCount; ++b) {
      n += it->At(b).exception_count;
    }
  }
  return n;
}

bool FlowRouter::IsHandedOver(TimePoint now) const {
  return ToTick(now) - ownership_changed_at_ > ToTicks(kMaxSweepDuration) &&
         peers_.QueuedExceptions() == 0;
}

TargetFlowCounts FlowRouter::OwnLoad() const {
  TargetFlowCounts list;
  for (size_t i = 0; i < owned_load_.size(); ++i) {
    list.emplace_back(view_->targets()[i].id, owned_load_[i]);
  }
  return list;
}

TargetFlowCounts FlowRouter::TotalLoad() const {
  TargetFlowCounts list = OwnLoad();
  for (auto& [target, flows] : list) {
    flows += peers_.ReportedLoad(target);
  }
  return list;
}

size_t FlowRouter::ManagedBucketCount() const {
  size_t n = 0;
  for (const ServiceBuckets* it : buckets_) {
    n += it->managed.count();
  }
  return n;
}

bool FlowRouter::IsAvailable(MemberIndex member, TimePoint now) const {
  const config::Member& it = view_->members()[member];
  return member == view_->self() ||
         (it.state != config::MemberState::kSuspect &&
          peers_.IsReachable(it.id, now));
}

MemberIndex FlowRouter::ActingOwner(uint32_t bucket, TimePoint now) const {
  for (const MemberIndex it : view_->RankedMembers(bucket)) {
    if (IsAvailable(it, now)) {
      return it;
    }
  }
  return view_->self();
}

std::optional<MemberIndex> FlowRouter::ActingBackup(uint32_t bucket,
                                                    TimePoint now) const {
  for (const MemberIndex it : view_->RankedMembers(bucket)) {
    if (it != view_->self() && IsAvailable(it, now)) {
      return it;
    }
  }
  return std::nullopt;
}

bool FlowRouter::IsOwnedHere(uint32_t bucket) const {
  return view_->VmAtRank(bucket, 0) == self_;
}

bool FlowRouter::IsManaged(uint32_t service, uint32_t bucket, Tick tick) const {
  const ServiceBuckets& buckets = Buckets(service);
  return IsSteered(bucket) || buckets.At(bucket).exception_count > 0 ||
         buckets.ChangedRecently(bucket, tick, recent_change_ticks_) ||
         tick - ownership_[bucket].owner_changed_at <= recent_change_ticks_;
}

// The target of the placement for new flows. After a change, other VMs may
// route the bucket to its previous target until they have the revision or their
// lease ends, so new flows use the previous target until all VMs have reported
// the revision, but at most for kLeaseExpiryWait.
TargetId FlowRouter::PlacementTarget(const Packet& packet) const {
  const BucketState& state = Buckets(packet.service).At(packet.bucket);
  if (state.changed_at != 0 &&
      packet.tick - state.changed_at < ToTicks(kLeaseExpiryWait) &&
      !peers_.AllPeersAtRevision() &&
      view_->FindTarget(state.previous_target)) {
    return state.previous_target;
  }
  return state.target;
}

TargetId FlowRouter::ChooseTarget(const Packet& packet,
                                  std::string_view& reason) {
  if (IsSteered(packet.bucket)) {
    reason = "steered";
    return ChooseByLoad(packet,
                        Buckets(packet.service).At(packet.bucket).target);
  }
  reason = "placement";
  return PlacementTarget(packet);
}

// Chooses a target below its weighted share of the flows, with a probability in
// proportion to the flows that it is short of. Always choosing the least loaded
// target would make all owners choose the same one between two load reports.
TargetId FlowRouter::ChooseByLoad(const Packet& packet, TargetId fallback) {
  const auto targets = view_->TargetsOf(view_->services()[packet.service]);
  const size_t first = view_->services()[packet.service].first_target;
  const auto load = [&](size_t i) {
    return static_cast<double>(owned_load_[first + i] +
                               peers_.ReportedLoad(targets[i].id));
  };
  double total = 1;
  double weights = 0;
  for (size_t i = 0; i < targets.size(); ++i) {
    if (targets[i].active) {
      total += load(i);
      weights += targets[i].weight;
    }
  }
  const auto shortfall = [&](size_t i) {
    return targets[i].active && targets[i].weight > 0
               ? std::max(0.0, total * targets[i].weight / weights - load(i))
               : 0.0;
  };
  double sum = 0;
  for (size_t i = 0; i < targets.size(); ++i) {
    sum += shortfall(i);
  }
  const uint64_t random = packet.hash.high ^ seed_;
  double position = static_cast<double>(random >> 11) * 0x1p-53 * sum;
  for (size_t i = 0; i < targets.size(); ++i) {
    position -= shortfall(i);
    if (position < 0) {
      return targets[i].id;
    }
  }
  return fallback;
}

void FlowRouter::UpdateOwnership(const FlowView* previous, Tick tick) {
  const auto same_member = [&](const FlowView& old, uint32_t bucket,
                               size_t rank) {
    const auto before = old.RankedMembers(bucket);
    const auto after = view_->RankedMembers(bucket);
    if (rank >= before.size() || rank >= after.size()) {
      return rank >= before.size() && rank >= after.size();
    }
    const config::Member& a = old.members()[before[rank]];
    const config::Member& b = view_->members()[after[rank]];
    return a.id == b.id && a.incarnation == b.incarnation;
  };
  for (uint32_t b = 0; b < kBucketCount; ++b) {
    BucketOwnership& it = ownership_[b];
    const bool owner_stays = previous && same_member(*previous, b, 0);
    if (!owner_stays) {
      it.owner_changed_at = tick;
    }
    if (!owner_stays || !same_member(*previous, b, 1)) {
      ++it.epoch;
      ownership_changed_at_ = tick;
    }
  }
}

void FlowRouter::UpdateManagedSet(Tick tick) {
  std::vector<std::pair<ServiceId, std::vector<uint32_t>>> lists;
  bool changed = managed_.buckets.size() != buckets_.size();
  for (uint32_t s = 0; s < buckets_.size(); ++s) {
    BucketSet set;
    for (uint32_t b = 0; b < kBucketCount; ++b) {
      if (!IsSteered(b) && IsOwnedHere(b) && IsManaged(s, b, tick)) {
        set.set(b);
      }
    }
    changed |= set != buckets_[s]->managed;
    buckets_[s]->managed = set;
  }
  if (!changed) {
    return;
  }
  ++managed_.version;
  managed_.buckets.clear();
  for (uint32_t s = 0; s < buckets_.size(); ++s) {
    auto& [service, list] = managed_.buckets.emplace_back();
    service = view_->services()[s].id;
    for (uint32_t b = 0; b < kBucketCount; ++b) {
      if (buckets_[s]->managed.test(b)) {
        list.push_back(b);
      }
    }
  }
}

void FlowRouter::ReportDecision(const Packet& packet,
                                TargetId target,
                                std::string_view reason) {
  ++counters_[FlowCounter::kNewFlows];
  if (!decide_) {
    return;
  }
  Decision decision;
  decision.kind = DecisionKind::kRouteFlow;
  decision.subject = packet.hash.low;
  decision.service = view_->services()[packet.service].id;
  decision.target = target;
  decision.vm = self_;
  decision.revision = packet.hop.revision;
  decision.outcome = "new-flow";
  decision.reason = reason;
  decide_(decision);
}

}  // namespace marjoramhall::flow
