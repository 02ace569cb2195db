// The platform's store over HTTP. Calls run on worker threads; answers are
// posted to the control thread.
//
//   GET  /v1/kv/KEY                          value, header x-version; 404: none
//   GET  /v1/kv/KEY?known=V&timeout-ms=T     the same, once the version differs
//   PUT  /v1/kv/KEY  x-expected-version: V   200 with x-version, 409: conflict
//   POST /v1/leases/NAME  x-holder, x-ttl-ms 200 with x-fencing, 409: held
//
// 503 means that the call was refused and had no effect.
#ifndef MARJORAMHALL_NET_HTTP_STORE_CLIENT_H_
#define MARJORAMHALL_NET_HTTP_STORE_CLIENT_H_

#include <memory>

#include "src/base/endpoint.h"
#include "src/control/store_client.h"

namespace asio {
class io_context;
}  // namespace asio

namespace marjoramhall::net {

struct HttpStoreOptions {
  Endpoint endpoint;
  Duration connect_timeout = std::chrono::seconds(1);
  Duration call_timeout = std::chrono::seconds(3);
  // A watch may take this much longer than the timeout it asks for.
  Duration watch_grace = std::chrono::seconds(2);
  // Calls that may wait for a worker; more are refused at once.
  size_t max_waiting = 64;
};

// Three threads: two for calls, one for the watch, which waits at the store.
class HttpStoreClient {
 public:
  HttpStoreClient(asio::io_context& io, const HttpStoreOptions& options);
  // Aborts calls under way and joins the threads. Takes at most the connect
  // timeout. Answers not yet delivered are lost.
  ~HttpStoreClient();
  HttpStoreClient(const HttpStoreClient&) = delete;
  HttpStoreClient& operator=(const HttpStoreClient&) = delete;

  // Calls made after this object has gone get kUnavailable.
  control::StoreClient Client();

 private:
  struct Impl;

  std::shared_ptr<Impl> impl_;
};

}  // namespace marjoramhall::net

#endif  // MARJORAMHALL_NET_HTTP_STORE_CLIENT_H_
