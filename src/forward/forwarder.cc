// Placement of openings, delivery by token, and observation of targets.
#include "src/forward/forwarder.h"

#include <algorithm>
#include <chrono>
#include <cstring>
#include <utility>

#include "src/base/endpoint.h"

namespace marjoramhall::forward {
namespace {

// A target that answered within this time is taken to be alive: an opening
// without an answer was then lost on the way and goes to the same target.
constexpr Duration kRecentAnswer = std::chrono::milliseconds(300);
// A client sends its first copy of an opening after 200 ms, which may have gone
// to another VM; wake-ups are 20 ms apart at the most.
constexpr Duration kLongGap = std::chrono::milliseconds(200);
// Weight of a new response time in the smoothed ones.
constexpr double kTargetSmoothing = 0.15;
constexpr double kRouteSmoothing = 0.02;
// One straggler must not mark its target as slow.
constexpr double kLargestRatio = 4.0;
constexpr double kLeastSlowness = 0.8;

}  // namespace

Forwarder::Forwarder(ForwarderOptions options, ForwarderHooks hooks)
    : hooks_(std::move(hooks)),
      picker_(options.picker, options.seed),
      admission_(options.admission),
      flows_(options.tracked_flows) {}

void Forwarder::OnView(ViewPtr view) {
  view_ = std::move(view);
  targets_.Replace(*view_);
  admission_.OnView(*view_);
}

void Forwarder::OnReceiveBatch(TimePoint boot_now) {
  if (woken_at_ != TimePoint() && boot_now - woken_at_ >= kLongGap) {
    queue_is_stale_ = true;
  }
  woken_at_ = boot_now;
}

PacketVerdict Forwarder::OnPacket(const PacketHeader& header,
                                  std::span<const uint8_t> datagram,
                                  TimePoint now) {
  ++counters_.packets;
  if (view_ == nullptr || view_->config_version == 0 ||
      view_->targets.empty()) {
    return Refuse(header, Reason::kNoView, now);
  }
  return header.syn ? OnOpening(header, datagram, now)
                    : OnLaterPacket(header, now);
}

PacketVerdict Forwarder::Refuse(const PacketHeader& header,
                                Reason reason,
                                TimePoint now) {
  ++counters_.refused[static_cast<size_t>(reason)];
  PacketVerdict verdict;
  verdict.reason = reason;
  // Only the first opening is reset: otherwise the flow may be open, by way of
  // another VM with another view, and its target alive.
  if (header.syn && header.acknowledged == 0 &&
      (reason == Reason::kNoRoute || reason == Reason::kNoTarget ||
       reason == Reason::kOverload)) {
    verdict.action = PacketAction::kReset;
  }
  if (!hooks_.may_log(true, now)) {
    return verdict;
  }
  const bool reset = verdict.action == PacketAction::kReset;
  std::string detail = DescribeFlow(header.flow, now);
  if (reason == Reason::kOverload) {
    detail += DescribeLoad(header.flow);
  }
  Decision decision;
  decision.kind =
      reset ? DecisionKind::kRefuseRequest : DecisionKind::kDropPacket;
  decision.subject = HashOf(header.flow);
  decision.target = TargetId{static_cast<uint32_t>(header.token)};
  decision.revision = view_ == nullptr ? 0 : view_->config_version;
  decision.outcome = reset ? "reset" : "dropped";
  decision.reason = NameOf(reason);
  decision.detail = detail;
  hooks_.decide(decision);
  return verdict;
}

std::string Forwarder::DescribeFlow(const FlowKey& key, TimePoint now) const {
  const Endpoint client{IpAddress::FromV4(key.client_address), key.client_port};
  const Endpoint service{IpAddress::FromV4(key.service_address),
                         key.service_port};
  std::string text = client.ToString() + " to " + service.ToString();
  if (view_ != nullptr) {
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
        now - confirmed_at_);
    text += ", view confirmed " + std::to_string(age.count()) + " ms ago";
  }
  return text;
}

