// Guards against a log that grows with the traffic, and against refusals that
// are not logged because ordinary lines used up a shared limit.
#include "src/observe/log_rate_limiter.h"

#include <gtest/gtest.h>

#include <chrono>

namespace marjoramhall::observe {
namespace {

TEST(LogRateLimiterTest, LimitsLinesPerSecondAndCountsDeniedLines) {
  LogRateLimiter limiter(
      {.ordinary_lines_per_second = 2, .exceptional_lines_per_second = 3});
  TimePoint now{std::chrono::seconds(10)};
  int ordinary = 0;
  int exceptional = 0;
  for (int i = 0; i < 100; ++i) {
    ordinary += limiter.Allow(false, now) ? 1 : 0;
  }
  for (int i = 0; i < 100; ++i) {
    exceptional += limiter.Allow(true, now) ? 1 : 0;
  }
  EXPECT_EQ(ordinary, 2);
  EXPECT_EQ(exceptional, 3);
  EXPECT_EQ(limiter.TakeDeniedLines(), 195U);
  EXPECT_EQ(limiter.TakeDeniedLines(), 0U);
  now += std::chrono::seconds(1);
  EXPECT_TRUE(limiter.Allow(false, now));
  EXPECT_TRUE(limiter.Allow(true, now));
}

}  // namespace
}  // namespace marjoramhall::observe
