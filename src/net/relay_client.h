// Polls other VMs for changes of the store over HTTP.
#ifndef MARJORAMHALL_NET_RELAY_CLIENT_H_
#define MARJORAMHALL_NET_RELAY_CLIENT_H_

#include <memory>
#include <optional>
#include <string>

#include "src/base/endpoint.h"
#include "src/base/store_position.h"
#include "src/net/http_client.h"

namespace marjoramhall::net {

// Path at which a VM serves changes of the store, and the query parameters with
// the position up to which the client has them. A status other than 200 means
// that the VM is no relay now.
inline constexpr char kChangesPath[] = "/v1/changes";
inline constexpr char kAfterParameter[] = "after";
inline constexpr char kEpochParameter[] = "epoch";
// Name of a poll in metrics.
inline constexpr char kPollCall[] = "relay-poll";

// Keeps the connection to the relay that was polled last. Not thread-safe.
class RelayClient {
 public:
  // Returns the response body, or std::nullopt if there is none or the relay
  // refused. Blocks for at most 500 ms until the response begins
  // (HttpClient::Get).
  std::optional<std::string> Poll(const Endpoint& relay, StorePosition after);

 private:
  Endpoint relay_;
  std::unique_ptr<HttpClient> client_;  // of relay_
};

}  // namespace marjoramhall::net

#endif  // MARJORAMHALL_NET_RELAY_CLIENT_H_
