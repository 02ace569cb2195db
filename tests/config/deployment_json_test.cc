// Guards against a deployment that differs after a round trip through JSON, and
// against invalid JSON that is accepted or reported without the path.
#include "src/config/deployment_json.h"

#include "tests/config/deployment_generators.h"

namespace marjoramhall::config {
namespace {

std::string ErrorOf(std::string_view text) {
  std::string error = "accepted";
  EXPECT_FALSE(FromJson(text, &error)) << text;
  return error;
}

RC_GTEST_PROP(DeploymentJsonTest, RoundTripsThroughJson, ()) {
  const Deployment deployment = RandomDeployment();
  std::string error;
  const auto read = FromJson(ToJson(deployment), &error);
  RC_ASSERT(error.empty());
  RC_ASSERT(read == deployment);
}

RC_GTEST_PROP(DeploymentJsonTest, TruncatedTextIsRejected, ()) {
  const std::string text = ToJson(RandomDeployment());
  const auto size = *rc::gen::inRange<size_t>(0, text.size());
  std::string error;
  RC_ASSERT(!FromJson(text.substr(0, size), &error));
  RC_ASSERT(!error.empty());
}

TEST(DeploymentJsonTest, ReportsEveryErrorWithItsPath) {
  const std::string error = ErrorOf(R"({"colour": 1, "services": [
      {"name": "a", "flow_address": "10.0.0.1", "host": "h", "targets": [
        {"name": 7, "domain": "d", "flow_endpoint": "10.0.0.1:1",
         "request_endpoint": "10.0.0.1:2", "slots": -1}]}]})");
  for (const char* it :
       {"colour: unknown key", "services[0].flow_address: expected IP:PORT",
        "services[0].targets[0].name: expected a string",
        "services[0].targets[0].slots: expected a whole number"}) {
    EXPECT_NE(error.find(it), std::string::npos) << error;
  }
}

TEST(DeploymentJsonTest, RejectsDuplicateKeys) {
  const std::string error =
      ErrorOf(R"({"domains": [{"name": "a"}, {"name": "b", "name": "c"}]})");
  EXPECT_EQ(error, "domains[1].name: duplicate key");
}

TEST(DeploymentJsonTest, RejectsHostileDocuments) {
  ErrorOf("");
  ErrorOf("[]");
  ErrorOf("null");
  ErrorOf(std::string(100000, '['));
  ErrorOf(std::string(100000, '[') + std::string(100000, ']'));
  ErrorOf(R"({"lineage": "\ud800"})");
  ErrorOf("{\"lineage\": \"\xff\"}");
  ErrorOf(R"({"revision": 1e400})");
  ErrorOf(R"({"revision": 18446744073709551616})");
}

TEST(DeploymentJsonTest, LargeDeploymentFitsIntoOneStoreValue) {
  Deployment deployment;
  for (uint32_t i = 0; i < 2100; ++i) {
    Service service;
    service.id = static_cast<ServiceId>(i + 1);
    service.name = "service-" + std::to_string(i);
    service.host = service.name + ".example";
    service.kinds.resize(1);
    service.kinds[0].name = "all";
    deployment.services.push_back(service);
  }
  for (uint32_t i = 0; i < 3800; ++i) {
    Target target;
    target.id = static_cast<TargetId>(i + 1);
    target.name = "target-" + std::to_string(i);
    target.domain = "uy-sur-a";
    target.flow_endpoint = {IpAddress::FromV4(0x0a000000 + i), 6080};
    target.request_endpoint = {IpAddress::FromV4(0x0a000000 + i), 8080};
    target.slots = 3;
    deployment.services[i % 2100].targets.push_back(target);
  }
  EXPECT_LT(ToJson(deployment).size(), kMaxDeploymentJsonBytes);
}

}  // namespace
}  // namespace marjoramhall::config
