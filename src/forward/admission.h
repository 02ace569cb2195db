// Admission control for new flows. It refuses a flow before it opens when the
// queues at the targets are too long to answer it within its latency objective.
//
// It handles bursts beyond the capacity of a service and the loss of many of
// its targets. Several VMs see such a load, each carries a part of the traffic,
// and they exchange no state about it. Each VM limits its own requests in
// progress per service and adjusts the limit by the median of the response
// times that it observes. The median is used because a queue delays every
// response, while stragglers and lost packets delay only some. While the median
// shows no queue, a VM with more than its share of the traffic may exceed the
// limit.
#ifndef MARJORAMHALL_FORWARD_ADMISSION_H_
#define MARJORAMHALL_FORWARD_ADMISSION_H_

#include <algorithm>
#include <cstdint>
#include <limits>
#include <unordered_map>
#include <vector>

#include "src/base/ids.h"
#include "src/base/time.h"
#include "src/forward/view.h"

namespace marjoramhall::forward {

// Load of a service, as far as this VM knows.
struct ServiceLoad {
  // Requests of this VM at targets that are not suspect, of routes that are at
  // least as urgent as the one in question. In a fleet only at targets that
  // take new flows.
  uint32_t in_progress = 0;
  // Of the targets that take new flows and are not suspect.
  uint32_t slots = 0;
};

// "Latency ratio" below: a response time divided by the longest acceptable one.
struct AdmissionOptions {
  // Requests in progress that a VM allows per service while it has little load.
  // In a small deployment (7 VMs and 28 to 42 slots) all VMs together then
  // allow two to four requests per slot when a burst begins.
  double baseline_limit = 16;
  // Requests per slot that all VMs of a fleet together may have in progress.
  // VMs do not know of each other's requests and load targets unevenly. With
  // fewer per slot, some slots are idle while others have queues; targets of
  // two slots turn requests away from five per slot on.
  double shared_requests_per_slot = 3;
  // Lower bound of the share of a VM.
  double min_share = 2;
  // Fraction of the latency objective that the median response time may take.
  // The rest is for requests that take longer than usual.
  double objective_fraction = 0.4;
  // The longest acceptable response time is at least this multiple of the
  // baseline median, however tight the objective is: a usual response time is
  // no sign of a queue.
  double min_baseline_multiple = 1.5;
  // Longest acceptable response time as a multiple of the baseline median.
  // Four to five times the baseline fills the queue of a target, which has 8 to
  // 12 places for 2 to 3 slots.
  double max_baseline_multiple = 2.75;
  // Latency ratio below which the targets are considered to have no queues.
  // Without queues the median ratio is 0.36, and it varies by half of that
  // between windows.
  double no_queue_latency_ratio = 0.7;
  // Factor on the limit while the targets have no queues. A VM with 7 to 10
  // requests in progress often has half as many again for a moment.
  double no_queue_limit_factor = 1.5;
  // Lower bound of the longest acceptable response time. Waiting for a busy
  // processor of a VM or target takes this long without any queue of requests.
  Duration min_acceptable_latency = std::chrono::milliseconds(20);
  // Fraction of the limit that routes of the lowest priority may use. The rest
  // is reserved for routes of higher priority.
  double lowest_priority_fraction = 0.8;
  // Responses that one adjustment is based on, so that single stragglers do not
  // move the limit.
  uint32_t min_window_responses = 8;
  // A request is overdue after this multiple of the baseline mean. Stragglers
  // take up to 7 times as long as usual requests.
  double overdue_baseline_multiple = 8;
  // Time after which a request is overdue when its route has no timeout.
  Duration default_overdue_delay = std::chrono::seconds(8);
  Duration min_window_duration = std::chrono::milliseconds(50);
};

class AdmissionController {
 public:
  explicit AdmissionController(AdmissionOptions options) : options_(options) {}

  // Updates which route priorities share a service. The limit of a new service
  // starts at one request per slot or higher, since this VM may be the only one
  // that has started.
  void OnView(const View& view);

  // Part of all requests that arrive at this VM; 0 if unknown.
  void OnTrafficShare(double share) { traffic_share_ = share; }

  // Returns whether the service may get one more flow of the route. Cost: one
  // hash lookup.
  bool Admits(ServiceId service, const Route& route, const ServiceLoad& load);

  // Records that a response of the service began `elapsed` after its request.
  void OnResponse(ServiceId service,
                  const Route& route,
                  Duration elapsed,
                  TimePoint now);

  // Time until one more request of the service may begin, if `before` others
  // come first. 0 if unknown.
  Duration EstimatedWait(ServiceId service, size_t before) const;

  // Time after which a request without a response no longer counts as in
  // progress. It is a straggler, or its target dropped it without an answer.
  Duration OverdueAfter(ServiceId service, const Route& route) const;

  // Requests in progress above which new flows of the route are refused once
  // the targets have queues.
  double LimitFor(ServiceId service, const Route& route) const;

  // The limit that applies now. It is higher than LimitFor() while the targets
  // have no queues.
  double CurrentLimitFor(ServiceId service, const Route& route) const;

 private:
  struct ServiceState {
    double limit = 0;
    // Upper bound of the limit: this VM's share of what the targets can take.
    // Infinite if the VM's part of the traffic is unknown.
    double share = std::numeric_limits<double>::infinity();
    // Distinct priorities of the routes to this service, ascending.
    std::vector<uint32_t> priorities;

    // Current window.
    uint32_t peak_in_progress = 0;
    TimePoint window_start;
    std::vector<double> response_seconds;
    std::vector<double> latency_ratios;

    // Median of the last window. Starts at 1, which means that the targets have
    // queues.
    double last_latency_ratio = 1;
    // Median and mean response time, smoothed over windows that do not use the
    // limit. 0 until the first window has ended.
    double baseline_median_seconds = 0;
    double baseline_mean_seconds = 0;
    // Of this VM, in the last window. 0 until the first has ended.
    double responses_per_second = 0;
  };

  ServiceState& StateOf(ServiceId service);
  // Determines this VM's share of the slots of a service.
  void UpdateShare(ServiceState& state, uint32_t slots) const;
  // The limit that a service returns to when it is not in use.
  double BaselineLimit(const ServiceState& state) const {
    return std::min(state.share, options_.baseline_limit);
  }
  // Part of a limit that a route may use, by its priority.
  double FractionFor(const ServiceState& state, const Route& route) const;
  // Adjusts the limit and starts a new window.
  void EndWindow(ServiceState& state, TimePoint now);

  const AdmissionOptions options_;
  double traffic_share_ = 0;
  std::unordered_map<uint32_t, ServiceState> services_;
};

}  // namespace marjoramhall::forward

#endif  // MARJORAMHALL_FORWARD_ADMISSION_H_
