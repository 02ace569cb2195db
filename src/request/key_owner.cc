// Claims and outcomes of idempotency keys at the owner of their ranges.
#include "src/request/key_owner.h"

#include <algorithm>

#include "src/protocol/request_control.pb.h"

namespace marjoramhall::request {
namespace {

using protocol::KeyReply;

constexpr Duration kReplicaResendInterval = std::chrono::milliseconds(20);
constexpr Duration kSyncedResendInterval = std::chrono::milliseconds(200);
constexpr Duration kExpireInterval = std::chrono::seconds(1);
// Limit per tick, so that the copy of a full table is spread over time.
constexpr size_t kMaxResendsPerTick = 32;

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

bool KeyContext::IsProcessAlive(VmId vm, Incarnation process) const {
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
  return range.sync == BackupSync::kSyncedSent ||
         range.sync == BackupSync::kSynced;
}

void KeyOwner::AddRangeTo(protocol::RangesAnnounce& announce,
                          uint32_t index,
                          TimePoint now) const {
  const RangeState& range = context_.ranges[index];
  ToProto(range.record, announce.add_records());
  announce.add_no_role(range.role == RangeRole::kNone);
  const bool open = range.role == RangeRole::kOwner &&
                    now >= range.gap_opens_at && now < range.gap_ends_at;
  announce.add_open_gaps(open ? range.gap_epoch : 0);
}

void KeyOwner::Announce(VmId to, uint32_t range, TimePoint now) {
  protocol::RequestMessage message;
  AddRangeTo(*message.mutable_ranges_announce(), range, now);
  context_.send(to, message);
}

bool KeyOwner::IsClaimableInGap(const KeyName& name,
                                const ClaimId& claim,
                                const protocol::KeyClaim& message,
                                TimePoint now) {
  const RangeState& range = context_.ranges[RangeOf(name)];
  if (now >= range.gap_ends_at) {
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
    // A repeated claim. Needs no reply if the claim has ended, since the
    // claimant itself ended it.
    if (entry.state != KeyState::kClaimed) {
      return;
    }
    if (entry.acked || !NeedsAck(context_.ranges[RangeOf(name)])) {
      Reply(name, claim, KeyReply::GRANTED, nullptr);
    } else {
      entry.grant_pending = true;
    }
    return;
  }
  if (entry.fingerprint != fingerprint) {
    Reply(name, claim, KeyReply::MISMATCH, nullptr);
  } else if (entry.state == KeyState::kClaimed &&
             context_.IsProcessAlive(entry.claim.vm, entry.claim.incarnation)) {
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
  if (range.role != RangeRole::kOwner || range.grants_stopped) {
    Reply(name, claim, KeyReply::NOT_OWNER, nullptr);
    return;
  }
  if (!context_.may_act_as_owner(now)) {
    Reply(name, claim, KeyReply::NOT_READY, nullptr);
    return;
  }
  KeyEntry* entry = table_.Find(name);
  if (entry != nullptr && entry->state != KeyState::kReleased) {
    ReplyExisting(name, claim, message.fingerprint(), *entry);
    return;
  }
  if (!IsClaimableInGap(name, claim, message, now)) {
    return;
  }
  if (entry == nullptr && table_.IsFull()) {
    Reply(name, claim, KeyReply::FULL, nullptr);
    return;
  }
  entry = &table_.Insert(name);
  entry->claim = claim;
  entry->state = KeyState::kClaimed;
  entry->fingerprint = message.fingerprint();
  entry->outcome_ack_pending = false;
  entry->grant_pending = true;
  table_.SetChangedAt(name, *entry, now);
  Replicate(name, *entry, now);
}

void KeyOwner::OnOutcome(VmId from,
                         const protocol::KeyOutcome& message,
                         TimePoint now) {
  const KeyName name = FromProto(message.name());
  const ClaimId claim = FromProto(message.claim());
  const RangeState& range = context_.ranges[RangeOf(name)];
  if (range.role != RangeRole::kOwner || range.grants_stopped) {
    if (range.record.epoch > 0) {
      Announce(from, RangeOf(name), now);
    }
    return;
  }
  KeyEntry* entry = table_.Find(name);
  const bool not_run = message.outcome() == protocol::KeyOutcome::NOT_RUN;
  const bool ends_claim = entry != nullptr && entry->claim == claim &&
                          entry->state == KeyState::kClaimed;
  // After a take-over with a history gap, the owner may not know the key of an
  // outcome.
  const bool is_unknown_key = entry == nullptr && !not_run && !table_.IsFull();
  if (!ends_claim && !is_unknown_key) {
    if (entry != nullptr && entry->claim == claim && !entry->acked &&
        NeedsAck(range)) {
      entry->outcome_ack_pending = true;
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
  entry->grant_pending = false;
  entry->outcome_ack_pending = true;
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
  table_.SetChangedAt(name, *entry, now);
  Replicate(name, *entry, now);
}

void KeyOwner::Replicate(const KeyName& name, KeyEntry& entry, TimePoint now) {
  RangeState& range = context_.ranges[RangeOf(name)];
  entry.version = ++range.version;
  if (range.sync == BackupSync::kNoBackup) {
    CompletePending(name, entry);
    return;
  }
  if (entry.acked) {
    entry.acked = false;
    ++range.unacked;
  }
  SendReplica(name, entry, now);
  unacked_replicas_.push_back(
      {now + kReplicaResendInterval, name, entry.version});
  if (!NeedsAck(range) && entry.state != KeyState::kReleased) {
    CompletePending(name, entry);
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

void KeyOwner::CompletePending(const KeyName& name, KeyEntry& entry) {
  if (entry.grant_pending) {
    entry.grant_pending = false;
    if (entry.state == KeyState::kClaimed) {
      Reply(name, entry.claim, KeyReply::GRANTED, nullptr);
    }
  }
  if (entry.outcome_ack_pending) {
    entry.outcome_ack_pending = false;
    protocol::RequestMessage ack;
    ToProto(entry.claim, ack.mutable_key_outcome_ack()->mutable_claim());
    context_.send(entry.claim.vm, ack);
  }
  if (entry.state == KeyState::kReleased) {
    table_.Erase(KeyName(name));
  }
}

void KeyOwner::EraseRange(uint32_t range) {
  table_.EraseRange(range);
}

void KeyOwner::Tick(TimePoint now) {
  for (size_t n = 0; n < kMaxResendsPerTick && !unacked_replicas_.empty() &&
                     unacked_replicas_.front().due <= now;
       ++n) {
    UnackedReplica it = std::move(unacked_replicas_.front());
    unacked_replicas_.pop_front();
    const RangeState& range = context_.ranges[RangeOf(it.name)];
    const KeyEntry* entry = table_.Find(it.name);
    if (entry != nullptr && !entry->acked && entry->version == it.version &&
        range.role == RangeRole::kOwner &&
        range.sync != BackupSync::kNoBackup) {
      SendReplica(it.name, *entry, now);
      it.due = now + kReplicaResendInterval;
      unacked_replicas_.push_back(std::move(it));
    }
  }
  for (uint32_t i = 0; i < kKeyRanges; ++i) {
    const RangeState& range = context_.ranges[i];
    if (range.sync == BackupSync::kCopying ||
        (range.sync == BackupSync::kSyncedSent &&
         now - range.synced_sent_at >= kSyncedResendInterval)) {
      SendSyncedIfCopied(i, now);
    }
  }
  if (now - last_expired_at_ >= kExpireInterval) {
    last_expired_at_ = now;
    if (table_.Expire(now) > 0) {
      RecountUnacked();
    }
  }
}

}  // namespace marjoramhall::request
