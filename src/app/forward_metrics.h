// Metrics of `marjoramhall forward`.
#ifndef MARJORAMHALL_APP_FORWARD_METRICS_H_
#define MARJORAMHALL_APP_FORWARD_METRICS_H_

#include <functional>

#include "src/net/packet_path.h"
#include "src/observe/metrics.h"

namespace marjoramhall::app {

// State that the control thread publishes for the metrics.
struct ForwardGauges {
  std::function<double()> config_version;
  std::function<double()> view_age_seconds;
  std::function<double()> targets;
  std::function<double()> ready;
};

// Registers everything; the hooks must be callable from any thread as long as
// the registry renders.
void AddForwardMetrics(observe::MetricsRegistry& registry,
                       const std::function<net::PacketStats()>& packets,
                       const ForwardGauges& gauges);

}  // namespace marjoramhall::app

#endif  // MARJORAMHALL_APP_FORWARD_METRICS_H_
