// Applies new placements and keeps the previous targets.
#include "src/flow/service_buckets.h"

#include <algorithm>

namespace marjoramhall::flow {
namespace {

bool SamePlacementInput(const std::vector<config::Target>& a,
                        const std::vector<config::Target>& b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](const config::Target& x, const config::Target& y) {
                      return x.id == y.id && x.weight == y.weight &&
                             x.state == y.state;
                    });
}

}  // namespace

bool ServiceBuckets::Update(const config::Service& service,
                            Tick now,
                            Tick change_window) {
  if (has_placement_ && SamePlacementInput(placement_input_, service.targets)) {
    return false;
  }
  const Placement placement = ComputePlacement(service);
  bool moved = false;
  for (uint32_t b = 0; b < kBucketCount; ++b) {
    BucketState& state = states_[b];
    if (!has_placement_ || state.target == placement[b]) {
      state.target = placement[b];
      continue;
    }
    if (ChangedRecently(b, now, change_window)) {
      state.recent_changes =
          static_cast<uint8_t>(std::min<int>(state.recent_changes + 1, 255));
    } else {
      state.recent_changes = 1;
    }
    state.previous_target = state.target;
    state.target = placement[b];
    state.changed_at = now;
    moved = true;
  }
  placement_input_ = service.targets;
  has_placement_ = true;
  return moved;
}

}  // namespace marjoramhall::flow
