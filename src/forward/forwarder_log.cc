// Refusals and log lines of the forwarder.
#include <chrono>
#include <string>

#include "src/base/endpoint.h"
#include "src/forward/forwarder.h"

namespace marjoramhall::forward {

PacketVerdict Forwarder::Refuse(const PacketHeader& header,
                                Reason reason,
                                TimePoint now,
                                bool is_closed) {
  ++counters_.refused[static_cast<size_t>(reason)];
  PacketVerdict verdict;
  verdict.reason = reason;
  // Of the packets of a flow that may be open, only those to a target that is
  // gone are answered with a reset. After any packet but the first SYN the flow
  // may be open at a live target, through another VM with another view.
  if (header.syn && (header.acknowledged == 0 || is_closed) &&
      (reason == Reason::kNoRoute || reason == Reason::kNoTarget ||
       reason == Reason::kEvacuated || reason == Reason::kTargetsCold ||
       reason == Reason::kOverload || reason == Reason::kLinkFull)) {
    verdict.action = PacketAction::kReset;
  }
  if (reason == Reason::kTargetGone) {
    verdict.action = PacketAction::kReset;
  }
  if (!hooks_.may_log(true, now)) {
    return verdict;
  }
  const bool reset = verdict.action == PacketAction::kReset;
  std::string detail = DescribeFlow(header.flow, now);
  if (reason == Reason::kOverload) {
    detail += DescribeLoad(header.flow);
  } else if (reason == Reason::kLinkFull) {
    detail += DescribeLink();
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
  hooks_.log_decision(decision);
  return verdict;
}

std::string Forwarder::DescribeFlow(const FlowKey& key, TimePoint now) const {
  const Endpoint client{IpAddress::FromV4(key.client_address), key.client_port};
  const Endpoint service{IpAddress::FromV4(key.service_address),
                         key.service_port};
  std::string text = client.ToString() + " to " + service.ToString();
  if (view_ != nullptr) {
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
        now - view_confirmed_at_);
    text += ", view confirmed " + std::to_string(age.count()) + " ms ago";
  }
  return text;
}

std::string Forwarder::DescribeLoad(const FlowKey& key) const {
  const auto route =
      view_->routes.find(RouteKeyOf(key.service_address, key.service_port));
  if (route == view_->routes.end()) {
    return "";
  }
  const ServiceId service = SelectService(route->second, key);
  return ", " + std::to_string(LoadOf(service, route->second).in_progress) +
         " requests of this VM in progress, limit " +
         std::to_string(static_cast<uint32_t>(
             admission_.CurrentLimitFor(service, route->second)));
}

std::string Forwarder::DescribeLink() const {
  return ", " + std::to_string(bulk_.transfers()) +
         " transfers on the link of this VM, limit " +
         std::to_string(bulk_.max_transfers());
}

void Forwarder::LogHold(const FlowKey& key, Reason lack, TimePoint now) {
  if (!hooks_.may_log(true, now)) {
    return;
  }
  const std::string detail =
      DescribeFlow(key, now) + ", " + std::to_string(waiting_.size()) +
      " flows wait" +
      (lack == Reason::kLinkFull ? DescribeLink() : DescribeLoad(key));
  Decision decision;
  decision.kind = DecisionKind::kRouteFlow;
  decision.subject = HashOf(key);
  decision.revision = view_->config_version;
  decision.outcome = "held";
  decision.reason = NameOf(lack);
  decision.detail = detail;
  hooks_.log_decision(decision);
}

void Forwarder::LogAssignment(const FlowKey& key,
                              const TrackedFlow& flow,
                              const TargetEntry& entry,
                              TimePoint now) {
  const bool first = flow.attempts == 1 && !flow.is_syn_resent;
  if (!hooks_.may_log(!first, now)) {
    return;
  }
  const std::string detail = entry.target.id + " with " +
                             std::to_string(entry.outstanding_requests) +
                             " requests of this VM, " + DescribeFlow(key, now);
  Decision decision;
  decision.kind = DecisionKind::kRouteFlow;
  decision.subject = HashOf(key);
  decision.service = entry.target.service;
  decision.target = TargetId{static_cast<uint32_t>(entry.target.token)};
  decision.revision = view_->config_version;
  decision.outcome = first                ? "placed"
                     : flow.is_syn_resent ? "repeated"
                                          : "moved";
  decision.reason = first ? "least-loaded" : NameOf(Reason::kUnanswered);
  decision.detail = detail;
  hooks_.log_decision(decision);
}

void Forwarder::LogTargetHealth(const TargetEntry& entry,
                                std::string_view outcome,
                                Reason reason,
                                TimePoint now) {
  if (!hooks_.may_log(true, now)) {
    return;
  }
  Decision decision;
  decision.kind = DecisionKind::kTargetHealth;
  decision.service = entry.target.service;
  decision.target = TargetId{static_cast<uint32_t>(entry.target.token)};
  decision.revision = view_->config_version;
  decision.outcome = outcome;
  decision.reason = NameOf(reason);
  decision.detail = entry.target.id;
  hooks_.log_decision(decision);
}

}  // namespace marjoramhall::forward
