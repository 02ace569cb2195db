// Probes, suspicion timers, and contact with seeds and removed members.
#include <algorithm>

#include "src/control/membership.h"
#include "src/control/membership_codec.h"
#include "src/protocol/membership.pb.h"

namespace marjoramhall::control {

using protocol::MembershipMessage;

void Membership::OnTick(TimePoint now) {
  if (stopped_) {
    return;
  }
  DetectPause(now);
  SendRefutation(now);
  AdvanceProbes(now);
  CheckSuspects(now);
  if (now >= next_probe_) {
    next_probe_ = std::max(next_probe_ + options_.probe_interval,
                           now + options_.probe_interval / 2);
    StartProbe(now);
  }
  ContactSeeds(now);
  ContactRemoved(now);
  std::erase_if(relays_,
                [&](const auto& it) { return it.second.expires_at < now; });
}

// Handles a pause of this process. Probes that were in progress prove nothing
// about the probed members, and other VMs may suspect this one.
void Membership::DetectPause(TimePoint now) {
  const bool first = last_event_ == TimePoint();
  if (first) {
    started_ = now;
  }
  const Duration gap = first ? Duration(0) : now - last_event_;
  last_event_ = std::max(now, last_event_);
  if (gap < options_.pause_threshold) {
    return;
  }
  ++stats_.pauses;
  probes_.clear();
  relays_.clear();
  for (auto& [id, record] : present_) {
    if (record.protocol_state == ProtocolState::kSuspect) {
      record.suspicion_deadline += gap;
    }
  }
  if (gap >= options_.probe_timeout) {
    Refute(Self().member.incarnation, false, now);
    // Sent repeatedly: with 20% loss and a single round, some members did not
    // receive it before their suspicion ended.
    refutation_rounds_left_ = 3;
    next_refutation_ = now;
  }
}

void Membership::SendRefutation(TimePoint now) {
  if (refutation_rounds_left_ == 0 || now < next_refutation_) {
    return;
  }
  --refutation_rounds_left_;
  next_refutation_ = now + options_.indirect_probe_delay;
  for (const PeerAddress& it : RandomPeers(2 * options_.indirect_probe_peers)) {
    MembershipMessage message;
    message.set_kind(MembershipMessage::NOTICE);
    EncodeRecord(Self(), false, message.add_updates());
    Send(it, &message);
  }
}

// Every other probe goes to the member that follows this VM in the order of
// ids, so that each member is probed at least every two intervals. With random
// probes alone, a dead member of 7 remained unnoticed for up to 2.5 s. The
// other probes go round robin in a random order.
VmId Membership::NextProbedMember() {
  if (++probe_count_ % 2 == 0) {
    auto it = present_.upper_bound(self_id_);
    if (it == present_.end()) {
      it = present_.begin();
    }
    return it->first;
  }
  for (size_t tries = 0; tries < 2; ++tries) {
    while (!probe_order_.empty()) {
      const VmId id = probe_order_.back();
      probe_order_.pop_back();
      if (id != self_id_ && present_.contains(id)) {
        return id;
      }
    }
    // Starts a new round. Round robin bounds the time between two probes of a
    // member.
    for (const auto& [id, record] : present_) {
      probe_order_.push_back(id);
    }
    std::shuffle(probe_order_.begin(), probe_order_.end(), random_);
  }
  return self_id_;
}

void Membership::StartProbe(TimePoint now) {
  const VmId id = NextProbedMember();
  if (id == self_id_) {
    return;
  }
  MembershipMessage message;
  message.set_kind(MembershipMessage::PING);
  message.set_nonce(++next_nonce_);
  probes_.push_back({id, next_nonce_, now, 0});
  ++stats_.probes;
  if (IsRecentlyStarted(now)) {
    AttachOwnRecord(&message);
  }
  Send(AddressOf(id), &message);
}

// Adds the full record of this VM. A receiver that does not know this VM, or
// has removed it, could not answer without it.
void Membership::AttachOwnRecord(MembershipMessage* message) {
  EncodeRecord(Self(), true, message->add_updates());
}

bool Membership::IsRecentlyStarted(TimePoint now) const {
  return now - started_ < options_.startup_period;
}

// Sends an update to a few peers at once. Piggybacking alone takes up to a
// second longer until all members have received it.
void Membership::SendToRandomPeers(const MemberRecord& record) {
  for (const PeerAddress& it : RandomPeers(options_.indirect_probe_peers)) {
    MembershipMessage message;
    message.set_kind(MembershipMessage::NOTICE);
    EncodeRecord(record, false, message.add_updates());
    Send(it, &message);
  }
}

void Membership::AdvanceProbes(TimePoint now) {
  std::vector<Probe> failed;
  for (Probe& it : probes_) {
    const Duration age = now - it.sent_at;
    if (it.stage == 0 && age >= options_.second_ping_delay) {
      it.stage = 1;
      const PeerAddress to = AddressOf(it.id);
      if (to.id != VmId::kNone) {
        MembershipMessage message;
        message.set_kind(MembershipMessage::PING);
        message.set_nonce(it.nonce);
        AttachOwnRecord(&message);
        Send(to, &message);
      }
    }
    if (it.stage == 1 && age >= options_.indirect_probe_delay) {
      it.stage = 2;
      SendIndirectProbes(it);
    }
    if (age >= options_.probe_timeout) {
      failed.push_back(it);
    }
  }
  std::erase_if(probes_, [&](const Probe& it) {
    return now - it.sent_at >= options_.probe_timeout;
  });
  for (const Probe& it : failed) {
    const auto found = present_.find(it.id);
    if (found != present_.end() &&
        found->second.protocol_state != ProtocolState::kSuspect) {
      Suspect(&found->second, options_.suspicion_timeout, now);
      rumors_.Add(it.id, false);
      NotifyMember(found->second);
      SendToRandomPeers(found->second);
    }
  }
}

void Membership::SendIndirectProbes(const Probe& probe) {
  size_t left = options_.indirect_probe_peers;
  for (const PeerAddress& it : RandomPeers(options_.indirect_probe_peers + 1)) {
    if (it.id == probe.id || left == 0) {
      continue;
    }
    --left;
    MembershipMessage message;
    message.set_kind(MembershipMessage::PING_REQUEST);
    message.set_nonce(probe.nonce);
    message.set_subject(ToInteger(probe.id));
    AttachOwnRecord(&message);
    Send(it, &message);
  }
}

// Sends a member its own record as seen here, so that it can refute it.
void Membership::NotifyMember(const MemberRecord& record) {
  MembershipMessage message;
  message.set_kind(MembershipMessage::PING);
  message.set_nonce(++next_nonce_);
  EncodeRecord(record, false, message.add_updates());
  AttachOwnRecord(&message);
  Send({record.member.id, record.member.incarnation,
        record.member.control_endpoint},
       &message);
}

// Returns true with a probability at which about `expected_senders` of all
// members send. Prevents all members from messaging one member at once.
bool Membership::SelectRandomly(double expected_senders) {
  std::uniform_real_distribution<double> unit(0, 1);
  return unit(random_) * static_cast<double>(present_.size()) <
         expected_senders;
}

void Membership::CheckSuspects(TimePoint now) {
  if (!may_have_suspects_) {
    return;
  }
  may_have_suspects_ = false;
  std::vector<VmId> expired;
  for (auto& [id, record] : present_) {
    if (record.protocol_state != ProtocolState::kSuspect || id == self_id_) {
      continue;
    }
    may_have_suspects_ = true;
    if (now >= record.suspicion_deadline) {
      expired.push_back(id);
    } else if (now >= record.next_contact_at) {
      record.next_contact_at = now + options_.probe_interval;
      if (SelectRandomly(8)) {
        NotifyMember(record);
      }
    }
  }
  for (const VmId id : expired) {
    Remove(id, ProtocolState::kRemoved, now);
    rumors_.Add(id, false);
    SendToRandomPeers(removed_.at(id));
  }
}

// Finds the other side again after a partition, when both sides have removed
// each other. One contact is enough, because its synchronization lists the
// other members.
void Membership::ContactRemoved(TimePoint now) {
  std::erase_if(removed_, [&](const auto& it) {
    return now - it.second.changed_at > options_.removed_retention;
  });
  if (now < next_removed_contact_) {
    return;
  }
  next_removed_contact_ = now + options_.probe_interval;
  if (!SelectRandomly(2)) {
    return;
  }
  std::vector<const MemberRecord*> candidates;
  for (const auto& [id, record] : removed_) {
    if (record.protocol_state == ProtocolState::kRemoved) {
      candidates.push_back(&record);
    }
  }
  if (!candidates.empty()) {
    std::uniform_int_distribution<size_t> pick(0, candidates.size() - 1);
    NotifyMember(*candidates[pick(random_)]);
  }
}

// Before it has joined, a VM asks its seeds in turn. Afterwards it asks seeds
// that are not members, which merges deployments that started separately.
void Membership::ContactSeeds(TimePoint now) {
  if (now < next_seed_contact_ || options_.seeds.empty()) {
    return;
  }
  next_seed_contact_ = now + options_.join_interval * (joined_ ? 5 : 1);
  std::vector<Endpoint> candidates;
  for (const Endpoint& it : options_.seeds) {
    const bool member =
        std::any_of(present_.begin(), present_.end(), [&](const auto& entry) {
          return entry.second.member.control_endpoint == it &&
                 (joined_ || entry.first == self_id_);
        });
    if (!member) {
      candidates.push_back(it);
    }
  }
  if (candidates.empty() || (joined_ && !SelectRandomly(2))) {
    return;
  }
  MembershipMessage message;
  message.set_kind(MembershipMessage::JOIN);
  EncodeRecord(Self(), true, message.add_updates());
  PeerAddress to;
  to.endpoint = candidates[next_seed_++ % candidates.size()];
  Send(to, &message);
}

}  // namespace marjoramhall::control
