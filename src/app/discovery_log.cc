// Texts of the log lines.
#include "src/app/discovery_log.h"

#include <chrono>
#include <string>

namespace marjoramhall::app {

void LogViewUpdate(const DecisionHook& log_decision,
                   discovery::UpdateSource source,
                   StorePosition position,
                   size_t entries,
                   std::optional<Duration> age) {
  std::string detail = std::to_string(entries) + " entries";
  if (age) {
    detail += ", view confirmed " + MillisecondsText(*age) + " before";
  }
  Decision decision;
  decision.kind = DecisionKind::kMembership;
  decision.revision = position.revision;
  decision.store_epoch = position.epoch;
  decision.outcome = "view-updated";
  decision.reason = NameOf(source);
  decision.detail = detail;
  log_decision(decision);
}

void LogStoreReachable(const DecisionHook& log_decision,
                       bool reachable,
                       discovery::ReadStatus status,
                       uint64_t config_version) {
  Decision decision;
  decision.kind = DecisionKind::kMembership;
  decision.revision = config_version;
  decision.outcome = reachable ? "store-regained" : "store-lost";
  decision.reason = NameOf(status);
  log_decision(decision);
}

void LogRelisting(const DecisionHook& log_decision,
                  StorePosition from,
                  discovery::ReadStatus status) {
  Decision decision;
  decision.kind = DecisionKind::kMembership;
  decision.revision = from.revision;
  decision.store_epoch = from.epoch;
  decision.outcome = "listing-again";
  decision.reason = NameOf(status);
  log_decision(decision);
}

void LogViewSource(const DecisionHook& log_decision,
                   discovery::ViewSource source,
                   StorePosition position,
                   const Endpoint& relay,
                   std::optional<Duration> age) {
  std::string detail = relay.ToString();
  if (age) {
    detail += ", view confirmed " + MillisecondsText(*age) + " ago";
  }
  Decision decision;
  decision.kind = DecisionKind::kMembership;
  decision.revision = position.revision;
  decision.store_epoch = position.epoch;
  decision.outcome =
      source == discovery::ViewSource::kRelay ? "relay-followed" : "relay-lost";
  decision.reason = age ? "answered" : "refused-or-silent";
  decision.detail = detail;
  log_decision(decision);
}

std::string MillisecondsText(Duration span) {
  return std::to_string(
             std::chrono::duration_cast<std::chrono::milliseconds>(span)
                 .count()) +
         " ms";
}

}  // namespace marjoramhall::app
