// Stand-in for the platform's key-value store: serves the HTTP API described in
// src/net/http_store_client.h, injects faults and counts calls.
#ifndef MARJORAMHALL_LAB_STORE_SERVER_H_
#define MARJORAMHALL_LAB_STORE_SERVER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "src/base/endpoint.h"
#include "src/base/time.h"

namespace marjoramhall::lab {

// Set by SetFaults(), or by PUT /lab/faults with a JSON object of the member
// names. GET /lab/faults returns them.
struct StoreFaults {
  // Refuses every call with 503. No call takes effect.
  bool down = false;
  // Delay before each call.
  int delay_ms = 0;
  // Writes and leases take effect, but the connection is closed without an
  // answer.
  bool lose_answers = false;
  // Number of further writes and leases that lose their answers; counts down.
  int lose_next_answers = 0;
  // Changes do not wake watches; they end at their timeouts.
  bool drop_watches = false;
  // Delay before a woken watch is answered.
  int delay_watches_ms = 0;
};

// GET /lab/stats returns a JSON object with the calls by kind, the lost and
// refused ones, and the number of waiting watches. PUT /lab/content replaces
// the content with a JSON object of keys and values, like a restore from a
// backup; GET returns it.
class StoreServer {
 public:
  StoreServer();
  // Ends waiting watches and joins the server threads.
  ~StoreServer();
  StoreServer(const StoreServer&) = delete;
  StoreServer& operator=(const StoreServer&) = delete;

  // Starts listening and serving on its own threads. With port 0 the system
  // chooses the port. Returns an error that names the address, or an empty
  // string.
  std::string Open(const Endpoint& listen);
  Endpoint local_endpoint() const;

  void SetFaults(const StoreFaults& faults);
  // Replaces the content. Returns an error if `json` is not a JSON object, or
  // an empty string.
  std::string Restore(const std::string& json);
  // Returns the JSON object of /lab/stats.
  std::string StatsJson() const;
  // Calls of one kind, by its name in /lab/stats.
  uint64_t CallCount(const std::string& kind) const;

 private:
  struct Impl;

  std::unique_ptr<Impl> impl_;
};

}  // namespace marjoramhall::lab

#endif  // MARJORAMHALL_LAB_STORE_SERVER_H_
