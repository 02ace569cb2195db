// Names and help texts of the metrics of `marjoramhall forward`.
#include "src/app/forward_metrics.h"

#include <map>
#include <string>
#include <utility>

#include "platform/store_api.h"
#include "src/net/relay_client.h"

namespace marjoramhall::app {
namespace {

double ToDouble(uint64_t value) {
  return static_cast<double>(value);
}

}  // namespace

void AddForwardMetrics(observe::MetricsRegistry& registry,
                       const std::function<net::PacketStats()>& packets,
                       const ForwardGauges& gauges) {
  using Counters = forward::ForwardCounters;
  const std::pair<const char*, uint64_t Counters::*> events[] = {
      {"packet", &Counters::packets},
      {"opening", &Counters::syn_packets},
      {"placed", &Counters::placed_flows},
      {"repeated", &Counters::resent_syns},
      {"moved", &Counters::moved_syns},
      {"held", &Counters::held_syns},
      {"held-back", &Counters::held_back_syns},
      {"answered", &Counters::answered_syns},
      {"response", &Counters::responses}};
  for (const auto& [label, member] : events) {
    registry.AddCounterCallback("marjoramhall_forward_events_total",
                                "Events of forwarding by kind.",
                                [packets, member = member] {
                                  return ToDouble(packets().counters.*member);
                                },
                                {{"event", label}});
  }
  for (const auto& it : forward::kReasonNames) {
    if (it.value == forward::Reason::kNone ||
        it.value == forward::Reason::kUnanswered) {
      continue;
    }
    registry.AddCounterCallback(
        "marjoramhall_forward_refused_total",
        "Packets reset or dropped by reason.",
        [packets, i = static_cast<size_t>(it.value)] {
          return ToDouble(packets().counters.refused[i]);
        },
        {{"reason", std::string(it.name)}});
  }
  registry.AddCounterCallback(
      "marjoramhall_forward_malformed_total", "Datagrams that are no packets.",
      [packets] { return ToDouble(packets().malformed); });
  registry.AddCounterCallback("marjoramhall_forward_send_failed_total",
                              "Datagrams that the system refused.", [packets] {
                                return ToDouble(packets().failed_sends);
                              });
  registry.AddCounterCallback(
      "marjoramhall_forward_unlogged_total",
      "Decisions that were beyond the log's budget.",
      [packets] { return ToDouble(packets().unlogged_decisions); });
  registry.AddGauge("marjoramhall_forward_tracked_flows",
                    "Flows that are opening or at work.", [packets] {
                      return static_cast<double>(packets().tracked_flows);
                    });
  registry.AddGauge("marjoramhall_forward_bulk_transfers",
                    "Bulk transfers on the link of this VM.", [packets] {
                      return static_cast<double>(packets().bulk_transfers);
                    });
  registry.AddGauge(
      "marjoramhall_forward_waiting_openings",
      "Flows that wait for room on the link or at targets.",
      [packets] { return static_cast<double>(packets().waiting_syns); });
  registry.AddGauge("marjoramhall_forward_config_version",
                    "Version of the configuration in force.",
                    gauges.config_version);
  registry.AddGauge("marjoramhall_forward_view_age_seconds",
                    "Time since an answer of the store confirmed the view.",
                    gauges.view_age_seconds);
  registry.AddGauge("marjoramhall_forward_targets", "Targets that are known.",
                    gauges.targets);
  registry.AddGauge("marjoramhall_forward_evacuated_domains",
                    "Failure domains whose targets get no new flows.",
                    gauges.evacuated_domains);
  registry.AddGauge("marjoramhall_forward_vms",
                    "VMs that share the targets; 0 if unknown.", gauges.vms);
  registry.AddGauge("marjoramhall_forward_traffic_share",
                    "Part of all requests that arrive at this VM; 0 if "
                    "unknown.",
                    gauges.traffic_share);
  registry.AddGauge("marjoramhall_forward_ready",
                    "1 while the fabric is told to send packets.",
                    gauges.ready);
}

std::function<void(std::string_view call, discovery::ReadStatus)>
AddStoreMetrics(observe::MetricsRegistry& registry) {
  std::map<std::pair<std::string, discovery::ReadStatus>, observe::Counter*>
      counters;
  for (const char* call :
       {platform::kListCall, platform::kWatchCall, net::kPollCall}) {
    for (const auto& it : discovery::kReadStatusNames) {
      counters[{call, it.value}] = &registry.AddCounter(
          "marjoramhall_store_calls_total",
          "Calls of the platform's store, and polls of relays, by kind and "
          "outcome.",
          {{"call", call}, {"outcome", std::string(it.name)}});
    }
  }
  return [counters](std::string_view call, discovery::ReadStatus status) {
    counters.at({std::string(call), status})->Add();
  };
}

}  // namespace marjoramhall::app
