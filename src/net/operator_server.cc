// The HTTP server for operators, implemented with cpp-httplib.
#include "src/net/operator_server.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>

#include <array>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <atomic>
#include <future>
#include <mutex>
#include <nlohmann/json.hpp>
#include <utility>

#include "src/net/http_library.h"
#include "src/net/http_server_thread.h"

namespace marjoramhall::net {
namespace {

using control::PlanServiceCallback;
using control::PlanServiceOutcome;
using control::PlanServiceResponse;

constexpr char kJson[] = "application/json";
constexpr size_t kThreads = 8;
// Requests of operators are small, so a connection that takes longer is closed.
constexpr std::chrono::seconds kSocketTimeout(5);
constexpr size_t kRequestsPerConnection = 100;

int HttpStatus(PlanServiceOutcome outcome) {
  switch (outcome) {
    case PlanServiceOutcome::kOk:
      return 200;
    case PlanServiceOutcome::kBadRequest:
      return 400;
    case PlanServiceOutcome::kRefused:
      return 409;
    case PlanServiceOutcome::kUnavailable:
      return 503;
    case PlanServiceOutcome::kUnknown:
      return 504;
  }
  return 500;
}

std::string ErrorJson(std::string_view outcome, std::string_view reason) {
  return nlohmann::json{{"outcome", outcome}, {"reasons", {reason}}}.dump();
}

// Returns the reason for an error response that the library generates.
std::string_view LibraryErrorReason(int status) {
  switch (status) {
    case 404:
      return "no such path";
    case 413:
      return "the body is too large";
    default:
      return "malformed request";
  }
}

using Digest = std::array<unsigned char, 32>;

Digest Sha256(std::string_view text) {
  Digest digest{};
  EVP_Digest(text.data(), text.size(), digest.data(), nullptr, EVP_sha256(),
             nullptr);
  return digest;
}

// Compares digests in constant time, so that the duration does not reveal the
// token or its length.
bool IsAuthorized(const httplib::Request& request,
                  const settings::Secret& token) {
  const std::string expected = "Bearer " + token.Reveal();
  const Digest a = Sha256(request.get_header_value("Authorization"));
  const Digest b = Sha256(expected);
  return CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

// Replaces SO_REUSEPORT, the default of the library, which would let two
// processes share the port.
void SetSocketOptions(socket_t socket) {
  const int yes = 1;
  setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
}

}  // namespace

struct OperatorServer::Impl {
  Impl(asio::io_context& io,
       OperatorServerOptions given,
       control::PlanService& plans)
      : control(io), options(std::move(given)), service(plans) {}

  // Runs a call on the control thread and fills in the response.
  void Respond(httplib::Response& response,
               std::function<void(PlanServiceCallback)> call) {
    auto promise = std::make_shared<std::promise<PlanServiceResponse>>();
    std::future<PlanServiceResponse> future = promise->get_future();
    asio::post(control, [promise, call = std::move(call)] {
      call(
          [promise](const PlanServiceResponse& it) { promise->set_value(it); });
    });
    const auto deadline = SteadyNow() + options.answer_timeout;
    while (future.wait_for(std::chrono::milliseconds(20)) !=
           std::future_status::ready) {
      if (stopping || SteadyNow() >= deadline) {
        response.status = 504;
        response.set_content(
            ErrorJson("unknown",
                      "no answer of the control thread in time; the request "
                      "may take effect"),
            kJson);
        return;
      }
    }
    const PlanServiceResponse result = future.get();
    response.status = HttpStatus(result.outcome);
    response.set_content(result.json, kJson);
  }

  void Configure() {
    server->new_task_queue = [] { return new httplib::ThreadPool(kThreads); };
    server->set_socket_options(SetSocketOptions);
    server->set_payload_max_length(options.max_body_bytes);
    server->set_read_timeout(kSocketTimeout);
    server->set_write_timeout(kSocketTimeout);
    server->set_keep_alive_timeout(kSocketTimeout.count());
    server->set_keep_alive_max_count(kRequestsPerConnection);
    server->set_pre_routing_handler(
        [this](const httplib::Request& request, httplib::Response& response) {
          return CheckRequest(request, response);
        });
    server->set_error_handler(
        [](const httplib::Request&, httplib::Response& response) {
          if (response.body.empty()) {
            response.set_content(
                ErrorJson("bad-request", LibraryErrorReason(response.status)),
                kJson);
          }
        });
    server->set_exception_handler([](const httplib::Request&,
                                     httplib::Response& response,
                                     const std::exception_ptr&) {
      response.status = 500;
      response.set_content(ErrorJson("unknown", "internal error"), kJson);
    });
  }

