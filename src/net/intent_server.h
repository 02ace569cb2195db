// The operators' HTTP server: the intent API and the metrics.
//
//   POST /v1/plans               makes a plan
//   POST /v1/plans/ID/confirm    confirms it
//   GET  /v1/status              revisions of all VMs, targets and their work
//   GET  /v1/history             accepted changes
//   GET  /metrics                Prometheus text format
#ifndef MARJORAMHALL_NET_INTENT_SERVER_H_
#define MARJORAMHALL_NET_INTENT_SERVER_H_

#include <cstdint>
#include <filesystem>
#include <functional>
#include <memory>
#include <string>

#include "src/base/endpoint.h"
#include "src/base/time.h"
#include "src/control/plan_service.h"
#include "src/settings/settings.h"

// Not included here: Asio decides by macros of the standard library how it
// allocates, so that a file that includes Asio first frees the memory of other
// files by the wrong function.
namespace asio {
class io_context;
}  // namespace asio

namespace marjoramhall::net {

struct IntentServerOptions {
  Endpoint listen;  // port 0: the system chooses
  // When set, every request needs "authorization: Bearer TOKEN".
  settings::Secret token;
  // When set, the server speaks TLS 1.2 or later.
  std::filesystem::path tls_certificate;
  std::filesystem::path tls_key;
  uint64_t max_body_bytes = uint64_t{1} << 20;
  // How long an answer of the control thread is waited for. Longer than a
  // proposal takes.
  Duration answer_timeout = std::chrono::seconds(15);
  // Text of GET /metrics. Called by one thread of the server at a time.
  std::function<std::string()> metrics;
};

// Handles requests on threads of its own and calls the service on the thread of
// the `io_context`. Both must outlive the server.
class IntentServer {
 public:
  IntentServer(asio::io_context& control,
               IntentServerOptions options,
               control::PlanService& service);
  // Answers running requests and stops.
  ~IntentServer();
  IntentServer(const IntentServer&) = delete;
  IntentServer& operator=(const IntentServer&) = delete;

  // Listens and starts the threads. Returns an error that names the address or
  // file, or an empty string.
  std::string Open();

  // The address with the port that the system chose.
  Endpoint LocalEndpoint() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace marjoramhall::net

#endif  // MARJORAMHALL_NET_INTENT_SERVER_H_
