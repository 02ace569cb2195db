// The client on cpp-httplib.
#include "src/net/snapshot_client.h"

#include <chrono>

#include "src/net/http_library.h"

namespace marjoramhall::net {
namespace {

// Peers are at most a millisecond away; the rest allows for a busy one.
constexpr auto kConnectTimeout = std::chrono::milliseconds(200);
constexpr auto kAnswerTimeout = std::chrono::milliseconds(400);

constexpr int kStatusOk = 200;

}  // namespace

std::optional<std::string> FetchSnapshot(const std::vector<Endpoint>& peers,
                                         uint64_t newer_than) {
  const std::string path = std::string(kSnapshotPath) + "?" + kNewerThan + "=" +
                           std::to_string(newer_than);
  for (const Endpoint& peer : peers) {
    httplib::Client client(peer.address.ToString(), peer.port);
    client.set_connection_timeout(kConnectTimeout);
    client.set_read_timeout(kAnswerTimeout);
    client.set_write_timeout(kAnswerTimeout);
    auto answer = client.Get(path);
    if (answer && answer->status == kStatusOk && !answer->body.empty()) {
      return std::move(answer->body);
    }
  }
  return std::nullopt;
}

}  // namespace marjoramhall::net