ServiceId Forwarder::ChooseService(const Route& route,
                                   const FlowKey& key) const {
  uint64_t total = 0;
  for (const ServiceShare& it : route.services) {
    total += it.weight;
  }
  // By the flow's hash, so that every VM chooses alike for copies of a packet.
  uint64_t at = total == 0 ? 0 : HashOf(key) % total;
  for (const ServiceShare& it : route.services) {
    if (at < it.weight) {
      return it.service;
    }
    at -= it.weight;
  }
  return ServiceId::kNone;
}

PacketVerdict Forwarder::OnOpening(const PacketHeader& header,
                                   std::span<const uint8_t> datagram,
                                   TimePoint now) {
  ++counters_.syn_packets;
  if (queue_is_stale_) {
    return Refuse(header, Reason::kStaleOpening, now);
  }
  const uint64_t key =
      RouteKeyOf(header.flow.service_address, header.flow.service_port);
  const auto route = view_->routes.find(key);
  if (route == view_->routes.end()) {
    return Refuse(header, Reason::kNoRoute, now);
  }
  TrackedFlow* flow = flows_.Find(header.flow);
  if (flow != nullptr && flow->phase != FlowPhase::kOpening) {
    if (header.acknowledged > 0) {
      return Refuse(header, Reason::kLateCopy, now);
    }
    // The client uses the port again for a new flow.
    Release(*flow);
    flows_.Remove(header.flow);
    flow = nullptr;
  }
  TrackedFlow untracked;
  if (flow == nullptr) {
    // Not a copy: its flow may be opening through another VM.
    const ServiceId service = ChooseService(route->second, header.flow);
    if (header.acknowledged == 0 &&
        !admission_.Admits(service, route->second, InProgress(service))) {
      return Refuse(header, Reason::kOverload, now);
    }
    flow = flows_.Add(header.flow, now);
    if (flow == nullptr) {
      flow = &untracked;
    }
    flow->route = key;
    if (datagram.size() == kPacketHeaderBytes) {
      std::memcpy(flow->opening.data(), datagram.data(), kPacketHeaderBytes);
    }
  } else {
    CountUnanswered(*flow, now);
  }
  TargetEntry* entry = Place(header.flow, *flow, now);
  if (entry == nullptr) {
    Release(*flow);
    flows_.Remove(header.flow);
    return Refuse(header, Reason::kNoTarget, now);
  }
  if (flow == &untracked) {
    Release(untracked);  // nothing would release it later
  }
  return {PacketAction::kForward, &entry->target};
}

uint32_t Forwarder::InProgress(ServiceId service) const {
  uint32_t n = 0;
  for (const TargetEntry* it : targets_.OfService(service)) {
    // What is at a target without answers keeps no other target busy.
    n += it->IsSuspect() ? 0 : it->outstanding;
  }
  return n;
}

std::string Forwarder::DescribeLoad(const FlowKey& key) const {
  const auto route =
      view_->routes.find(RouteKeyOf(key.service_address, key.service_port));
  if (route == view_->routes.end()) {
    return "";
  }
  const ServiceId service = ChooseService(route->second, key);
  return ", " + std::to_string(InProgress(service)) +
         " requests of this VM in progress, limit " +
         std::to_string(static_cast<uint32_t>(
             admission_.AllowedNow(service, route->second)));
}

TargetEntry* Forwarder::Place(const FlowKey& key,
                              TrackedFlow& flow,
                              TimePoint now) {
  const auto route = view_->routes.find(flow.route);
  if (route == view_->routes.end()) {
    return nullptr;
  }
  const std::span<const TargetToken> tried(flow.tried.data(), flow.tries);
  TargetEntry* entry = nullptr;
  if (flow.tries > 0) {
    // Lost on the way rather than not answered.
    TargetEntry* last = targets_.Find(flow.token);
    if (last != nullptr && flow.tries == 1 &&
        TakesNewFlows(last->target.state) &&
        now - last->last_answer < kRecentAnswer) {
      entry = last;
    }
  }
  if (entry == nullptr) {
    entry = picker_.Pick(targets_, ChooseService(route->second, key),
                         {tried, !tried.empty()}, now);
  }
  if (entry == nullptr) {
    return nullptr;
  }
  Release(flow);
  flow.phase = FlowPhase::kOpening;
  flow.token = entry->target.token;
  flow.sent = now;
  if (flow.tries < kMaxTries) {
    flow.tried[flow.tries++] = flow.token;
    flows_.Schedule(key, now + kAnswerTimeout);
  }
  ++entry->outstanding;
  counters_.placed_flows += flow.tries == 1 ? 1 : 0;
  LogPlacement(key, flow, *entry, now);
  return entry;
}

