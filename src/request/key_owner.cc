// Claims, outcomes and replication of idempotency keys.
#include "src/request/key_owner.h"

#include <algorithm>

#include "src/protocol/request_control.pb.h"

namespace marjoramhall::request {
namespace {

using protocol::KeyReply;

constexpr Duration kResend = std::chrono::milliseconds(20);
constexpr Duration kExpireInterval = std::chrono::seconds(1);
// Resends of one tick, so that a copy of a full table does not send it at once.
constexpr size_t kResendsPerTick = 32;

protocol::KeyReplica::State ToProtoState(KeyState state) {
  switch (state) {
    case KeyState::kReleased:
      return protocol::KeyReplica::ABSENT;
    case KeyState::kClaimed:
      return protocol::KeyReplica::CLAIMED;
    case KeyState::kAnswered:
      return protocol::KeyReplica::DONE;
    case KeyState::kMayHaveRun:
      break;
  }
  return protocol::KeyReplica::UNKNOWN;
}

KeyState FromProtoState(protocol::KeyReplica::State state) {
  switch (state) {
    case protocol::KeyReplica::ABSENT:
      return KeyState::kReleased;
    case protocol::KeyReplica::CLAIMED:
      return KeyState::kClaimed;
    case protocol::KeyReplica::DONE:
      return KeyState::kAnswered;
    default:
      return KeyState::kMayHaveRun;
  }
}

}  // namespace

const config::Member* KeyContext::MemberOf(VmId vm) const {
  if (view == nullptr) {
    return nullptr;
  }
  for (const config::Member& it : view->members) {
    if (it.id == vm) {
      return &it;
    }
  }
  return nullptr;
}

bool KeyContext::ProcessAlive(VmId vm, Incarnation process) const {
  if (vm == self) {
    return process == incarnation;
  }
  const auto it = peers.find(vm);
  return MemberOf(vm) != nullptr &&
         (it == peers.end() || it->second == process);
}

KeyOwner::KeyOwner(const RequestPlaneOptions& options, KeyContext& context)
    : context_(context), table_(options) {}

bool KeyOwner::NeedsAck(const RangeState& range) const {
  return range.sync == BackupSync::kMarked || range.sync == BackupSync::kSynced;
}

void KeyOwner::AddTo(protocol::RangesAnnounce& announce,
                     uint32_t index,
                     TimePoint now) const {
  const RangeState& range = context_.ranges[index];
  ToProto(range.record, announce.add_records());
  announce.add_no_role(range.role == RangeRole::kNone);
  const bool open = range.role == RangeRole::kOwner &&
                    now >= range.gap_opens_at && now < range.gap_until;
  announce.add_open_gaps(open ? range.gap_epoch : 0);
}

void KeyOwner::Announce(VmId to, uint32_t range, TimePoint now) {
  protocol::RequestMessage message;
  AddTo(*message.mutable_ranges_announce(), range, now);
  context_.send(to, message);
}

bool KeyOwner::PassesGap(const KeyName& name,
                         const ClaimId& claim,
                         const protocol::KeyClaim& message,
                         TimePoint now) {
  const RangeState& range = context_.ranges[RangeOf(name)];
  if (now >= range.gap_until) {
    return true;
  }
  const bool open = now >= range.gap_opens_at;
  if (open && message.first_attempt() &&
      message.open_gap() == range.gap_epoch) {
    return true;
  }
  protocol::RequestMessage reply;
  ToProto(name, reply.mutable_key_reply()->mutable_name());
  ToProto(claim, reply.mutable_key_reply()->mutable_claim());
  reply.mutable_key_reply()->set_result(KeyReply::HISTORY_LOST);
  reply.mutable_key_reply()->set_open_gap(open ? range.gap_epoch : 0);
  context_.send(claim.vm, reply);
  return false;
}

void KeyOwner::Reply(const KeyName& name,
                     const ClaimId& claim,
                     int result,
                     const KeyEntry* entry) {
  const RangeState& range = context_.ranges[RangeOf(name)];
  protocol::RequestMessage message;
  KeyReply* reply = message.mutable_key_reply();
  ToProto(name, reply->mutable_name());
  ToProto(claim, reply->mutable_claim());
  reply->set_result(static_cast<KeyReply::Result>(result));
  reply->set_epoch(range.record.epoch);
  if (entry != nullptr && entry->has_answer) {
    ToProto(entry->answer, reply->mutable_answer());
  }
  if (result == KeyReply::NOT_OWNER && range.record.epoch > 0) {
    ToProto(range.record, reply->mutable_record());
  }
  context_.send(claim.vm, message);
}

void KeyOwner::ReplyExisting(const KeyName& name,
                             const ClaimId& claim,
                             uint64_t fingerprint,
                             KeyEntry& entry) {
  if (entry.claim == claim) {
    // A repeated claim. Once the claim has ended, its holder knows.
    if (entry.state != KeyState::kClaimed) {
      return;
    }
    if (entry.acked || !NeedsAck(context_.ranges[RangeOf(name)])) {
      Reply(name, claim, KeyReply::GRANTED, nullptr);
    } else {
      entry.grant_waits = true;
    }
    return;
  }
  if (entry.fingerprint != fingerprint) {
    Reply(name, claim, KeyReply::MISMATCH, nullptr);
  } else if (entry.state == KeyState::kClaimed &&
             context_.ProcessAlive(entry.claim.vm, entry.claim.incarnation)) {
    Reply(name, claim, KeyReply::BUSY, nullptr);
  } else if (entry.state == KeyState::kAnswered && entry.has_answer) {
    Reply(name, claim, KeyReply::ANSWERED, &entry);
  } else {
    Reply(name, claim, KeyReply::MAY_HAVE_RUN, nullptr);
  }
}

void KeyOwner::OnClaim(VmId from,
                       const protocol::KeyClaim& message,
                       TimePoint now) {
  const KeyName name = FromProto(message.name());
  const ClaimId claim = FromProto(message.claim());
  RangeState& range = context_.ranges[RangeOf(name)];
  if (claim.vm != from) {
    return;
  }
  if (range.role != RangeRole::kOwner || range.stopped) {
    Reply(name, claim, KeyReply::NOT_OWNER, nullptr);
    return;
  }
  if (!context_.may_own(now)) {
    Reply(name, claim, KeyReply::NOT_READY, nullptr);
    return;
  }
  KeyEntry* entry = table_.Find(name);
  if (entry != nullptr && entry->state != KeyState::kReleased) {
    ReplyExisting(name, claim, message.fingerprint(), *entry);
    return;
  }
  if (!PassesGap(name, claim, message, now)) {
    return;
  }
  if (entry == nullptr && table_.Full()) {
    Reply(name, claim, KeyReply::FULL, nullptr);
    return;
  }
  entry = &table_.Insert(name);
  entry->claim = claim;
  entry->state = KeyState::kClaimed;
  entry->fingerprint = message.fingerprint();
  entry->outcome_waits = false;
  entry->grant_waits = true;
  table_.Touch(name, *entry, now);
  Replicate(name, *entry, now);
}

void KeyOwner::OnOutcome(VmId from,
                         const protocol::KeyOutcome& message,
                         TimePoint now) {
  const KeyName name = FromProto(message.name());
  const ClaimId claim = FromProto(message.claim());
  const RangeState& range = context_.ranges[RangeOf(name)];
  if (range.role != RangeRole::kOwner || range.stopped) {
    if (range.record.epoch > 0) {
      Announce(from, RangeOf(name), now);
    }
    return;
  }
  KeyEntry* entry = table_.Find(name);
  const bool not_run = message.outcome() == protocol::KeyOutcome::NOT_RUN;
  const bool ends_claim = entry != nullptr && entry->claim == claim &&
                          entry->state == KeyState::kClaimed;
  // After a history gap, an outcome may be the first this owner hears of a key.
  const bool unknown = entry == nullptr && !not_run && !table_.Full();
  if (!ends_claim && !unknown) {
    if (entry != nullptr && entry->claim == claim && !entry->acked &&
        NeedsAck(range)) {
      entry->outcome_waits = true;
      return;
    }
    protocol::RequestMessage ack;
    ToProto(claim, ack.mutable_key_outcome_ack()->mutable_claim());
    context_.send(from, ack);
    return;
  }
  entry = &table_.Insert(name);
  entry->claim = claim;
  entry->fingerprint = message.fingerprint();
  entry->grant_waits = false;
  entry->outcome_waits = true;
  if (not_run) {
    entry->state = KeyState::kReleased;
  } else if (message.outcome() == protocol::KeyOutcome::ANSWERED) {
    entry->state = KeyState::kAnswered;
    if (message.has_answer()) {
      table_.SetAnswer(name, *entry, FromProto(message.answer()));
    }
  } else {
    entry->state = KeyState::kMayHaveRun;
  }
  table_.Touch(name, *entry, now);
  Replicate(name, *entry, now);
}

void KeyOwner::Replicate(const KeyName& name, KeyEntry& entry, TimePoint now) {
  RangeState& range = context_.ranges[RangeOf(name)];
  entry.version = ++range.version;
  if (range.sync == BackupSync::kAlone) {
    Settle(name, entry);
    return;
  }
  if (entry.acked) {
    entry.acked = false;
    ++range.unacked;
  }
  SendReplica(name, entry, now);
  unacked_.push_back({now + kResend, name, entry.version});
  if (!NeedsAck(range) && entry.state != KeyState::kReleased) {
    Settle(name, entry);
  }
}

void KeyOwner::SendReplica(const KeyName& name,
                           const KeyEntry& entry,
                           TimePoint now) {
  const uint32_t index = RangeOf(name);
  const RangeState& range = context_.ranges[index];
  protocol::RequestMessage message;
  protocol::KeyReplica* replica = message.mutable_key_replica();
  replica->set_range(index);
  replica->set_epoch(range.record.epoch);
  replica->set_version(entry.version);
  ToProto(name, replica->mutable_name());
  ToProto(entry.claim, replica->mutable_claim());
  replica->set_state(ToProtoState(entry.state));
  replica->set_fingerprint(entry.fingerprint);
  if (entry.has_answer) {
    ToProto(entry.answer, replica->mutable_answer());
  }
  replica->set_age_ms(static_cast<uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(now -
                                                            entry.changed_at)
          .count()));
  context_.send(range.record.backup, message);
}

