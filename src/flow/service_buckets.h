// What one VM remembers about the buckets of one service: the target in force,
// the target before it, and which flows deviate from it.
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
  // Target before the last change; kNone when never changed.
  TargetId past = TargetId::kNone;
  Tick changed = 0;  // 0: never changed
  // Entries of this VM as owner or backup whose target is not `target`.
  uint32_t exceptions = 0;
  // Changes within one idle timeout; with more than one, `past` alone does not
  // tell where an unknown flow belongs.
  uint8_t recent_changes = 0;
};

class ServiceBuckets {
 public:
  // Adopts a configuration of the service; recomputes the placement when
  // targets, weights or states differ from before. Returns whether any bucket
  // moved. `idle` is the flow idle timeout.
  bool Update(const config::Service& service, Tick now, Tick idle);

  BucketState& At(uint32_t bucket) { return states_[bucket]; }
  const BucketState& At(uint32_t bucket) const { return states_[bucket]; }

  // Whether a flow on the bucket's past target may still live.
  bool ChangedRecently(uint32_t bucket, Tick now, Tick idle) const {
    const BucketState& it = states_[bucket];
    return it.changed != 0 && now - it.changed <= idle;
  }

  // Where an unknown flow that is not new belongs when no VM knows it: the past
  // target if there is exactly one, else kNone.
  TargetId SinglePast(uint32_t bucket, Tick now, Tick idle) const {
    return ChangedRecently(bucket, now, idle) &&
                   states_[bucket].recent_changes == 1
               ? states_[bucket].past
               : TargetId::kNone;
  }

  // Buckets that this VM, as owner, declares managed (steered ones left out).
  BucketSet managed;

 private:
  std::vector<config::Target> basis_;
  std::vector<BucketState> states_{kBucketCount};
  bool placed_ = false;
};

}  // namespace marjoramhall::flow

#endif  // MARJORAMHALL_FLOW_SERVICE_BUCKETS_H_
