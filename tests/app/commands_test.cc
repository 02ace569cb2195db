// Guards against commands with wrong exit codes, results on the wrong stream,
// and incomplete help.
#include "src/app/commands.h"

#include <gtest/gtest.h>

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <fstream>
#include <sstream>
#include <thread>

#include "src/net/operator_server.h"
#include "tests/control/plan_service_cluster.h"

namespace marjoramhall::app {
namespace {

using control::TestJson;

constexpr Command kCommands[] = {
    {"check", "", RunCheck}, {"status", "", RunStatus},
    {"plan", "", RunPlan},   {"confirm", "", RunConfirm},
    {"drain", "", RunDrain}, {"version", "", RunVersion}};

struct Result {
  int code;
  std::string out;
  std::string err;
};

Result RunMain(const std::vector<std::string>& arguments) {
  std::ostringstream out;
  std::ostringstream err;
  const int code = RunCommand(kCommands, arguments, {out, err});
  return {code, out.str(), err.str()};
}

std::string WriteFile(const std::string& name, const std::string& text) {
  std::string path = testing::TempDir() + "commands_test_" + name;
  std::ofstream(path) << text;
  return path;
}

TEST(CommandsTest, HelpGoesToStandardOutputAndUsageErrorsDoNot) {
  for (const Command& it : kCommands) {
    const Result help = RunMain({it.name, "--help"});
    EXPECT_EQ(help.code, kExitOk);
    EXPECT_TRUE(
        help.out.starts_with("usage: marjoramhall " + std::string(it.name)))
        << help.out;
    const Result unknown = RunMain({it.name, "--colour"});
    EXPECT_EQ(unknown.code, kExitUsage) << it.name;
    EXPECT_EQ(unknown.out, "");
    EXPECT_NE(unknown.err.find("usage: marjoramhall"), std::string::npos);
  }
  EXPECT_EQ(RunMain({"--help"}).code, kExitOk);
  EXPECT_EQ(RunMain({}).code, kExitUsage);
  EXPECT_EQ(RunMain({"fly"}).code, kExitUsage);
  EXPECT_NE(RunMain({"drain", "-h"}).out.find("  -s, --settings FILE "),
            std::string::npos);
}

TEST(CommandsTest, CheckReportsEveryError) {
  const std::string deployment = WriteFile(
      "deployment.json", R"({"domains": [{"name": "a"}, {"name": "a"}]})");
  const std::string file =
      WriteFile("faulty.ini",
                "[vm]\nname = a\n[flow]\nidle_timeout = 5\ncolour = 1\n"
                "[control]\ndeployment = " +
                    deployment + "\n");
  const Result result = RunMain({"check", file});
  EXPECT_EQ(result.code, kExitUsage);
  EXPECT_EQ(result.out, "");
  for (const char* it : {"failure_domain", ":4: [flow] idle_timeout",
                         ":5: [flow] colour", "another failure domain"}) {
    EXPECT_NE(result.err.find(it), std::string::npos) << result.err;
  }
  const TestJson json = TestJson::parse(RunMain({"check", "--json", file}).out);
  EXPECT_EQ(json["valid"], false);
  EXPECT_EQ(json["errors"].size(), 4U);
}

TEST(CommandsTest, UnreachableVmHasItsOwnExitCode) {
  const Result result = RunMain({"status", "--url", "http://127.0.0.1:1"});
  EXPECT_EQ(result.code, kExitUnreachable);
  EXPECT_EQ(result.out, "");
}

// Runs commands against the operator API of a VM.
class CommandsAgainstVmTest : public testing::Test {
 protected:
  CommandsAgainstVmTest() {
    cluster_.immediate = true;
    net::OperatorServerOptions options;
    options.listen = settings::Loopback(0);
    options.token = settings::Secret("0123456789abcdef");
    server_ =
        std::make_unique<net::OperatorServer>(io_, options, cluster_.vm(0));
    EXPECT_EQ(server_->Open(), "");
    thread_ = std::thread([this] { io_.run(); });
    token_file_ = WriteFile("token", "0123456789abcdef\n");
  }
  ~CommandsAgainstVmTest() override {
    server_.reset();
    io_.stop();
    thread_.join();
  }

