// Recent service times of a request kind or class: mean and quantiles from a
// decaying histogram.
#ifndef MARJORAMHALL_REQUEST_SERVICE_TIMES_H_
#define MARJORAMHALL_REQUEST_SERVICE_TIMES_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "src/base/time.h"

namespace marjoramhall::request {

// Memory: 400 bytes. Quantiles are exact within 19% (four buckets per octave).
class ServiceTimes {
 public:
  void Add(Duration time);

  bool empty() const { return count_ == 0; }
  // Mean of about the last 500 to 1,000 samples; 0 when there are none.
  Duration Mean() const;
  // 0 when there are no samples.
  Duration Quantile(double q) const;

 private:
  static constexpr size_t kBuckets = 96;
  // All counts are halved at this number of samples, which gives recent samples
  // more weight.
  static constexpr uint32_t kDecayCount = 1024;

  static size_t BucketOf(Duration time);
  static Duration UpperBound(size_t bucket);

  std::array<uint32_t, kBuckets> buckets_{};
  uint32_t count_ = 0;
  double sum_us_ = 0;
};

}  // namespace marjoramhall::request

#endif  // MARJORAMHALL_REQUEST_SERVICE_TIMES_H_
