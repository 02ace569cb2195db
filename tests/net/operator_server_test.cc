// Guards against an operator API that works without a token, accepts oversized
// or malformed input, or hangs while the control thread is blocked.
#include "src/net/operator_server.h"

#include <gtest/gtest.h>
#include <openssl/pem.h>
#include <openssl/x509.h>

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <cstdio>
#include <thread>

#include "src/net/http_library.h"
#include "tests/control/plan_service_cluster.h"

namespace marjoramhall::net {
namespace {

constexpr char kToken[] = "a token of 16 bytes or more";
constexpr char kJson[] = "application/json";

// A plan service on a control thread, served on a loopback port.
class OperatorServerTest : public testing::Test {
 protected:
  ~OperatorServerTest() override { Stop(); }

  void Start(OperatorServerOptions options) {
    options.listen = settings::Loopback(0);
    options.metrics = [] { return "up 1\n"; };
    server_ = std::make_unique<OperatorServer>(io_, options, world_.vm(0));
    ASSERT_EQ(server_->Open(), "");
    thread_ = std::thread([this] { io_.run(); });
  }

  void Stop() {
    server_.reset();
    io_.stop();
    if (thread_.joinable()) {
      thread_.join();
    }
  }

  httplib::Client ClientWith(const std::string& token) {
    httplib::Client client("127.0.0.1", server_->LocalEndpoint().port);
    if (!token.empty()) {
      client.set_bearer_token_auth(token);
    }
    return client;
  }

  control::PlanServiceCluster world_{1};
  asio::io_context io_;
  asio::executor_work_guard<asio::io_context::executor_type> work_{
      io_.get_executor()};
  std::unique_ptr<OperatorServer> server_;
  std::thread thread_;
};

TEST_F(OperatorServerTest, EndsWhenDestroyedRightAfterOpen) {
  for (int i = 0; i < 200; ++i) {
    OperatorServerOptions options;
    options.listen = settings::Loopback(0);
    OperatorServer server(io_, options, world_.vm(0));
    ASSERT_EQ(server.Open(), "");
  }
}

TEST_F(OperatorServerTest, EveryPathRequiresTheToken) {
  OperatorServerOptions options;
  options.token = settings::Secret(kToken);
  Start(options);
  for (const std::string token : {"", "wrong", "a token of 16 bytes or morf"}) {
    auto client = ClientWith(token);
    for (const char* path : {"/v1/status", "/v1/history", "/metrics", "/x"}) {
      EXPECT_EQ(client.Get(path)->status, 401) << path;
    }
    EXPECT_EQ(client.Post("/v1/plans", "{}", kJson)->status, 401);
  }
  auto client = ClientWith(kToken);
  EXPECT_EQ(client.Get("/v1/status")->status, 200);
  EXPECT_EQ(client.Get("/metrics")->body, "up 1\n");
  EXPECT_EQ(client.Get("/x")->status, 404);
}

TEST_F(OperatorServerTest, PlansAndConfirmsOverHttp) {
  world_.immediate = true;
  Start({});
  auto client = ClientWith("");
  const auto body = control::PlanBody("ana", control::Drain("long-0"));
  const auto plan = client.Post("/v1/plans", body, kJson);
  ASSERT_EQ(plan->status, 200);
  const std::string id = control::TestJson::parse(plan->body)["plan_id"];
  const auto confirmed =
      client.Post("/v1/plans/" + id + "/confirm", plan->body, kJson);
  EXPECT_EQ(confirmed->status, 200) << confirmed->body;
  EXPECT_EQ(control::TestJson::parse(confirmed->body)["revision"], 2);
  EXPECT_EQ(client.Get("/v1/history")->status, 200);
}

TEST_F(OperatorServerTest, MalformedAndOversizedInputIsRejected) {
  OperatorServerOptions options;
  options.max_body_bytes = 2000;
  Start(options);
  auto client = ClientWith("");
  EXPECT_EQ(client.Post("/v1/plans", "{", kJson)->status, 400);
  EXPECT_EQ(client.Post("/v1/plans", "{}", "text/plain")->status, 415);
  const std::string large(3000, ' ');
  EXPECT_EQ(client.Post("/v1/plans", large, kJson)->status, 413);
  EXPECT_EQ(client.Post("/v1/plans/zz/confirm", "{}", kJson)->status, 404);
  const std::string unknown = "/v1/plans/" + std::string(32, 'a') + "/confirm";
  EXPECT_EQ(client.Post(unknown, "", kJson)->status, 400);
  const auto refused = client.Post(
      "/v1/plans", control::PlanBody("a", control::Drain("none")), kJson);
  EXPECT_EQ(refused->status, 409);
}

TEST_F(OperatorServerTest, BlockedControlThreadIsReportedAsUnknown) {
  OperatorServerOptions options;
  options.answer_timeout = std::chrono::milliseconds(50);
  Start(options);
  io_.stop();
  thread_.join();
  auto client = ClientWith("");
  const auto response = client.Get("/v1/status");
  EXPECT_EQ(response->status, 504);
  EXPECT_EQ(client.Get("/metrics")->status, 200);
  // The call runs after the server is destroyed and must not access it.
  server_.reset();
  io_.restart();
  EXPECT_EQ(io_.poll(), 1U);
}

TEST_F(OperatorServerTest, OpenErrorNamesTheAddressInUse) {
  Start({});
  OperatorServerOptions options;
  options.listen = server_->LocalEndpoint();
  OperatorServer second(io_, options, world_.vm(0));
  EXPECT_EQ(second.Open(),
            "cannot listen for operators on " + options.listen.ToString());
}

// Writes a self-signed certificate and its key.
void WriteCertificate(const std::string& certificate, const std::string& key) {
  EVP_PKEY* pair = EVP_RSA_gen(2048);
  X509* x509 = X509_new();
  ASN1_INTEGER_set(X509_get_serialNumber(x509), 1);
  X509_gmtime_adj(X509_getm_notBefore(x509), 0);
  X509_gmtime_adj(X509_getm_notAfter(x509), 3600);
  X509_set_pubkey(x509, pair);
  X509_sign(x509, pair, EVP_sha256());
  std::FILE* out = std::fopen(certificate.c_str(), "w");
  PEM_write_X509(out, x509);
  std::fclose(out);
  out = std::fopen(key.c_str(), "w");
  PEM_write_PrivateKey(out, pair, nullptr, nullptr, 0, nullptr, nullptr);
  std::fclose(out);
  X509_free(x509);
  EVP_PKEY_free(pair);
}

TEST_F(OperatorServerTest, AcceptsOnlyTlsWithACertificate) {
  OperatorServerOptions options;
  options.tls_certificate = testing::TempDir() + "intent_server_test.pem";
  options.tls_key = testing::TempDir() + "intent_server_test.key";
  WriteCertificate(options.tls_certificate, options.tls_key);
  Start(options);
  httplib::SSLClient client("127.0.0.1", server_->LocalEndpoint().port);
  client.enable_server_certificate_verification(false);
  const auto response = client.Get("/v1/status");
  ASSERT_TRUE(response);
  EXPECT_EQ(response->status, 200);
  EXPECT_FALSE(ClientWith("").Get("/v1/status"));
  std::remove(options.tls_key.c_str());
  OperatorServer keyless(io_, options, world_.vm(0));
  EXPECT_NE(keyless.Open().find("intent_server_test.key"), std::string::npos);
  std::remove(options.tls_certificate.c_str());
}

}  // namespace
}  // namespace marjoramhall::net
