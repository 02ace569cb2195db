// What one VM has seen of one service's targets: back-off from targets that
// shed load, ejection of failing ones, probing and slow start.
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

// Called with each ejection, probe and recovery.
using HealthHook = std::function<void(TargetId, std::string_view outcome)>;

class TargetHealth {
 public:
  explicit TargetHealth(HealthHook hook) : hook_(std::move(hook)) {}

  // Keeps what is known of targets that stay. At most a third of the targets,
  // and never all of them, can be ejected at once.
  void SetTargets(const std::vector<config::Target>& targets);

  // Requests that may be in flight at the target from this VM, given `slots`
  // leased slots. Cost: constant.
  uint32_t AllowedRequests(TargetId target,
                           uint32_t slots,
                           TimePoint now) const;

  // The VM started a request there; the first one at an ejected target whose
  // time has come is the probe.
  void OnStart(TargetId target, TimePoint now);
  void OnSuccess(TargetId target, TimePoint now);
  // The target refused load that it declared to take.
  void OnShed(TargetId target, TimePoint now);
  // Connection or stream failed, or the answer was a server error.
  void OnFailure(TargetId target, TimePoint now);
  // Ended without a verdict on the target (cancelled).
  void OnCancelled(TargetId target);

  size_t ejected() const { return ejected_; }

 private:
  enum class State { kHealthy, kEjected, kProbing, kSlowStart };

  struct Entry {
    State state = State::kHealthy;
    uint32_t consecutive_failures = 0;   // in a row
    uint32_t consecutive_ejections = 0;  // doubles the next time out
    // No new work before this time (back-off or ejection).
    TimePoint blocked_until{};
    TimePoint recovered_at{};
    Duration back_off{0};
  };

  void Eject(TargetId target, Entry& entry, TimePoint now);

  HealthHook hook_;
  std::unordered_map<TargetId, Entry> entries_;
  // Entries in kEjected or kProbing; at most max_ejected_.
  size_t ejected_ = 0;
  size_t max_ejected_ = 0;
};

}  // namespace marjoramhall::request

#endif  // MARJORAMHALL_REQUEST_TARGET_HEALTH_H_
