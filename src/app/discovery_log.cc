// Texts of the log lines.
#include "src/app/discovery_log.h"

#include <chrono>
#include <string>

namespace marjoramhall::app {

void LogViewUpdate(const DecisionHook& log_decision,
                   discovery::UpdateSource source,
                   uint64_t revision,
                   size_t entries,
                   std::optional<Duration> age) {
  std::string detail = std::to_string(entries) + " entries";
  if (age) {
    detail += ", view confirmed " + MillisecondsText(*age) + " before";
  }
  Decision decision;
  decision.kind = DecisionKind::kMembership;
  decision.revision = revision;
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

void LogViewSource(const DecisionHook& log_decision,
                   discovery::ViewSource source,
                   uint64_t revision,
                   const Endpoint& relay,
                   std::optional<Duration> age) {
  std::string detail = relay.ToString();
  if (age) {
    detail += ", view confirmed " + MillisecondsText(*age) + " ago";
  }
  Decision decision;
  decision.kind = DecisionKind::kMembership;
  decision.revision = revision;
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
