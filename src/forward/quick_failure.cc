// Usual times of routes and avoidance of targets.
#include "src/forward/quick_failure.h"

#include <algorithm>

namespace marjoramhall::forward {
namespace {

// Weights of a new value in the smoothed times. A quick failure counts little,
// so that many of them do not become usual, but a route that has really become
// faster does.
constexpr double kSmoothing = 0.02;
constexpr double kQuickSmoothing = 0.002;

double ToDouble(Duration span) {
  return static_cast<double>(span.count());
}

}  // namespace

void QuickFailureDetector::OnHandshake(uint64_t route_key,
                                       Duration round_trip) {
  double& average = routes_[route_key].handshake_us;
  average += average == 0 ? ToDouble(round_trip)
                          : kSmoothing * (ToDouble(round_trip) - average);
}

bool QuickFailureDetector::OnResponse(uint64_t route_key,
                                      Duration handshake,
                                      Duration response,
                                      TargetEntry& entry,
                                      TimePoint now) {
  RouteTimes& route = routes_[route_key];
  // A handshake that waited for a processor would make the work look short.
  const double round_trip_us =
      std::min(ToDouble(handshake), route.handshake_us);
  const double work_us = std::max(ToDouble(response) - round_trip_us, 0.0);
  const bool quick = route.responses >= options_.min_responses &&
                     route.work_us >= ToDouble(options_.min_usual_work) &&
                     work_us < options_.max_work_fraction * route.work_us;
  route.responses = std::min(route.responses + 1, options_.min_responses);
  route.work_us += route.work_us == 0 ? work_us
                                      : (quick ? kQuickSmoothing : kSmoothing) *
                                            (work_us - route.work_us);
  if (quick) {
    entry.avoidance = std::clamp(entry.avoidance * 2, options_.min_avoidance,
                                 options_.max_avoidance);
    entry.avoided_until = now + entry.avoidance;
  } else {
    entry.avoidance /= 2;
  }
  return quick;
}

Duration QuickFailureDetector::UsualWork(uint64_t route_key) const {
  const auto it = routes_.find(route_key);
  return it == routes_.end()
             ? Duration{0}
             : Duration{static_cast<int64_t>(it->second.work_us)};
}

}  // namespace marjoramhall::forward
