// A client of one HTTP/1.1 server, for calls that a thread waits for. Small and
// linked statically: a VM that starts after a fault loads no HTTP library.
#ifndef MARJORAMHALL_NET_HTTP_CLIENT_H_
#define MARJORAMHALL_NET_HTTP_CLIENT_H_

#include <memory>
#include <optional>
#include <string>

#include "src/base/endpoint.h"
#include "src/base/time.h"

namespace marjoramhall::net {

struct HttpAnswer {
  int status = 0;
  std::string body;
};

struct HttpClientOptions {
  Endpoint server;
  Duration connect_limit = std::chrono::milliseconds(250);
  // A longer answer is not read; the longest expected one is a page of the
  // store (1 MB) in base64.
  size_t max_body_bytes = size_t{8} << 20;
};

// Keeps its connection open between calls. Used by one thread, except Cancel().
class HttpClient {
 public:
  explicit HttpClient(HttpClientOptions options);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // GET of a path with query. Blocks for `limit` at the most, and for
  // `connect_limit` more when there is no connection. Nothing without a
  // complete answer; the connection is closed then, since a late answer on it
  // would be taken for that of the next call.
  std::optional<HttpAnswer> Get(const std::string& target, Duration limit);

  // Ends a running call, which returns nothing. Safe from any thread.
  void Cancel();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace marjoramhall::net

#endif  // MARJORAMHALL_NET_HTTP_CLIENT_H_
