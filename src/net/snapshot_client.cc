// The client on HttpClient.
#include "src/net/snapshot_client.h"

#include <chrono>

#include "src/net/http_client.h"

namespace marjoramhall::net {
namespace {

// Peers are at most a millisecond away; the rest allows for a busy one.
constexpr auto kConnectLimit = std::chrono::milliseconds(200);
constexpr auto kAnswerLimit = std::chrono::milliseconds(400);

constexpr int kStatusOk = 200;

}  // namespace

std::optional<std::string> FetchSnapshot(const std::vector<Endpoint>& peers,
                                         uint64_t newer_than) {
  const std::string path = std::string(kSnapshotPath) + "?" +
                           kNewerThanParameter + "=" +
                           std::to_string(newer_than);
  for (const Endpoint& peer : peers) {
    HttpClient client({peer, kConnectLimit});
    auto answer = client.Get(path, kAnswerLimit);
    if (answer && answer->status == kStatusOk && !answer->body.empty()) {
      return std::move(answer->body);
    }
  }
  return std::nullopt;
}

}  // namespace marjoramhall::net
