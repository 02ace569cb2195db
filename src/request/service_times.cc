// Decaying histogram of service times.
#include "src/request/service_times.h"

#include <algorithm>
#include <cmath>

namespace marjoramhall::request {
namespace {

constexpr double kBucketsPerOctave = 4;
// Bucket 0 ends at 64 us, and the 96 buckets reach beyond 1,000 s.
constexpr double kFirstBucketUs = 64;

}  // namespace

size_t ServiceTimes::BucketOf(Duration time) {
  const double ratio =
      std::max(1.0, static_cast<double>(time.count())) / kFirstBucketUs;
  const double index = std::ceil(std::log2(ratio) * kBucketsPerOctave);
  return static_cast<size_t>(std::clamp(index, 0.0, kBuckets - 1.0));
}

Duration ServiceTimes::UpperBound(size_t bucket) {
  return Duration(static_cast<int64_t>(
      kFirstBucketUs *
      std::exp2(static_cast<double>(bucket) / kBucketsPerOctave)));
}

void ServiceTimes::Add(Duration time) {
  ++buckets_[BucketOf(time)];
  ++count_;
  sum_us_ += static_cast<double>(time.count());
  if (count_ < kDecayCount) {
    return;
  }
  const double before = count_;
  count_ = 0;
  for (uint32_t& it : buckets_) {
    it /= 2;
    count_ += it;
  }
  sum_us_ *= count_ / before;
}

Duration ServiceTimes::Mean() const {
  return count_ == 0 ? Duration{0}
                     : Duration(static_cast<int64_t>(sum_us_ / count_));
}

Duration ServiceTimes::Quantile(double q) const {
  if (count_ == 0) {
    return Duration{0};
  }
  const double wanted = q * count_;
  uint32_t seen = 0;
  for (size_t i = 0; i < kBuckets; ++i) {
    seen += buckets_[i];
    if (seen >= wanted) {
      return UpperBound(i);
    }
  }
  return UpperBound(kBuckets - 1);
}

}  // namespace marjoramhall::request
