// The metrics that a VM exports: counters of the three planes and the log, read
// when the metrics are rendered.
#ifndef MARJORAMHALL_APP_VM_METRICS_H_
#define MARJORAMHALL_APP_VM_METRICS_H_

#include <functional>

#include "src/net/control_node.h"
#include "src/net/flow_path.h"
#include "src/net/request_path.h"
#include "src/observe/decision_log.h"
#include "src/observe/metrics.h"

namespace marjoramhall::app {

// Where the values come from. Hooks are called while metrics are rendered and
// must be safe from that thread.
struct VmMetricSources {
  std::function<net::FlowStats()> flow;
  std::function<net::RequestStats()> request;
  std::function<net::ControlStats()> control;
  std::function<uint64_t()> log_dropped;
};

// Adds all metrics of a VM. The sources must outlive the registry.
void AddVmMetrics(observe::MetricsRegistry& registry,
                  const VmMetricSources& sources);

}  // namespace marjoramhall::app

#endif  // MARJORAMHALL_APP_VM_METRICS_H_
