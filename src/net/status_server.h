// A small HTTP/1.1 server for readiness, metrics, snapshots and relayed
// changes. It runs on the thread of its io_context.
#ifndef MARJORAMHALL_NET_STATUS_SERVER_H_
#define MARJORAMHALL_NET_STATUS_SERVER_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "src/base/endpoint.h"
#include "src/base/time.h"

namespace asio {
class io_context;
}

namespace marjoramhall::net {

struct StatusResponse {
  int status = 200;
  std::string body;  // text/plain
  // Second part of the body, which other responses may have too. Is not copied.
  std::shared_ptr<const std::string> shared_body = nullptr;
};

// Returns the value of a query parameter without percent-decoding, or an empty
// string.
using QueryParameter = std::function<std::string(std::string_view name)>;

struct StatusRoute {
  std::string path;
  // Called on the thread of the io_context; must not block.
  std::function<StatusResponse(const QueryParameter& query)> handler;
};

struct StatusServerOptions {
  // Connections above this number are closed at once.
  size_t max_connections = 64;
  // How long a connection stays open for a further request. With 0 it serves
  // one request.
  Duration keep_alive{0};
};

class StatusServer {
 public:
  StatusServer(asio::io_context& io,
               Endpoint listen,
               std::vector<StatusRoute> routes,
               StatusServerOptions options = {});
  ~StatusServer();
  StatusServer(const StatusServer&) = delete;
  StatusServer& operator=(const StatusServer&) = delete;

  // Listens. Returns an error that names the address, or an empty string.
  std::string Open();

  // Returns the bound address, including a port chosen by the system.
  Endpoint LocalEndpoint() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;  // shared with the connections
};

}  // namespace marjoramhall::net

#endif  // MARJORAMHALL_NET_STATUS_SERVER_H_
