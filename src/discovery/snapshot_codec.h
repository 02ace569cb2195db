// Serialization of the known targets and routes, for other VMs.
#ifndef MARJORAMHALL_DISCOVERY_SNAPSHOT_CODEC_H_
#define MARJORAMHALL_DISCOVERY_SNAPSHOT_CODEC_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "src/discovery/records.h"

namespace marjoramhall::discovery {

// All targets and the configuration at a revision of the store.
struct Listing {
  std::vector<StoreChange> items;
  uint64_t revision = 0;
};

std::string EncodeSnapshot(const Listing& listing);

// Returns nothing if the bytes are not a snapshot with a configuration.
std::optional<Listing> DecodeSnapshot(std::string_view bytes);

}  // namespace marjoramhall::discovery

#endif  // MARJORAMHALL_DISCOVERY_SNAPSHOT_CODEC_H_
