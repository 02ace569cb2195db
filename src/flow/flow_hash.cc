// XXH3 hashing of flow keys and fragments.
#include "src/flow/flow_hash.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <cstring>

namespace marjoramhall::flow {
namespace {

// Input of the hash, without padding.
struct PackedKey {
  uint8_t bytes[40] = {};

  PackedKey(const IpAddress& source, const IpAddress& destination) {
    std::memcpy(bytes, source.bytes.data(), 16);
    std::memcpy(bytes + 16, destination.bytes.data(), 16);
  }
};

FlowHash Hash(const PackedKey& packed, uint64_t seed) {
  const XXH128_hash_t hash =
      XXH3_128bits_withSeed(packed.bytes, sizeof(packed.bytes), seed);
  // A zero `high` marks a free slot of the flow table.
  return {hash.low64, hash.high64 == 0 ? 1 : hash.high64};
}

}  // namespace

uint64_t FlowSeed(std::string_view lineage) {
  return XXH3_64bits(lineage.data(), lineage.size());
}

FlowHash HashFlow(const FlowKey& key, uint64_t seed) {
  PackedKey packed(key.source, key.destination);
  std::memcpy(packed.bytes + 32, &key.source_port, 2);
  std::memcpy(packed.bytes + 34, &key.destination_port, 2);
  packed.bytes[36] = static_cast<uint8_t>(key.protocol);
  return Hash(packed, seed);
}

FlowHash HashFragment(const PacketInfo& info, uint64_t seed) {
  PackedKey packed(info.key.source, info.key.destination);
  std::memcpy(packed.bytes + 32, &info.fragment_id, 4);
  packed.bytes[36] = info.ip_protocol;
  packed.bytes[37] = 1;  // distinguishes fragments from flow keys
  return Hash(packed, seed);
}

}  // namespace marjoramhall::flow
