// Forwarding by token and tracking of requests.
#include "src/forward/forwarder.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace marjoramhall::forward {
namespace {

// Time that a SYN may have waited after which it is stale. By then its client
// has sent it again, possibly through another VM, or does so before an answer
// can reach it. Packets usually wait for at most 20 ms.
constexpr Duration kStaleSynWait = kFirstSynRetransmission - kAnswerDue;
// A client retransmits after 200 ms and 600 ms. A target that works has
// acknowledged the packet by the second time.
constexpr Duration kAbandonedAfter = std::chrono::milliseconds(500);
// Age of the last observation of a link without a queue: two of the longest
// intervals between ticks, and one more for a busy VM.
constexpr Duration kLinkObservation = std::chrono::milliseconds(60);
// Weights of a new response time in the smoothed values.
constexpr double kTargetSmoothing = 0.15;
constexpr double kRouteSmoothing = 0.02;
// Limit the effect of a single straggler on its target.
constexpr double kMaxRelativeLatency = 4.0;
constexpr double kMinRelativeLatency = 0.8;

uint32_t PriorityLevelOf(const Route& route) {
  return std::min(route.priority, kPriorityLevels - 1);
}

}  // namespace

Forwarder::Forwarder(ForwarderOptions options, ForwarderHooks hooks)
    : hooks_(std::move(hooks)),
      picker_(options.picker, options.seed),
      admission_(options.admission),
      bulk_(options.bulk),
      link_queue_(options.bulk.link_bytes_per_second),
      warm_up_(options.warm_up, options.seed),
      waiting_(options.syn_queue),
      flows_(options.max_tracked_flows),
      quick_failures_(options.quick_failure) {}

void Forwarder::OnView(ViewPtr view) {
  view_ = std::move(view);
  targets_.Replace(*view_);
  admission_.OnView(*view_);
}

bool Forwarder::OnReceiveBatch(TimePoint boot_now) {
  const bool may_be_stale =
      waiting_since_ && boot_now - *waiting_since_ >= kStaleSynWait;
  resuming_ |= may_be_stale;
  return may_be_stale;
}

PacketVerdict Forwarder::OnPacket(const PacketHeader& header,
                                  std::span<const uint8_t> datagram,
                                  TimePoint now) {
  ++counters_.packets;
  link_queue_.OnPacket(kPacketHeaderBytes + header.data_bytes);
  if (now - std::exchange(last_packet_at_, now) >= kReceptionGap) {
    reception_resumed_at_ = now;
  }
  if (view_ == nullptr || view_->config_version == 0 ||
      view_->targets.empty()) {
    return Refuse(header, Reason::kNoView, now);
  }
  return header.syn ? OnSyn(header, datagram, now) : OnNonSyn(header, now);
}

ServiceId Forwarder::SelectService(const Route& route,
                                   const FlowKey& key) const {
  uint64_t total = 0;
  for (const ServiceShare& it : route.services) {
    total += it.weight;
  }
  // The hash makes every VM select the same service for a retransmitted SYN.
  uint64_t position = total == 0 ? 0 : HashOf(key) % total;
  for (const ServiceShare& it : route.services) {
    if (position < it.weight) {
      return it.service;
    }
    position -= it.weight;
  }
  return ServiceId::kNone;
}

ServiceLoad Forwarder::LoadOf(ServiceId service, const Route& route) const {
  ServiceLoad load;
  const bool is_shared = traffic_share_ > 0;
  const uint32_t level =
      is_shared ? PriorityLevelOf(route) : kPriorityLevels - 1;
  for (const TargetEntry* it : targets_.TargetsOf(service)) {
    // Requests at a silent target do not load the other targets. The share of a
    // fleet is of the slots of targets that take new flows, so it is compared
    // with the requests there.
    if (is_shared ? it->silence.MayBeSilent() || !TakesNewFlows(it->target)
                  : it->silence.IsSuspect()) {
      continue;
    }
    load.slots += TakesNewFlows(it->target) ? it->target.slots : 0;
    for (uint32_t i = 0; i <= level; ++i) {
      load.in_progress += it->outstanding_by_priority[i];
    }
  }
  return load;
}

PacketVerdict Forwarder::OnNonSyn(const PacketHeader& header, TimePoint now) {
  TargetEntry* entry = targets_.Find(header.token);
  if (entry == nullptr) {
    return Refuse(
        header,
        header.reset ? Reason::kResetWithoutTarget : Reason::kUnknownToken,
        now);
  }
  TrackPacket(header, *entry, now);
  if (IsAbandoned(header, *entry, now)) {
    if (TrackedFlow* flow = flows_.Find(header.flow)) {
      RemoveFlow(header.flow, *flow);
    }
    return Refuse(header, Reason::kTargetGone, now);
  }
  return {PacketAction::kForward, &entry->target};
}

