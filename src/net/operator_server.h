// The HTTP server for operators: the plan API and the metrics.
//
//   POST /v1/plans               creates a plan
//   POST /v1/plans/ID/confirm    confirms a plan
//   GET  /v1/status              revisions of all VMs; load of all targets
//   GET  /v1/history             accepted changes
//   GET  /metrics                Prometheus text format
#ifndef MARJORAMHALL_NET_OPERATOR_SERVER_H_
#define MARJORAMHALL_NET_OPERATOR_SERVER_H_

#include <cstdint>
#include <filesystem>
#include <functional>
#include <memory>
#include <string>

#include "src/base/endpoint.h"
#include "src/base/time.h"
#include "src/control/plan_service.h"
#include "src/settings/settings.h"

// Declared instead of included: Asio selects its allocation functions by macros
// of the standard library. A file that includes Asio before the standard
// library would free memory of other files with the wrong function.
namespace asio {
class io_context;
}  // namespace asio

namespace marjoramhall::net {

struct OperatorServerOptions {
  Endpoint listen;  // port 0: chosen by the system
  // When set, every request needs "authorization: Bearer TOKEN".
  settings::Secret token;
  // When set, the server uses TLS 1.2 or later.
  std::filesystem::path tls_certificate;
  std::filesystem::path tls_key;
  uint64_t max_body_bytes = uint64_t{1} << 20;
  // How long a request waits for the control thread. Must exceed the duration
  // of a proposal.
  Duration answer_timeout = std::chrono::seconds(15);
  // Returns the text of GET /metrics. Called by one server thread at a time.
  std::function<std::string()> metrics;
};

// Handles requests on its own threads and calls the service on the thread of
// the io_context. The io_context and the service must outlive the server.
class OperatorServer {
 public:
  OperatorServer(asio::io_context& control,
                 OperatorServerOptions options,
                 control::PlanService& service);
  // Completes running requests and stops.
  ~OperatorServer();
  OperatorServer(const OperatorServer&) = delete;
  OperatorServer& operator=(const OperatorServer&) = delete;

  // Listens and starts the threads. Returns an error that names the address or
  // the certificate files, or an empty string.
  std::string Open();

  // Returns the bound address, including a port chosen by the system.
  Endpoint LocalEndpoint() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace marjoramhall::net

#endif  // MARJORAMHALL_NET_OPERATOR_SERVER_H_
