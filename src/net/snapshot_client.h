// Asks other VMs for their snapshot over HTTP.
#ifndef MARJORAMHALL_NET_SNAPSHOT_CLIENT_H_
#define MARJORAMHALL_NET_SNAPSHOT_CLIENT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "src/base/endpoint.h"

namespace marjoramhall::net {

// Path at which a VM serves its snapshot. A query with a revision is answered
// without content when the VM knows nothing newer.
inline constexpr char kSnapshotPath[] = "/v1/snapshot";
inline constexpr char kNewerThanParameter[] = "newer-than";

// Asks the peers in turn and returns the first snapshot.
// Blocks, at most 600 ms a peer.
std::optional<std::string> FetchSnapshot(const std::vector<Endpoint>& peers,
                                         uint64_t newer_than);

}  // namespace marjoramhall::net

#endif  // MARJORAMHALL_NET_SNAPSHOT_CLIENT_H_