bool Forwarder::IsAbandoned(const PacketHeader& header,
                            const TargetEntry& entry,
                            TimePoint now) {
  if (!entry.target.gone || header.data_bytes == 0) {
    return false;
  }
  const TrackedFlow* flow = flows_.Find(header.flow);
  if (flow == nullptr ||
      (flow->phase != FlowPhase::kRequestInProgress &&
       flow->phase != FlowPhase::kRequestOverdue) ||
      header.sequence != flow->request_sequence ||
      now - flow->request_started_at < kAbandonedAfter) {
    return false;
  }
  // A reset says nothing of whether the request has run.
  const auto route = view_->routes.find(flow->route_key);
  return route != view_->routes.end() &&
         route->second.idempotency == Idempotency::kIdempotent;
}

void Forwarder::TrackPacket(const PacketHeader& header,
                            TargetEntry& entry,
                            TimePoint now) {
  TrackedFlow* flow = flows_.Find(header.flow);
  const bool ends = header.fin || header.reset;
  if (flow == nullptr) {
    if (ends || header.data_bytes == 0) {
      return;
    }
    // The flow was handled by another VM before, or it was idle for long.
    flow = flows_.Add(header.flow, now);
    if (flow == nullptr) {
      return;
    }
    flow->token = header.token;
    flow->phase = FlowPhase::kResponded;
    flow->route_key =
        RouteKeyOf(header.flow.service_address, header.flow.service_port);
  }
  if (flow->phase == FlowPhase::kSynSent ||
      flow->phase == FlowPhase::kSynHeld) {
    ++counters_.answered_syns;
    entry.silence.OnAnswer();
    entry.last_answer_at = now;
    if (flow->token == header.token && !flow->is_syn_resent) {
      flow->handshake = now - flow->assigned_at;
      quick_failures_.OnHandshake(flow->route_key, flow->handshake);
    }
    CountRequest(*flow, entry);
    BeginRequest(header, entry, *flow, now);
  } else if (flow->phase == FlowPhase::kResponded && header.data_bytes > 0 &&
             !ends) {
    CountRequest(*flow, entry);
    BeginRequest(header, entry, *flow, now);
  } else if ((flow->phase == FlowPhase::kRequestInProgress ||
              flow->phase == FlowPhase::kRequestOverdue) &&
             (header.acknowledged != flow->request_acknowledged ||
              header.fin)) {
    OnResponse(header, *flow, now);
    const bool is_new_data =
        header.data_bytes > 0 &&
        static_cast<int32_t>(header.sequence - flow->next_sequence) >= 0;
    if (is_new_data && !ends) {  // the acknowledgment came with a request
      CountRequest(*flow, entry);
      BeginRequest(header, entry, *flow, now);
    }
  }
  if (static_cast<int32_t>(header.sequence + header.data_bytes -
                           flow->next_sequence) > 0) {
    flow->next_sequence = header.sequence + header.data_bytes;
  }
  if (header.data_bytes > 0 && flow->phase == FlowPhase::kRequestInProgress) {
    bulk_.OnRequestData(header.flow, flow->route_key,
                        flow->next_sequence - flow->request_sequence, now);
  }
  if (ends) {
    RemoveFlow(header.flow, *flow);
  }
}

void Forwarder::RemoveFlow(const FlowKey& key, TrackedFlow& flow) {
  ReleaseRequest(flow);
  bulk_.Forget(key);
  waiting_.Remove(key);
  flows_.Remove(key);
}

void Forwarder::BeginRequest(const PacketHeader& header,
                             TargetEntry& entry,
                             TrackedFlow& flow,
                             TimePoint now) {
  if (flow.phase == FlowPhase::kResponded) {
    ++counters_.requests;
    warm_up_.OnRequest(entry, now);  // the first one was counted with the SYN
  }
  flow.phase = FlowPhase::kRequestInProgress;
  flow.request_started_at = now;
  flow.request_sequence = header.sequence;
  flow.request_acknowledged = header.acknowledged;
  flow.next_sequence = header.sequence + header.data_bytes;
  const auto route = view_->routes.find(flow.route_key);
  flow.overdue_after =
      route == view_->routes.end()
          ? kTrackedFlowTimeout
          : admission_.OverdueAfter(entry.target.service, route->second);
}

bool Forwarder::HasMissedPackets(const PacketHeader& header,
                                 const TrackedFlow& flow) {
  return static_cast<int32_t>(header.sequence - flow.next_sequence) > 0 ||
         (flow.phase == FlowPhase::kRequestOverdue && header.data_bytes > 0);
}

