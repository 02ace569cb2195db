// Fetches the snapshot of another VM over HTTP.
#ifndef MARJORAMHALL_NET_SNAPSHOT_CLIENT_H_
#define MARJORAMHALL_NET_SNAPSHOT_CLIENT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "src/base/endpoint.h"
#include "src/base/store_position.h"

namespace marjoramhall::net {

// Path at which a VM serves its snapshot, and the query parameters with the
// position of the client (also kEpochParameter). The response is empty if the
// VM has no newer snapshot.
inline constexpr char kSnapshotPath[] = "/v1/snapshot";
inline constexpr char kNewerThanParameter[] = "newer-than";

// Returns the VMs to ask for a snapshot: first those that announced themselves,
// then the seeds, from the one that `choice` selects on. VMs with different
// choices share out the seeds: most of a fleet that starts knows no others.
std::vector<Endpoint> SnapshotOrder(std::vector<Endpoint> announced,
                                    std::vector<Endpoint> seeds,
                                    uint64_t choice);

// Asks the peers in order and returns the first snapshot, or std::nullopt if no
// peer has one newer than `newer_than`. Blocks for at most 600 ms per
// peer until a response begins (HttpClient::Get).
std::optional<std::string> FetchSnapshot(const std::vector<Endpoint>& peers,
                                         StorePosition newer_than);

}  // namespace marjoramhall::net

#endif  // MARJORAMHALL_NET_SNAPSHOT_CLIENT_H_
