// Ownership of key ranges.
#include "src/request/range_keeper.h"

#include <algorithm>
#include <utility>

#include "src/config/rendezvous.h"
#include "src/protocol/request_control.pb.h"

namespace marjoramhall::request {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kTickInterval = milliseconds(100);
// Ticks come every 10 ms; a longer silence means that the process was paused
// and that others may have acted without it.
constexpr Duration kPause = seconds(2);
// VMs that start together find each other before they share out the ranges.
constexpr Duration kStartDelay = milliseconds(300);
// How long a restarted owner leaves its ranges to a backup that has their keys.
constexpr Duration kOrphanGrace = seconds(3);
constexpr Duration kSettled = seconds(5);
constexpr Duration kFirstRetry = milliseconds(200);
constexpr Duration kLongestRetry = seconds(5);
// A lost answer of the adapter must not stop the keeper for ever.
constexpr Duration kCallTimeout = seconds(10);
constexpr Duration kHintInterval = seconds(1);
constexpr Duration kBalanceInterval = seconds(5);
constexpr size_t kMovesPerRound = 16;

}  // namespace

RangeKeeper::RangeKeeper(const RequestPlaneOptions& options,
                         KeyContext& context,
                         KeyOwner& owner,
                         const RequestHooks& hooks)
    : options_(options), context_(context), owner_(owner), hooks_(hooks) {
  for (uint32_t i = 0; i < kKeyRanges; ++i) {
    context_.ranges[i].record.range = i;
  }
}

void RangeKeeper::OnView(TimePoint now) {
  std::set<VmId> members;
  for (const config::Member& it : context_.view->members) {
    members.insert(it.id);
  }
  if (members != members_) {
    viewed_at_ = now;
  }
  if (first_view_at_ == TimePoint{}) {
    first_view_at_ = now;
  }
  members_ = std::move(members);
  GreetMembers();
  // A VM that leaves by plan is not missed.
  missing_.insert(staying_.begin(), staying_.end());
  staying_.clear();
  for (const config::Member& it : context_.view->members) {
    missing_.erase(it.id);
    if (it.state != config::MemberState::kLeaving) {
      staying_.insert(it.id);
    }
  }
  if (!missing_.empty()) {
    disturbed_ = true;
    disturbed_at_ = now;
  }
}

void RangeKeeper::GreetMembers() {
  std::map<VmId, Incarnation> incarnations;
  for (const config::Member& it : context_.view->members) {
    incarnations[it.id] = it.incarnation;
    const auto known = incarnations_.find(it.id);
    if (known != incarnations_.end() && known->second == it.incarnation) {
      continue;
    }
    for (uint32_t i = 0; i < kKeyRanges; ++i) {
      const RangeState& range = context_.ranges[i];
      if (range.record.owner == it.id &&
          range.record.epoch > range.store_epoch) {
        announcements_[it.id].insert(i);
      }
    }
  }
  incarnations_ = std::move(incarnations);
}

void RangeKeeper::NoteTime(TimePoint now) {
  if (last_event_ != TimePoint{} && now - last_event_ > kPause) {
    disturbed_ = true;
    disturbed_at_ = now;
  }
  last_event_ = std::max(last_event_, now);
}

bool RangeKeeper::MayOwn(TimePoint now) const {
  return !disturbed_ || now - confirmed_at_ < options_.ownership_confirm;
}

bool RangeKeeper::Usable(VmId vm) const {
  const config::Member* member = context_.MemberOf(vm);
  return member != nullptr && member->state != config::MemberState::kLeaving;
}

VmId RangeKeeper::PickBackup(uint32_t range) const {
  const auto& members = context_.view->members;
  VmId suspect = VmId::kNone;
  for (const VmId it : config::RankMembers(config::RendezvousSpace::kKeyRange,
                                           range, members, members.size())) {
    if (it == context_.self || !Usable(it)) {
      continue;
    }
    if (context_.MemberOf(it)->state == config::MemberState::kAlive) {
      return it;
    }
    if (suspect == VmId::kNone) {
      suspect = it;
    }
  }
  return suspect;
}

void RangeKeeper::LoseRole(uint32_t index, const KeyRangeRecord& record) {
  RangeState& range = context_.ranges[index];
  const bool had_role = range.role != RangeRole::kNone;
  const bool backs_up =
      record.backup == context_.self && range.role != RangeRole::kNone;
  range.record = record;
  range.complete = false;
  range.owner_incarnation = 0;
  range.orphaned_at = TimePoint{};
  range.owner_denies = false;
  range.backup_denies = false;
  range.stopped = false;
  range.role = RangeRole::kNone;
  if (had_role && !backs_up) {
    owner_.EraseRange(index);
  }
}

