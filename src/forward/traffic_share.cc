// Smoothed rates and their ratio.
#include "src/forward/traffic_share.h"

#include <algorithm>
#include <cmath>

namespace marjoramhall::forward {

void TrafficShare::Sample(uint64_t requests, TimePoint now) {
  if (sampled_at_ != TimePoint() && now > sampled_at_) {
    const double seconds = ToSeconds(now - sampled_at_);
    const double rate = static_cast<double>(requests - requests_) / seconds;
    const double weight =
        1 - std::exp(-seconds / ToSeconds(options_.smoothing));
    request_rate_ += weight * (rate - request_rate_);
  }
  requests_ = requests;
  sampled_at_ = now;
  history_.push_back({now, request_rate_});
  while (history_.size() > 1 && now - history_[1].at >= options_.sum_age) {
    history_.pop_front();
  }
}

double TrafficShare::Share() const {
  if (fleet_.vm_count == 0) {
    return 0;
  }
  const double equal = 1.0 / fleet_.vm_count;
  if (!std::isfinite(fleet_.request_rate) || fleet_.request_rate <= 0 ||
      history_.empty()) {
    return equal;
  }
  return std::min(
      std::clamp(history_.front().request_rate / fleet_.request_rate,
                 equal * options_.min_multiple, equal * options_.max_multiple),
      1.0);
}

}  // namespace marjoramhall::forward
