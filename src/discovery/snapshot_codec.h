// Serialization of the known targets and routes, and of changes, for other VMs.
#ifndef MARJORAMHALL_DISCOVERY_SNAPSHOT_CODEC_H_
#define MARJORAMHALL_DISCOVERY_SNAPSHOT_CODEC_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "src/base/fleet_load.h"
#include "src/discovery/records.h"

namespace marjoramhall::discovery {

// All targets and the configuration at a position of the store.
struct Listing {
  std::vector<StoreChange> items;
  StorePosition position;
};

// What a relay knows beyond the position of the VM that asks.
struct ChangeSet {
  // Ordered by position. If `complete`, these are all entries.
  std::vector<StoreChange> changes;
  StorePosition position;  // contains all changes up to this one
  // Time since the store confirmed that nothing had changed after `position`.
  Duration age{0};
  bool complete = false;
  FleetLoad fleet;
};

std::string EncodeSnapshot(const Listing& listing);

// Returns nothing if the bytes are not a snapshot with a configuration.
std::optional<Listing> DecodeSnapshot(std::string_view bytes);

std::string EncodeChangeSet(const ChangeSet& set);

// Returns nothing if the bytes are not a change set, or if a complete one has
// no configuration.
std::optional<ChangeSet> DecodeChangeSet(std::string_view bytes);

}  // namespace marjoramhall::discovery

#endif  // MARJORAMHALL_DISCOVERY_SNAPSHOT_CODEC_H_