void RangeKeeper::BecomeOwner(uint32_t index,
                              const KeyRangeRecord& record,
                              TimePoint now) {
  RangeState& range = context_.ranges[index];
  // An owner that takes a range back after it had given it up does not know
  // what the other VM granted meanwhile.
  const bool has_history =
      (range.role == RangeRole::kOwner && !range.stopped) ||
      (range.role == RangeRole::kBackup && range.complete) || record.epoch == 1;
  if (!has_history) {
    range.gap_epoch = record.epoch;
    range.gap_opens_at =
        NoneHolds(index) ? now : now + options_.ownership_confirm;
    range.gap_until = range.gap_opens_at + options_.key_retention;
    range.gap_announced = false;
  }
  context_.decide(index, has_history ? "own" : "own-with-history-gap");
  range.record = record;
  range.role = RangeRole::kOwner;
  range.stopped = false;
  range.recorded = true;
  range.backup_lost = false;
  range.complete = false;
  range.orphaned_at = TimePoint{};
  // Claims of VMs that know no owner, or the old one, would wait for a resend.
  for (const config::Member& it : context_.view->members) {
    announcements_[it.id].insert(index);
  }
  if (record.backup == VmId::kNone) {
    owner_.RunAlone(index);
  } else {
    owner_.StartCopy(index, now);
  }
}

void RangeKeeper::TakeOver(uint32_t index, const char* why, TimePoint now) {
  RangeState& range = context_.ranges[index];
  context_.decide(index, why);
  ++range.record.epoch;
  range.record.owner = context_.self;
  range.record.backup = VmId::kNone;
  range.role = RangeRole::kOwner;
  range.stopped = false;
  range.recorded = false;
  range.backup_lost = false;
  range.complete = false;
  owner_.RunAlone(index);
  for (const config::Member& it : context_.view->members) {
    announcements_[it.id].insert(index);
  }
  retry_at_ = std::min(retry_at_, now + kTickInterval);
}

void RangeKeeper::Accept(const KeyRangeRecord& record,
                         bool from_store,
                         TimePoint now) {
  if (record.range >= kKeyRanges) {
    return;
  }
  RangeState& range = context_.ranges[record.range];
  const bool newer = record.epoch > range.record.epoch;
  const bool same = record.epoch == range.record.epoch;
  const bool mine = record.owner == context_.self &&
                    proposed_epochs_[record.range] == record.epoch;
  if (from_store) {
    range.store_epoch = std::max(range.store_epoch, record.epoch);
  }
  if (record == range.record && (!mine || range.role == RangeRole::kOwner)) {
    range.recorded |= from_store;
    return;
  }
  if (same && !from_store && range.role == RangeRole::kNone &&
      record.owner == range.record.owner &&
      range.record.backup == VmId::kNone) {
    // An owner that took over without the store has got its backup now.
    range.record = record;
    return;
  }
  // The store decides between records of one epoch: only a take-over without it
  // makes a second one.
  if (!newer && !(same && from_store)) {
    return;
  }
  if (mine) {
    BecomeOwner(record.range, record, now);
  } else {
    LoseRole(record.range, record);
  }
}

void RangeKeeper::OnRangeStoreReply(bool ok,
                                    const std::vector<KeyRangeRecord>& records,
                                    TimePoint now) {
  const StoreCall call = std::exchange(call_, StoreCall::kNone);
  for (const KeyRangeRecord& it : records) {
    Accept(it, true, now);
  }
  if (ok && call == StoreCall::kRecord) {
    for (const KeyRangeRecord& it : proposed_) {
      Accept(it, true, now);
    }
  }
  proposed_.clear();
  if (!ok) {
    // A proposal that failed may have met another VM's record.
    read_wanted_ |= call == StoreCall::kRecord;
    retry_wait_ = std::clamp(retry_wait_ * 2, kFirstRetry, kLongestRetry);
    retry_at_ = now + retry_wait_;
    return;
  }
  retry_wait_ = Duration{0};
  if (call == StoreCall::kRead) {
    table_known_ = true;
    read_wanted_ = false;
  }
  confirmed_at_ = std::max(confirmed_at_, called_at_);
  if (disturbed_at_ <= called_at_ && missing_.empty()) {
    disturbed_ = false;
  }
}

bool RangeKeeper::NoneHolds(uint32_t index) const {
  const RangeState& range = context_.ranges[index];
  const KeyRangeRecord& record = range.record;
  return (record.owner == context_.self || range.owner_denies) &&
         (record.backup == context_.self || record.backup == VmId::kNone ||
          range.backup_denies);
}

bool RangeKeeper::WantedAsOwner(uint32_t index,
                                TimePoint now,
                                KeyRangeRecord* out) {
  RangeState& range = context_.ranges[index];
  if (handing_over_ || (range.stopped && !range.backup_lost &&
                        context_.MemberOf(range.record.backup) != nullptr)) {
    return false;
  }
  const VmId backup = range.record.backup;
  const bool sound = range.recorded && backup != VmId::kNone &&
                     !range.backup_lost && Usable(backup);
  if (sound && (moves_left_ == 0 || now - viewed_at_ < kBalanceInterval)) {
    return false;
  }
  const VmId best = PickBackup(index);
  if (!range.recorded) {
    *out = {index, range.record.epoch, context_.self, best};
    return true;
  }
  *out = {index, range.record.epoch + 1, context_.self, best};
  if (!sound) {
    return best != backup || range.backup_lost;
  }
  // Balancing: the range moves to the VM that ranks first, by way of backup.
  const auto& members = context_.view->members;
  const VmId first = config::RankMembers(config::RendezvousSpace::kKeyRange,
                                         index, members, 1)[0];
  if (first == context_.self || !Usable(first)) {
    return false;
  }
  if (backup != first) {
    --moves_left_;
    return true;  // `best` is `first`, since this VM does not rank first
  }
  if (range.sync == BackupSync::kSynced) {
    --moves_left_;
    range.stopped = true;
    handed_at_ = TimePoint{};  // claims wait until the other VM has answered
  }
  return false;
}

