// Polls relays with HttpClient.
#include "src/net/relay_client.h"

#include <chrono>
#include <utility>

namespace marjoramhall::net {
namespace {

// The round trip to a relay takes a few milliseconds; the rest allows for a
// busy one. The store is asked after these times, so they delay changes.
constexpr auto kConnectTimeout = std::chrono::milliseconds(150);
constexpr auto kResponseTimeout = std::chrono::milliseconds(350);

constexpr int kStatusOk = 200;

}  // namespace

std::optional<std::string> RelayClient::Poll(const Endpoint& relay,
                                             StorePosition after) {
  if (client_ == nullptr || relay != relay_) {
    client_ = std::make_unique<HttpClient>(
        HttpClientOptions{.server = relay, .connect_timeout = kConnectTimeout});
    relay_ = relay;
  }
  auto response =
      client_->Get(std::string(kChangesPath) + "?" + kAfterParameter + "=" +
                       std::to_string(after.revision) + "&" + kEpochParameter +
                       "=" + std::to_string(after.epoch),
                   kResponseTimeout);
  if (!response || response->status != kStatusOk) {
    return std::nullopt;
  }
  return std::move(response->body);
}

}  // namespace marjoramhall::net
