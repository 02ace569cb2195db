// Guards against a log that grows with the traffic, and against refusals that
// are not logged because ordinary lines used up a shared limit.
#include "src/observe/log_budget.h"

#include <gtest/gtest.h>

#include <chrono>

namespace marjoramhall::observe {
namespace {

TEST(LogBudgetTest, LimitsLinesPerSecondAndCountsDeniedLines) {
  LogBudget budget(
      {.ordinary_lines_per_second = 2, .exceptional_lines_per_second = 3});
  TimePoint now{std::chrono::seconds(10)};
  int ordinary = 0;
  int exceptional = 0;
  for (int i = 0; i < 100; ++i) {
    ordinary += budget.Admit(false, now) ? 1 : 0;
  }
  for (int i = 0; i < 100; ++i) {
    exceptional += budget.Admit(true, now) ? 1 : 0;
  }
  EXPECT_EQ(ordinary, 2);
  EXPECT_EQ(exceptional, 3);
  EXPECT_EQ(budget.TakeDenied(), 195U);
  EXPECT_EQ(budget.TakeDenied(), 0U);
  now += std::chrono::seconds(1);
  EXPECT_TRUE(budget.Admit(false, now));
  EXPECT_TRUE(budget.Admit(true, now));
}

}  // namespace
}  // namespace marjoramhall::observe
