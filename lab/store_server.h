// Stand-in for the platform's key-value store: the HTTP form described in
// src/net/http_store_client.h, with faults and call counts.
#ifndef MARJORAMHALL_LAB_STORE_SERVER_H_
#define MARJORAMHALL_LAB_STORE_SERVER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "src/base/endpoint.h"
#include "src/base/time.h"

namespace marjoramhall::lab {

// Switched by PUT /lab/faults with a JSON object of these names, or by
// SetFaults. GET /lab/faults returns them.
struct StoreFaults {
  // Refuse every call with 503; nothing takes effect.
  bool down = false;
  // Wait before each call.
  int delay_ms = 0;
  // Writes and leases take effect, but the connection ends without an answer.
  bool lose_answers = false;
  // The next N writes only lose their answers; counted down.
  int lose_next_answers = 0;
  // Waiting watches are not woken by changes and end at their timeouts.
  bool drop_watches = false;
  // Delay of woken watches.
  int delay_watches_ms = 0;
};

// GET /lab/stats returns calls by kind, the answers lost and refused, and the
// watches waiting, as a JSON object. PUT /lab/content replaces the content (a
// JSON object of key to value), as a restore from a backup does; GET returns
// it.
class StoreServer {
 public:
  StoreServer();
  // Ends waiting watches and joins the threads.
  ~StoreServer();
  StoreServer(const StoreServer&) = delete;
  StoreServer& operator=(const StoreServer&) = delete;

  // Listens and serves on own threads. Port 0: chosen by the system. Returns an
  // error that names the address, or "".
  std::string Open(const Endpoint& listen);
  Endpoint local_endpoint() const;

  void SetFaults(const StoreFaults& faults);
  // Replaces the content. Returns an error for text that is no JSON object.
  std::string Restore(const std::string& json);
  // The object of /lab/stats.
  std::string StatsJson() const;
  uint64_t Count(const std::string& kind) const;

 private:
  struct Impl;

  std::unique_ptr<Impl> impl_;
};

}  // namespace marjoramhall::lab

#endif  // MARJORAMHALL_LAB_STORE_SERVER_H_
