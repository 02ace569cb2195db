// The 128-bit hash that identifies a flow in tables and messages and selects
// its bucket.
#ifndef MARJORAMHALL_FLOW_FLOW_HASH_H_
#define MARJORAMHALL_FLOW_FLOW_HASH_H_

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "src/flow/packet.h"

namespace marjoramhall::flow {

// Number of buckets over which the flows of a service are spread.
inline constexpr uint32_t kBucketCount = 4096;
// Every 16th bucket is steered: its owner assigns each new flow to a target by
// load instead of by the placement.
inline constexpr uint32_t kSteeredBucketInterval = 16;

constexpr bool IsSteered(uint32_t bucket) {
  return bucket % kSteeredBucketInterval == 0;
}

struct FlowHash {
  uint64_t low = 0;
  uint64_t high = 0;

  bool operator==(const FlowHash&) const = default;

  uint32_t Bucket() const { return static_cast<uint32_t>(low % kBucketCount); }
};

// Hasher for unordered containers. The hash is uniform already.
struct FlowHashHasher {
  size_t operator()(const FlowHash& hash) const { return hash.high; }
};

// Returns the seed for the flow hashes of a deployment lineage. All VMs of a
// lineage use the same seed and so get the same hashes.
uint64_t FlowSeed(std::string_view lineage);

// Returns the XXH3 hash of the packed 5-tuple. Cost: about 5 ns.
FlowHash HashFlow(const FlowKey& key, uint64_t seed);

// Returns a hash that is equal for all fragments of one IP packet: addresses,
// fragment id and protocol.
FlowHash HashFragment(const PacketInfo& info, uint64_t seed);

}  // namespace marjoramhall::flow

#endif  // MARJORAMHALL_FLOW_FLOW_HASH_H_
