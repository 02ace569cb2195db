// Probes, suspicion timers, and the search for seeds and removed members.
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
  CheckPause(now);
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
                [&](const auto& it) { return it.second.expires < now; });
}

// After a pause of this process, its unanswered probes say nothing about their
// targets, and others may have started to suspect this VM.
void Membership::CheckPause(TimePoint now) {
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
    if (record.standing == Standing::kSuspect) {
      record.deadline += gap;
    }
  }
  if (gap >= options_.probe_timeout) {
    Refute(Self().member.incarnation, false, now);
    // Repeated, since 20% loss of a single round left members that did not
    // hear it before their suspicion ended.
    refutation_rounds_ = 3;
    next_refutation_ = now;
  }
}

void Membership::SendRefutation(TimePoint now) {
  if (refutation_rounds_ == 0 || now < next_refutation_) {
    return;
  }
  --refutation_rounds_;
  next_refutation_ = now + options_.indirect_after;
  for (const PeerAddress& it : RandomPeers(2 * options_.indirect_helpers)) {
    MembershipMessage message;
    message.set_kind(MembershipMessage::NOTICE);
    EncodeRecord(Self(), false, message.add_updates());
    Send(it, &message);
  }
}

// Every other probe goes to the next member in the order of ids, so that each
// member is probed at least every two intervals; with random probes alone, a
// dead member of 7 stayed unnoticed for up to 2.5 s. The others are random.
VmId Membership::NextProbed() {
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
    // Round robin in random order bounds the time until each is probed.
    for (const auto& [id, record] : present_) {
      probe_order_.push_back(id);
    }
    std::shuffle(probe_order_.begin(), probe_order_.end(), random_);
  }
  return self_id_;
}

void Membership::StartProbe(TimePoint now) {
  const VmId id = NextProbed();
  if (id == self_id_) {
    return;
  }
  MembershipMessage message;
  message.set_kind(MembershipMessage::PING);
  message.set_nonce(++next_nonce_);
  probes_.push_back({id, next_nonce_, now, 0});
  ++stats_.probes;
  if (IsYoung(now)) {
    Introduce(&message);
  }
  Send(AddressOf(id), &message);
}

// A receiver that does not know this VM, or has removed it, could not answer.
void Membership::Introduce(MembershipMessage* message) {
  EncodeRecord(Self(), true, message->add_updates());
}

bool Membership::IsYoung(TimePoint now) const {
  return now - started_ < options_.introduction;
}

// Tells a few peers at once; the usual piggybacking takes up to a second more
// until all have heard.
void Membership::Spread(const MemberRecord& record) {
  for (const PeerAddress& it : RandomPeers(options_.indirect_helpers)) {
    MembershipMessage message;
    message.set_kind(MembershipMessage::NOTICE);
    EncodeRecord(record, false, message.add_updates());
    Send(it, &message);
  }
}

void Membership::AdvanceProbes(TimePoint now) {
  std::vector<Probe> failed;
  for (Probe& it : probes_) {
    const Duration age = now - it.sent;
    if (it.stage == 0 && age >= options_.second_ping_after) {
      it.stage = 1;
      const PeerAddress to = AddressOf(it.id);
      if (to.id != VmId::kNone) {
        MembershipMessage message;
        message.set_kind(MembershipMessage::PING);
        message.set_nonce(it.nonce);
        Introduce(&message);
        Send(to, &message);
      }
    }
    if (it.stage == 1 && age >= options_.indirect_after) {
      it.stage = 2;
      SendIndirect(it);
    }
    if (age >= options_.probe_timeout) {
      failed.push_back(it);
    }
  }
  std::erase_if(probes_, [&](const Probe& it) {
    return now - it.sent >= options_.probe_timeout;
  });
  for (const Probe& it : failed) {
    const auto found = present_.find(it.id);
    if (found != present_.end() &&
        found->second.standing != Standing::kSuspect) {
      Suspect(&found->second, options_.suspicion, now);
      rumors_.Add(it.id, false);
      Notify(found->second);
      Spread(found->second);
    }
  }
}

void Membership::SendIndirect(const Probe& probe) {
  size_t left = options_.indirect_helpers;
  for (const PeerAddress& it : RandomPeers(options_.indirect_helpers + 1)) {
    if (it.id == probe.id || left == 0) {
      continue;
    }
    --left;
    MembershipMessage message;
    message.set_kind(MembershipMessage::PING_REQUEST);
    message.set_nonce(probe.nonce);
    message.set_subject(ToInteger(probe.id));
    Introduce(&message);
    Send(it, &message);
  }
}

// Tells a member what is said of it, so that it can refute.
void Membership::Notify(const MemberRecord& record) {
  MembershipMessage message;
  message.set_kind(MembershipMessage::PING);
  message.set_nonce(++next_nonce_);
  EncodeRecord(record, false, message.add_updates());
  Introduce(&message);
  Send({record.member.id, record.member.incarnation,
        record.member.control_endpoint},
       &message);
}

// True with the probability that makes about `expected_senders` of all members
// act, so that a member that is suspected by all is not flooded.
bool Membership::Chance(double expected_senders) {
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
    if (record.standing != Standing::kSuspect || id == self_id_) {
      continue;
    }
    may_have_suspects_ = true;
    if (now >= record.deadline) {
      expired.push_back(id);
    } else if (now >= record.next_contact) {
      record.next_contact = now + options_.probe_interval;
      if (Chance(8)) {
        Notify(record);
      }
    }
  }
  for (const VmId id : expired) {
    Remove(id, Standing::kRemoved, now);
    rumors_.Add(id, false);
    Spread(removed_.at(id));
  }
}

// After a partition the sides have removed each other. One contact is enough:
// its synchronisation names the other members.
void Membership::ContactRemoved(TimePoint now) {
  std::erase_if(removed_, [&](const auto& it) {
    return now - it.second.changed > options_.removed_memory;
  });
  if (now < next_removed_contact_) {
    return;
  }
  next_removed_contact_ = now + options_.probe_interval;
  if (!Chance(2)) {
    return;
  }
  std::vector<const MemberRecord*> candidates;
  for (const auto& [id, record] : removed_) {
    if (record.standing == Standing::kRemoved) {
      candidates.push_back(&record);
    }
  }
  if (!candidates.empty()) {
    std::uniform_int_distribution<size_t> pick(0, candidates.size() - 1);
    Notify(*candidates[pick(random_)]);
  }
}

// Until it has joined, a VM asks its seeds in turn; later it asks those that
// are no members, which joins sites that started apart.
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
  if (candidates.empty() || (joined_ && !Chance(2))) {
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
