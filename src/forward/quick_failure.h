// Recognizes targets that fail requests at once. A VM cannot see whether a
// response is an error, and a target that fails immediately looks like the
// fastest one: it never has requests in progress, so that placement by load
// would send it more than its share.
//
// Such a target responds in much less time than the work of its route usually
// takes. The round trip of the handshake goes the same way as that of a request
// but includes no work, so their difference is the time of the work.
#ifndef MARJORAMHALL_FORWARD_QUICK_FAILURE_H_
#define MARJORAMHALL_FORWARD_QUICK_FAILURE_H_

#include <cstdint>
#include <unordered_map>

#include "src/base/time.h"
#include "src/forward/target_table.h"

namespace marjoramhall::forward {

struct QuickFailureOptions {
  // A response whose work took less than this fraction of the usual work of its
  // route counts as a quick failure. Work times that vary by half of their mean
  // are that short once in 70,000 requests.
  double max_work_fraction = 0.1;
  // Routes with less usual work are not judged: their responses differ from
  // failures by less than what waiting for a processor takes.
  Duration min_usual_work = std::chrono::milliseconds(10);
  // Responses of a route before any is judged.
  uint32_t min_responses = 32;
  // How long a target is avoided after its first quick failure. Doubles with
  // each further one, up to the maximum. A normal response halves it.
  Duration min_avoidance = std::chrono::seconds(5);
  Duration max_avoidance = std::chrono::seconds(20);
};

class QuickFailureDetector {
 public:
  explicit QuickFailureDetector(QuickFailureOptions options)
      : options_(options) {}

  // Records the round trip of a flow's handshake.
  void OnHandshake(uint64_t route_key, Duration round_trip);

  // Records a response. `handshake` is the round trip of its flow. Returns
  // whether the response is a quick failure; the target is then avoided for a
  // while. Cost: one hash lookup.
  bool OnResponse(uint64_t route_key,
                  Duration handshake,
                  Duration response,
                  TargetEntry& entry,
                  TimePoint now);

  // Usual time of the work of a route's requests, or 0 if unknown.
  Duration UsualWork(uint64_t route_key) const;

 private:
  struct RouteTimes {
    double handshake_us = 0;  // smoothed; 0 before the first
    double work_us = 0;       // smoothed; 0 before the first
    uint32_t responses = 0;
  };

  const QuickFailureOptions options_;
  std::unordered_map<uint64_t, RouteTimes> routes_;  // by RouteKeyOf()
};

}  // namespace marjoramhall::forward

#endif  // MARJORAMHALL_FORWARD_QUICK_FAILURE_H_
