// Handles and fills messages of the membership protocol.
#include "src/control/membership.h"

#include <algorithm>
#include <bit>
#include <utility>

#include "src/control/membership_codec.h"
#include "src/protocol/membership.pb.h"

namespace marjoramhall::control {

using protocol::MembershipMessage;
using protocol::MemberUpdate;

namespace {

// Full records in one synchronization message (7 KB).
constexpr int kMaxRecordsPerSync = 100;
// The id space is split into parts with about this many members each, which
// are compared separately.
constexpr size_t kMembersPerPart = 64;
// Bounds the work that one message can cause.
constexpr int kMaxUpdates = 2 * kMaxRecordsPerSync;

uint64_t HashMember(uint64_t id, uint32_t start) {
  uint64_t x = id ^ (uint64_t{start} * 0x9e3779b97f4a7c15U);
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9U;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebU;
  return x ^ (x >> 31);
}

PeerAddress AddressOfMember(const config::Member& member) {
  return {member.id, member.incarnation, member.control_endpoint};
}

}  // namespace

Membership::Membership(MembershipOptions options,
                       config::Member self,
                       SendHook send,
                       PeerRevisionHook on_peer_revision,
                       DecisionHook decide,
                       uint64_t seed)
    : options_(std::move(options)),
      self_id_(self.id),
      send_(std::move(send)),
      on_peer_revision_(std::move(on_peer_revision)),
      decide_(std::move(decide)),
      random_(seed) {
  MemberRecord record;
  record.start_incarnation = static_cast<uint32_t>(self.incarnation);
  record.member = std::move(self);
  present_.emplace(self_id_, std::move(record));
  next_nonce_ = random_();
  next_part_ = static_cast<uint32_t>(random_() & 0xffff);
  std::uniform_int_distribution<int64_t> offset(
      0, options_.probe_interval.count());
  next_probe_ += Duration(offset(random_));
}

void Membership::OnMessage(VmId from,
                           bool addressed,
                           std::string_view payload,
                           TimePoint now) {
  if (stopped_) {
    return;
  }
  DetectPause(now);
  MembershipMessage message;
  if (!message.ParseFromArray(payload.data(),
                              static_cast<int>(payload.size())) ||
      message.updates_size() > kMaxUpdates ||
      (!addressed && message.kind() != MembershipMessage::JOIN)) {
    ++stats_.malformed;
    return;
  }
  MembershipMessage reply;
  ApplyUpdates(message, from, now, &reply);
  if (const auto it = present_.find(from); it != present_.end()) {
    it->second.last_heard_at = now;
  }
  if (message.kind() == MembershipMessage::JOIN) {
    HandleJoin(message, reply);
    return;
  }
  const PeerAddress address = AddressOf(from);
  if (address.id == VmId::kNone) {
    // The sender was removed here or is unknown. Only a removed member has a
    // known address.
    const auto it = removed_.find(from);
    if (it != removed_.end() &&
        it->second.protocol_state == ProtocolState::kRemoved) {
      NotifyMember(it->second);
    }
    return;
  }
  on_peer_revision_(address, message.lineage(), message.revision());
  bool answered = false;
  switch (message.kind()) {
    case MembershipMessage::PING:
      reply.set_kind(MembershipMessage::ACK);
      reply.set_nonce(message.nonce());
      Send(address, &reply);
      answered = true;
      break;
    case MembershipMessage::ACK:
      HandleAck(message, now);
      break;
    case MembershipMessage::PING_REQUEST:
      HandlePingRequest(message, address, now);
      break;
    case MembershipMessage::SYNC:
      joined_ = true;
      break;
    default:
      break;
  }
  if (!answered && (reply.updates_size() > 0 || reply.wanted_size() > 0)) {
    reply.set_kind(MembershipMessage::NOTICE);
    Send(address, &reply);
  }
  CompareDigest(message, address, now);
}

void Membership::HandleJoin(const MembershipMessage& message,
                            const MembershipMessage& reply) {
  // The first update is the record of the joining VM, with its endpoint.
  if (message.updates_size() == 0) {
    return;
  }
  const auto joiner = DecodeFullRecord(message.updates(0));
  if (!joiner || joiner->member.id == self_id_) {
    return;
  }
  const PeerAddress to = AddressOfMember(joiner->member);
  if (reply.updates_size() > 0) {
    MembershipMessage notice = reply;
    notice.set_kind(MembershipMessage::NOTICE);
    Send(to, &notice);
  }
  SendSync(to, 0, 1);
}

void Membership::HandlePingRequest(const MembershipMessage& message,
                                   const PeerAddress& from,
                                   TimePoint now) {
  const PeerAddress subject = AddressOf(static_cast<VmId>(message.subject()));
  // Bounds the number of relayed probes.
  if (subject.id == VmId::kNone || relays_.size() >= 256) {
    return;
  }
  MembershipMessage ping;
  ping.set_kind(MembershipMessage::PING);
  ping.set_nonce(++next_nonce_);
  relays_[next_nonce_] = {from, message.nonce(), now + options_.probe_timeout};
  AttachOwnRecord(&ping);
  Send(subject, &ping);
}

void Membership::HandleAck(const MembershipMessage& message, TimePoint now) {
  joined_ = true;
  const auto relay = relays_.find(message.nonce());
  if (relay != relays_.end()) {
    if (now <= relay->second.expires_at) {
      MembershipMessage ack;
      ack.set_kind(MembershipMessage::ACK);
      ack.set_nonce(relay->second.requester_nonce);
      Send(relay->second.requester, &ack);
    }
    relays_.erase(relay);
    return;
  }
  std::erase_if(probes_,
                [&](const Probe& it) { return it.nonce == message.nonce(); });
}

void Membership::CompareDigest(const MembershipMessage& message,
                               const PeerAddress& from,
                               TimePoint now) {
  if (message.parts() == 0 || message.part() >= message.parts() ||
      now < next_sync_ ||
      DigestOf(message.part(), message.parts()) == message.digest()) {
    return;
  }
  // Limits the rate of synchronizations, each of about 64 full records (5 KB):
  // rumors resolve most differences anyway.
  const bool often =
      present_.size() <= kMembersPerPart || IsRecentlyStarted(now);
  next_sync_ = now + (often ? std::chrono::milliseconds(500)
                            : std::chrono::milliseconds(8000));
  SendSync(from, message.part(), message.parts());
}

void Membership::SendSync(const PeerAddress& to,
                          uint32_t part,
                          uint32_t parts) {
  MembershipMessage message;
  message.set_kind(MembershipMessage::SYNC);
  const auto add = [&](const MemberRecord& record) {
    if (ToInteger(record.member.id) % parts != part) {
      return;
    }
    MemberUpdate* update = message.add_updates();
    EncodeRecord(record, true, update);
    if (record.protocol_state == ProtocolState::kRemoved) {
      const auto age = std::chrono::duration_cast<std::chrono::seconds>(
          last_event_ - record.changed_at);
      update->set_age(static_cast<uint32_t>(std::max<int64_t>(age.count(), 0)));
    }
    auto* held = message.mutable_held();
    held->add_id(ToInteger(record.member.id));
    held->add_start(record.start_incarnation);
    held->add_revision(record.member.revision);
    if (message.updates_size() == kMaxRecordsPerSync) {
      Send(to, &message);
      message.Clear();
      message.set_kind(MembershipMessage::SYNC);
    }
  };
  for (const auto& [id, record] : present_) {
    add(record);
  }
  for (const auto& [id, record] : removed_) {
    if (record.protocol_state == ProtocolState::kRemoved) {
      add(record);
    }
  }
  if (message.updates_size() > 0) {
    Send(to, &message);
  }
}

void Membership::Send(const PeerAddress& to, MembershipMessage* message) {
  message->set_lineage(lineage_);
  message->set_revision(Self().member.revision);
  if (message->kind() != MembershipMessage::SYNC &&
      message->kind() != MembershipMessage::JOIN) {
    AddRumors(message);
    AddHeldRevisions(message);
  }
  if (message->kind() == MembershipMessage::PING) {
    AddDigest(message);
  }
  send_(to, PeerChannel::kMembership, message->SerializeAsString());
}

void Membership::AddRumors(MembershipMessage* message) {
  size_t left = options_.max_update_bytes;
  rumors_.Take(MaxTransmissions(), [&](VmId id, bool full) {
    auto it = present_.find(id);
    if (it == present_.end()) {
      it = removed_.find(id);
      if (it == removed_.end()) {
        return true;
      }
    }
    MemberUpdate update;
    EncodeRecord(it->second, full, &update);
    const size_t size = update.ByteSizeLong() + 2;
    if (size > left) {
      return false;
    }
    left -= size;
    *message->add_updates() = std::move(update);
    return true;
  });
}

void Membership::AddHeldRevisions(MembershipMessage* message) {
  size_t left = options_.max_held_revisions;
  const auto add = [&](const MemberRecord& record) {
    auto* held = message->mutable_held();
    held->add_id(ToInteger(record.member.id));
    held->add_start(record.start_incarnation);
    held->add_revision(record.member.revision);
    --left;
  };
  revision_rumors_.Take(MaxTransmissions() / 2 + 1, [&](VmId id, bool) {
    if (left <= 1) {
      return false;
    }
    const auto it = present_.find(id);
    if (it != present_.end()) {
      add(it->second);
    }
    return true;
  });
  // Adds one more member in turn, so that every revision is sent again even
  // when rumors are lost.
  auto it = present_.upper_bound(revision_cursor_);
  if (it == present_.end()) {
    it = present_.begin();
  }
  revision_cursor_ = it->first;
  add(it->second);
}

void Membership::AddDigest(MembershipMessage* message) {
  const auto parts =
      static_cast<uint32_t>(std::max<size_t>(1, present_.size() / 64));
  message->set_parts(parts);
  message->set_part(++next_part_ % parts);
  message->set_digest(DigestOf(message->part(), parts));
}

uint64_t Membership::DigestOf(uint32_t part, uint32_t parts) const {
  uint64_t result = 0;
  for (const auto& [id, record] : present_) {
    if (ToInteger(id) % parts == part) {
      result ^= HashMember(ToInteger(id), record.start_incarnation);
    }
  }
  return result;
}

size_t Membership::MaxTransmissions() const {
  return 2 * static_cast<size_t>(std::bit_width(present_.size())) + 2;
}

void Membership::SetOwnRevision(uint64_t lineage, Revision revision) {
  if (lineage != lineage_) {
    // Revisions of different lineages cannot be compared.
    lineage_ = lineage;
    for (auto& [id, record] : present_) {
      SetMemberRevision(&record, 0);
    }
    for (auto& [id, record] : removed_) {
      record.member.revision = 0;
    }
  }
  SetMemberRevision(&Self(), revision);
}

void Membership::BeginLeave(TimePoint now) {
  MemberRecord& self = Self();
  if (self.protocol_state == ProtocolState::kLeaving) {
    return;
  }
  self.protocol_state = ProtocolState::kLeaving;
  self.leaving = true;
  self.member.state = config::MemberState::kLeaving;
  self.changed_at = now;
  ++version_;
  rumors_.Add(self_id_, false);
  for (const PeerAddress& it : RandomPeers(options_.indirect_probe_peers)) {
    MembershipMessage message;
    message.set_kind(MembershipMessage::NOTICE);
    Send(it, &message);
  }
}

void Membership::Leave(TimePoint now) {
  MemberRecord& self = Self();
  self.protocol_state = ProtocolState::kLeft;
  self.changed_at = now;
  // Sends enough messages that one arrives almost certainly with 20% loss.
  for (const PeerAddress& it : RandomPeers(8)) {
    MembershipMessage message;
    message.set_kind(MembershipMessage::NOTICE);
    EncodeRecord(self, false, message.add_updates());
    Send(it, &message);
  }
  stopped_ = true;
}

std::vector<config::Member> Membership::Members() const {
  std::vector<config::Member> result;
  result.reserve(present_.size());
  for (const auto& [id, record] : present_) {
    result.push_back(record.member);
  }
  return result;
}

std::vector<config::Member> Membership::Removed() const {
  std::vector<config::Member> result;
  for (const auto& [id, record] : removed_) {
    if (record.protocol_state == ProtocolState::kRemoved) {
      result.push_back(record.member);
    }
  }
  return result;
}

PeerAddress Membership::AddressOf(VmId id) const {
  const auto it = present_.find(id);
  return it == present_.end() ? PeerAddress()
                              : AddressOfMember(it->second.member);
}

std::vector<PeerAddress> Membership::RandomPeers(size_t count) {
  std::vector<PeerAddress> all;
  all.reserve(present_.size());
  for (const auto& [id, record] : present_) {
    if (id != self_id_) {
      all.push_back(AddressOfMember(record.member));
    }
  }
  count = std::min(count, all.size());
  for (size_t i = 0; i < count; ++i) {
    std::uniform_int_distribution<size_t> pick(i, all.size() - 1);
    std::swap(all[i], all[pick(random_)]);
  }
  all.resize(count);
  return all;
}

}  // namespace marjoramhall::control
