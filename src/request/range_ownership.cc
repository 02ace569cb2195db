// Ownership of key ranges: records, proposals to the store and take-overs.
// Messages between VMs are in range_ownership_messages.cc.
#include "src/request/range_ownership.h"

#include <algorithm>
#include <utility>

#include "src/config/rendezvous.h"
#include "src/protocol/request_control.pb.h"

namespace marjoramhall::request {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kTickInterval = milliseconds(100);
// Ticks come every 10 ms. A longer time without events means that the process
// was paused and that other VMs may have acted in the meantime.
constexpr Duration kPauseThreshold = seconds(2);
// VMs that start together discover each other before they claim ranges.
constexpr Duration kStartDelay = milliseconds(300);
// How long a restarted owner waits for a backup with the keys to take over.
constexpr Duration kBackupTakeOverTime = seconds(3);
// How long an owner must be absent before a VM without the keys takes over.
constexpr Duration kOwnerAbsentTime = seconds(5);
constexpr Duration kMinRetryWait = milliseconds(200);
constexpr Duration kMaxRetryWait = seconds(5);
// Ends a store call whose reply was lost, so that new calls can be made.
constexpr Duration kStoreCallTimeout = seconds(10);
constexpr Duration kRequestedReadInterval = seconds(1);
constexpr Duration kBalanceInterval = seconds(5);
constexpr size_t kMaxMovesPerRound = 16;

}  // namespace

RangeOwnership::RangeOwnership(const RequestPlaneOptions& options,
                               KeyContext& context,
                               KeyOwner& owner,
                               const RequestHooks& hooks)
    : options_(options), context_(context), owner_(owner), hooks_(hooks) {
  for (uint32_t i = 0; i < kKeyRanges; ++i) {
    context_.ranges[i].record.range = i;
  }
}

void RangeOwnership::OnView(TimePoint now) {
  std::set<VmId> members;
  for (const config::Member& it : context_.view->members) {
    members.insert(it.id);
  }
  if (members != members_) {
    members_changed_at_ = now;
  }
  if (first_view_at_ == TimePoint{}) {
    first_view_at_ = now;
  }
  members_ = std::move(members);
  AnnounceToNewMembers();
  // A VM that leaves by plan does not count as missing.
  missing_vms_.insert(staying_vms_.begin(), staying_vms_.end());
  staying_vms_.clear();
  for (const config::Member& it : context_.view->members) {
    missing_vms_.erase(it.id);
    if (it.state != config::MemberState::kLeaving) {
      staying_vms_.insert(it.id);
    }
  }
  if (!missing_vms_.empty()) {
    ownership_uncertain_ = true;
    last_uncertain_at_ = now;
  }
}

