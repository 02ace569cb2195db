// State of the buckets of one service on one VM: the target of each bucket by
// the placement, its previous target, and the number of flows on other targets.
#ifndef MARJORAMHALL_FLOW_SERVICE_BUCKETS_H_
#define MARJORAMHALL_FLOW_SERVICE_BUCKETS_H_

#include <bitset>
#include <cstdint>
#include <vector>

#include "src/config/deployment.h"
#include "src/flow/flow_table.h"
#include "src/flow/placement.h"

namespace marjoramhall::flow {

using BucketSet = std::bitset<kBucketCount>;

struct BucketState {
  TargetId target = TargetId::kNone;
  // Target before the last change, or kNone without a change.
  TargetId previous_target = TargetId::kNone;
  Tick changed_at = 0;  // 0 without a change
  // Flows recorded by this VM as owner or backup whose target is not `target`.
  uint32_t exception_count = 0;
  // Changes of which each came within `change_window` of the one before. After
  // more than one, an unknown flow may belong to a target before
  // `previous_target`.
  uint8_t recent_changes = 0;
};

class ServiceBuckets {
 public:
  // Applies a configuration of the service. Computes the placement anew when
  // targets, weights or states differ from the last call. Returns whether the
  // target of any bucket changed. `change_window` is the time for which a
  // change counts as recent.
  bool Update(const config::Service& service, Tick now, Tick change_window);

  BucketState& At(uint32_t bucket) { return states_[bucket]; }
  const BucketState& At(uint32_t bucket) const { return states_[bucket]; }

  // Whether a flow on the previous target of the bucket may still be alive.
  bool ChangedRecently(uint32_t bucket, Tick now, Tick change_window) const {
    const BucketState& it = states_[bucket];
    return it.changed_at != 0 && now - it.changed_at <= change_window;
  }

  // Returns the target of an established flow that no VM has an entry for: the
  // previous target if there was one recent change, else kNone.
  TargetId UniquePreviousTarget(uint32_t bucket,
                                Tick now,
                                Tick change_window) const {
    return ChangedRecently(bucket, now, change_window) &&
                   states_[bucket].recent_changes == 1
               ? states_[bucket].previous_target
               : TargetId::kNone;
  }

  // Buckets that this VM owns and that other VMs must not route by placement
  // alone. Steered buckets are never routed that way and are not included.
  BucketSet managed;

 private:
  std::vector<config::Target> placement_input_;
  std::vector<BucketState> states_{kBucketCount};
  bool has_placement_ = false;
};

}  // namespace marjoramhall::flow

#endif  // MARJORAMHALL_FLOW_SERVICE_BUCKETS_H_
