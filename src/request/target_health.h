// The health of one service's targets as observed by one VM: back-off from
// targets that shed load, ejection of failing targets, probes and slow start.
#ifndef MARJORAMHALL_REQUEST_TARGET_HEALTH_H_
#define MARJORAMHALL_REQUEST_TARGET_HEALTH_H_

#include <cstdint>
#include <functional>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "src/base/ids.h"
#include "src/base/time.h"
#include "src/config/deployment.h"

namespace marjoramhall::request {

// Called on each ejection, probe and recovery.
using HealthHook = std::function<void(TargetId, std::string_view outcome)>;

class TargetHealth {
 public:
  explicit TargetHealth(HealthHook hook) : hook_(std::move(hook)) {}

  // Keeps the state of targets that remain. At most a third of the targets may
  // be ejected at once, rounded down.
  void SetTargets(const std::vector<config::Target>& targets);

  // The number of requests that this VM may have in flight at the target, given
  // `slots` leased slots. Cost: constant.
  uint32_t AllowedRequests(TargetId target,
                           uint32_t slots,
                           TimePoint now) const;

  // A request has started at the target. The first one after an ejection time
  // is the probe.
  void OnStart(TargetId target, TimePoint now);
  void OnSuccess(TargetId target, TimePoint now);
  // The target shed a request although it was within its declared slots.
  void OnShed(TargetId target, TimePoint now);
  // The connection or stream failed, or the answer was a server error.
  void OnFailure(TargetId target, TimePoint now);
  // The attempt was cancelled, which says nothing about the target.
  void OnCancelled(TargetId target);

  size_t ejected() const { return ejected_; }

 private:
  enum class State { kHealthy, kEjected, kProbing, kSlowStart };

  struct Entry {
    State state = State::kHealthy;
    uint32_t consecutive_failures = 0;
    uint32_t consecutive_ejections = 0;  // each doubles the ejection time
    // No request starts before this time (back-off or ejection).
    TimePoint blocked_until{};
    TimePoint recovered_at{};
    Duration back_off{0};
  };

  void Eject(TargetId target, Entry& entry, TimePoint now);

  HealthHook hook_;
  std::unordered_map<TargetId, Entry> entries_;
  // Number of entries in kEjected or kProbing. SetTargets() may lower
  // max_ejected_ below it.
  size_t ejected_ = 0;
  size_t max_ejected_ = 0;
};

}  // namespace marjoramhall::request

#endif  // MARJORAMHALL_REQUEST_TARGET_HEALTH_H_
