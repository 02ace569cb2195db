// Estimates the part of the deployment's requests that arrive at this VM. VMs
// that share targets divide limits by it: failure domains differ in demand and
// in the number of their VMs, so that equal parts would refuse requests in one
// domain while those of another are not in use.
#ifndef MARJORAMHALL_FORWARD_TRAFFIC_SHARE_H_
#define MARJORAMHALL_FORWARD_TRAFFIC_SHARE_H_

#include <cstdint>
#include <deque>

#include "src/base/fleet_load.h"
#include "src/base/time.h"

namespace marjoramhall::forward {

struct TrafficShareOptions {
  // Time constant of the smoothed rate.
  Duration smoothing = std::chrono::seconds(2);
  // Age of the rates that a relay sums up, when the sum arrives: up to 1.2 s
  // until it hears from each VM, and half of the time between two polls. The
  // sum is compared with this VM's rate of that time, so that a burst does not
  // look like a larger share.
  Duration sum_age = std::chrono::milliseconds(1200);
  // Bounds of the share, as multiples of an equal one. A VM that has just
  // started, or to which demand moves, has had few requests so far.
  double min_multiple = 1;
  double max_multiple = 4;
};

// Not thread-safe.
class TrafficShare {
 public:
  explicit TrafficShare(TrafficShareOptions options) : options_(options) {}

  // `requests`: number of requests that have arrived at this VM so far. To be
  // called several times a second.
  void Sample(uint64_t requests, TimePoint now);
  void OnFleetLoad(const FleetLoad& fleet) { fleet_ = fleet; }

  // Smoothed requests per second of this VM.
  double request_rate() const { return request_rate_; }
  const FleetLoad& fleet() const { return fleet_; }

  // Returns the share, from 0 to 1, or 0 if the fleet's load is unknown.
  double Share() const;

 private:
  struct RateSample {
    TimePoint at;
    double request_rate;
  };

  const TrafficShareOptions options_;
  FleetLoad fleet_;
  uint64_t requests_ = 0;
  TimePoint sampled_at_;
  double request_rate_ = 0;
  std::deque<RateSample> history_;  // of the last sum_age, oldest first
};

}  // namespace marjoramhall::forward

#endif  // MARJORAMHALL_FORWARD_TRAFFIC_SHARE_H_
