// GCRA limits, scaled by the VM's share.
#include "src/request/rate_limiter.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace marjoramhall::request {
namespace {

constexpr Duration kCallerIdleTime = std::chrono::seconds(10);

Duration FromSeconds(double seconds) {
  return Duration(static_cast<int64_t>(seconds * 1e6));
}

}  // namespace

void RateMeter::Add(TimePoint now, double amount) {
  decayed_sum_ = decayed_sum_ * std::exp(-ToSeconds(now - updated_at_) /
                                         time_constant_s_) +
                 amount;
  updated_at_ = now;
}

double RateMeter::Rate(TimePoint now) const {
  return decayed_sum_ *
         std::exp(-ToSeconds(now - updated_at_) / time_constant_s_) /
         time_constant_s_;
}

Duration GcraLimit::WaitTime(const config::RateLimit& limit,
                             double share,
                             TimePoint now) const {
  if (limit.rate <= 0) {
    return Duration{0};
  }
  const double interval = 1 / (limit.rate * share);
  // The burst tolerance as a time does not depend on the share: it allows burst
  // * share requests at rate * share. It must cover at least one request, since
  // otherwise a VM with a small share could admit none.
  const double tolerance = std::max(limit.burst / limit.rate, interval);
  const TimePoint allowed_at =
      theoretical_arrival_ - FromSeconds(tolerance - interval);
  return std::max(Duration{0}, allowed_at - now);
}

void GcraLimit::Consume(const config::RateLimit& limit,
                        double share,
                        TimePoint now) {
  if (limit.rate > 0) {
    theoretical_arrival_ = std::max(theoretical_arrival_, now) +
                           FromSeconds(1 / (limit.rate * share));
  }
}

uint64_t RateLimiter::HashCaller(const std::string& caller) {
  return XXH3_64bits(caller.data(), caller.size());
}

void RateLimiter::SetKinds(const std::vector<config::RequestKind>& kinds,
                           double default_share) {
  default_share_ = default_share;
  kinds_.resize(kinds.size());
  has_limits_ = false;
  for (size_t i = 0; i < kinds.size(); ++i) {
    kinds_[i].limit = kinds[i].limit;
    kinds_[i].caller_limit = kinds[i].caller_limit;
    has_limits_ |= kinds[i].limit.rate > 0 || kinds[i].caller_limit.rate > 0;
  }
}

Duration RateLimiter::Admit(size_t kind,
                            const std::string& caller,
                            TimePoint now) {
  Kind& it = kinds_[kind];
  if (it.limit.rate <= 0 && it.caller_limit.rate <= 0) {
    return Duration{0};
  }
  const double share = it.share > 0 ? it.share : default_share_;
  it.meter.Add(now);
  Duration wait = it.gcra.WaitTime(it.limit, share, now);
  Caller* entry = nullptr;
  double caller_share = default_share_;
  if (it.caller_limit.rate > 0) {
    const uint64_t hash = HashCaller(caller);
    // When the table is full, all unknown callers share one entry. Otherwise a
    // client could evade the limit by sending many caller names.
    const bool full = it.callers.size() >= kMaxCallers;
    entry = &it.callers[full && !it.callers.contains(hash) ? 0 : hash];
    entry->last_seen_at = now;
    entry->meter.Add(now);
    caller_share = entry->share > 0 ? entry->share : default_share_;
    wait = std::max(wait,
                    entry->gcra.WaitTime(it.caller_limit, caller_share, now));
  }
  if (wait > Duration{0}) {
    return wait;
  }
  it.gcra.Consume(it.limit, share, now);
  if (entry != nullptr) {
    entry->gcra.Consume(it.caller_limit, caller_share, now);
  }
  return Duration{0};
}

void RateLimiter::SetKindShare(size_t kind, double share) {
  if (kind < kinds_.size()) {
    kinds_[kind].share = share;
  }
}

void RateLimiter::SetCallerShare(size_t kind, uint64_t caller, double share) {
  if (kind >= kinds_.size()) {
    return;
  }
  const auto it = kinds_[kind].callers.find(caller);
  if (it != kinds_[kind].callers.end()) {
    it->second.share = share;
  }
}

double RateLimiter::KindRate(size_t kind, TimePoint now) const {
  return kinds_[kind].meter.Rate(now);
}

std::vector<RateLimiter::CallerDemand> RateLimiter::BusyCallers(
    TimePoint now,
    size_t count) const {
  std::vector<CallerDemand> busy;
  for (size_t i = 0; i < kinds_.size(); ++i) {
    const double busy_rate =
        kinds_[i].caller_limit.rate * default_share_ * kBusyCallerRatio;
    for (const auto& [hash, caller] : kinds_[i].callers) {
      const double rate = caller.meter.Rate(now);
      if (rate > busy_rate) {
        busy.push_back({static_cast<uint32_t>(i), hash, rate});
      }
    }
  }
  std::sort(busy.begin(), busy.end(),
            [](const CallerDemand& a, const CallerDemand& b) {
              return a.rate != b.rate ? a.rate > b.rate : a.caller < b.caller;
            });
  busy.resize(std::min(busy.size(), count));
  return busy;
}

void RateLimiter::Trim(TimePoint now) {
  for (Kind& kind : kinds_) {
    std::erase_if(kind.callers, [&](const auto& it) {
      return now - it.second.last_seen_at > kCallerIdleTime;
    });
  }
}

}  // namespace marjoramhall::request
