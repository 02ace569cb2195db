// What statements about members mean: the order of (incarnation, standing),
// refutation, and corrections sent back to peers that are behind.
#include <algorithm>
#include <utility>

#include "src/control/membership.h"
#include "src/control/membership_codec.h"
#include "src/protocol/membership.pb.h"

namespace marjoramhall::control {

using protocol::MembershipMessage;
using protocol::MemberUpdate;

namespace {

// Limit of requested and corrected records in one message.
constexpr int kMaxCorrections = 8;

// A suspicion of this age may be cut short by another VM's removal.
constexpr Duration kRipeSuspicion = std::chrono::seconds(1);

// A member that was heard this recently is not suspected on hearsay.
constexpr Duration kJustHeard = std::chrono::seconds(1);

Standing StandingOf(const MemberUpdate& update) {
  return static_cast<Standing>(std::clamp<int>(update.state(), 0, 4));
}

bool IsGone(Standing standing) {
  return standing == Standing::kRemoved || standing == Standing::kLeft;
}

config::MemberState StateOf(const MemberRecord& record) {
  if (record.leaving) {
    return config::MemberState::kLeaving;
  }
  return record.standing == Standing::kSuspect ? config::MemberState::kSuspect
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
  // A VM without a configuration records revisions of the lineage that it
  // hears of first.
  if (lineage_ == 0) {
    lineage_ = message.lineage();
  }
  const bool same_lineage = message.lineage() == lineage_;
  if (same_lineage) {
    ApplyHeld(message.held());
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
      ApplyUnknown(update, now, reply);
      return;
    }
  }
  MemberRecord& record = it->second;
  const Incarnation known = record.member.incarnation;
  const Standing standing = StandingOf(update);
  if (update.incarnation() > known ||
      (update.incarnation() == known && standing > record.standing)) {
    ApplyNewer(update, &record, now, reply);
    return;
  }
  const bool behind =
      update.incarnation() < known || standing < record.standing;
  if (!behind) {
    return;
  }
  if (IsGone(record.standing)) {
    // The peer believes that a member which this VM removed is there. Ask the
    // member itself: if it lives, it refutes.
    if (record.standing == Standing::kRemoved && now >= record.next_contact) {
      record.next_contact = now + options_.probe_interval;
      Notify(record);
    }
  } else if (reply->updates_size() < kMaxCorrections) {
    EncodeRecord(record, false, reply->add_updates());
  }
}

void Membership::ApplyToSelf(const MemberUpdate& update, TimePoint now) {
  const MemberRecord& self = Self();
  const Incarnation own = self.member.incarnation;
  const bool other_process = update.start() != self.start;
  const bool newer =
      update.incarnation() > own ||
      (update.incarnation() == own &&
       (StandingOf(update) >= Standing::kSuspect || other_process));
  if (newer) {
    Refute(update.incarnation(), other_process || IsGone(StandingOf(update)),
           now);
  }
}

void Membership::Refute(Incarnation above, bool full, TimePoint now) {
  MemberRecord& self = Self();
  self.member.incarnation = std::max(self.member.incarnation, above) + 1;
  self.changed = now;
  ++stats_.refutations;
  ++version_;
  rumors_.Add(self_id_, full);
}

void Membership::ApplyUnknown(const MemberUpdate& update,
                              TimePoint now,
                              MembershipMessage* reply) {
  const Standing standing = StandingOf(update);
  if (standing == Standing::kLeft) {
    return;
  }
  if (!IsFull(update)) {
    // Short news of a removal concern nobody known here.
    if (standing != Standing::kRemoved &&
        reply->wanted_size() < kMaxCorrections) {
      reply->add_wanted(update.id());
    }
    return;
  }
  auto record = DecodeFull(update);
  if (!record) {
    ++stats_.malformed;
    return;
  }
  const VmId id = record->member.id;
  if (standing == Standing::kRemoved) {
    const auto age = std::chrono::seconds(update.age());
    if (age < options_.removed_memory) {
      record->standing = Standing::kRemoved;
      record->changed = now - age;
      removed_.emplace(id, std::move(*record));
    }
    return;
  }
  record->standing = standing;
  record->leaving = standing == Standing::kLeaving;
  record->changed = now;
  record->deadline = now + options_.suspicion;
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

void Membership::ApplyNewer(const MemberUpdate& update,
                            MemberRecord* record,
                            TimePoint now,
                            MembershipMessage* reply) {
  const VmId id = record->member.id;
  const Standing standing = StandingOf(update);
  const bool other_process = update.start() != record->start;
  if (other_process && !IsFull(update)) {
    if (!IsGone(standing) && reply->wanted_size() < kMaxCorrections) {
      reply->add_wanted(update.id());
    }
    return;
  }
  if (IsFull(update)) {
    auto fresh = DecodeFull(update);
    if (!fresh) {
      ++stats_.malformed;
      return;
    }
    if (!other_process) {
      fresh->member.revision = record->member.revision;
    }
    fresh->standing = record->standing;
    fresh->changed = record->changed;
    fresh->deadline = record->deadline;
    fresh->next_contact = record->next_contact;
    fresh->heard = record->heard;
    fresh->leaving = record->leaving;
    fresh->member.state = record->member.state;
    *record = std::move(*fresh);
  }
  record->member.incarnation = update.incarnation();
  const bool was_gone = IsGone(record->standing);
  if (standing == Standing::kLeft ||
      (standing == Standing::kRemoved && was_gone)) {
    Remove(id, standing, now);
  } else if (standing == Standing::kRemoved) {
    // Another VM's timer ran out. This VM follows only if it had its own
    // doubts; otherwise the member gets a last chance to refute. One that was
    // just heard is told only: after a partition, the removals by the other
    // side would make suspects of members that are fine.
    if (now - record->heard < kJustHeard &&
        record->standing != Standing::kSuspect) {
      if (now >= record->next_contact) {
        record->next_contact = now + options_.probe_interval;
        MemberRecord claim = *record;
        claim.standing = Standing::kRemoved;
        Notify(claim);
      }
      return;
    }
    if (record->standing == Standing::kSuspect &&
        now - record->changed >= kRipeSuspicion) {
      Remove(id, Standing::kRemoved, now);
    } else {
      Suspect(record, options_.short_suspicion, now);
      Notify(*record);
    }
  } else if (standing == Standing::kSuspect) {
    if (was_gone) {
      Restore(id);
      record = &present_.at(id);
    }
    Suspect(record, options_.suspicion, now);
  } else {
    const bool changed = record->standing != standing || other_process;
    record->standing = standing;
    record->leaving = standing == Standing::kLeaving;
    record->changed = now;
    record->member.state = StateOf(*record);
    ++version_;
    if (was_gone) {
      stats_.refuted_removals += other_process ? 0 : 1;
      Restore(id);
      record = &present_.at(id);
    }
    if (changed) {
      Log(*record, other_process ? "restarted" : "alive");
    }
    rumors_.Add(id, was_gone || other_process);
    return;
  }
  rumors_.Add(id, false);
}

void Membership::Suspect(MemberRecord* record, Duration wait, TimePoint now) {
  const bool again = record->standing == Standing::kSuspect;
  record->deadline =
      again ? std::min(record->deadline, now + wait) : now + wait;
  record->standing = Standing::kSuspect;
  may_have_suspects_ = true;
  record->next_contact = now + options_.probe_interval;
  record->member.state = StateOf(*record);
  ++version_;
  if (!again) {
    record->changed = now;
    ++stats_.suspicions;
    Log(*record, "suspect");
  }
}

void Membership::Remove(VmId id, Standing standing, TimePoint now) {
  auto node = present_.extract(id);
  if (!node.empty()) {
    removed_.insert(std::move(node));
    ++version_;
    if (standing == Standing::kRemoved) {
      ++stats_.removals;
    }
    held_rumors_.Remove(id);
  }
  MemberRecord& record = removed_.at(id);
  record.standing = standing;
  record.changed = now;
  record.next_contact = now;
  Log(record, standing == Standing::kLeft ? "left" : "removed");
}

void Membership::Restore(VmId id) {
  auto node = removed_.extract(id);
  if (!node.empty()) {
    present_.insert(std::move(node));
    probe_order_.push_back(id);
    ++version_;
  }
}

void Membership::ApplyHeld(const protocol::HeldRevisions& held) {
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
    if (id != self_id_ && it->second.start == held.start(i) &&
        held.revision(i) > it->second.member.revision) {
      SetMemberRevision(&it->second, held.revision(i));
    }
  }
}

void Membership::SetMemberRevision(MemberRecord* record, Revision revision) {
  if (record->member.revision != revision) {
    record->member.revision = revision;
    ++held_version_;
    held_rumors_.Add(record->member.id, false);
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
  if (now >= it->second.next_contact) {
    it->second.next_contact = now + options_.probe_interval;
    Notify(it->second);
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