void KeyOwner::Settle(const KeyName& name, KeyEntry& entry) {
  if (entry.grant_waits) {
    entry.grant_waits = false;
    if (entry.state == KeyState::kClaimed) {
      Reply(name, entry.claim, KeyReply::GRANTED, nullptr);
    }
  }
  if (entry.outcome_waits) {
    entry.outcome_waits = false;
    protocol::RequestMessage ack;
    ToProto(entry.claim, ack.mutable_key_outcome_ack()->mutable_claim());
    context_.send(entry.claim.vm, ack);
  }
  if (entry.state == KeyState::kReleased) {
    table_.Erase(KeyName(name));
  }
}

void KeyOwner::JoinAsBackup(RangeState& range, VmId from, Incarnation process) {
  // The record came from the store before the owner's first message, or an
  // owner that took over without the store has got its backup now. A restarted
  // backup joins in the same way: it stays incomplete until the owner has
  // copied every key to this process.
  if (range.role == RangeRole::kNone && range.record.owner == from &&
      (range.record.backup == context_.self ||
       range.record.backup == VmId::kNone)) {
    range.record.backup = context_.self;
    range.role = RangeRole::kBackup;
    range.complete = false;
    range.owner_incarnation = process;
  }
}

void KeyOwner::OnReplica(VmId from,
                         Incarnation process,
                         const protocol::KeyReplica& replica,
                         TimePoint now) {
  const KeyName name = FromProto(replica.name());
  const uint32_t index = RangeOf(name);
  RangeState& range = context_.ranges[index];
  if (replica.epoch() > range.record.epoch) {
    // The owner has recorded this epoch with this VM as backup.
    range.record = {index, replica.epoch(), from, context_.self};
    range.role = RangeRole::kBackup;
    range.complete = false;
    range.owner_incarnation = process;
  }
  JoinAsBackup(range, from, process);
  if (range.role != RangeRole::kBackup ||
      replica.epoch() != range.record.epoch || from != range.record.owner ||
      process != range.owner_incarnation) {
    Announce(from, index, now);
    return;
  }
  KeyEntry& entry = table_.Insert(name);
  if (entry.epoch != replica.epoch() || entry.version < replica.version()) {
    entry.epoch = replica.epoch();
    entry.version = replica.version();
    entry.claim = FromProto(replica.claim());
    entry.state = FromProtoState(replica.state());
    entry.fingerprint = replica.fingerprint();
    if (replica.has_answer()) {
      table_.SetAnswer(name, entry, FromProto(replica.answer()));
    }
    table_.Touch(name, entry,
                 now - std::chrono::milliseconds(replica.age_ms()));
  }
  protocol::RequestMessage message;
  protocol::KeyReplicaAck* ack = message.mutable_key_replica_ack();
  ack->set_range(index);
  ack->set_epoch(replica.epoch());
  ack->set_version(replica.version());
  *ack->mutable_name() = replica.name();
  context_.send(from, message);
}

