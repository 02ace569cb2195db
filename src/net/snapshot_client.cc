// Fetches snapshots with HttpClient.
#include "src/net/snapshot_client.h"

#include <algorithm>
#include <chrono>

#include "src/net/http_client.h"
#include "src/net/relay_client.h"

namespace marjoramhall::net {
namespace {

// The round trip to a peer takes at most a millisecond; the rest allows for a
// busy peer.
constexpr auto kConnectTimeout = std::chrono::milliseconds(200);
constexpr auto kResponseTimeout = std::chrono::milliseconds(400);

constexpr int kStatusOk = 200;

}  // namespace

std::vector<Endpoint> SnapshotOrder(std::vector<Endpoint> announced,
                                    std::vector<Endpoint> seeds,
                                    uint64_t choice) {
  if (!seeds.empty()) {
    std::rotate(seeds.begin(),
                seeds.begin() + static_cast<ptrdiff_t>(choice % seeds.size()),
                seeds.end());
  }
  announced.insert(announced.end(), seeds.begin(), seeds.end());
  return announced;
}

std::optional<std::string> FetchSnapshot(const std::vector<Endpoint>& peers,
                                         StorePosition newer_than) {
  const std::string path =
      std::string(kSnapshotPath) + "?" + kNewerThanParameter + "=" +
      std::to_string(newer_than.revision) + "&" + kEpochParameter + "=" +
      std::to_string(newer_than.epoch);
  for (const Endpoint& peer : peers) {
    HttpClient client({.server = peer, .connect_timeout = kConnectTimeout});
    auto response = client.Get(path, kResponseTimeout);
    if (response && response->status == kStatusOk && !response->body.empty()) {
      return std::move(response->body);
    }
  }
  return std::nullopt;
}

}  // namespace marjoramhall::net
