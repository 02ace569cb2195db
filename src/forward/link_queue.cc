// Use of the link in short windows.
#include "src/forward/link_queue.h"

#include <algorithm>
#include <chrono>

namespace marjoramhall::forward {
namespace {

// Short, because a silent target is known later by up to this time.
constexpr Duration kMinWindow = std::chrono::milliseconds(10);
// A window has room for several packets of 1,200 bytes and their headers, so
// that one more or less does not make a full link look idle.
constexpr double kMinWindowBytes = 4 * 1260;
// A link that is used more may have had a queue all the while.
constexpr double kMaxIdleUse = 0.7;

Duration WindowOf(double bytes_per_second) {
  if (bytes_per_second == 0) {
    return kMinWindow;
  }
  return std::max(kMinWindow, FromSeconds(kMinWindowBytes / bytes_per_second));
}

}  // namespace

LinkQueue::LinkQueue(double bytes_per_second)
    : bytes_per_second_(bytes_per_second),
      window_(WindowOf(bytes_per_second)) {}

void LinkQueue::OnTick(TimePoint now) {
  const Duration span = now - window_start_;
  if (span < window_) {
    return;
  }
  const double most = bytes_per_second_ * ToSeconds(span);
  if (static_cast<double>(bytes_) < kMaxIdleUse * most) {
    empty_at_ = window_start_;
  }
  window_start_ = now;
  bytes_ = 0;
}

}  // namespace marjoramhall::forward
