// Limits the requests that a cold target gets from all VMs together. VMs do not
// ask each other: each takes a part of the limit by its share of the traffic.
//
// It is designed for failure domains whose targets all start cold at once while
// many VMs look for the least loaded target. The limit of a target is then less
// than one request a second for each VM, so that one request of every VM would
// exceed it many times over. See docs/design/cold-targets.md.
#ifndef MARJORAMHALL_FORWARD_WARM_UP_LIMITER_H_
#define MARJORAMHALL_FORWARD_WARM_UP_LIMITER_H_

#include <cstdint>
#include <unordered_map>

#include "src/base/time.h"
#include "src/forward/target_table.h"

namespace marjoramhall::forward {

struct WarmUpLimiterOptions {
  // A cold target gets at most its warm-up rate times `overshoot` plus `slack`
  // requests in any second. An overshoot of 0 means no limit.
  double overshoot = 0;
  double slack = 0;
  // VMs of a deployment in which shares of the traffic are unknown. Larger
  // deployments have relays.
  uint32_t max_vms_without_share = 12;
  // A VM of a larger deployment knows its share this time after its start.
  Duration share_delay = std::chrono::seconds(10);
};

class WarmUpLimiter {
 public:
  // `seed` differs between VMs.
  WarmUpLimiter(WarmUpLimiterOptions options, uint64_t seed)
      : options_(options), seed_(seed) {}

  // Part of all requests that arrive at this VM; 0 if unknown.
  void OnTrafficShare(double share) { traffic_share_ = share; }
  // To be called regularly from the start of the VM on.
  void OnTick(TimePoint now) {
    started_at_ = started_at_ == TimePoint() ? now : started_at_;
  }

  bool is_enabled() const { return options_.overshoot > 0; }
  // Whether the target is cold and the limit applies to it.
  bool Limits(const Target& target, TimePoint now) const {
    return is_enabled() && now < target.warm_up_until &&
           target.warm_up_request_rate > 0;
  }

  // Whether the target may get a new flow now. Cost: one hash lookup.
  bool Admits(const TargetEntry& entry, TimePoint now);
  // Counts a request that is sent to the target, admitted or not.
  void OnRequest(TargetEntry& entry, TimePoint now);

 private:
  // Quota of a VM that does not know its share.
  double QuotaWithoutShare(double warm_up_request_rate, TimePoint now);
  // Sum of the quotas of all VMs, on average.
  double MeanQuota(double warm_up_request_rate);
  // Requests to the target within kQuotaPeriod that this VM may send.
  uint32_t QuotaOf(const Target& target, TimePoint now);

  const WarmUpLimiterOptions options_;
  const uint64_t seed_;
  double traffic_share_ = 0;
  TimePoint started_at_;
  std::unordered_map<double, double> mean_quotas_;  // by warm-up rate
};

}  // namespace marjoramhall::forward

#endif  // MARJORAMHALL_FORWARD_WARM_UP_LIMITER_H_
