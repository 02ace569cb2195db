// Metrics of a VM: counters and gauges of the three planes and the log, which
// are read when the metrics are rendered.
#ifndef MARJORAMHALL_APP_VM_METRICS_H_
#define MARJORAMHALL_APP_VM_METRICS_H_

#include <functional>

#include "src/net/control_node.h"
#include "src/net/flow_path.h"
#include "src/net/request_proxy.h"
#include "src/observe/decision_log.h"
#include "src/observe/metrics.h"

namespace marjoramhall::app {

// Functions that return the values. They are called on the thread that renders
// the metrics.
struct VmMetricSources {
  std::function<net::FlowStats()> flow;
  std::function<net::RequestStats()> request;
  std::function<net::ControlStats()> control;
  std::function<uint64_t()> dropped_log_lines;
};

// Adds all metrics of a VM. Objects that the sources use must outlive the
// registry.
void AddVmMetrics(observe::MetricsRegistry& registry,
                  const VmMetricSources& sources);

}  // namespace marjoramhall::app

#endif  // MARJORAMHALL_APP_VM_METRICS_H_
