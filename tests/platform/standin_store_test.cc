// Guards against a stand-in that can't be stopped before its thread serves.
#include "platform/standin/store.h"

#include <gtest/gtest.h>

namespace marjoramhall::platform {
namespace {

TEST(StandInStoreTest, EndsWhenDestroyedRightAfterOpen) {
  for (int i = 0; i < 200; ++i) {
    StandInStore store;
    ASSERT_EQ(store.Open({IpAddress::FromV4(0x7f000001), 0}), "");
  }
}

}  // namespace
}  // namespace marjoramhall::platform
