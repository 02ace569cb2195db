// Time types shared by all planes. Decision code gets the current time as an
// argument or through a Clock hook, so that tests can use a simulated clock.
#ifndef MARJORAMHALL_BASE_TIME_H_
#define MARJORAMHALL_BASE_TIME_H_

#include <chrono>
#include <ctime>
#include <functional>

namespace marjoramhall {

// A time span in microseconds.
using Duration = std::chrono::microseconds;

// A point in time of a monotonic clock. Values of different VMs cannot be
// compared.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

inline double ToSeconds(Duration span) {
  return std::chrono::duration<double>(span).count();
}

// Rounds towards 0. The number must fit into a Duration.
inline Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

// Returns the current monotonic time.
using Clock = std::function<TimePoint()>;

// Returns the time of the system's monotonic clock. For I/O code; decision code
// takes the time as an argument. Cost: one clock read.
inline TimePoint SteadyNow() {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::steady_clock::now());
}

// Like SteadyNow(), but the clock also advances while the machine is suspended.
// Values of the two clocks cannot be compared.
inline TimePoint BootTimeNow() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(now.tv_sec) +
      std::chrono::nanoseconds(now.tv_nsec)));
}

}  // namespace marjoramhall

#endif  // MARJORAMHALL_BASE_TIME_H_
