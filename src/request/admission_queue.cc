// Admission by deadline.
#include "src/request/admission_queue.h"

#include <algorithm>

namespace marjoramhall::request {
namespace {

// One part in this many is added to the expected wait. Without it, some 1% of
// the requests refused at a crest of twice the capacity had waited for most of
// their deadline; with 5% instead of 2%, goodput fell by 2%.
constexpr int kWaitMargin = 50;

}  // namespace

void AdmissionQueue::Push(config::Priority priority, RequestId id, bool front) {
  if (front) {
    Of(priority).push_front(id);
  } else {
    Of(priority).push_back(id);
  }
}

void AdmissionQueue::Remove(config::Priority priority, RequestId id) {
  auto& queue = Of(priority);
  const auto it = std::find(queue.begin(), queue.end(), id);
  if (it != queue.end()) {
    queue.erase(it);
  }
}

Duration ExpectedWait(const AdmissionInput& input) {
  const double before = static_cast<double>(input.ahead) + 1 - input.free;
  if (before <= 0 || input.slots <= 0) {
    return Duration{0};
  }
  return Duration(static_cast<int64_t>(
      before * static_cast<double>(input.mean.count()) / input.slots));
}

bool MeetsDeadline(const AdmissionInput& input) {
  const Duration wait = ExpectedWait(input);
  return wait + wait / kWaitMargin + input.service <= input.time_left;
}

}  // namespace marjoramhall::request
