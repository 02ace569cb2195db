// SYNs of flows for which there is no room now.
#include <set>
#include <utility>

#include "src/forward/forwarder.h"

namespace marjoramhall::forward {

WaitingSyn Forwarder::DescribeSyn(const FlowKey& key,
                                  uint64_t route_key,
                                  const Route& route,
                                  TimePoint now) const {
  WaitingSyn syn;
  syn.key = key;
  syn.route_key = route_key;
  syn.service = SelectService(route, key);
  syn.priority = route.priority;
  syn.usual_work = quick_failures_.UsualWork(route_key);
  syn.due_at = now + waiting_.LongestWait(route, bulk_.IsBulk(route_key));
  return syn;
}

Reason Forwarder::LackOfRoom(const WaitingSyn& syn, const Route& route) {
  if (!admission_.Admits(syn.service, route, LoadOf(syn.service, route))) {
    return Reason::kOverload;
  }
  return bulk_.IsBulk(syn.route_key) && !bulk_.HasRoom() ? Reason::kLinkFull
                                                         : Reason::kNone;
}

bool Forwarder::MayWait(const WaitingSyn& syn,
                        Reason lack,
                        std::span<const uint8_t> datagram,
                        TimePoint now) const {
  if (datagram.size() != kPacketHeaderBytes) {
    return false;  // the SYN cannot be kept
  }
  const size_t before = waiting_.CountBefore(syn);
  const Duration wait = lack == Reason::kLinkFull
                            ? bulk_.EstimatedWait(syn.route_key, before)
                            : admission_.EstimatedWait(syn.service, before);
  // Small deployments refuse at once: few other VMs share their targets, and a
  // retry does not find the same load.
  return (lack == Reason::kLinkFull || traffic_share_ > 0) &&
         now + wait <= syn.due_at;
}

PacketVerdict Forwarder::Hold(const WaitingSyn& syn,
                              Reason lack,
                              TrackedFlow& flow,
                              TimePoint now) {
  flow.phase = FlowPhase::kSynHeld;
  flow.held_until = syn.due_at;
  flow.waits_for_link = syn.waits_for_link;
  flow.syn_copies = 1;
  ++counters_.held_syns;
  LogHold(syn.key, lack, now);
  waiting_.Add(syn);
  return {PacketAction::kHold, nullptr, lack};
}

void Forwarder::BeginFlow(const WaitingSyn& syn, TimePoint now) {
  if (bulk_.IsBulk(syn.route_key)) {
    bulk_.OnTransfer(syn.key, now);
  }
  flows_.ScheduleSynCheck(syn.key, now);
}

std::optional<PacketVerdict> Forwarder::OnHeldSyn(const PacketHeader& header,
                                                  const Route& route,
                                                  TrackedFlow& flow,
                                                  TimePoint now) {
  flow.next_client_syn_at = NextClientSynAt(header, now);
  flow.syn_copies += flow.syn_copies == header.acknowledged ? 1 : 0;
  if (std::exchange(flow.has_turn, false)) {
    WaitingSyn syn = DescribeSyn(header.flow, flow.route_key, route, now);
    syn.due_at = flow.held_until;
    syn.waits_for_link = flow.waits_for_link;
    // Other flows may have got their turn at the same time. A flow that another
    // VM may have admitted is not held again.
    if (flow.syn_copies <= header.acknowledged ||
        LackOfRoom(syn, route) == Reason::kNone) {
      flow.phase = FlowPhase::kSynSent;
      BeginFlow(syn, now);
      return std::nullopt;
    }
    waiting_.Add(syn);
  }
  const Reason lack =
      flow.waits_for_link ? Reason::kLinkFull : Reason::kOverload;
  const bool is_closed = flow.syn_copies == header.acknowledged + 1;
  if (now >= flow.held_until && is_closed) {
    RemoveFlow(header.flow, flow);
    return Refuse(header, lack, now, true);
  }
  return PacketVerdict{PacketAction::kHold, nullptr, lack};
}

void Forwarder::ForgetHeldSyns() {
  waiting_.Release([&](const WaitingSyn& syn) {
    const TrackedFlow* flow = flows_.Find(syn.key);
    if (flow != nullptr && flow->phase == FlowPhase::kSynHeld) {
      flows_.Remove(syn.key);
    }
    return true;
  });
}

void Forwarder::ReleaseHeldSyns(TimePoint now) {
  bulk_.Expire(now);
  // Flows come in the order of priority, so that one without room leaves none
  // for those of its service that follow.
  std::set<ServiceId> full_services;
  bool link_full = false;
  waiting_.Release([&](const WaitingSyn& syn) {
    const auto route = view_->routes.find(syn.route_key);
    if (route == view_->routes.end()) {
      return ReleaseHeldSyn(syn, now);
    }
    if (full_services.contains(syn.service) ||
        (link_full && bulk_.IsBulk(syn.route_key))) {
      return false;
    }
    const Reason lack = LackOfRoom(syn, route->second);
    if (lack == Reason::kOverload) {
      full_services.insert(syn.service);
    }
    link_full |= lack == Reason::kLinkFull;
    return lack == Reason::kNone && ReleaseHeldSyn(syn, now);
  });
}

bool Forwarder::ReleaseHeldSyn(const WaitingSyn& syn, TimePoint now) {
  TrackedFlow* flow = flows_.Find(syn.key);
  if (flow == nullptr || flow->phase != FlowPhase::kSynHeld) {
    return true;  // it has begun through another VM
  }
  flow->has_turn = true;
  if (now + kAnswerDue > flow->next_client_syn_at) {
    // The retransmission may come through another VM, which assigns a target,
    // too. If it comes through this one, OnHeldSyn() sends it on.
    return true;
  }
  const TargetEntry* entry = AssignTarget(syn.key, *flow, now);
  if (entry == nullptr) {
    flows_.Remove(syn.key);
    return true;
  }
  BeginFlow(syn, now);
  hooks_.resend_syn(flow->syn_packet, entry->target);
  return true;
}

}  // namespace marjoramhall::forward
