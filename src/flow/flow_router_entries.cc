// Entries of the flow table, their accounting, ownership and choice of targets.
#include <algorithm>

#include "src/flow/flow_router.h"

namespace marjoramhall::flow {
namespace {

// One sweep over the table, with a margin for late ticks.
constexpr Duration kSweepTime = std::chrono::milliseconds(1500);

}  // namespace

FlowEntry* FlowRouter::Find(const FlowHash& hash, bool& half_open) {
  half_open = false;
  if (FlowEntry* entry = table_.Find(hash)) {
    return entry;
  }
  half_open = true;
  return half_open_.Find(hash);
}

FlowEntry* FlowRouter::FindValid(Packet& packet) {
  FlowEntry* entry = Find(packet.hash, packet.half_open);
  if (!entry) {
    return nullptr;
  }
  packet.target = view_->FindTarget(entry->target);
  return packet.target && packet.target->service == packet.service ? entry
                                                                   : nullptr;
}

// Moves a half-open entry to the established section. When that is full, the
// entry stays and may be displaced. Returns the entry's new place.
FlowEntry* FlowRouter::Promote(FlowEntry* entry) {
  const FlowHash hash = entry->hash;
  bool half_open = false;
  Find(hash, half_open);
  if (!half_open) {
    return entry;
  }
  FlowEntry* established = table_.Insert(hash);
  if (!established) {
    ++counters_[FlowCounter::kUntracked];
    return entry;
  }
  *established = *entry;
  half_open_.Erase(entry);
  Account(*established);
  return established;
}

// Creates or updates the entry of a packet's flow.
FlowEntry* FlowRouter::Keep(const Packet& packet,
                            TargetId target,
                            bool half_open,
                            uint16_t flags) {
  bool in_half_open = false;
  FlowEntry* entry = Find(packet.hash, in_half_open);
  if (!entry) {
    if ((flags & kEntryClosing) != 0) {
      return nullptr;
    }
    // With half of the table in use, a flow that this VM only passes on has to
    // show a second packet before it takes an established entry, so that a
    // flood of stray packets displaces only other newcomers.
    const bool on_trial =
        (flags & kEntryHolder) == 0 && table_.size() >= table_.limit() / 2;
    in_half_open = half_open || on_trial;
    entry = in_half_open ? half_open_.InsertEvicting(packet.hash)
                         : table_.Insert(packet.hash);
    if (!entry) {
      ++counters_[FlowCounter::kUntracked];
      return nullptr;
    }
    entry->seen = packet.tick;
  } else if (!in_half_open) {
    Unaccount(*entry);
  }
  // Repeated first packets do not extend a half-open entry, so that a decision
  // for a target that has begun to drain ends with the half-open timeout.
  const bool reopened = half_open && (entry->target != target ||
                                      (entry->flags & kEntryClosing) != 0);
  if (!half_open || reopened) {
    entry->seen = packet.tick;
  }
  if (reopened) {
    entry->flags = 0;
  }
  entry->target = target;
  entry->confirmed = packet.tick;
  entry->flags = static_cast<uint16_t>(
      (entry->flags & ~(kEntryDoubt | kEntryAsked)) | flags);
  if ((flags & kEntryHolder) != 0) {
    entry->epoch = ownership_[packet.bucket].epoch;
  }
  if (in_half_open) {
    return half_open ? entry : Promote(entry);
  }
  Account(*entry);
  return entry;
}

void FlowRouter::Forget(const FlowHash& hash) {
  bool half_open = false;
  FlowEntry* entry = Find(hash, half_open);
  if (entry && half_open) {
    half_open_.Erase(entry);
  } else if (entry) {
    Unaccount(*entry);
    table_.Erase(entry);
  }
}

// Only for entries of the established section.
void FlowRouter::Account(FlowEntry& entry) {
  const TargetView* target = view_->FindTarget(entry.target);
  if (!target || (entry.flags & kEntryHolder) == 0 ||
      (entry.flags & kEntryClosing) != 0) {
    return;
  }
  const uint32_t bucket = entry.hash.Bucket();
  if (IsOwnedHere(bucket)) {
    entry.flags |= kEntryCounted;
    ++load_[static_cast<size_t>(target - view_->targets().data())];
  }
  BucketState& state = Buckets(target->service).At(bucket);
  if (state.target != entry.target) {
    entry.flags |= kEntryException;
    ++state.exceptions;
  }
}

void FlowRouter::Unaccount(FlowEntry& entry) {
  const TargetView* target = view_->FindTarget(entry.target);
  if (target && (entry.flags & kEntryCounted) != 0) {
    --load_[static_cast<size_t>(target - view_->targets().data())];
  }
  if (target && (entry.flags & kEntryException) != 0) {
    --Buckets(target->service).At(entry.hash.Bucket()).exceptions;
  }
  entry.flags =
      static_cast<uint16_t>(entry.flags & ~(kEntryCounted | kEntryException));
}

// Counts are relative to the view's targets and ownership, so a new view
// counts afresh. Cost: one pass over the table.
void FlowRouter::Recount() {
  load_.assign(view_->targets().size(), 0);
  for (ServiceBuckets* it : buckets_) {
    for (uint32_t b = 0; b < kBucketCount; ++b) {
      it->At(b).exceptions = 0;
    }
  }
  table_.ForEach([&](FlowEntry& entry) {
    entry.flags =
        static_cast<uint16_t>(entry.flags & ~(kEntryCounted | kEntryException));
    Account(entry);
  });
}

bool FlowRouter::SweepEntry(FlowEntry& entry, bool half_open, Tick tick) {
  const Tick age = tick - entry.seen;
  Tick limit = idle_ticks_;
  if (half_open) {
    limit = ToTicks(options_.half_open_timeout);
  } else if ((entry.flags & kEntryClosing) != 0) {
    limit = ToTicks(options_.closing_timeout);
  }
  const bool removed =
      !view_->FindTarget(entry.target) &&
      ToInteger(entry.target) < view_->control().deployment->next_target_id;
  // A signed comparison: `seen` may be ahead by a tick of rounding.
  if (removed || static_cast<int32_t>(age - limit) > 0) {
    if (!half_open) {
      Unaccount(entry);
    }
    return false;
  }
  if (!half_open && (entry.flags & kEntryException) != 0) {
    Replicate(entry);
  }
  return true;
}

// Hands an exception to the bucket's owner, or as owner to the backup, once
// after each change of either.
void FlowRouter::Replicate(FlowEntry& entry) {
  const uint32_t bucket = entry.hash.Bucket();
  if (entry.epoch == ownership_[bucket].epoch) {
    return;
  }
  const VmId to = view_->RankedVm(bucket, IsOwnedHere(bucket) ? 1 : 0);
  if (to == VmId::kNone ||
      peers_.QueueException(to, entry.hash, entry.target)) {
    entry.epoch = ownership_[bucket].epoch;
  }
}

void FlowRouter::OnException(const FlowHash& hash,
                             TargetId target,
                             TimePoint now) {
  const Tick tick = ToTick(now);
  bool half_open = false;
  FlowEntry* entry = Find(hash, half_open);
  if (entry) {
    entry = Promote(entry);
    Unaccount(*entry);
  } else {
    entry = table_.Insert(hash);
    if (!entry) {
      ++counters_[FlowCounter::kUntracked];
      return;
    }
    entry->target = target;
    entry->seen = tick;
    entry->confirmed = tick;
  }
  ++counters_[FlowCounter::kExceptionsApplied];
  entry->flags |= kEntryHolder;
  // As owner this VM still has to pass the entry on to the backup, which is the
  // sender or knows it less well; as backup it is done.
  if (!IsOwnedHere(hash.Bucket())) {
    entry->epoch = ownership_[hash.Bucket()].epoch;
  }
  Account(*entry);
}

size_t FlowRouter::ExceptionCount() const {
  size_t n = 0;
  for (const ServiceBuckets* it : buckets_) {
    for (uint32_t b = 0; b < kBucketCount; ++b) {
      n += it->At(b).exceptions;
    }
  }
  return n;
}

bool FlowRouter::IsHandedOver(TimePoint now) const {
  return ToTick(now) - ownership_changed_ > ToTicks(kSweepTime) &&
         peers_.QueuedExceptions() == 0;
}

LoadList FlowRouter::OwnLoad() const {
  LoadList list;
  for (size_t i = 0; i < load_.size(); ++i) {
    list.emplace_back(view_->targets()[i].id, load_[i]);
  }
  return list;
}

LoadList FlowRouter::TotalLoad() const {
  LoadList list = OwnLoad();
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

bool FlowRouter::IsUsable(MemberIndex member, TimePoint now) const {
  const config::Member& it = view_->members()[member];
  return member == view_->self() ||
         (it.state != config::MemberState::kSuspect &&
          peers_.IsReachable(it.id, now));
}

MemberIndex FlowRouter::ActingOwner(uint32_t bucket, TimePoint now) const {
  for (const MemberIndex it : view_->Ranks(bucket)) {
    if (IsUsable(it, now)) {
      return it;
    }
  }
  return view_->self();
}

std::optional<MemberIndex> FlowRouter::Backup(uint32_t bucket,
                                              TimePoint now) const {
  for (const MemberIndex it : view_->Ranks(bucket)) {
    if (it != view_->self() && IsUsable(it, now)) {
      return it;
    }
  }
  return std::nullopt;
}

bool FlowRouter::IsOwnedHere(uint32_t bucket) const {
  return view_->RankedVm(bucket, 0) == self_;
}

bool FlowRouter::IsManaged(uint32_t service, uint32_t bucket, Tick tick) const {
  const ServiceBuckets& buckets = Buckets(service);
  return IsSteered(bucket) || buckets.At(bucket).exceptions > 0 ||
         buckets.ChangedRecently(bucket, tick, settle_ticks_) ||
         tick - ownership_[bucket].owner_changed <= settle_ticks_;
}

// The placement's target for new flows. For kLeaseWait after a change, or until
// every VM has reported the revision, other VMs may still treat the bucket as
// settled on its past target, so new flows go there too.
TargetId FlowRouter::PlacementTarget(const Packet& packet) const {
  const BucketState& state = Buckets(packet.service).At(packet.bucket);
  if (state.changed != 0 && packet.tick - state.changed < ToTicks(kLeaseWait) &&
      !peers_.AllReported() && view_->FindTarget(state.past)) {
    return state.past;
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

// Chooses among the targets that are below their weighted share, each in
// proportion to what it lacks. A choice of the least loaded alone would let all
// owners rush to the same target between two load reports.
TargetId FlowRouter::ChooseByLoad(const Packet& packet, TargetId natural) {
  const auto targets = view_->TargetsOf(view_->services()[packet.service]);
  const size_t first = view_->services()[packet.service].first_target;
  const auto load = [&](size_t i) {
    return static_cast<double>(load_[first + i] +
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
  const auto lack = [&](size_t i) {
    return targets[i].active && targets[i].weight > 0
               ? std::max(0.0, total * targets[i].weight / weights - load(i))
               : 0.0;
  };
  double sum = 0;
  for (size_t i = 0; i < targets.size(); ++i) {
    sum += lack(i);
  }
  const uint64_t random = packet.hash.high ^ seed_;
  double at = static_cast<double>(random >> 11) * 0x1p-53 * sum;
  for (size_t i = 0; i < targets.size(); ++i) {
    at -= lack(i);
    if (at < 0) {
      return targets[i].id;
    }
  }
  return natural;
}

void FlowRouter::UpdateOwnership(const FlowView* previous, Tick tick) {
  const auto same = [&](const FlowView& old, uint32_t bucket, size_t rank) {
    const auto before = old.Ranks(bucket);
    const auto after = view_->Ranks(bucket);
    if (rank >= before.size() || rank >= after.size()) {
      return rank >= before.size() && rank >= after.size();
    }
    const config::Member& a = old.members()[before[rank]];
    const config::Member& b = view_->members()[after[rank]];
    return a.id == b.id && a.incarnation == b.incarnation;
  };
  for (uint32_t b = 0; b < kBucketCount; ++b) {
    BucketOwnership& it = ownership_[b];
    const bool owner_stays = previous && same(*previous, b, 0);
    if (!owner_stays) {
      it.owner_changed = tick;
    }
    if (!owner_stays || !same(*previous, b, 1)) {
      ++it.epoch;
      ownership_changed_ = tick;
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

void FlowRouter::Decide(const Packet& packet,
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
