// A blocking client of one HTTP/1.1 server. It is small and linked statically,
// so that a VM that starts after a fault need not load an HTTP library.
#ifndef MARJORAMHALL_NET_HTTP_CLIENT_H_
#define MARJORAMHALL_NET_HTTP_CLIENT_H_

#include <memory>
#include <optional>
#include <string>

#include "src/base/endpoint.h"
#include "src/base/time.h"

namespace marjoramhall::net {

struct HttpResponse {
  int status = 0;
  std::string body;
  // Value of HttpClientOptions::header, if the response has it.
  std::optional<std::string> header;
};

struct HttpClientOptions {
  Endpoint server;
  Duration connect_timeout = std::chrono::milliseconds(250);
  // A response that has begun ends when no part of it has arrived for this
  // time. A small share of a core or a busy link delays parts by less.
  Duration stall_timeout = std::chrono::milliseconds(500);
  // Longest time of a response from its first part to its last.
  Duration max_transfer_time = std::chrono::seconds(2);
  // A response with a larger body fails. The largest expected body is a page of
  // the store (1 MB) in base64.
  size_t max_body_bytes = size_t{8} << 20;
  // Name of a header to return with each response. Empty for none.
  std::string header = {};
};

// Keeps its connection open between calls. Not thread-safe, except where
// stated.
class HttpClient {
 public:
  explicit HttpClient(HttpClientOptions options);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Sends a GET request for `target`, a path with an optional query. Blocks for
  // at most `timeout` until the response begins, plus `connect_timeout` if
  // there is no connection, plus `max_transfer_time` while it arrives: how long
  // a large response takes depends on the link, and not on whether the server
  // works. Returns std::nullopt if no complete response arrived. The connection
  // is closed then, because a late response would be taken for that of the next
  // call.
  std::optional<HttpResponse> Get(const std::string& target, Duration timeout);

  // Whether the last Get() received a part of a response. If it returned
  // std::nullopt, the response was too large or took too long.
  bool response_began() const;

  // Ends a running Get(), which then returns std::nullopt. Thread-safe.
  void Cancel();

  // Cancels a Get() that has passed one of its time limits by a clock that also
  // counts the time during which the VM is suspended. Thread-safe.
  void CancelIfOverdue();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace marjoramhall::net

#endif  // MARJORAMHALL_NET_HTTP_CLIENT_H_
