// Timers and readable file descriptors on one thread.
#ifndef MARJORAMHALL_REVIEW_STANDINS_LOOP_H_
#define MARJORAMHALL_REVIEW_STANDINS_LOOP_H_

#include <chrono>
#include <functional>
#include <map>

namespace marjoramhall::review {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;

class Loop {
 public:
  void After(Duration delay, std::function<void()> action) {
    timers_.emplace(Clock::now() + delay, std::move(action));
  }
  // Calls `action` whenever the descriptor is readable, until Unwatch().
  void Watch(int fd, std::function<void()> action);
  void Unwatch(int fd);
  void RunFor(Duration span);

 private:
  void RunTimers(TimePoint now);

  std::multimap<TimePoint, std::function<void()>> timers_;
  std::map<int, std::function<void()>> readers_;
};

}  // namespace marjoramhall::review

#endif  // MARJORAMHALL_REVIEW_STANDINS_LOOP_H_
