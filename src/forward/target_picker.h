// Chooses the target of a new flow: the one with the least load as far as this
// VM knows, with a preference for the VM's own failure domain.
//
// It is designed for Poisson arrivals that the network spreads over several
// VMs, for targets with few slots and a short queue, for work times with a long
// tail, and for targets that fail requests at once while others work.
#ifndef MARJORAMHALL_FORWARD_TARGET_PICKER_H_
#define MARJORAMHALL_FORWARD_TARGET_PICKER_H_

#include <cstdint>
#include <functional>
#include <span>

#include "src/base/time.h"
#include "src/forward/target_table.h"

namespace marjoramhall::forward {

struct PickerOptions {
  // Added to the load of a target in another failure domain, in requests per
  // slot. Keeps traffic inside the domain while its targets are not busier.
  double other_domain_penalty = 0.34;
  // Speed of a target that has just started, relative to its usual speed.
  double warm_up_speed = 0.6;
  // Targets that fail requests at once are avoided only while they are at most
  // this fraction of the service: the others could not serve all of the load.
  double max_avoided_fraction = 0.25;
};

struct PickConstraints {
  // Targets that did not answer a SYN of this flow. One of them is picked only
  // when no other target is left.
  std::span<const TargetToken> tried;
  // Prefers any usable target of the own failure domain to all others.
  bool prefer_own_domain = false;
  // Prefers targets that have answered this VM since then. When many targets
  // fail at once, this VM does not know most of them yet.
  TimePoint answered_since = TimePoint::min();
  // Returns whether a target must not get the flow, even if no other target is
  // left. May be unset.
  std::function<bool(TargetEntry&)> is_held_back = nullptr;
};

class TargetPicker {
 public:
  TargetPicker(PickerOptions options, uint64_t seed)
      : options_(options), random_state_(seed | 1) {}

  // Returns the target for a new flow, or null when the service has none
  // that takes it.
  // Cost: linear in the number of targets of the service.
  TargetEntry* Pick(const TargetTable& table,
                    ServiceId service,
                    const PickConstraints& constraints,
                    TimePoint now);

  // Returns a random number below `bound`, which is at least 1.
  uint32_t Random(uint32_t bound);

 private:
  // Expected requests per slot, weighted by the target's speed.
  double LoadOf(const TargetEntry& entry, TimePoint now) const;

  const PickerOptions options_;
  uint64_t random_state_;  // xorshift generator, never 0
};

}  // namespace marjoramhall::forward

#endif  // MARJORAMHALL_FORWARD_TARGET_PICKER_H_