void Forwarder::OnResponse(const PacketHeader& header,
                           TrackedFlow& flow,
                           TimePoint now) {
  if (HasMissedPackets(header, flow)) {
    ReleaseRequest(flow);
    bulk_.Forget(header.flow);
    flow.phase = FlowPhase::kResponded;
    return;
  }
  bulk_.OnRequestEnd(header.flow, flow.route_key,
                     flow.next_sequence - flow.request_sequence);
  ++counters_.responses;
  hooks_.on_response(now - flow.request_started_at);
  const double response_us =
      static_cast<double>((now - flow.request_started_at).count());
  double& route_us = route_response_us_[flow.route_key];
  route_us = route_us == 0
                 ? response_us
                 : route_us + kRouteSmoothing * (response_us - route_us);
  if (TargetEntry* entry = targets_.Find(flow.token)) {
    entry->last_answer_at = now;
    const double ratio =
        std::min(response_us / std::max(route_us, 1.0), kMaxRelativeLatency);
    entry->relative_latency =
        std::max(kMinRelativeLatency,
                 entry->relative_latency +
                     kTargetSmoothing * (ratio - entry->relative_latency));
    CheckForQuickFailure(flow, *entry, now);
  }
  if (flow.phase != FlowPhase::kRequestOverdue) {
    ReportResponseTime(flow, now);
  }
  ReleaseRequest(flow);
  flow.phase = FlowPhase::kResponded;
}

void Forwarder::CheckForQuickFailure(const TrackedFlow& flow,
                                     TargetEntry& entry,
                                     TimePoint now) {
  if (flow.handshake == Duration{0}) {
    return;  // the time of the work is unknown
  }
  if (quick_failures_.OnResponse(flow.route_key, flow.handshake,
                                 now - flow.request_started_at, entry, now)) {
    LogTargetHealth(entry, "avoided", Reason::kQuickResponse, now);
  }
}

void Forwarder::ReportResponseTime(const TrackedFlow& flow, TimePoint now) {
  if (resuming_ || flow.request_started_at < resumed_at_) {
    return;  // the time includes a suspension of this VM
  }
  if (!link_queue_.WasEmptySince(now - kLinkObservation)) {
    return;  // it may include a wait in the link of this VM
  }
  const TargetEntry* entry = targets_.Find(flow.token);
  const auto route = view_->routes.find(flow.route_key);
  if (entry != nullptr && route != view_->routes.end()) {
    admission_.OnResponse(entry->target.service, route->second,
                          now - flow.request_started_at, now);
  }
}

void Forwarder::CountRequest(TrackedFlow& flow, TargetEntry& entry) {
  ReleaseRequest(flow);
  flow.token = entry.target.token;
  flow.is_outstanding = true;
  const auto route = view_->routes.find(flow.route_key);
  flow.priority_level =
      route == view_->routes.end() ? 0 : PriorityLevelOf(route->second);
  ++entry.outstanding_requests;
  ++entry.outstanding_by_priority[flow.priority_level];
}

void Forwarder::ReleaseRequest(TrackedFlow& flow) {
  if (!std::exchange(flow.is_outstanding, false)) {
    return;
  }
  // The entry is another one if the target was unknown for a while.
  if (TargetEntry* entry = targets_.Find(flow.token);
      entry != nullptr &&
      entry->outstanding_by_priority[flow.priority_level] > 0) {
    --entry->outstanding_requests;
    --entry->outstanding_by_priority[flow.priority_level];
  }
}

void Forwarder::OnTick(TimePoint now) {
  if (std::exchange(resuming_, false)) {
    resumed_at_ = now;
    ForgetHeldSyns();
  }
  link_queue_.OnTick(now);
  warm_up_.OnTick(now);
  flows_.RunSynChecks(now, [&](const FlowKey& key, TrackedFlow& flow) {
    return CheckSynAnswer(key, flow, now);
  });
  flows_.Expire(
      now,
      [&](const FlowKey&, TrackedFlow& flow) {
        const TargetEntry* entry = targets_.Find(flow.token);
        // A target that has answered other flows since is slow. Any other
        // target may be dead, which does not indicate load.
        if (entry != nullptr &&
            entry->last_answer_at > flow.request_started_at) {
          ReportResponseTime(flow, now);
        }
        ReleaseRequest(flow);
      },
      [&](const FlowKey& key, TrackedFlow& flow) {
        ReleaseRequest(flow);
        bulk_.Forget(key);
        waiting_.Remove(key);
      });
  ReleaseHeldSyns(now);
}

}  // namespace marjoramhall::forward
