// Names and help texts of a VM's metrics.
#include "src/app/vm_metrics.h"

#include <string>
#include <utility>

namespace marjoramhall::app {
namespace {

using observe::MetricsRegistry;

double ToDouble(uint64_t value) {
  return static_cast<double>(value);
}

void AddFlowMetrics(MetricsRegistry& registry,
                    const std::function<net::FlowStats()>& flow) {
  for (const auto& it : flow::kFlowCounterNames) {
    registry.AddCounterCallback("marjoramhall_flow_events_total",
                                "Events of the flow plane by kind.",
                                [flow, counter = it.value] {
                                  return ToDouble(flow().counters[counter]);
                                },
                                {{"event", std::string(it.name)}});
  }
  const std::pair<const char*, uint64_t net::FlowStats::*> packets[] = {
      {"fabric", &net::FlowStats::fabric_packets_received},
      {"peer", &net::FlowStats::peer_packets_received},
      {"target", &net::FlowStats::packets_to_targets},
      {"to-peer", &net::FlowStats::packets_to_peers},
      {"too-large", &net::FlowStats::oversized_packets},
      {"send-failed", &net::FlowStats::failed_sends}};
  for (const auto& [label, member] : packets) {
    registry.AddCounterCallback(
        "marjoramhall_flow_packets_total",
        "Packets by where they came from or went to.",
        [flow, member = member] { return ToDouble(flow().*member); },
        {{"path", label}});
  }
  registry.AddGauge(
      "marjoramhall_flow_entries", "Entries of the flow table.",
      [flow] { return static_cast<double>(flow().flow_entries); });
  registry.AddGauge(
      "marjoramhall_flow_half_open", "Half-open entries of the flow table.",
      [flow] { return static_cast<double>(flow().half_open_flows); });
}

void AddRequestMetrics(MetricsRegistry& registry,
                       const std::function<net::RequestStats()>& source) {
  using Core = request::RequestStats;
  const std::pair<const char*, uint64_t Core::*> counters[] = {
      {"received", &Core::requests},
      {"answered", &Core::answered},
      {"replayed", &Core::replayed},
      {"refused-not-run", &Core::refused_not_run},
      {"refused-may-have-run", &Core::refused_may_have_run},
      {"caller-gone", &Core::caller_disconnects},
      {"attempt", &Core::attempts},
      {"retry", &Core::retries}};
  for (const auto& [label, member] : counters) {
    registry.AddCounterCallback(
        "marjoramhall_requests_total", "Requests by event.",
        [source, member = member] { return ToDouble(source().core.*member); },
        {{"event", label}});
  }
  const std::pair<const char*, uint64_t Core::*> gauges[] = {
      {"marjoramhall_requests_live", &Core::live_requests},
      {"marjoramhall_requests_waiting_short", &Core::waiting_short},
      {"marjoramhall_requests_waiting_long", &Core::waiting_long},
      {"marjoramhall_slots_held", &Core::slots_held},
      {"marjoramhall_slots_in_use", &Core::slots_in_use},
      {"marjoramhall_targets_ejected", &Core::targets_ejected},
      {"marjoramhall_key_ranges_owned", &Core::ranges_owned},
      {"marjoramhall_idempotency_keys", &Core::keys},
      {"marjoramhall_idempotency_answer_bytes", &Core::stored_answer_bytes}};
  for (const auto& [name, member] : gauges) {
    registry.AddGauge(
        name, "Gauge of the request plane.",
        [source, member = member] { return ToDouble(source().core.*member); });
  }
}

void AddControlMetrics(MetricsRegistry& registry,
                       const std::function<net::ControlStats()>& control) {
  for (const auto& it : kPeerChannelNames) {
    const auto channel = static_cast<size_t>(it.value);
    registry.AddCounterCallback(
        "marjoramhall_control_sent_bytes_total",
        "Bytes sent to other VMs by channel.",
        [control, channel] {
          return ToDouble(control().transport.sent_bytes[channel]);
        },
        {{"channel", std::string(it.name)}});
    registry.AddCounterCallback(
        "marjoramhall_control_received_bytes_total",
        "Bytes received from other VMs by channel.",
        [control, channel] {
          return ToDouble(control().transport.received_bytes[channel]);
        },
        {{"channel", std::string(it.name)}});
  }
  registry.AddGauge(
      "marjoramhall_members", "VMs that this VM takes as members.",
      [control] { return static_cast<double>(control().members); });
  registry.AddGauge("marjoramhall_revision", "Revision in force at this VM.",
                    [control] { return ToDouble(control().revision); });
  const std::pair<const char*, uint64_t control::StoreCallCounts::*> calls[] = {
      {"read", &control::StoreCallCounts::reads},
      {"write", &control::StoreCallCounts::writes},
      {"lease", &control::StoreCallCounts::leases},
      {"watch", &control::StoreCallCounts::watches}};
  for (const auto& [label, member] : calls) {
    registry.AddCounterCallback("marjoramhall_store_calls_total",
                                "Calls of the store by kind.",
                                [control, member = member] {
                                  return ToDouble(control().store.*member);
                                },
                                {{"kind", label}});
  }
}

}  // namespace

void AddVmMetrics(MetricsRegistry& registry, const VmMetricSources& sources) {
  AddFlowMetrics(registry, sources.flow);
  AddRequestMetrics(registry, sources.request);
  AddControlMetrics(registry, sources.control);
  registry.AddCounterCallback(
      "marjoramhall_log_dropped_lines_total",
      "Log lines dropped because the queue was full.",
      [dropped = sources.dropped_log_lines] { return ToDouble(dropped()); });
}

}  // namespace marjoramhall::app