void KeyOwner::OnReplicaAck(VmId from,
                            const protocol::KeyReplicaAck& ack,
                            TimePoint now) {
  const KeyName name = FromProto(ack.name());
  const uint32_t index = RangeOf(name);
  RangeState& range = context_.ranges[index];
  KeyEntry* entry = table_.Find(name);
  if (range.role != RangeRole::kOwner || from != range.record.backup ||
      ack.epoch() != range.record.epoch || entry == nullptr || entry->acked ||
      range.sync == BackupSync::kAlone || entry->version != ack.version()) {
    return;
  }
  entry->acked = true;
  --range.unacked;
  Settle(name, *entry);
  MarkIfCopied(index, now);
}

void KeyOwner::MarkIfCopied(uint32_t index, TimePoint now) {
  RangeState& range = context_.ranges[index];
  // What is claimed after the mark needs its own acknowledgement, so the mark
  // may be sent again at any time.
  const bool copied = range.sync == BackupSync::kCopying && range.unacked == 0;
  if (range.role != RangeRole::kOwner ||
      (!copied && range.sync != BackupSync::kMarked)) {
    return;
  }
  const auto peer = context_.peers.find(range.record.backup);
  range.backup_incarnation = peer == context_.peers.end() ? 0 : peer->second;
  range.sync = BackupSync::kMarked;
  range.marked_at = now;
  protocol::RequestMessage message;
  protocol::RangesSynced* synced = message.mutable_ranges_synced();
  ToProto(range.record, synced->add_records());
  synced->add_gap_ms(static_cast<uint32_t>(
      std::max<int64_t>(0, (range.gap_until - now).count() / 1000)));
  synced->set_gap_epoch(range.gap_epoch);
  synced->set_gap_opens_ms(static_cast<uint32_t>(
      std::max<int64_t>(0, (range.gap_opens_at - now).count() / 1000)));
  synced->set_backup_incarnation(range.backup_incarnation);
  context_.send(range.record.backup, message);
}