  Result RunWithVm(std::vector<std::string> arguments) {
    for (const std::string& it :
         {std::string("--url"), "http://" + server_->LocalEndpoint().ToString(),
          std::string("--token-file"), token_file_}) {
      arguments.push_back(it);
    }
    return RunMain(arguments);
  }

  control::PlanServiceCluster cluster_{1};
  asio::io_context io_;
  asio::executor_work_guard<asio::io_context::executor_type> work_{
      io_.get_executor()};
  std::unique_ptr<net::OperatorServer> server_;
  std::thread thread_;
  std::string token_file_;
};

TEST_F(CommandsAgainstVmTest, DrainPrintsThePlanAndConfirmsItWithYes) {
  const Result planned = RunWithVm({"drain", "long-0", "--author", "ana"});
  EXPECT_EQ(planned.code, kExitOk) << planned.err;
  EXPECT_NE(planned.out.find("~ drain target long-0"), std::string::npos);
  EXPECT_NE(planned.out.find("not confirmed"), std::string::npos);
  EXPECT_EQ(cluster_.head().revision, 1U);
  const Result confirmed =
      RunWithVm({"drain", "long-0", "--yes", "--reason", "disk"});
  EXPECT_EQ(confirmed.code, kExitOk) << confirmed.err;
  EXPECT_NE(confirmed.out.find("in force as revision 2"), std::string::npos);
  EXPECT_EQ(cluster_.head().history.back().reason, "disk");
  EXPECT_EQ(RunWithVm({"drain", "long-0", "--yes"}).code, kExitRefused);
  EXPECT_EQ(RunWithVm({"drain", "none"}).code, kExitRefused);
  EXPECT_EQ(RunWithVm({"drain", "long-0", "--undo", "--yes"}).code, kExitOk);
}

TEST_F(CommandsAgainstVmTest, SavedPlanTakesEffectOnce) {
  const std::string operations =
      WriteFile("operations.json",
                R"([{"op": "set-weight", "name": "short-1", "weight": 7}])");
  const std::string saved = WriteFile("plan.json", "");
  const Result plan = RunWithVm({"plan", operations, "--out", saved});
  EXPECT_EQ(plan.code, kExitOk) << plan.err;
  for (int i = 0; i < 2; ++i) {
    const Result confirmed = RunWithVm({"confirm", saved});
    EXPECT_EQ(confirmed.code, kExitOk) << confirmed.err;
    EXPECT_NE(confirmed.out.find("revision 2"), std::string::npos);
  }
  const Result outdated = RunWithVm({"plan", operations, "--base", "1"});
  EXPECT_EQ(outdated.code, kExitRefused);
  EXPECT_EQ(RunWithVm({"confirm", operations}).code, kExitUsage);
  const std::string faulty = WriteFile("faulty.json", R"([{"op": "fly"}])");
  EXPECT_EQ(RunWithVm({"plan", faulty}).code, kExitUsage);
}

TEST_F(CommandsAgainstVmTest, PrintsStatusAndHistoryAsTextAndJson) {
  const Result status = RunWithVm({"status"});
  EXPECT_EQ(status.code, kExitOk) << status.err;
  EXPECT_NE(status.out.find("service long at 10.0.0.204:443"),
            std::string::npos)
      << status.out;
  const TestJson json = TestJson::parse(RunWithVm({"status", "--json"}).out);
  EXPECT_EQ(json["revision"], 1);
  EXPECT_NE(
      RunWithVm({"status", "--history"}).out.find("create the deployment"),
      std::string::npos);
  token_file_ = WriteFile("wrong_token", "fedcba9876543210\n");
  EXPECT_EQ(RunWithVm({"status"}).code, kExitRefused);
}

}  // namespace
}  // namespace marjoramhall::app
