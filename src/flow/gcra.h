// Generic cell rate algorithm: paces a stream with one timestamp.
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
      : per_unit_(1e6 / std::max(rate, 1e-6)), burst_(burst) {}

  // Takes `units` if they fit now while `reserve` units of the burst stay free.
  // An amount above the burst passes alone when the bucket is full, so nothing
  // waits forever.
  bool TryTake(double units, TimePoint now, double reserve = 0) {
    const double t = static_cast<double>(now.time_since_epoch().count());
    const double base = std::max(arrival_, t);
    const double tolerance = std::max(burst_ - reserve, 0.0) * per_unit_;
    const double next = base + units * per_unit_;
    if (next - t > tolerance && base > t) {
      return false;
    }
    arrival_ = next;
    return true;
  }

 private:
  double per_unit_;  // microseconds
  double burst_;
  double arrival_ = 0;  // theoretical arrival time, microseconds
};

}  // namespace marjoramhall::flow

#endif  // MARJORAMHALL_FLOW_GCRA_H_
