// Rate limiter: the generic cell rate algorithm (GCRA), whose only state is a
// timestamp.
#ifndef MARJORAMHALL_FLOW_GCRA_H_
#define MARJORAMHALL_FLOW_GCRA_H_

#include <algorithm>
#include <cstdint>

#include "src/base/time.h"

namespace marjoramhall::flow {

// Allows `rate` units per second with bursts of up to `burst` units. Not
// thread-safe.
class Gcra {
 public:
  Gcra(double rate, double burst)
      : us_per_unit_(1e6 / std::max(rate, 1e-6)), burst_(burst) {}

  // Takes `units` if they conform now and `reserve` units of the burst remain
  // unused. An amount above the burst is admitted when the whole burst is
  // available, so that no request waits forever.
  bool TryTake(double units, TimePoint now, double reserve = 0) {
    const double t = static_cast<double>(now.time_since_epoch().count());
    const double base = std::max(arrival_us_, t);
    const double tolerance = std::max(burst_ - reserve, 0.0) * us_per_unit_;
    const double next = base + units * us_per_unit_;
    if (next - t > tolerance && base > t) {
      return false;
    }
    arrival_us_ = next;
    return true;
  }

 private:
  double us_per_unit_;
  double burst_;
  double arrival_us_ = 0;  // theoretical arrival time of the next unit
};

}  // namespace marjoramhall::flow

#endif  // MARJORAMHALL_FLOW_GCRA_H_