void KeyOwner::OnSynced(VmId from,
                        Incarnation process,
                        const protocol::RangesSynced& synced,
                        TimePoint now) {
  if (synced.records_size() != 1 || synced.records(0).range() >= kKeyRanges) {
    return;
  }
  const KeyRangeRecord record = FromProto(synced.records(0));
  RangeState& range = context_.ranges[record.range];
  if (synced.acknowledged()) {
    if (range.role == RangeRole::kOwner && range.record == record &&
        from == record.backup && range.sync == BackupSync::kMarked &&
        process == range.backup_incarnation) {
      range.sync = BackupSync::kSynced;
    }
    return;
  }
  if (record.epoch > range.record.epoch) {
    range.record = record;
    range.role = RangeRole::kBackup;
    range.complete = false;
    range.owner_incarnation = process;
  }
  JoinAsBackup(range, from, process);
  if (record != range.record || from != record.owner ||
      range.role != RangeRole::kBackup || process != range.owner_incarnation ||
      synced.backup_incarnation() != context_.incarnation) {
    Announce(from, record.range, now);
    return;
  }
  if (!range.complete) {
    range.complete = true;
    range.gap_epoch = synced.gap_epoch();
    range.gap_opens_at = now + std::chrono::milliseconds(synced.gap_opens_ms());
    range.gap_until = now + std::chrono::milliseconds(synced.gap_ms_size() > 0
                                                          ? synced.gap_ms(0)
                                                          : 0);
    // Keys of an earlier epoch that the owner did not copy no longer exist.
    std::vector<KeyName> stale;
    for (const auto& [name, entry] : table_.range(record.range)) {
      if (entry.epoch != record.epoch) {
        stale.push_back(name);
      }
    }
    for (const KeyName& it : stale) {
      table_.Erase(it);
    }
  }
  protocol::RequestMessage message;
  *message.mutable_ranges_synced() = synced;
  message.mutable_ranges_synced()->set_acknowledged(true);
  context_.send(from, message);
}

