// Rate limits per request kind and per caller, by the generic cell rate
// algorithm (GCRA), which stores one timestamp per limit. A VM enforces its
// share of each limit. The service's slot allocator sets the shares from the
// reported demand.
#ifndef MARJORAMHALL_REQUEST_RATE_LIMITER_H_
#define MARJORAMHALL_REQUEST_RATE_LIMITER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "src/base/time.h"
#include "src/config/deployment.h"

namespace marjoramhall::request {

// Exponentially smoothed rate of events. Cost: one exponential per event.
class RateMeter {
 public:
  explicit RateMeter(double time_constant_s = 0.5)
      : time_constant_s_(time_constant_s) {}

  void Add(TimePoint now, double amount = 1);
  // Events per second, averaged over about one time constant.
  double Rate(TimePoint now) const;

 private:
  double time_constant_s_;
  double decayed_sum_ = 0;
  TimePoint updated_at_{};
};

// The GCRA state of one limit. `share` is this VM's share of the limit: above 0
// and at most 1.
class GcraLimit {
 public:
  // Time until a request conforms to the limit; 0 when it conforms now.
  Duration WaitTime(const config::RateLimit& limit,
                    double share,
                    TimePoint now) const;
  // Counts a request.
  void Consume(const config::RateLimit& limit, double share, TimePoint now);

 private:
  // Theoretical arrival time: when the next request is due at the exact rate.
  TimePoint theoretical_arrival_{};
};

// The limits of one service at one VM. Memory: at most kMaxCallers callers per
// request kind. Trim() drops idle ones.
class RateLimiter {
 public:
  struct CallerDemand {
    uint32_t kind;
    uint64_t caller;  // HashCaller() of its name
    double rate;      // requests per second
  };

  // `default_share` applies to a limit until the allocator sets its share.
  void SetKinds(const std::vector<config::RequestKind>& kinds,
                double default_share);

  // Counts the request as demand. Returns 0 and consumes every limit when all
  // limits admit the request. Otherwise returns the time after which the caller
  // may try again.
  Duration Admit(size_t kind, const std::string& caller, TimePoint now);

  void SetKindShare(size_t kind, double share);
  void SetCallerShare(size_t kind, uint64_t caller, double share);

  // Requests per second of the kind, admitted or not.
  double KindRate(size_t kind, TimePoint now) const;
  bool HasLimits() const { return has_limits_; }
  // At most `count` callers whose demand is above kBusyCallerRatio of their
  // default share, busiest first.
  std::vector<CallerDemand> BusyCallers(TimePoint now, size_t count) const;
  // Drops callers without a request in the last 10 s.
  void Trim(TimePoint now);

  static uint64_t HashCaller(const std::string& caller);

 private:
  static constexpr size_t kMaxCallers = 65536;
  // Callers below this ratio of their default share are not reported and keep
  // the default share.
  static constexpr double kBusyCallerRatio = 0.5;

  struct Caller {
    GcraLimit gcra;
    RateMeter meter;
    double share = 0;  // 0: default
    TimePoint last_seen_at{};
  };
  struct Kind {
    config::RateLimit limit;
    config::RateLimit caller_limit;
    GcraLimit gcra;
    RateMeter meter;
    double share = 0;  // 0: default
    std::unordered_map<uint64_t, Caller> callers;
  };

  std::vector<Kind> kinds_;
  double default_share_ = 1;
  bool has_limits_ = false;
};

}  // namespace marjoramhall::request

#endif  // MARJORAMHALL_REQUEST_RATE_LIMITER_H_