bool RangeKeeper::WantedAsOther(uint32_t index,
                                TimePoint now,
                                KeyRangeRecord* out) {
  RangeState& range = context_.ranges[index];
  const VmId self = context_.self;
  const VmId owner = range.record.owner;
  const VmId backup = range.record.backup;
  *out = {index, std::min(range.record.epoch, range.store_epoch) + 1, self,
          PickBackup(index)};
  if (owner != self && context_.MemberOf(owner) != nullptr) {
    range.owner_absent_since = TimePoint{};
  } else if (range.owner_absent_since == TimePoint{}) {
    range.owner_absent_since = now;
  }
  // Without the keys, a take-over loses the history. While VMs start, an owner
  // may be alive that this VM has not met yet.
  const bool settled =
      NoneHolds(index) || (range.owner_absent_since != TimePoint{} &&
                           now - range.owner_absent_since >= kSettled);
  if (range.role == RangeRole::kBackup) {
    const auto peer = context_.peers.find(owner);
    if (range.complete && peer != context_.peers.end() &&
        peer->second > range.owner_incarnation) {
      TakeOver(index, "take-over-from-ended-process", now);
      return false;
    }
    return context_.MemberOf(owner) == nullptr && (range.complete || settled);
  }
  if (owner == self && range.record.epoch > 0) {
    if (range.orphaned_at == TimePoint{}) {
      range.orphaned_at = now;
    }
    if (context_.MemberOf(backup) == nullptr || NoneHolds(index)) {
      return settled;
    }
    // Tells the backup that this is a new process.
    announcements_[backup].insert(index);
    return now - range.orphaned_at >= kOrphanGrace;
  }
  if (context_.MemberOf(owner) != nullptr) {
    return false;
  }
  if (backup == self) {
    return settled;
  }
  return (settled || range.record.epoch == 0) &&
         context_.MemberOf(backup) == nullptr &&
         config::RankMembers(config::RendezvousSpace::kKeyRange, index,
                             context_.view->members, 1)[0] == self;
}

bool RangeKeeper::Wanted(uint32_t range, TimePoint now, KeyRangeRecord* out) {
  if (context_.ranges[range].role == RangeRole::kOwner) {
    return WantedAsOwner(range, now, out);
  }
  return !handing_over_ && WantedAsOther(range, now, out);
}

void RangeKeeper::CallStore(TimePoint now) {
  const bool owns = std::any_of(
      context_.ranges.begin(), context_.ranges.end(),
      [](const RangeState& it) { return it.role == RangeRole::kOwner; });
  if (!table_known_ || read_wanted_ ||
      (read_hint_ && now - called_at_ >= kHintInterval) ||
      (owns && now - confirmed_at_ > options_.ownership_confirm / 3)) {
    call_ = StoreCall::kRead;
    called_at_ = now;
    read_hint_ = false;
    hooks_.read_ranges();
    return;
  }
  std::vector<KeyRangeRecord> wanted;
  for (uint32_t i = 0; i < kKeyRanges; ++i) {
    KeyRangeRecord record;
    if (Wanted(i, now, &record)) {
      wanted.push_back(record);
      proposed_epochs_[i] = record.epoch;
    }
  }
  moves_left_ = 0;
  if (!wanted.empty()) {
    call_ = StoreCall::kRecord;
    called_at_ = now;
    proposed_ = wanted;
    hooks_.record_ranges(std::move(wanted));
  }
}

void RangeKeeper::Tick(TimePoint now) {
  if (context_.view == nullptr || now - ticked_at_ < kTickInterval) {
    return;
  }
  ticked_at_ = now;
  if (call_ != StoreCall::kNone && now - called_at_ > kCallTimeout) {
    call_ = StoreCall::kNone;
    read_wanted_ = true;
  }
  if (now - balanced_at_ >= kBalanceInterval) {
    balanced_at_ = now;
    moves_left_ = kMovesPerRound;
  }
  if (call_ == StoreCall::kNone && now >= retry_at_ &&
      now - first_view_at_ >= kStartDelay) {
    CallStore(now);
  }
  SendHandovers(now);
  AnnounceGaps(now);
  SendAnnouncements(now);
}

bool RangeKeeper::HandedOver() const {
  return std::none_of(
      context_.ranges.begin(), context_.ranges.end(), [](const RangeState& it) {
        return it.role == RangeRole::kOwner && it.record.backup != VmId::kNone;
      });
}

}  // namespace marjoramhall::request