void KeyOwner::StartCopy(uint32_t index, TimePoint now) {
  RangeState& range = context_.ranges[index];
  range.sync = BackupSync::kCopying;
  range.unacked = 0;
  for (auto& [name, entry] : table_.range(index)) {
    entry.acked = false;
    entry.version = ++range.version;
    ++range.unacked;
    unacked_.push_back({now, name, entry.version});
  }
  MarkIfCopied(index, now);
}

void KeyOwner::RunAlone(uint32_t index) {
  RangeState& range = context_.ranges[index];
  range.sync = BackupSync::kAlone;
  range.unacked = 0;
  std::vector<KeyName> names;
  for (auto& [name, entry] : table_.range(index)) {
    entry.acked = true;
    names.push_back(name);
  }
  for (const KeyName& it : names) {
    Settle(it, *table_.Find(it));
  }
}

void KeyOwner::OnPeerRestart(VmId peer, TimePoint now) {
  for (uint32_t i = 0; i < kKeyRanges; ++i) {
    RangeState& range = context_.ranges[i];
    if (range.role != RangeRole::kOwner || range.record.backup != peer) {
      continue;
    }
    if (range.sync == BackupSync::kCopying ||
        (range.sync == BackupSync::kMarked && range.backup_incarnation == 0)) {
      StartCopy(i, now);
    } else {
      range.backup_lost = true;
    }
  }
}

void KeyOwner::RecountUnacked() {
  for (uint32_t i = 0; i < kKeyRanges; ++i) {
    RangeState& range = context_.ranges[i];
    if (range.role == RangeRole::kOwner && range.unacked > 0) {
      range.unacked = static_cast<size_t>(
          std::count_if(table_.range(i).begin(), table_.range(i).end(),
                        [](const auto& it) { return !it.second.acked; }));
    }
  }
}

void KeyOwner::EraseRange(uint32_t range) {
  table_.EraseRange(range);
}

void KeyOwner::Tick(TimePoint now) {
  for (size_t n = 0;
       n < kResendsPerTick && !unacked_.empty() && unacked_.front().due <= now;
       ++n) {
    Unacked it = std::move(unacked_.front());
    unacked_.pop_front();
    const RangeState& range = context_.ranges[RangeOf(it.name)];
    const KeyEntry* entry = table_.Find(it.name);
    if (entry != nullptr && !entry->acked && entry->version == it.version &&
        range.role == RangeRole::kOwner && range.sync != BackupSync::kAlone) {
      SendReplica(it.name, *entry, now);
      it.due = now + kResend;
      unacked_.push_back(std::move(it));
    }
  }
  for (uint32_t i = 0; i < kKeyRanges; ++i) {
    const RangeState& range = context_.ranges[i];
    if (range.sync == BackupSync::kCopying ||
        (range.sync == BackupSync::kMarked &&
         now - range.marked_at >= kResend * 10)) {
      MarkIfCopied(i, now);
    }
  }
  if (now - expired_at_ >= kExpireInterval) {
    expired_at_ = now;
    if (table_.Expire(now) > 0) {
      RecountUnacked();
    }
  }
}

}  // namespace marjoramhall::request
