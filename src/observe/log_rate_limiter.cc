// Counts lines in consecutive windows of one second or longer.
#include "src/observe/log_rate_limiter.h"

#include <chrono>
#include <utility>

namespace marjoramhall::observe {

bool LogRateLimiter::Allow(bool exceptional, TimePoint now) {
  if (now - window_start_ >= std::chrono::seconds(1)) {
    window_start_ = now;
    ordinary_lines_ = 0;
    exceptional_lines_ = 0;
  }
  uint32_t& lines = exceptional ? exceptional_lines_ : ordinary_lines_;
  if (lines >= (exceptional ? options_.exceptional_lines_per_second
                            : options_.ordinary_lines_per_second)) {
    ++denied_lines_;
    return false;
  }
  ++lines;
  return true;
}

uint64_t LogRateLimiter::TakeDeniedLines() {
  return std::exchange(denied_lines_, 0);
}

}  // namespace marjoramhall::observe
