// Time as the decision core sees it. Every core takes the current time as an
// argument or through a Clock hook, so that tests drive it with a logical
// clock.
#ifndef MARJORAMHALL_BASE_TIME_H_
#define MARJORAMHALL_BASE_TIME_H_

#include <chrono>
#include <ctime>
#include <functional>

namespace marjoramhall {

// A span of time in microseconds.
using Duration = std::chrono::microseconds;

// A point of a monotonic clock. Points of different VMs are not comparable.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

// Returns the current monotonic time.
using Clock = std::function<TimePoint()>;

// The process's monotonic clock, for adapters. Cost: one clock read.
inline TimePoint SteadyNow() {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::steady_clock::now());
}

// The same, but counting the time in which the machine was suspended. Points of
// the two clocks are not comparable.
inline TimePoint BootTimeNow() {
  timespec at{};
  clock_gettime(CLOCK_BOOTTIME, &at);
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(at.tv_sec) + std::chrono::nanoseconds(at.tv_nsec)));
}

}  // namespace marjoramhall

#endif  // MARJORAMHALL_BASE_TIME_H_
