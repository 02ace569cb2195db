// The loop, based on poll().
#include "loop.h"

#include <poll.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace marjoramhall::review {

void Loop::Watch(int fd, std::function<void()> action) {
  readers_[fd] = std::move(action);
}

void Loop::Unwatch(int fd) {
  readers_.erase(fd);
}

void Loop::RunTimers(TimePoint now) {
  while (!timers_.empty() && timers_.begin()->first <= now) {
    const std::function<void()> action = std::move(timers_.begin()->second);
    timers_.erase(timers_.begin());
    action();
  }
}

void Loop::RunFor(Duration span) {
  const TimePoint end = Clock::now() + span;
  for (TimePoint now = Clock::now(); now < end; now = Clock::now()) {
    RunTimers(now);
    TimePoint next = end;
    if (!timers_.empty()) {
      next = std::min(next, timers_.begin()->first);
    }
    const auto wait = std::chrono::duration_cast<std::chrono::nanoseconds>(
        std::max(next - Clock::now(), Duration{0}));
    const timespec timeout{wait.count() / 1'000'000'000,
                           wait.count() % 1'000'000'000};
    std::vector<pollfd> fds;
    fds.reserve(readers_.size());
    for (const auto& [fd, action] : readers_) {
      fds.push_back({fd, POLLIN, 0});
    }
    if (ppoll(fds.data(), fds.size(), &timeout, nullptr) <= 0) {
      continue;
    }
    for (const pollfd& it : fds) {
      const auto reader = readers_.find(it.fd);
      if (it.revents != 0 && reader != readers_.end()) {
        const std::function<void()> action = reader->second;
        action();
      }
    }
  }
}

}  // namespace marjoramhall::review
