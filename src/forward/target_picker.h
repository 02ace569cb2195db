// Chooses the target of a new flow: the least loaded by what this VM knows,
// with a preference for its own failure domain.
//
// Load that it answers: Poisson arrivals spread by the fabric over several VMs,
// targets with few slots and a short queue, and work times with a long tail.
#ifndef MARJORAMHALL_FORWARD_TARGET_PICKER_H_
#define MARJORAMHALL_FORWARD_TARGET_PICKER_H_

#include <cstdint>
#include <span>

#include "src/base/time.h"
#include "src/forward/target_table.h"

namespace marjoramhall::forward {

struct PickerOptions {
  // Added to the load of a target in another failure domain, in requests per
  // slot. Keeps bytes inside the domain while its targets are not busier.
  double other_domain_penalty = 0.34;
  // Pace of a target that has just started, as a part of its usual one.
  double cold_pace = 0.6;
};

// What a retry of an opening asks for.
struct PickWish {
  // Targets that were tried and did not answer; used only when all were.
  std::span<const TargetToken> tried;
  bool prefer_own_domain = false;
};

class TargetPicker {
 public:
  TargetPicker(PickerOptions options, uint64_t seed)
      : options_(options), state_(seed | 1) {}

  // The target for a new flow, or null when the service has none. Cost: linear
  // in the targets of the service.
  TargetEntry* Pick(const TargetTable& table,
                    ServiceId service,
                    const PickWish& wish,
                    TimePoint now);

  // A number below `bound`, which is at least 1.
  uint32_t Random(uint32_t bound);

 private:
  double LoadOf(const TargetEntry& entry, TimePoint now) const;

  const PickerOptions options_;
  uint64_t state_;  // xorshift generator, never 0
};

}  // namespace marjoramhall::forward

#endif  // MARJORAMHALL_FORWARD_TARGET_PICKER_H_
