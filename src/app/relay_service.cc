// HTTP answers, log lines and metrics of a relay.
#include "src/app/relay_service.h"

#include <charconv>
#include <string>
#include <utility>

#include "src/app/discovery_log.h"
#include "src/net/relay_client.h"
#include "src/net/snapshot_client.h"

namespace marjoramhall::app {
namespace {

constexpr int kHttpOk = 200;
constexpr int kHttpUnavailable = 503;

discovery::ChangeRelayOptions RelayOptionsFor(Duration bound) {
  discovery::ChangeRelayOptions options;
  options.max_age = discovery::RelayTimingFor(bound).max_age;
  return options;
}

// Returns 0 for a text that is no number.
uint64_t ParseNumber(const std::string& text) {
  uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

StorePosition ParsePosition(const net::QueryParameter& query,
                            const char* revision_parameter) {
  return {ParseNumber(query(net::kEpochParameter)),
          ParseNumber(query(revision_parameter))};
}

}  // namespace

RelayService::RelayService(Duration bound,
                           Hooks hooks,
                           observe::MetricsRegistry& metrics)
    : hooks_(std::move(hooks)),
      relay_(RelayOptionsFor(bound), hooks_.snapshot) {
  for (const auto& it : discovery::kRelayRefusalNames) {
    answers_[it.value] = &metrics.AddCounter(
        "marjoramhall_relay_answers_total",
        "Answers to other VMs that polled for changes, by refusal.",
        {{"refusal", std::string(it.name)}});
  }
}

net::StatusResponse RelayService::AnswerPoll(const net::QueryParameter& query) {
  const TimePoint now = BootTimeNow();
  discovery::ChangeRelay::State state = hooks_.state();
  state.confirmed_at = confirmed_at_;
  const StorePosition after = ParsePosition(query, net::kAfterParameter);
  auto answer = relay_.Accept(after, state, now);
  if (relay_.IsPolled(now)) {
    polled_until_ =
        (now + relay_.options().idle_after).time_since_epoch().count();
  }
  answers_.at(answer.refusal)->Add();
  LogRefusalChange(answer.refusal, state.PeerCount(), now - confirmed_at_);
  if (!answer.set) {
    return {kHttpUnavailable, ""};
  }
  auto encoded = encoded_changes_.Encode(after, *std::move(answer.set), now);
  return {kHttpOk, std::move(encoded.head), std::move(encoded.changes)};
}

net::StatusResponse RelayService::AnswerSnapshot(
    const net::QueryParameter& query) {
  const StorePosition newer_than =
      ParsePosition(query, net::kNewerThanParameter);
  if (!hooks_.state().has_view) {
    return {kHttpUnavailable, ""};
  }
  if (relay_.position() <= newer_than) {
    return {kHttpOk, ""};
  }
  if (snapshot_position_ != relay_.position()) {
    encoded_snapshot_ = std::make_shared<const std::string>(
        discovery::EncodeSnapshot(hooks_.snapshot()));
    snapshot_position_ = relay_.position();
  }
  return {kHttpOk, "", encoded_snapshot_};
}

void RelayService::LogRefusalChange(discovery::RelayRefusal refusal,
                                    size_t peers,
                                    Duration age) {
  if (refusal == last_refusal_) {
    return;
  }
  last_refusal_ = refusal;
  const std::string detail = std::to_string(peers) +
                             " other VMs, view confirmed " +
                             MillisecondsText(age) + " ago";
  Decision decision;
  decision.kind = DecisionKind::kMembership;
  decision.revision = relay_.position().revision;
  decision.store_epoch = relay_.position().epoch;
  decision.outcome = refusal == discovery::RelayRefusal::kNone
                         ? "relay-serving"
                         : "relay-refusing";
  decision.reason = NameOf(refusal);
  decision.detail = detail;
  hooks_.log_decision(decision);
}

bool RelayService::IsPolled() const {
  return BootTimeNow().time_since_epoch().count() < polled_until_;
}

}  // namespace marjoramhall::app
