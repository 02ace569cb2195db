// Applies member updates: their order by (incarnation, state), refutation, and
// corrections sent back to peers with older records.
#include <algorithm>
#include <utility>

#include "src/control/membership.h"
#include "src/control/membership_codec.h"
#include "src/protocol/membership.pb.h"

namespace marjoramhall::control {

using protocol::MembershipMessage;
using protocol::MemberUpdate;

namespace {

// Largest number of requested and of corrected records in one message.
constexpr int kMaxCorrections = 8;

// A suspect is removed at once when another VM has removed it, if the suspicion
// here has at least this age.
constexpr Duration kMinSuspicionAge = std::chrono::seconds(1);

// A member that sent a message within this time is not suspected because of
// another VM's removal.
constexpr Duration kRecentContact = std::chrono::seconds(1);

ProtocolState ProtocolStateOf(const MemberUpdate& update) {
  return static_cast<ProtocolState>(std::clamp<int>(update.state(), 0, 4));
}

bool IsGone(ProtocolState state) {
  return state == ProtocolState::kRemoved || state == ProtocolState::kLeft;
}

config::MemberState StateOf(const MemberRecord& record) {
  if (record.leaving) {
    return config::MemberState::kLeaving;
  }
  return record.protocol_state == ProtocolState::kSuspect
             ? config::MemberState::kSuspect
             : config::MemberState::kAlive;
}

}  // namespace

void Membership::ApplyUpdates(const MembershipMessage& message,
                              VmId from,
                              TimePoint now,
                              MembershipMessage* reply) {
  for (const MemberUpdate& it : message.updates()) {
    Apply(it, now, reply);
  }
  // A VM without a configuration takes over the first lineage that a peer
  // reports.
  if (lineage_ == 0) {
    lineage_ = message.lineage();
  }
  const bool same_lineage = message.lineage() == lineage_;
  if (same_lineage) {
    ApplyHeldRevisions(message.held());
  }
  const auto sender = present_.find(from);
  if (sender != present_.end() && same_lineage) {
    SetMemberRevision(&sender->second,
                      std::max(sender->second.member.revision,
                               static_cast<Revision>(message.revision())));
  }
  if (message.kind() != MembershipMessage::JOIN) {
    if (sender == present_.end() && !removed_.contains(from)) {
      reply->add_wanted(ToInteger(from));
    }
    for (int i = 0; i < std::min(message.wanted_size(), kMaxCorrections); ++i) {
      const auto it = present_.find(static_cast<VmId>(message.wanted(i)));
      if (it != present_.end()) {
        EncodeRecord(it->second, true, reply->add_updates());
      }
    }
  }
}

void Membership::Apply(const MemberUpdate& update,
                       TimePoint now,
                       MembershipMessage* reply) {
  const auto id = static_cast<VmId>(update.id());
  if (id == self_id_) {
    ApplyToSelf(update, now);
    return;
  }
  auto it = present_.find(id);
  if (it == present_.end()) {
    it = removed_.find(id);
    if (it == removed_.end()) {
      ApplyToUnknownMember(update, now, reply);
      return;
    }
  }
  MemberRecord& record = it->second;
  const Incarnation known = record.member.incarnation;
  const ProtocolState state = ProtocolStateOf(update);
  if (update.incarnation() > known ||
      (update.incarnation() == known && state > record.protocol_state)) {
    ApplyNewerUpdate(update, &record, now, reply);
    return;
  }
  const bool behind =
      update.incarnation() < known || state < record.protocol_state;
  if (!behind) {
    return;
  }
  if (IsGone(record.protocol_state)) {
    // The peer has a member that was removed here. Notifies the member: if it
    // is alive, it refutes the removal.
    if (record.protocol_state == ProtocolState::kRemoved &&
        now >= record.next_contact_at) {
      record.next_contact_at = now + options_.probe_interval;
      NotifyMember(record);
    }
  } else if (reply->updates_size() < kMaxCorrections) {
    EncodeRecord(record, false, reply->add_updates());
  }
}

void Membership::ApplyToSelf(const MemberUpdate& update, TimePoint now) {
  const MemberRecord& self = Self();
  const Incarnation own = self.member.incarnation;
  const bool is_other_process = update.start() != self.start_incarnation;
  const bool newer = update.incarnation() > own ||
                     (update.incarnation() == own &&
                      (ProtocolStateOf(update) >= ProtocolState::kSuspect ||
                       is_other_process));
  if (newer) {
    Refute(update.incarnation(),
           is_other_process || IsGone(ProtocolStateOf(update)), now);
  }
}

void Membership::Refute(Incarnation above, bool full, TimePoint now) {
  MemberRecord& self = Self();
  self.member.incarnation = std::max(self.member.incarnation, above) + 1;
  self.changed_at = now;
  ++stats_.refutations;
  ++version_;
  rumors_.Add(self_id_, full);
}

void Membership::ApplyToUnknownMember(const MemberUpdate& update,
                                      TimePoint now,
                                      MembershipMessage* reply) {
  const ProtocolState state = ProtocolStateOf(update);
  if (state == ProtocolState::kLeft) {
    return;
  }
  if (!HasFullRecord(update)) {
    // The removal of a member that is unknown here needs no record.
    if (state != ProtocolState::kRemoved &&
        reply->wanted_size() < kMaxCorrections) {
      reply->add_wanted(update.id());
    }
    return;
  }
  auto record = DecodeFullRecord(update);
  if (!record) {
    ++stats_.malformed;
    return;
  }
  const VmId id = record->member.id;
  if (state == ProtocolState::kRemoved) {
    const auto age = std::chrono::seconds(update.age());
    if (age < options_.removed_retention) {
      record->protocol_state = ProtocolState::kRemoved;
      record->changed_at = now - age;
      removed_.emplace(id, std::move(*record));
    }
    return;
  }
  record->protocol_state = state;
  record->leaving = state == ProtocolState::kLeaving;
  record->changed_at = now;
  record->suspicion_deadline = now + options_.suspicion_timeout;
  may_have_suspects_ = true;
  record->member.state = StateOf(*record);
  const auto it = present_.emplace(id, std::move(*record)).first;
  const size_t at =
      std::uniform_int_distribution<size_t>(0, probe_order_.size())(random_);
  probe_order_.insert(probe_order_.begin() + static_cast<ptrdiff_t>(at), id);
  ++version_;
  rumors_.Add(id, true);
  Log(it->second, "joined");
}

void Membership::ApplyNewerUpdate(const MemberUpdate& update,
                                  MemberRecord* record,
                                  TimePoint now,
                                  MembershipMessage* reply) {
  const VmId id = record->member.id;
  const ProtocolState state = ProtocolStateOf(update);
  const bool is_other_process = update.start() != record->start_incarnation;
  if (is_other_process && !HasFullRecord(update)) {
    if (!IsGone(state) && reply->wanted_size() < kMaxCorrections) {
      reply->add_wanted(update.id());
    }
    return;
  }
  if (HasFullRecord(update)) {
    auto fresh = DecodeFullRecord(update);
    if (!fresh) {
      ++stats_.malformed;
      return;
    }
    if (!is_other_process) {
      fresh->member.revision = record->member.revision;
    }
    fresh->protocol_state = record->protocol_state;
    fresh->changed_at = record->changed_at;
    fresh->suspicion_deadline = record->suspicion_deadline;
    fresh->next_contact_at = record->next_contact_at;
    fresh->last_heard_at = record->last_heard_at;
    fresh->leaving = record->leaving;
    fresh->member.state = record->member.state;
    *record = std::move(*fresh);
  }
  record->member.incarnation = update.incarnation();
  const bool was_gone = IsGone(record->protocol_state);
  if (state == ProtocolState::kLeft ||
      (state == ProtocolState::kRemoved && was_gone)) {
    Remove(id, state, now);
  } else if (state == ProtocolState::kRemoved) {
    // Another VM's suspicion timed out. This VM also removes the member if it
    // has suspected it long enough itself. Otherwise the member gets a short
    // time to refute. A member with recent contact is only notified: after a
    // partition, removals by the other side would cause suspicions of healthy
    // members.
    if (now - record->last_heard_at < kRecentContact &&
        record->protocol_state != ProtocolState::kSuspect) {
      if (now >= record->next_contact_at) {
        record->next_contact_at = now + options_.probe_interval;
        MemberRecord claim = *record;
        claim.protocol_state = ProtocolState::kRemoved;
        NotifyMember(claim);
      }
      return;
    }
    if (record->protocol_state == ProtocolState::kSuspect &&
        now - record->changed_at >= kMinSuspicionAge) {
      Remove(id, ProtocolState::kRemoved, now);
    } else {
      Suspect(record, options_.short_suspicion_timeout, now);
      NotifyMember(*record);
    }
  } else if (state == ProtocolState::kSuspect) {
    if (was_gone) {
      Restore(id);
      record = &present_.at(id);
    }
    Suspect(record, options_.suspicion_timeout, now);
  } else {
    const bool changed = record->protocol_state != state || is_other_process;
    record->protocol_state = state;
    record->leaving = state == ProtocolState::kLeaving;
    record->changed_at = now;
    record->member.state = StateOf(*record);
    ++version_;
    if (was_gone) {
      stats_.refuted_removals += is_other_process ? 0 : 1;
      Restore(id);
      record = &present_.at(id);
    }
    if (changed) {
      Log(*record, is_other_process ? "restarted" : "alive");
    }
    rumors_.Add(id, was_gone || is_other_process);
    return;
  }
  rumors_.Add(id, false);
}

void Membership::Suspect(MemberRecord* record, Duration wait, TimePoint now) {
  const bool again = record->protocol_state == ProtocolState::kSuspect;
  record->suspicion_deadline =
      again ? std::min(record->suspicion_deadline, now + wait) : now + wait;
  record->protocol_state = ProtocolState::kSuspect;
  may_have_suspects_ = true;
  record->next_contact_at = now + options_.probe_interval;
  record->member.state = StateOf(*record);
  ++version_;
  if (!again) {
    record->changed_at = now;
    ++stats_.suspicions;
    Log(*record, "suspect");
  }
}

void Membership::Remove(VmId id, ProtocolState state, TimePoint now) {
  auto node = present_.extract(id);
  if (!node.empty()) {
    removed_.insert(std::move(node));
    ++version_;
    if (state == ProtocolState::kRemoved) {
      ++stats_.removals;
    }
    revision_rumors_.Remove(id);
  }
  MemberRecord& record = removed_.at(id);
  record.protocol_state = state;
  record.changed_at = now;
  record.next_contact_at = now;
  Log(record, state == ProtocolState::kLeft ? "left" : "removed");
}

void Membership::Restore(VmId id) {
  auto node = removed_.extract(id);
  if (!node.empty()) {
    present_.insert(std::move(node));
    probe_order_.push_back(id);
    ++version_;
  }
}

void Membership::ApplyHeldRevisions(const protocol::HeldRevisions& held) {
  const int n =
      std::min({held.id_size(), held.start_size(), held.revision_size()});
  for (int i = 0; i < n; ++i) {
    const auto id = static_cast<VmId>(held.id(i));
    auto it = present_.find(id);
    if (it == present_.end()) {
      it = removed_.find(id);
      if (it == removed_.end()) {
        continue;
      }
    }
    if (id != self_id_ && it->second.start_incarnation == held.start(i) &&
        held.revision(i) > it->second.member.revision) {
      SetMemberRevision(&it->second, held.revision(i));
    }
  }
}

void Membership::SetMemberRevision(MemberRecord* record, Revision revision) {
  if (record->member.revision != revision) {
    record->member.revision = revision;
    ++held_revisions_version_;
    revision_rumors_.Add(record->member.id, false);
  }
}

void Membership::OnStaleIncarnation(VmId from, TimePoint now) {
  auto it = present_.find(from);
  if (it == present_.end()) {
    it = removed_.find(from);
    if (it == removed_.end()) {
      return;
    }
  }
  if (now >= it->second.next_contact_at) {
    it->second.next_contact_at = now + options_.probe_interval;
    NotifyMember(it->second);
  }
}

void Membership::Log(const MemberRecord& record, std::string_view outcome) {
  if (decide_) {
    Decision decision;
    decision.kind = DecisionKind::kMembership;
    decision.vm = record.member.id;
    decision.revision = record.member.revision;
    decision.outcome = outcome;
    decision.detail = record.member.name;
    decide_(decision);
  }
}

}  // namespace marjoramhall::control
