// The 128-bit hash that stands for a flow in tables, messages and buckets.
#ifndef MARJORAMHALL_FLOW_FLOW_HASH_H_
#define MARJORAMHALL_FLOW_FLOW_HASH_H_

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "src/flow/packet.h"

namespace marjoramhall::flow {

// Number of buckets of a service's placement.
inline constexpr uint32_t kBucketCount = 4096;
// Every 16th bucket is steered: the owner places its new flows by load.
inline constexpr uint32_t kSteeredStride = 16;

constexpr bool IsSteered(uint32_t bucket) {
  return bucket % kSteeredStride == 0;
}

struct FlowHash {
  uint64_t low = 0;
  uint64_t high = 0;

  bool operator==(const FlowHash&) const = default;

  uint32_t Bucket() const { return static_cast<uint32_t>(low % kBucketCount); }
};

// For unordered containers; the hash is uniform already.
struct FlowHashHasher {
  size_t operator()(const FlowHash& hash) const { return hash.high; }
};

// Seed of all flow hashes of a lineage, so that every VM computes the same.
uint64_t FlowSeed(std::string_view lineage);

// XXH3 of the packed 5-tuple. Cost: about 5 ns.
FlowHash HashFlow(const FlowKey& key, uint64_t seed);

// Hash of what the fragments of one IP packet have in common.
FlowHash HashFragment(const PacketInfo& info, uint64_t seed);

}  // namespace marjoramhall::flow

#endif  // MARJORAMHALL_FLOW_FLOW_HASH_H_
