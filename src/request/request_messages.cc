// Peer messages of the request plane: sending and dispatch to the components.
#include "src/protocol/request_control.pb.h"
#include "src/request/limit_shares.h"
#include "src/request/request_plane_impl.h"

namespace marjoramhall::request {
namespace {

using protocol::RequestMessage;

}  // namespace

void RequestPlane::Impl::Send(VmId to, RequestMessage& message) {
  message.set_incarnation(key_context_.incarnation);
  std::string payload = message.SerializeAsString();
  if (to == key_context_.self) {
    self_messages_.push_back(std::move(payload));
    return;
  }
  ++stats_.peer_messages_sent;
  stats_.peer_bytes_sent += payload.size();
  send_(to, PeerChannel::kRequest, std::move(payload));
}

void RequestPlane::Impl::OnPeerMessage(VmId from,
                                       std::string_view payload,
                                       TimePoint now) {
  range_ownership_.OnEventTime(now);
  now_ = now;
  RequestMessage message;
  if (!message.ParseFromArray(payload.data(),
                              static_cast<int>(payload.size())) ||
      message.body_case() == RequestMessage::BODY_NOT_SET) {
    ++stats_.bad_peer_messages;
    return;
  }
  HandleMessage(from, message, now);
  FinishEvent(now);
}

void RequestPlane::Impl::HandleMessage(VmId from,
                                       const RequestMessage& message,
                                       TimePoint now) {
  if (from != key_context_.self) {
    Incarnation& known = key_context_.peers[from];
    if (message.incarnation() < known) {
      return;  // from an earlier process of the VM
    }
    if (message.incarnation() > known) {
      known = message.incarnation();
      key_owner_.OnPeerRestart(from, now);
    }
  }
  if (!HandleSlots(from, message, now)) {
    HandleKeys(from, message, now);
  }
}

bool RequestPlane::Impl::HandleSlots(VmId from,
                                     const RequestMessage& message,
                                     TimePoint now) {
  switch (message.body_case()) {
    case RequestMessage::kSlotReport: {
      const protocol::SlotReport& report = message.slot_report();
      const auto it = services_.find(static_cast<ServiceId>(report.service()));
      if (it == services_.end() || it->second.allocator == nullptr) {
        return true;
      }
      if (it->second.allocator->IsOutdatedBy(from, report)) {
        // Another allocator has sent grants in the meantime. Rebuild the table.
        it->second.allocator = std::make_unique<SlotAllocator>(
            options_, it->first, report.epoch() + 1, now, member_removed_at_);
        it->second.allocator->OnView(*view_, it->second.scheduler->service(),
                                     now);
      }
      it->second.allocator->OnReport(from, message.incarnation(), report, now);
      return true;
    }
    case RequestMessage::kSlotGrant:
      OnGrant(from, message.slot_grant(), now);
      return true;
    case RequestMessage::kSlotQuery:
      if (ServiceScheduler* scheduler = SchedulerOf(
              static_cast<ServiceId>(message.slot_query().service()))) {
        scheduler->leases().OnQuery(from);
      }
      return true;
    default:
      return HandleLoans(from, message, now);
  }
}

bool RequestPlane::Impl::HandleLoans(VmId from,
                                     const RequestMessage& message,
                                     TimePoint now) {
  ServiceScheduler* scheduler = nullptr;
  const auto find = [&](uint32_t service) {
    scheduler = SchedulerOf(static_cast<ServiceId>(service));
    return scheduler != nullptr;
  };
  switch (message.body_case()) {
    case RequestMessage::kSlotBorrow: {
      const protocol::SlotBorrow& borrow = message.slot_borrow();
      if (find(borrow.service())) {
        scheduler->OnBorrow(from, message.incarnation(), borrow.sequence(),
                            now);
      }
      return true;
    }
    case RequestMessage::kSlotLend: {
      const protocol::SlotLend& lend = message.slot_lend();
      if (find(lend.service())) {
        ScheduleDispatch(static_cast<ServiceId>(lend.service()));
        scheduler->OnLend(from, lend.sequence(),
                          static_cast<TargetId>(lend.target()), now);
      }
      return true;
    }
    case RequestMessage::kSlotGiveBack: {
      const protocol::SlotGiveBack& back = message.slot_give_back();
      if (find(back.service())) {
        ScheduleDispatch(static_cast<ServiceId>(back.service()));
        scheduler->OnGiveBack(from, message.incarnation(), back.sequence());
      }
      return true;
    }
    default:
      return false;
  }
}

void RequestPlane::Impl::OnGrant(VmId from,
                                 const protocol::SlotGrant& grant,
                                 TimePoint now) {
  const auto id = static_cast<ServiceId>(grant.service());
  ServiceScheduler* scheduler = SchedulerOf(id);
  if (scheduler == nullptr || from != scheduler->leases().allocator()) {
    return;
  }
  ScheduleDispatch(id);
  if (scheduler->leases().OnGrant(from, grant, now)) {
    Decision decision;
    decision.kind = DecisionKind::kMoveSlots;
    decision.service = id;
    decision.vm = key_context_.self;
    decision.subject = scheduler->leases().total_limit();
    decision.outcome = "hold";
    decide_(decision);
  }
  for (int i = 0; i < grant.kind_shares_size(); ++i) {
    scheduler->limiter().SetKindShare(static_cast<size_t>(i),
                                      grant.kind_shares(i) / kFullShare);
  }
  for (const auto& it : grant.callers()) {
    scheduler->limiter().SetCallerShare(it.kind(), it.caller(),
                                        it.share() / kFullShare);
  }
}

void RequestPlane::Impl::HandleKeys(VmId from,
                                    const RequestMessage& message,
                                    TimePoint now) {
  const Incarnation incarnation = message.incarnation();
  switch (message.body_case()) {
    case RequestMessage::kKeyClaim:
      key_owner_.OnClaim(from, message.key_claim(), now);
      break;
    case RequestMessage::kKeyReply:
      key_claims_.OnReply(from, message.key_reply(), now);
      break;
    case RequestMessage::kKeyOutcome:
      key_owner_.OnOutcome(from, message.key_outcome(), now);
      break;
    case RequestMessage::kKeyOutcomeAck:
      key_claims_.OnOutcomeAck(from, message.key_outcome_ack());
      break;
    case RequestMessage::kKeyReplica:
      key_owner_.OnReplica(from, incarnation, message.key_replica(), now);
      break;
    case RequestMessage::kKeyReplicaAck:
      key_owner_.OnReplicaAck(from, message.key_replica_ack(), now);
      break;
    case RequestMessage::kRangesSynced:
      key_owner_.OnSynced(from, incarnation, message.ranges_synced(), now);
      break;
    case RequestMessage::kRangesHandover:
      if (view_ != nullptr) {
        range_ownership_.OnHandover(from, message.ranges_handover(), now);
      }
      break;
    case RequestMessage::kRangesAnnounce:
      if (view_ != nullptr) {
        range_ownership_.OnAnnounce(from, message.ranges_announce(), now);
      }
      break;
    default:
      ++stats_.bad_peer_messages;
  }
}

}  // namespace marjoramhall::request
