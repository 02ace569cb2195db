// Replication of keys to the backup: replicas, their acknowledgements, and the
// RangesSynced message after which the backup is complete.
#include <algorithm>

#include "src/protocol/request_control.pb.h"
#include "src/request/key_owner.h"

namespace marjoramhall::request {
namespace {

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

void KeyOwner::JoinAsBackup(RangeState& range,
                            VmId from,
                            Incarnation incarnation) {
  // Either the store's record arrived before the owner's first message, or an
  // owner that took over without the store has now chosen this backup. A
  // restarted backup also joins here, and stays incomplete until the owner has
  // copied every key to this process.
  if (range.role == RangeRole::kNone && range.record.owner == from &&
      (range.record.backup == context_.self ||
       range.record.backup == VmId::kNone)) {
    range.record.backup = context_.self;
    range.role = RangeRole::kBackup;
    range.complete = false;
    range.owner_incarnation = incarnation;
  }
}

void KeyOwner::OnReplica(VmId from,
                         Incarnation incarnation,
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
    range.owner_incarnation = incarnation;
  }
  JoinAsBackup(range, from, incarnation);
  if (range.role != RangeRole::kBackup ||
      replica.epoch() != range.record.epoch || from != range.record.owner ||
      incarnation != range.owner_incarnation) {
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
    table_.SetChangedAt(name, entry,
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
      range.sync == BackupSync::kNoBackup || entry->version != ack.version()) {
    return;
  }
  entry->acked = true;
  --range.unacked;
  CompletePending(name, *entry);
  SendSyncedIfCopied(index, now);
}

void KeyOwner::SendSyncedIfCopied(uint32_t index, TimePoint now) {
  RangeState& range = context_.ranges[index];
  // Later claims need their own acknowledgement, so RangesSynced may be sent
  // again at any time.
  const bool copied = range.sync == BackupSync::kCopying && range.unacked == 0;
  if (range.role != RangeRole::kOwner ||
      (!copied && range.sync != BackupSync::kSyncedSent)) {
    return;
  }
  const auto peer = context_.peers.find(range.record.backup);
  range.backup_incarnation = peer == context_.peers.end() ? 0 : peer->second;
  range.sync = BackupSync::kSyncedSent;
  range.synced_sent_at = now;
  protocol::RequestMessage message;
  protocol::RangesSynced* synced = message.mutable_ranges_synced();
  ToProto(range.record, synced->add_records());
  synced->add_gap_ms(static_cast<uint32_t>(
      std::max<int64_t>(0, (range.gap_ends_at - now).count() / 1000)));
  synced->set_gap_epoch(range.gap_epoch);
  synced->set_gap_opens_ms(static_cast<uint32_t>(
      std::max<int64_t>(0, (range.gap_opens_at - now).count() / 1000)));
  synced->set_backup_incarnation(range.backup_incarnation);
  context_.send(range.record.backup, message);
}

void KeyOwner::OnSynced(VmId from,
                        Incarnation incarnation,
                        const protocol::RangesSynced& synced,
                        TimePoint now) {
  if (synced.records_size() != 1 || synced.records(0).range() >= kKeyRanges) {
    return;
  }
  const KeyRangeRecord record = FromProto(synced.records(0));
  RangeState& range = context_.ranges[record.range];
  if (synced.acknowledged()) {
    if (range.role == RangeRole::kOwner && range.record == record &&
        from == record.backup && range.sync == BackupSync::kSyncedSent &&
        incarnation == range.backup_incarnation) {
      range.sync = BackupSync::kSynced;
    }
    return;
  }
  if (record.epoch > range.record.epoch) {
    range.record = record;
    range.role = RangeRole::kBackup;
    range.complete = false;
    range.owner_incarnation = incarnation;
  }
  JoinAsBackup(range, from, incarnation);
  if (record != range.record || from != record.owner ||
      range.role != RangeRole::kBackup ||
      incarnation != range.owner_incarnation ||
      synced.backup_incarnation() != context_.incarnation) {
    Announce(from, record.range, now);
    return;
  }
  if (!range.complete) {
    range.complete = true;
    range.gap_epoch = synced.gap_epoch();
    range.gap_opens_at = now + std::chrono::milliseconds(synced.gap_opens_ms());
    range.gap_ends_at = now + std::chrono::milliseconds(synced.gap_ms_size() > 0
                                                            ? synced.gap_ms(0)
                                                            : 0);
    // Keys of an earlier epoch that the owner did not copy no longer exist
    // there.
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
    unacked_replicas_.push_back({now, name, entry.version});
  }
  SendSyncedIfCopied(index, now);
}

void KeyOwner::RunWithoutBackup(uint32_t index) {
  RangeState& range = context_.ranges[index];
  range.sync = BackupSync::kNoBackup;
  range.unacked = 0;
  std::vector<KeyName> names;
  for (auto& [name, entry] : table_.range(index)) {
    entry.acked = true;
    names.push_back(name);
  }
  for (const KeyName& it : names) {
    CompletePending(it, *table_.Find(it));
  }
}

void KeyOwner::OnPeerRestart(VmId peer, TimePoint now) {
  for (uint32_t i = 0; i < kKeyRanges; ++i) {
    RangeState& range = context_.ranges[i];
    if (range.role != RangeRole::kOwner || range.record.backup != peer) {
      continue;
    }
    if (range.sync == BackupSync::kCopying ||
        (range.sync == BackupSync::kSyncedSent &&
         range.backup_incarnation == 0)) {
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

}  // namespace marjoramhall::request
