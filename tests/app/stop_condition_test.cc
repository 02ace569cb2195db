// Guards against a VM that exits while the fabric still sends it packets, and
// against one that never exits.
#include "src/app/stop_condition.h"

#include <gtest/gtest.h>

namespace marjoramhall::app {
namespace {

using std::chrono::milliseconds;

TimePoint At(int ms) {
  return TimePoint(milliseconds(ms));
}

TEST(StopConditionTest, WaitsForFailedReadinessChecks) {
  StopCondition stop({}, 10, At(0));
  EXPECT_FALSE(stop.MayExit(10, At(500)));  // quiet, but no check failed
  stop.OnFailedCheck();
  EXPECT_FALSE(stop.MayExit(10, At(500)));
  stop.OnFailedCheck();
  EXPECT_TRUE(stop.MayExit(10, At(500)));
}

TEST(StopConditionTest, WaitsForPacketsInTransit) {
  StopCondition stop({}, 10, At(0));
  stop.OnFailedCheck();
  stop.OnFailedCheck();
  EXPECT_FALSE(stop.MayExit(11, At(600)));
  EXPECT_FALSE(stop.MayExit(11, At(699)));
  EXPECT_FALSE(stop.MayExit(12, At(700)));
  EXPECT_TRUE(stop.MayExit(12, At(800)));
}

TEST(StopConditionTest, ExitsBeforeItIsKilledDespiteFurtherPackets) {
  StopCondition stop({}, 0, At(0));
  uint64_t packets = 0;
  for (int ms = 0; ms < 4000; ms += 20) {
    EXPECT_FALSE(stop.MayExit(++packets, At(ms)));
  }
  EXPECT_TRUE(stop.MayExit(++packets, At(4000)));
}

}  // namespace
}  // namespace marjoramhall::app