void RangeOwnership::AnnounceToNewMembers() {
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

void RangeOwnership::OnEventTime(TimePoint now) {
  if (last_event_at_ != TimePoint{} && now - last_event_at_ > kPauseThreshold) {
    ownership_uncertain_ = true;
    last_uncertain_at_ = now;
  }
  last_event_at_ = std::max(last_event_at_, now);
}

bool RangeOwnership::MayActAsOwner(TimePoint now) const {
  return !ownership_uncertain_ ||
         now - confirmed_at_ < options_.ownership_confirm_timeout;
}

bool RangeOwnership::IsUsable(VmId vm) const {
  const config::Member* member = context_.MemberOf(vm);
  return member != nullptr && member->state != config::MemberState::kLeaving;
}

VmId RangeOwnership::PickBackup(uint32_t range) const {
  const auto& members = context_.view->members;
  VmId suspect = VmId::kNone;
  for (const VmId it : config::RankMembers(config::RendezvousSpace::kKeyRange,
                                           range, members, members.size())) {
    if (it == context_.self || !IsUsable(it)) {
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

void RangeOwnership::LoseRole(uint32_t index, const KeyRangeRecord& record) {
  RangeState& range = context_.ranges[index];
  const bool had_role = range.role != RangeRole::kNone;
  const bool stays_backup =
      record.backup == context_.self && range.role != RangeRole::kNone;
  range.record = record;
  range.complete = false;
  range.owner_incarnation = 0;
  range.role_missing_since = TimePoint{};
  range.owner_has_no_role = false;
  range.backup_has_no_role = false;
  range.grants_stopped = false;
  range.role = RangeRole::kNone;
  if (had_role && !stays_backup) {
    owner_.EraseRange(index);
  }
}

void RangeOwnership::BecomeOwner(uint32_t index,
                                 const KeyRangeRecord& record,
                                 TimePoint now) {
  RangeState& range = context_.ranges[index];
  // An owner that takes back a range it has handed over does not know which
  // claims the other VM granted in the meantime.
  const bool has_history =
      (range.role == RangeRole::kOwner && !range.grants_stopped) ||
      (range.role == RangeRole::kBackup && range.complete) || record.epoch == 1;
  if (!has_history) {
    range.gap_epoch = record.epoch;
    range.gap_opens_at = NoProcessHasRole(index)
                             ? now
                             : now + options_.ownership_confirm_timeout;
    range.gap_ends_at = range.gap_opens_at + options_.key_retention;
    range.gap_announced = false;
  }
  context_.decide(index, has_history ? "own" : "own-with-history-gap");
  range.record = record;
  range.role = RangeRole::kOwner;
  range.grants_stopped = false;
  range.recorded_in_store = true;
  range.backup_lost = false;
  range.complete = false;
  range.role_missing_since = TimePoint{};
  // Without an announcement, claims of VMs that know no owner or the old one
  // would wait for a resend.
  for (const config::Member& it : context_.view->members) {
    announcements_[it.id].insert(index);
  }
  if (record.backup == VmId::kNone) {
    owner_.RunWithoutBackup(index);
  } else {
    owner_.StartCopy(index, now);
  }
}

void RangeOwnership::TakeOverWithoutStore(uint32_t index,
                                          const char* outcome,
                                          TimePoint now) {
  RangeState& range = context_.ranges[index];
  context_.decide(index, outcome);
  ++range.record.epoch;
  range.record.owner = context_.self;
  range.record.backup = VmId::kNone;
  range.role = RangeRole::kOwner;
  range.grants_stopped = false;
  range.recorded_in_store = false;
  range.backup_lost = false;
  range.complete = false;
  owner_.RunWithoutBackup(index);
  for (const config::Member& it : context_.view->members) {
    announcements_[it.id].insert(index);
  }
  retry_at_ = std::min(retry_at_, now + kTickInterval);
}

void RangeOwnership::ApplyRecord(const KeyRangeRecord& record,
                                 bool from_store,
                                 TimePoint now) {
  if (record.range >= kKeyRanges) {
    return;
  }
  RangeState& range = context_.ranges[record.range];
  const bool is_newer = record.epoch > range.record.epoch;
  const bool is_same_epoch = record.epoch == range.record.epoch;
  const bool is_own_proposal = record.owner == context_.self &&
                               proposed_epochs_[record.range] == record.epoch;
  if (from_store) {
    range.store_epoch = std::max(range.store_epoch, record.epoch);
  }
  if (record == range.record &&
      (!is_own_proposal || range.role == RangeRole::kOwner)) {
    range.recorded_in_store |= from_store;
    return;
  }
  if (is_same_epoch && !from_store && range.role == RangeRole::kNone &&
      record.owner == range.record.owner &&
      range.record.backup == VmId::kNone) {
    // An owner that took over without the store has now chosen a backup.
    range.record = record;
    return;
  }
  // Two records of one epoch exist only after a take-over without the store.
  // The store's record prevails.
  if (!is_newer && !(is_same_epoch && from_store)) {
    return;
  }
  if (is_own_proposal) {
    BecomeOwner(record.range, record, now);
  } else {
    LoseRole(record.range, record);
  }
}

void RangeOwnership::OnRangeStoreReply(
    bool ok,
    const std::vector<KeyRangeRecord>& records,
    TimePoint now) {
  const StoreCall call = std::exchange(pending_call_, StoreCall::kNone);
  for (const KeyRangeRecord& it : records) {
    ApplyRecord(it, true, now);
  }
  if (ok && call == StoreCall::kRecord) {
    for (const KeyRangeRecord& it : proposed_) {
      ApplyRecord(it, true, now);
    }
  }
  proposed_.clear();
  if (!ok) {
    // The proposal may have failed because of another VM's record.
    read_required_ |= call == StoreCall::kRecord;
    retry_wait_ = std::clamp(retry_wait_ * 2, kMinRetryWait, kMaxRetryWait);
    retry_at_ = now + retry_wait_;
    return;
  }
  retry_wait_ = Duration{0};
  if (call == StoreCall::kRead) {
    store_table_read_ = true;
    read_required_ = false;
  }
  confirmed_at_ = std::max(confirmed_at_, called_at_);
  if (last_uncertain_at_ <= called_at_ && missing_vms_.empty()) {
    ownership_uncertain_ = false;
  }
}

bool RangeOwnership::NoProcessHasRole(uint32_t index) const {
  const RangeState& range = context_.ranges[index];
  const KeyRangeRecord& record = range.record;
  return (record.owner == context_.self || range.owner_has_no_role) &&
         (record.backup == context_.self || record.backup == VmId::kNone ||
          range.backup_has_no_role);
}

bool RangeOwnership::ShouldProposeAsOwner(uint32_t index,
                                          TimePoint now,
                                          KeyRangeRecord* out) {
  RangeState& range = context_.ranges[index];
  if (handing_over_ || (range.grants_stopped && !range.backup_lost &&
                        context_.MemberOf(range.record.backup) != nullptr)) {
    return false;
  }
  const VmId backup = range.record.backup;
  const bool backup_usable = range.recorded_in_store && backup != VmId::kNone &&
                             !range.backup_lost && IsUsable(backup);
  if (backup_usable &&
      (moves_left_ == 0 || now - members_changed_at_ < kBalanceInterval)) {
    return false;
  }
  const VmId best_backup = PickBackup(index);
  if (!range.recorded_in_store) {
    *out = {index, range.record.epoch, context_.self, best_backup};
    return true;
  }
  *out = {index, range.record.epoch + 1, context_.self, best_backup};
  if (!backup_usable) {
    return best_backup != backup || range.backup_lost;
  }
  // Balancing: the range moves to the highest ranked VM, which first becomes
  // its backup.
  const auto& members = context_.view->members;
  const VmId first_ranked = config::RankMembers(
      config::RendezvousSpace::kKeyRange, index, members, 1)[0];
  if (first_ranked == context_.self || !IsUsable(first_ranked)) {
    return false;
  }
  if (backup != first_ranked) {
    --moves_left_;
    return true;  // best_backup is first_ranked, since this VM is not
  }
  if (range.sync == BackupSync::kSynced) {
    --moves_left_;
    range.grants_stopped = true;
    handovers_sent_at_ = TimePoint{};  // at once, since claims wait for it
  }
  return false;
}

bool RangeOwnership::ShouldProposeAsNonOwner(uint32_t index,
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
  // A take-over without the keys loses the history. While VMs start, the owner
  // may be alive but not yet known to this VM.
  const bool owner_lost = NoProcessHasRole(index) ||
                          (range.owner_absent_since != TimePoint{} &&
                           now - range.owner_absent_since >= kOwnerAbsentTime);
  if (range.role == RangeRole::kBackup) {
    const auto peer = context_.peers.find(owner);
    if (range.complete && peer != context_.peers.end() &&
        peer->second > range.owner_incarnation) {
      TakeOverWithoutStore(index, "take-over-from-ended-process", now);
      return false;
    }
    return context_.MemberOf(owner) == nullptr &&
           (range.complete || owner_lost);
  }
  if (owner == self && range.record.epoch > 0) {
    if (range.role_missing_since == TimePoint{}) {
      range.role_missing_since = now;
    }
    if (context_.MemberOf(backup) == nullptr || NoProcessHasRole(index)) {
      return owner_lost;
    }
    // Shows the backup that this is a new process.
    announcements_[backup].insert(index);
    return now - range.role_missing_since >= kBackupTakeOverTime;
  }
  if (context_.MemberOf(owner) != nullptr) {
    return false;
  }
  if (backup == self) {
    return owner_lost;
  }
  return (owner_lost || range.record.epoch == 0) &&
         context_.MemberOf(backup) == nullptr &&
         config::RankMembers(config::RendezvousSpace::kKeyRange, index,
                             context_.view->members, 1)[0] == self;
}

bool RangeOwnership::ShouldPropose(uint32_t range,
                                   TimePoint now,
                                   KeyRangeRecord* out) {
  if (context_.ranges[range].role == RangeRole::kOwner) {
    return ShouldProposeAsOwner(range, now, out);
  }
  return !handing_over_ && ShouldProposeAsNonOwner(range, now, out);
}

void RangeOwnership::CallStore(TimePoint now) {
  const bool owns = std::any_of(
      context_.ranges.begin(), context_.ranges.end(),
      [](const RangeState& it) { return it.role == RangeRole::kOwner; });
  if (!store_table_read_ || read_required_ ||
      (read_requested_ && now - called_at_ >= kRequestedReadInterval) ||
      (owns && now - confirmed_at_ > options_.ownership_confirm_timeout / 3)) {
    pending_call_ = StoreCall::kRead;
    called_at_ = now;
    read_requested_ = false;
    hooks_.read_ranges();
    return;
  }
  std::vector<KeyRangeRecord> proposals;
  for (uint32_t i = 0; i < kKeyRanges; ++i) {
    KeyRangeRecord record;
    if (ShouldPropose(i, now, &record)) {
      proposals.push_back(record);
      proposed_epochs_[i] = record.epoch;
    }
  }
  moves_left_ = 0;
  if (!proposals.empty()) {
    pending_call_ = StoreCall::kRecord;
    called_at_ = now;
    proposed_ = proposals;
    hooks_.record_ranges(std::move(proposals));
  }
}

void RangeOwnership::Tick(TimePoint now) {
  if (context_.view == nullptr || now - last_tick_at_ < kTickInterval) {
    return;
  }
  last_tick_at_ = now;
  if (pending_call_ != StoreCall::kNone &&
      now - called_at_ > kStoreCallTimeout) {
    pending_call_ = StoreCall::kNone;
    read_required_ = true;
  }
  if (now - balancing_round_at_ >= kBalanceInterval) {
    balancing_round_at_ = now;
    moves_left_ = kMaxMovesPerRound;
  }
  if (pending_call_ == StoreCall::kNone && now >= retry_at_ &&
      now - first_view_at_ >= kStartDelay) {
    CallStore(now);
  }
  SendHandovers(now);
  AnnounceGaps(now);
  SendAnnouncements(now);
}

bool RangeOwnership::IsHandedOver() const {
  return std::none_of(
      context_.ranges.begin(), context_.ranges.end(), [](const RangeState& it) {
        return it.role == RangeRole::kOwner && it.record.backup != VmId::kNone;
      });
}

}  // namespace marjoramhall::request
