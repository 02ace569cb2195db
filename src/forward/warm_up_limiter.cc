// Quotas by random rounding, and their spacing over time.
#include "src/forward/warm_up_limiter.h"

#include <algorithm>
#include <cmath>

namespace marjoramhall::forward {
namespace {

// Requests of a quota are spread over this time. The margin above a second
// covers requests whose delays on the way differ.
constexpr Duration kQuotaPeriod = std::chrono::milliseconds(1100);
// Requests on open flows cannot be refused. They defer new flows by up to this
// time.
constexpr Duration kMaxDebt = std::chrono::seconds(2);
// Bound of the probability that the quotas of all VMs exceed the limit of a
// target. The bound is about ten times the probability itself.
constexpr double kMaxExcessProbability = 1e-4;
constexpr int kBisectionSteps = 40;
// Against arithmetic overflow, with any rate that a configuration may hold.
constexpr double kMaxQuota = 1e6;

// Chernoff bound of the logarithm of the probability that a Poisson variable is
// `count` or more, for a mean below `count`. It also holds for any sum of
// independent variables of 0 or 1 with this mean.
double LogTailBound(double mean, double count) {
  return count - mean + count * std::log(mean / count);
}

// Returns a number from 0 to 1 that looks random (SplitMix64).
double UnitHash(uint64_t seed, TargetToken token) {
  uint64_t x =
      seed + 0x9e3779b97f4a7c15 * (uint64_t{1} + static_cast<uint32_t>(token));
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9;
  x = (x ^ (x >> 27)) * 0x94d049bb133111eb;
  return std::ldexp(static_cast<double>((x ^ (x >> 31)) >> 11), -53);
}

}  // namespace

double WarmUpLimiter::MeanQuota(double warm_up_request_rate) {
  const auto [it, is_new] = mean_quotas_.try_emplace(warm_up_request_rate);
  if (!is_new) {
    return it->second;
  }
  const double limit =
      std::floor(warm_up_request_rate * options_.overshoot + options_.slack);
  const double max_log_tail = std::log(kMaxExcessProbability);
  double low = 0;
  double high =
      std::min(warm_up_request_rate * ToSeconds(kQuotaPeriod), limit + 1);
  for (int i = 0; i < kBisectionSteps; ++i) {
    const double mean = (low + high) / 2;
    (LogTailBound(mean, limit + 1) <= max_log_tail ? low : high) = mean;
  }
  return it->second = low;
}

double WarmUpLimiter::QuotaWithoutShare(double warm_up_request_rate,
                                        TimePoint now) {
  if (now - started_at_ < options_.share_delay) {
    return 0;  // the other VMs may be many and use the whole limit
  }
  const double vms = options_.max_vms_without_share;
  // Whole parts of the limit cannot exceed it together.
  const double limit =
      warm_up_request_rate * options_.overshoot + options_.slack;
  return std::max(
      MeanQuota(warm_up_request_rate) / vms,
      std::floor(std::min(limit / vms,
                          warm_up_request_rate * ToSeconds(kQuotaPeriod))));
}

uint32_t WarmUpLimiter::QuotaOf(const Target& target, TimePoint now) {
  const double rate = target.warm_up_request_rate;
  const double quota =
      std::min(traffic_share_ > 0 ? MeanQuota(rate) * traffic_share_
                                  : QuotaWithoutShare(rate, now),
               kMaxQuota);
  // Rounded up with the probability of the fraction, so that the sum over the
  // VMs is right on average. A VM always rounds the quota of a target alike: a
  // new draw for each request would be a new chance to exceed the limit.
  const double whole = std::floor(quota);
  const bool round_up = UnitHash(seed_, target.token) < quota - whole;
  return static_cast<uint32_t>(whole) + (round_up ? 1 : 0);
}

bool WarmUpLimiter::Admits(const TargetEntry& entry, TimePoint now) {
  return now >= entry.warm_up.next_flow_at && QuotaOf(entry.target, now) > 0;
}

void WarmUpLimiter::OnRequest(TargetEntry& entry, TimePoint now) {
  if (!Limits(entry.target, now)) {
    return;
  }
  const uint32_t quota = std::max(QuotaOf(entry.target, now), uint32_t{1});
  TimePoint& next = entry.warm_up.next_flow_at;
  next = std::min(std::max(next, now) + kQuotaPeriod / quota, now + kMaxDebt);
}

}  // namespace marjoramhall::forward
