// Assignment of targets to SYNs, and SYNs without an answer.
#include <cstring>
#include <utility>

#include "src/forward/forwarder.h"

namespace marjoramhall::forward {
namespace {

// Retransmission of a SYN by the client after which its target is given up even
// if it answers others. The target has sent its answer several times by then.
constexpr uint32_t kLastRetransmission = 2;

// Time without flows kept from a cold target after which the next one is logged
// again.
constexpr Duration kHeldBackLogInterval = std::chrono::seconds(10);

}  // namespace

PacketVerdict Forwarder::OnSyn(const PacketHeader& header,
                               std::span<const uint8_t> datagram,
                               TimePoint now) {
  ++counters_.syn_packets;
  if (resuming_) {
    return Refuse(header, Reason::kStaleSyn, now);
  }
  const uint64_t key =
      RouteKeyOf(header.flow.service_address, header.flow.service_port);
  const auto route = view_->routes.find(key);
  if (route == view_->routes.end()) {
    return Refuse(header, Reason::kNoRoute, now);
  }
  TrackedFlow* flow = flows_.Find(header.flow);
  const bool is_open = flow != nullptr && flow->phase != FlowPhase::kSynSent &&
                       flow->phase != FlowPhase::kSynHeld;
  const bool is_reused_port =
      flow != nullptr && (is_open ? header.acknowledged == 0
                                  : header.sequence != flow->syn_sequence);
  if (is_open && !is_reused_port) {
    return Refuse(header, Reason::kDuplicateSyn, now);
  }
  if (is_reused_port) {
    RemoveFlow(header.flow, *flow);
    flow = nullptr;
  }
  TrackedFlow untracked;
  TargetEntry* entry = nullptr;
  if (flow == nullptr) {
    // Admission control does not refuse a retransmitted SYN, because another VM
    // may have admitted the flow.
    counters_.requests += header.acknowledged == 0 ? 1 : 0;
    WaitingSyn syn = DescribeSyn(header.flow, key, route->second, now);
    const Reason lack = header.acknowledged == 0
                            ? LackOfRoom(syn, route->second)
                            : Reason::kNone;
    syn.waits_for_link = lack == Reason::kLinkFull;
    if (lack != Reason::kNone && !MayWait(syn, lack, datagram, now)) {
      return Refuse(header, lack, now);
    }
    flow = flows_.Add(header.flow, now);
    if (flow == nullptr) {
      if (lack != Reason::kNone) {
        return Refuse(header, lack, now);
      }
      flow = &untracked;
    }
    flow->route_key = key;
    flow->syn_sequence = header.sequence;
    flow->next_client_syn_at = NextClientSynAt(header, now);
    if (datagram.size() == kPacketHeaderBytes) {
      std::memcpy(flow->syn_packet.data(), datagram.data(), kPacketHeaderBytes);
    }
    if (lack != Reason::kNone) {
      return Hold(syn, lack, *flow, now);
    }
    if (flow != &untracked) {
      BeginFlow(syn, now);
    }
    entry = AssignTarget(header.flow, *flow, now);
  } else {
    if (flow->phase == FlowPhase::kSynHeld) {
      if (const auto verdict = OnHeldSyn(header, route->second, *flow, now)) {
        return *verdict;
      }
    }
    const TimePoint assigned_at = flow->assigned_at;
    entry = OnRetransmittedSyn(header, *flow, now);
    if (entry != nullptr && flow->assigned_at == assigned_at) {
      warm_up_.OnRequest(*entry, now);  // the first copy may have been lost
    }
  }
  if (entry == nullptr) {
    RemoveFlow(header.flow, *flow);
    return Refuse(header, ReasonForNoTarget(key, header.flow), now);
  }
  if (flow == &untracked) {
    ReleaseRequest(untracked);  // its request is never released otherwise
  }
  return {PacketAction::kForward, &entry->target};
}

Reason Forwarder::ReasonForNoTarget(uint64_t route_key,
                                    const FlowKey& key) const {
  const ServiceId service = SelectService(view_->routes.at(route_key), key);
  Reason reason = Reason::kNoTarget;
  for (const TargetEntry* it : targets_.TargetsOf(service)) {
    if (TakesNewFlows(it->target)) {
      return Reason::kTargetsCold;
    }
    if (IsInService(it->target)) {
      reason = Reason::kEvacuated;
    }
  }
  return reason;
}

TimePoint Forwarder::NextClientSynAt(const PacketHeader& syn,
                                     TimePoint now) const {
  return now + UntilNextSyn(syn.acknowledged) - bulk_.LongestLinkQueue();
}

TargetEntry* Forwarder::OnRetransmittedSyn(const PacketHeader& header,
                                           TrackedFlow& flow,
                                           TimePoint now) {
  flow.next_client_syn_at = NextClientSynAt(header, now);
  TargetEntry* entry = targets_.Find(flow.token);
  if (entry == nullptr || !TakesNewFlows(entry->target)) {
    return AssignTarget(header.flow, flow, now);
  }
  if (header.acknowledged == 0 || now - flow.assigned_at < kSynAnswerTimeout) {
    return entry;  // a duplicate, or the answer may be on its way
  }
  const bool has_answered_others = entry->last_answer_at > flow.assigned_at;
  if (!has_answered_others && now - reception_resumed_at_ < kSynAnswerTimeout) {
    flow.is_retransmission_unjudged = true;
    return entry;
  }
  if (!has_answered_others) {
    RecordSilence(
        *entry, [&](TargetSilence& it) { it.OnClientRetransmission(now); },
        now);
  } else if (header.acknowledged < kLastRetransmission) {
    return entry;  // the SYN or its answer was probably lost
  }
  return AssignTarget(header.flow, flow, now);
}

TargetEntry* Forwarder::AssignTarget(const FlowKey& key,
                                     TrackedFlow& flow,
                                     TimePoint now) {
  const auto route = view_->routes.find(flow.route_key);
  if (route == view_->routes.end()) {
    return nullptr;
  }
  const std::span<const TargetToken> tried(flow.tried_targets.data(),
                                           flow.attempts);
  bool held_back = false;
  PickConstraints constraints{tried};
  constraints.is_held_back = WarmUpConstraint(&held_back, now);
  if (!tried.empty()) {
    constraints.prefer_own_domain = true;
    // A small deployment has too few targets to single some out.
    if (traffic_share_ > 0) {
      constraints.answered_since = flow.added_at;
    }
  }
  TargetEntry* entry = picker_.Pick(targets_, SelectService(route->second, key),
                                    constraints, now);
  counters_.held_back_syns += held_back ? 1 : 0;
  if (entry == nullptr) {
    return nullptr;
  }
  warm_up_.OnRequest(*entry, now);
  flow.phase = FlowPhase::kSynSent;
  CountRequest(flow, *entry);
  flow.assigned_at = now;
  flow.is_syn_resent = false;
  if (flow.attempts < kMaxSynAttempts) {
    flow.tried_targets[flow.attempts++] = flow.token;
  }
  counters_.placed_flows += flow.attempts == 1 ? 1 : 0;
  LogAssignment(key, flow, *entry, now);
  return entry;
}

std::function<bool(TargetEntry&)> Forwarder::WarmUpConstraint(bool* held_back,
                                                              TimePoint now) {
  if (!warm_up_.is_enabled()) {
    return nullptr;
  }
  return [this, held_back, now](TargetEntry& entry) {
    if (!warm_up_.Limits(entry.target, now) || warm_up_.Admits(entry, now)) {
      return false;
    }
    *held_back = true;
    const TimePoint before = std::exchange(entry.warm_up.held_back_at, now);
    if (now - before >= kHeldBackLogInterval) {
      LogTargetHealth(entry, "limited", Reason::kTargetsCold, now);
    }
    return true;
  };
}

bool Forwarder::IsTargetSilent(const TrackedFlow& flow,
                               const TargetEntry& entry) const {
  const TimePoint due_at = flow.assigned_at + kAnswerDue;
  return entry.last_answer_at <= flow.assigned_at &&
         last_packet_at_ >= due_at && link_queue_.WasEmptySince(due_at);
}

void Forwarder::RecordSilence(TargetEntry& entry,
                              const std::function<void(TargetSilence&)>& record,
                              TimePoint now) {
  const bool was_suspect = entry.silence.IsSuspect();
  record(entry.silence);
  if (!was_suspect && entry.silence.IsSuspect()) {
    entry.last_probe_at = now;
    LogTargetHealth(entry, "suspect", Reason::kUnanswered, now);
  }
}

bool Forwarder::CheckSynAnswer(const FlowKey& key,
                               TrackedFlow& flow,
                               TimePoint now) {
  if (flow.assigned_at < resumed_at_) {
    return false;  // the flow has moved to another VM during a suspension
  }
  TargetEntry* entry = targets_.Find(flow.token);
  if (entry == nullptr || now - flow.assigned_at < kSynAnswerTimeout ||
      flow.syn_packet[0] == 0) {
    return entry != nullptr;
  }
  if (const auto route = view_->routes.find(flow.route_key);
      route != view_->routes.end() &&
      now - flow.added_at >=
          admission_.OverdueAfter(entry->target.service, route->second)) {
    ReleaseRequest(flow);  // like a request that is overdue
  }
  if (now + kAnswerDue > flow.next_client_syn_at) {
    // A retransmission that does not come through this VM comes through another
    // one, which assigns a target, too.
    return true;
  }
  const bool is_silent = IsTargetSilent(flow, *entry);
  if (is_silent && flow.is_retransmission_unjudged &&
      now - reception_resumed_at_ >= kSynAnswerTimeout) {
    flow.is_retransmission_unjudged = false;
    RecordSilence(
        *entry, [&](TargetSilence& it) { it.OnClientRetransmission(now); },
        now);
  } else if (is_silent) {
    RecordSilence(
        *entry,
        [&](TargetSilence& it) { it.OnUnansweredSyn(flow.assigned_at); }, now);
  }
  if (entry->target.gone || (is_silent && entry->silence.IsProven())) {
    entry = flow.attempts < kMaxSynAttempts ? AssignTarget(key, flow, now)
                                            : nullptr;
    counters_.moved_syns += entry != nullptr ? 1 : 0;
  } else if (flow.is_syn_resent || !TakesNewFlows(entry->target)) {
    entry = nullptr;
  } else {
    flow.is_syn_resent = true;  // the packet may have been lost
    LogAssignment(key, flow, *entry, now);
  }
  if (entry != nullptr) {
    if (flow.is_syn_resent) {
      warm_up_.OnRequest(*entry, now);  // AssignTarget() counts the others
    }
    ++counters_.resent_syns;
    hooks_.resend_syn(flow.syn_packet, entry->target);
  }
  return true;
}

}  // namespace marjoramhall::forward
