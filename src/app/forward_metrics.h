// Metrics of `marjoramhall forward`.
#ifndef MARJORAMHALL_APP_FORWARD_METRICS_H_
#define MARJORAMHALL_APP_FORWARD_METRICS_H_

#include <functional>
#include <string_view>

#include "src/discovery/store_follower.h"
#include "src/net/packet_path.h"
#include "src/observe/metrics.h"

namespace marjoramhall::app {

// Functions that return the state of the control thread.
struct ForwardGauges {
  std::function<double()> config_version;
  std::function<double()> view_age_seconds;
  std::function<double()> targets;
  std::function<double()> evacuated_domains;
  std::function<double()> vms;
  std::function<double()> traffic_share;
  std::function<double()> ready;
};

// Adds the metrics of packets, targets and the configuration. `packets` and
// `gauges` are called on the thread that renders the registry.
void AddForwardMetrics(observe::MetricsRegistry& registry,
                       const std::function<net::PacketStats()>& packets,
                       const ForwardGauges& gauges);

// Adds counters of store calls by kind and outcome. Returns a thread-safe
// function that counts a call.
std::function<void(std::string_view call, discovery::ReadStatus)>
AddStoreMetrics(observe::MetricsRegistry& registry);

}  // namespace marjoramhall::app

#endif  // MARJORAMHALL_APP_FORWARD_METRICS_H_
