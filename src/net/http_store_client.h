// Client of the platform's store over HTTP. Calls run on worker threads;
// results are posted to the io_context of the control thread.
//
//   GET  /v1/kv/KEY                          value, header x-version; 404: none
//   GET  /v1/kv/KEY?known=V&timeout-ms=T     the same, once the version differs
//   PUT  /v1/kv/KEY  x-expected-version: V   200 with x-version, 409: conflict
//   POST /v1/leases/NAME  x-holder, x-ttl-ms 200 with x-fencing, 409: held
//
// 503 means that the call was rejected and had no effect.
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
  // A watch may take this much longer than the timeout that it requests.
  Duration watch_grace = std::chrono::seconds(2);
  // Maximum number of calls waiting for a worker thread. Further calls fail
  // immediately with kUnavailable.
  size_t max_queued_calls = 64;
};

// Uses three threads: two for calls and one for watches, which block at the
// store.
class HttpStoreClient {
 public:
  HttpStoreClient(asio::io_context& io, const HttpStoreOptions& options);
  // Aborts running calls and joins the threads. Blocks for at most the connect
  // timeout. Results that have not been delivered are lost.
  ~HttpStoreClient();
  HttpStoreClient(const HttpStoreClient&) = delete;
  HttpStoreClient& operator=(const HttpStoreClient&) = delete;

  // The returned functions may outlive this object; they then report
  // kUnavailable.
  control::StoreClient Client();

 private:
  struct Impl;

  std::shared_ptr<Impl> impl_;
};

}  // namespace marjoramhall::net

#endif  // MARJORAMHALL_NET_HTTP_STORE_CLIENT_H_
