// Guards against a VM that ends while the fabric still sends it packets, or one
// that never ends.
#include "src/app/stop_condition.h"

#include <gtest/gtest.h>

namespace marjoramhall::app {
namespace {

using std::chrono::milliseconds;

TimePoint At(int ms) {
  return TimePoint(milliseconds(ms));
}

TEST(StopConditionTest, WaitsUntilTheFabricHasTurnedAway) {
  StopCondition stop({}, 10, At(0));
  EXPECT_FALSE(stop.MayEnd(10, At(500)));  // quiet, but not refused
  stop.OnRefusal();
  EXPECT_FALSE(stop.MayEnd(10, At(500)));
  stop.OnRefusal();
  EXPECT_TRUE(stop.MayEnd(10, At(500)));
}

TEST(StopConditionTest, WaitsForPacketsThatAreOnTheirWay) {
  StopCondition stop({}, 10, At(0));
  stop.OnRefusal();
  stop.OnRefusal();
  EXPECT_FALSE(stop.MayEnd(11, At(600)));
  EXPECT_FALSE(stop.MayEnd(11, At(699)));
  EXPECT_FALSE(stop.MayEnd(12, At(700)));
  EXPECT_TRUE(stop.MayEnd(12, At(800)));
}

TEST(StopConditionTest, EndsBeforeItIsKilledThoughPacketsGoOn) {
  StopCondition stop({}, 0, At(0));
  uint64_t packets = 0;
  for (int ms = 0; ms < 4000; ms += 20) {
    EXPECT_FALSE(stop.MayEnd(++packets, At(ms)));
  }
  EXPECT_TRUE(stop.MayEnd(++packets, At(4000)));
}

}  // namespace
}  // namespace marjoramhall::app
