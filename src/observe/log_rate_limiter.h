// Limits the rate of log lines that grow with the traffic, so that a burst or
// an outage cannot use much CPU time and memory for logging.
#ifndef MARJORAMHALL_OBSERVE_LOG_RATE_LIMITER_H_
#define MARJORAMHALL_OBSERVE_LOG_RATE_LIMITER_H_

#include <cstdint>

#include "src/base/decision.h"
#include "src/base/time.h"

namespace marjoramhall::observe {

struct LogRateLimiterOptions {
  // A line costs about 10 us, so the two limits together keep the cost below 1%
  // of a core.
  uint32_t ordinary_lines_per_second = 20;     // placed flows, joined targets
  uint32_t exceptional_lines_per_second = 60;  // everything else
};

// Not thread-safe.
class LogRateLimiter {
 public:
  explicit LogRateLimiter(LogRateLimiterOptions options) : options_(options) {}

  // Returns whether a line may be written now. Counts it as denied otherwise.
  bool Allow(bool exceptional, TimePoint now);

  // Returns the number of lines denied since the last call.
  uint64_t TakeDeniedLines();

 private:
  const LogRateLimiterOptions options_;
  TimePoint window_start_;
  uint32_t ordinary_lines_ = 0;     // in the current window
  uint32_t exceptional_lines_ = 0;  // in the current window
  uint64_t denied_lines_ = 0;
};

}  // namespace marjoramhall::observe

#endif  // MARJORAMHALL_OBSERVE_LOG_RATE_LIMITER_H_