void Forwarder::LogPlacement(const FlowKey& key,
                             const TrackedFlow& flow,
                             const TargetEntry& entry,
                             TimePoint now) {
  const bool first = flow.tries == 1;
  if (!hooks_.may_log(!first, now)) {
    return;
  }
  const std::string detail = entry.target.id + " with " +
                             std::to_string(entry.outstanding) +
                             " requests of this VM, " + DescribeFlow(key, now);
  Decision decision;
  decision.kind = DecisionKind::kRouteFlow;
  decision.subject = HashOf(key);
  decision.service = entry.target.service;
  decision.target = TargetId{static_cast<uint32_t>(entry.target.token)};
  decision.revision = view_->config_version;
  decision.outcome = first ? "placed" : "repeated";
  decision.reason = first ? "least-loaded" : NameOf(Reason::kUnanswered);
  decision.detail = detail;
  hooks_.decide(decision);
}

void Forwarder::CountUnanswered(TrackedFlow& flow, TimePoint now) {
  if (now - flow.sent < kAnswerTimeout) {
    return;
  }
  TargetEntry* entry = targets_.Find(flow.token);
  if (entry != nullptr && entry->last_answer < flow.sent) {
    ++entry->unanswered;
    if (entry->unanswered == kSuspectAfter) {
      entry->last_probe = now;
      if (!hooks_.may_log(true, now)) {
        return;
      }
      Decision decision;
      decision.kind = DecisionKind::kTargetHealth;
      decision.service = entry->target.service;
      decision.target = TargetId{static_cast<uint32_t>(entry->target.token)};
      decision.revision = view_->config_version;
      decision.outcome = "suspect";
      decision.reason = NameOf(Reason::kUnanswered);
      decision.detail = entry->target.id;
      hooks_.decide(decision);
    }
  }
}

void Forwarder::RepeatOpening(const FlowKey& key,
                              TrackedFlow& flow,
                              TimePoint now) {
  if (now - flow.sent < kAnswerTimeout || flow.opening[0] == 0) {
    return;
  }
  CountUnanswered(flow, now);
  if (flow.tries >= kMaxTries) {
    return;
  }
  if (const TargetEntry* entry = Place(key, flow, now)) {
    ++counters_.resent_syns;
    hooks_.resend(flow.opening, entry->target);
  }
}

PacketVerdict Forwarder::OnLaterPacket(const PacketHeader& header,
                                       TimePoint now) {
  TargetEntry* entry = targets_.Find(header.token);
  if (entry == nullptr) {
    return Refuse(header,
                  header.reset ? Reason::kForeignReset : Reason::kUnknownToken,
                  now);
  }
  Observe(header, *entry, now);
  return {PacketAction::kForward, &entry->target};
}

