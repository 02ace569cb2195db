// Messages between VMs about range ownership: announcements and hand-overs.
#include <map>

#include "src/protocol/request_control.pb.h"
#include "src/request/range_ownership.h"

namespace marjoramhall::request {
namespace {

constexpr Duration kHandoverInterval = std::chrono::milliseconds(200);

}  // namespace

void RangeOwnership::OnAnnounce(VmId from,
                                const protocol::RangesAnnounce& announce,
                                TimePoint now) {
  for (int i = 0; i < announce.records_size(); ++i) {
    const KeyRangeRecord record = FromProto(announce.records(i));
    if (record.range >= kKeyRanges) {
      continue;
    }
    ApplyRecord(record, false, now);
    RangeState& range = context_.ranges[record.range];
    if (record.epoch < range.record.epoch && from != context_.self) {
      // The sender has an outdated record. It may be a new process of an owner
      // that took over without the store.
      announcements_[from].insert(record.range);
    }
    if (i < announce.open_gaps_size() && announce.open_gaps(i) != 0) {
      range.known_open_gap = announce.open_gaps(i);
    }
    if (record != range.record || i >= announce.no_role_size() ||
        !announce.no_role(i)) {
      continue;
    }
    const bool had_no_role = range.owner_has_no_role;
    range.owner_has_no_role |= from == record.owner;
    range.backup_has_no_role |= from == record.backup;
    if (from == record.owner && !had_no_role &&
        record.backup == context_.self && range.role == RangeRole::kNone) {
      // Both processes are new. The announcement lets the owner act at once.
      announcements_[from].insert(record.range);
    }
  }
}

void RangeOwnership::AnnounceGaps(TimePoint now) {
  for (uint32_t i = 0; i < kKeyRanges; ++i) {
    RangeState& range = context_.ranges[i];
    if (range.role != RangeRole::kOwner || range.gap_announced ||
        now < range.gap_opens_at) {
      continue;
    }
    range.gap_announced = true;
    range.known_open_gap = range.gap_epoch;
    for (const config::Member& it : context_.view->members) {
      announcements_[it.id].insert(i);
    }
  }
}

void RangeOwnership::SendAnnouncements(TimePoint now) {
  for (const auto& [to, ranges] : announcements_) {
    if (to == context_.self) {
      continue;
    }
    protocol::RequestMessage message;
    for (const uint32_t it : ranges) {
      owner_.AddRangeTo(*message.mutable_ranges_announce(), it, now);
    }
    context_.send(to, message);
  }
  announcements_.clear();
}

void RangeOwnership::OnHandover(VmId from,
                                const protocol::RangesHandover& handover,
                                TimePoint now) {
  protocol::RequestMessage answer;
  for (const auto& it : handover.records()) {
    const KeyRangeRecord record = FromProto(it);
    if (record.range >= kKeyRanges) {
      continue;
    }
    RangeState& range = context_.ranges[record.range];
    if (handover.acknowledged()) {
      if (range.role == RangeRole::kOwner && range.grants_stopped &&
          record.epoch == range.record.epoch && from == range.record.backup) {
        context_.decide(record.range, "handed-over");
        LoseRole(record.range, {record.range, record.epoch + 1, from});
      }
      continue;
    }
    if (range.role == RangeRole::kBackup && range.complete &&
        range.record == record && from == record.owner) {
      TakeOverWithoutStore(record.range, "take-over-by-hand-over", now);
    }
    if (range.role == RangeRole::kOwner && range.record.epoch > record.epoch) {
      *answer.mutable_ranges_handover()->add_records() = it;
    } else if (range.record.epoch > record.epoch) {
      owner_.Announce(from, record.range, now);
    }
  }
  if (answer.ranges_handover().records_size() > 0) {
    answer.mutable_ranges_handover()->set_acknowledged(true);
    context_.send(from, answer);
  }
}

void RangeOwnership::SendHandovers(TimePoint now) {
  if (now - handovers_sent_at_ < kHandoverInterval) {
    return;
  }
  handovers_sent_at_ = now;
  std::map<VmId, protocol::RequestMessage> messages;
  for (RangeState& it : context_.ranges) {
    if (it.role != RangeRole::kOwner) {
      continue;
    }
    it.grants_stopped |= handing_over_ && it.sync == BackupSync::kSynced;
    if (it.grants_stopped) {
      ToProto(
          it.record,
          messages[it.record.backup].mutable_ranges_handover()->add_records());
    }
  }
  for (auto& [to, message] : messages) {
    context_.send(to, message);
  }
}

}  // namespace marjoramhall::request
