// Decides whether a new flow is let in or refused before it opens, so that the
// queues at the targets stay short enough for what is let in to be answered
// within its latency objective.
//
// Load that it answers: bursts beyond the capacity of a service, or the loss of
// many of its targets, seen by several VMs that each carry a part of the
// traffic and do not talk about it. Every VM bounds its own requests in
// progress a service, and moves that bound by the median of the response times
// that it sees: a queue delays every response, while stragglers and lost
// packets delay some. While the median shows no queue, a VM that carries more
// than its share of the traffic may go beyond the bound.
#ifndef MARJORAMHALL_FORWARD_ADMISSION_H_
#define MARJORAMHALL_FORWARD_ADMISSION_H_

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "src/base/ids.h"
#include "src/base/time.h"
#include "src/forward/view.h"

namespace marjoramhall::forward {

struct AdmissionOptions {
  // Requests in progress a service that a VM allows when it has little to do;
  // all VMs of a small site (7, with 28 to 42 slots) together then ask two to
  // four a slot when a burst begins.
  double idle_limit = 16;
  // Part of the latency objective that the median response time may take; the
  // rest is for work that takes longer than usual.
  double objective_part = 0.4;
  // Response time, in units of the usual one, at which the queues of the
  // targets are taken to be long. Four to five times the usual one fills the
  // queue of a target (8 to 12 places for 2 to 3 slots).
  double longest_wait = 2.75;
  // Pressure below which the targets are taken to have no queues. Without any,
  // the median is 0.36 of the longest acceptable response, and varies by half
  // of that from window to window.
  double no_queue = 0.7;
  // What the limit may be exceeded by then. With 7 to 10 requests of a VM in
  // progress, half as many again are an ordinary moment.
  double no_queue_part = 1.5;
  // Response times up to this are no sign of long queues: packets wait as long
  // for the processor of a VM or a target.
  Duration shortest_wait = std::chrono::milliseconds(20);
  // Part of the limit that the routes of the lowest priority may use; the rest
  // is kept for more urgent ones.
  double lowest_priority_part = 0.8;
  // Responses that one adjustment is based on, so that single stragglers do not
  // move the limit.
  uint32_t window_responses = 8;
  // A request is overdue after this many usual response times. Stragglers take
  // up to 7 times the usual work on the deployments.
  double overdue = 8;
  // The same for routes without a time limit.
  Duration longest_work = std::chrono::seconds(8);
  Duration shortest_window = std::chrono::milliseconds(50);
};

class Admission {
 public:
  explicit Admission(AdmissionOptions options) : options_(options) {}

  // Takes over which priorities share a service. For a new service a VM allows
  // one request a slot at the least: it may be the only VM that has started.
  void OnView(const View& view);

  // Whether one more flow of a route may be given to the service, while
  // `in_progress` requests of this VM are at targets that answer. Cost: one
  // hash lookup.
  bool Admits(ServiceId service, const Route& route, uint32_t in_progress);

  // A response of the service began `span` after its request.
  void OnResponse(ServiceId service,
                  const Route& route,
                  Duration span,
                  TimePoint now);

  // Time after which a request without response is no longer counted as work
  // in progress: it is a straggler, or its target gave it up unseen.
  Duration OverdueAfter(ServiceId service, const Route& route) const;

  // Requests in progress of the service beyond which new flows of the route are
  // refused once the targets have queues.
  double LimitOf(ServiceId service, const Route& route) const;

  // The same as of now: more than the limit while the targets have no queues.
  double AllowedNow(ServiceId service, const Route& route) const;

 private:
  struct ServiceState {
    double limit = 0;
    // Distinct priorities of the routes to this service, in order.
    std::vector<uint32_t> priorities;
    uint32_t most_in_progress = 0;  // in this window
    TimePoint window_began;
    // Of this window: response times, and the same over the longest acceptable.
    std::vector<double> seconds;
    std::vector<double> pressures;
    // Median pressure of the last window; 1, as with queues, before the first.
    double last_pressure = 1;
    // Median and mean response time, smoothed while the limit is not in use; 0:
    // none so far.
    double usual_median = 0;
    double usual_mean = 0;
  };

  ServiceState& StateOf(ServiceId service);
  void EndWindow(ServiceState& state);

  const AdmissionOptions options_;
  std::unordered_map<uint32_t, ServiceState> services_;
};

}  // namespace marjoramhall::forward

#endif  // MARJORAMHALL_FORWARD_ADMISSION_H_