void Forwarder::Observe(const PacketHeader& header,
                        TargetEntry& entry,
                        TimePoint now) {
  TrackedFlow* flow = flows_.Find(header.flow);
  const bool ends = header.fin || header.reset;
  if (flow == nullptr) {
    if (ends || header.data_bytes == 0) {
      return;
    }
    // The flow came from another VM, or was idle for long.
    flow = flows_.Add(header.flow, now);
    if (flow == nullptr) {
      return;
    }
    flow->token = header.token;
    flow->phase = FlowPhase::kAnswered;
    flow->route =
        RouteKeyOf(header.flow.service_address, header.flow.service_port);
  }
  if (flow->phase == FlowPhase::kOpening) {
    ++counters_.answered_syns;
    entry.unanswered = 0;
    entry.last_answer = now;
    if (flow->token != header.token) {
      Release(*flow);
      flow->token = header.token;
      ++entry.outstanding;
    }
    BeginWork(header, entry, *flow, now);
  } else if (flow->phase == FlowPhase::kAnswered && header.data_bytes > 0 &&
             !ends) {
    ++entry.outstanding;
    flow->token = header.token;
    BeginWork(header, entry, *flow, now);
  } else if ((flow->phase == FlowPhase::kWorking ||
              flow->phase == FlowPhase::kOverdue) &&
             (header.acknowledged != flow->first_ack || header.fin)) {
    OnResponse(*flow, now);
  }
  if (ends) {
    Release(*flow);
    flows_.Remove(header.flow);
  }
}

void Forwarder::BeginWork(const PacketHeader& header,
                          const TargetEntry& entry,
                          TrackedFlow& flow,
                          TimePoint now) {
  flow.phase = FlowPhase::kWorking;
  flow.worked = now;
  flow.first_ack = header.acknowledged;
  const auto route = view_->routes.find(flow.route);
  flow.overdue_after =
      route == view_->routes.end()
          ? kWorkLifetime
          : admission_.OverdueAfter(entry.target.service, route->second);
}

void Forwarder::OnResponse(TrackedFlow& flow, TimePoint now) {
  ++counters_.responses;
  hooks_.on_response(now - flow.worked);
  const double micros = static_cast<double>((now - flow.worked).count());
  double& usual = usual_time_[flow.route];
  usual = usual == 0 ? micros : usual + kRouteSmoothing * (micros - usual);
  if (TargetEntry* entry = targets_.Find(flow.token)) {
    entry->last_answer = now;
    const double ratio = std::min(micros / std::max(usual, 1.0), kLargestRatio);
    entry->slowness = std::max(
        kLeastSlowness,
        entry->slowness + kTargetSmoothing * (ratio - entry->slowness));
  }
  if (flow.phase != FlowPhase::kOverdue) {
    TellAdmission(flow, now);
  }
  Release(flow);
  flow.phase = FlowPhase::kAnswered;
}

void Forwarder::TellAdmission(const TrackedFlow& flow, TimePoint now) {
  if (queue_is_stale_ || flow.worked < resumed_at_) {
    return;  // the time includes a pause of this VM
  }
  const TargetEntry* entry = targets_.Find(flow.token);
  const auto route = view_->routes.find(flow.route);
  if (entry != nullptr && route != view_->routes.end()) {
    admission_.OnResponse(entry->target.service, route->second,
                          now - flow.worked, now);
  }
}

void Forwarder::Release(TrackedFlow& flow) {
  if (flow.phase == FlowPhase::kAnswered || flow.phase == FlowPhase::kOverdue ||
      flow.token == TargetToken::kNone) {
    return;
  }
  if (TargetEntry* entry = targets_.Find(flow.token);
      entry != nullptr && entry->outstanding > 0) {
    --entry->outstanding;
  }
}

void Forwarder::OnTick(TimePoint now) {
  if (std::exchange(queue_is_stale_, false)) {
    resumed_at_ = now;
  }
  flows_.RunChecks(now, [&](const FlowKey& key, TrackedFlow& flow) {
    RepeatOpening(key, flow, now);
  });
  flows_.Expire(
      now,
      [&](const FlowKey&, TrackedFlow& flow) {
        const TargetEntry* entry = targets_.Find(flow.token);
        // A target that answers others since is slow; one that does not may be
        // dead, which says nothing about the load.
        if (entry != nullptr && entry->last_answer > flow.worked) {
          TellAdmission(flow, now);
        }
        Release(flow);
      },
      [&](const FlowKey&, TrackedFlow& flow) { Release(flow); });
}

}  // namespace marjoramhall::forward
