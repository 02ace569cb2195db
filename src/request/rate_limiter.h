// Rate limits per request kind and per caller, by the generic cell rate
// algorithm: one timestamp per limit. A VM enforces its share of each limit;
// the allocator of the service sets the shares from reported demand.
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

// Smoothed rate of events. Cost: one exponential per event.
class RateMeter {
 public:
  explicit RateMeter(double seconds = 0.5) : time_constant_s_(seconds) {}

  void Add(TimePoint now, double amount = 1);
  // Events per second over about the last `seconds`.
  double Rate(TimePoint now) const;

 private:
  double time_constant_s_;
  double decayed_sum_ = 0;
  TimePoint updated_at_{};
};

// One limit. `share` is this VM's part of it, in (0, 1].
class GcraLimit {
 public:
  // Time until a request would conform; 0 when it conforms now.
  Duration WaitTime(const config::RateLimit& limit,
                    double share,
                    TimePoint now) const;
  // Counts a request.
  void Consume(const config::RateLimit& limit, double share, TimePoint now);

 private:
  // Theoretical arrival time of the next request at the exact rate.
  TimePoint theoretical_arrival_{};
};

// The limits of one service at one VM. Memory: at most kMaxCallers entries of
// callers; the least recently seen are dropped on the tick.
class RateLimiter {
 public:
  struct CallerDemand {
    uint32_t kind;
    uint64_t caller;
    double rate;
  };

  // Share of a limit before the allocator has set one.
  void SetKinds(const std::vector<config::RequestKind>& kinds,
                double default_share);

  // Counts the demand; returns 0 and takes the request when every limit
  // admits it, else the time after which it may be tried again.
  Duration Admit(size_t kind, const std::string& caller, TimePoint now);

  void SetKindShare(size_t kind, double share);
  void SetCallerShare(size_t kind, uint64_t caller, double share);

  double KindRate(size_t kind, TimePoint now) const;
  bool HasLimits() const { return has_limits_; }
  // Callers that use a notable part of their limit at this VM, busiest first.
  std::vector<CallerDemand> BusyCallers(TimePoint now, size_t count) const;
  // Drops callers that were idle for 10 s.
  void Trim(TimePoint now);

  static uint64_t HashCaller(const std::string& caller);

 private:
  static constexpr size_t kMaxCallers = 65536;
  // A caller below this part of its default share needs no share of its own.
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