  httplib::Server::HandlerResponse CheckRequest(const httplib::Request& request,
                                                httplib::Response& response) {
    using enum httplib::Server::HandlerResponse;
    if (!options.token.empty() && !IsAuthorized(request, options.token)) {
      response.status = 401;
      response.set_header("WWW-Authenticate", "Bearer");
      response.set_content(ErrorJson("bad-request", "a valid token is needed"),
                           kJson);
      return Handled;
    }
    // Web pages cannot send this content type to another origin without a CORS
    // preflight request. This protects an API on loopback without a token.
    if (request.method == "POST" &&
        !request.get_header_value("Content-Type").starts_with(kJson)) {
      response.status = 415;
      response.set_content(
          ErrorJson("bad-request", "content-type must be application/json"),
          kJson);
      return Handled;
    }
    return Unhandled;
  }

  // Calls may run after this object is destroyed, so they refer only to the
  // service.
  void AddRoutes() {
    using httplib::Request;
    using httplib::Response;
    auto* plans = &service;
    server->Post(
        "/v1/plans", [this, plans](const Request& request, Response& out) {
          Respond(out, [plans,
                        body = request.body](const PlanServiceCallback& done) {
            done(plans->CreatePlan(body));
          });
        });
    server->Post(R"(/v1/plans/([0-9a-f]{32})/confirm)",
                 [this, plans](const Request& request, Response& out) {
                   Respond(out,
                           [plans, id = request.matches[1].str(),
                            body = request.body](PlanServiceCallback done) {
                             plans->Confirm(id, body, std::move(done));
                           });
                 });
    server->Get("/v1/status", [this, plans](const Request&, Response& out) {
      Respond(out, [plans](const PlanServiceCallback& done) {
        done(plans->Status());
      });
    });
    server->Get("/v1/history", [this, plans](const Request&, Response& out) {
      Respond(out, [plans](const PlanServiceCallback& done) {
        done(plans->History());
      });
    });
    server->Get("/metrics", [this](const Request&, Response& out) {
      const std::lock_guard lock(metrics_mutex);
      out.set_content(options.metrics ? options.metrics() : "",
                      "text/plain; version=0.0.4");
    });
  }

  // Creates the server object. Returns an error or an empty string.
  std::string Create() {
    if (options.tls_certificate.empty()) {
      server = std::make_unique<httplib::Server>();
      return "";
    }
    auto tls = std::make_unique<httplib::SSLServer>(
        options.tls_certificate.c_str(), options.tls_key.c_str());
    if (!tls->is_valid()) {
      return "cannot use TLS certificate " + options.tls_certificate.string() +
             " with key " + options.tls_key.string();
    }
    SSL_CTX_set_min_proto_version(tls->ssl_context(), TLS1_2_VERSION);
    server = std::move(tls);
    return "";
  }

  asio::io_context& control;
  const OperatorServerOptions options;
  control::PlanService& service;
  std::unique_ptr<httplib::Server> server;
  HttpServerThread thread;
  std::mutex metrics_mutex;
  std::atomic<bool> stopping{false};
  uint16_t port = 0;
};

OperatorServer::OperatorServer(asio::io_context& control,
                               OperatorServerOptions options,
                               control::PlanService& service)
    : impl_(std::make_unique<Impl>(control, std::move(options), service)) {}

OperatorServer::~OperatorServer() {
  impl_->stopping = true;
  impl_->thread.Stop();
}

std::string OperatorServer::Open() {
  if (std::string error = impl_->Create(); !error.empty()) {
    return error;
  }
  impl_->Configure();
  impl_->AddRoutes();
  const Endpoint& listen = impl_->options.listen;
  const std::string host = listen.address.ToString();
  std::string refusal = "cannot listen for operators on " + listen.ToString();
  int port = listen.port;
  if (port == 0) {
    port = impl_->server->bind_to_any_port(host);
  } else if (!impl_->server->bind_to_port(host, port)) {
    port = -1;
  }
  if (port <= 0) {
    return refusal;
  }
  impl_->port = static_cast<uint16_t>(port);
  if (const std::string error = impl_->thread.Start(*impl_->server);
      !error.empty()) {
    return refusal + ": " + error;
  }
  return "";
}

Endpoint OperatorServer::LocalEndpoint() const {
  return {impl_->options.listen.address, impl_->port};
}

}  // namespace marjoramhall::net
