// Guards against log lines that are not valid JSON, a log that blocks its
// callers, and dropped lines that are not counted.
#include "src/observe/decision_log.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <future>
#include <nlohmann/json.hpp>
#include <vector>

namespace marjoramhall::observe {
namespace {

using Json = nlohmann::json;

// Returns all lines of a log, including those that its destructor writes.
std::vector<Json> LinesOf(DecisionLogOptions options,
                          const std::function<void(DecisionLog&)>& use) {
  std::vector<Json> lines;
  options.sink = [&](std::string_view line) {
    lines.push_back(Json::parse(line));
  };
  {
    DecisionLog log(std::move(options));
    EXPECT_EQ(log.Open(), "");
    use(log);
  }
  return lines;
}

TEST(DecisionLogTest, WritesOneObjectWithOnlySetFields) {
  Decision decision;
  decision.kind = DecisionKind::kRefuseRequest;
  decision.subject = 0xabc;
  decision.service = static_cast<ServiceId>(3);
  decision.revision = 9;
  decision.outcome = "refused";
  decision.reason = "overload";
  DecisionLogOptions options;
  options.vm = "vm-\"1\"";
  const auto lines =
      LinesOf(options, [&](DecisionLog& log) { log.Hook()(decision); });
  ASSERT_EQ(lines.size(), 1U);
  Json line = lines[0];
  EXPECT_EQ(line["time"].get<std::string>().size(), 27U);
  line.erase("time");
  EXPECT_EQ(line, Json::parse(R"({"level": "warning", "vm": "vm-\"1\"",
      "kind": "refuse-request", "service": 3, "subject": "0000000000000abc",
      "revision": 9, "outcome": "refused", "reason": "overload"})"));
}

RC_GTEST_PROP(DecisionLogTest, AnyMessageBecomesOneJsonLine, ()) {
  const auto text = *rc::gen::nonEmpty(
      rc::gen::container<std::string>(rc::gen::inRange<char>('\x00', '\x7f')));
  const auto lines = LinesOf(
      {}, [&](DecisionLog& log) { log.WriteMessage(LogLevel::kError, text); });
  RC_ASSERT(lines.size() == 1U);
  if (std::all_of(text.begin(), text.end(), [](char c) { return c >= 0; })) {
    RC_ASSERT(lines[0]["detail"] == text);
  }
}

TEST(DecisionLogTest, FullQueueDropsAndCountsWithoutBlocking) {
  constexpr int kLines = 1000;
  std::promise<void> release;
  std::shared_future<void> released = release.get_future().share();
  std::vector<Json> lines;
  DecisionLogOptions options;
  options.queue_lines = 8;
  options.sink = [&](std::string_view line) {
    released.wait();
    lines.push_back(Json::parse(line));
  };
  uint64_t dropped = 0;
  {
    DecisionLog log(std::move(options));
    ASSERT_EQ(log.Open(), "");
    for (int i = 0; i < kLines; ++i) {
      log.Write({});  // would not return if it waited for the blocked sink
    }
    dropped = log.DroppedLines();
    release.set_value();
  }
  EXPECT_GE(dropped, kLines - 8U - 1U);
  uint64_t written = 0;
  uint64_t reported = 0;
  for (const Json& it : lines) {
    if (it["kind"] == "log-dropped") {
      reported += it["count"].get<uint64_t>();
    } else {
      ++written;
    }
  }
  EXPECT_GE(reported, dropped);
  EXPECT_LE(written + reported, uint64_t{kLines});
  EXPECT_GE(written + reported, kLines - 2U);
}

TEST(DecisionLogTest, LogsOnlySelectedDecisions) {
  const std::pair<DecisionLogging, size_t> cases[] = {
      {DecisionLogging::kAll, 2},
      {DecisionLogging::kRare, 1},
      {DecisionLogging::kNone, 0}};
  for (const auto& [selection, expected] : cases) {
    DecisionLogOptions options;
    options.decisions = selection;
    const auto lines = LinesOf(options, [](DecisionLog& log) {
      Decision decision;
      decision.kind = DecisionKind::kRouteFlow;
      log.Write(decision);
      decision.kind = DecisionKind::kMembership;
      log.Write(decision);
      log.WriteMessage(LogLevel::kDebug, "hidden");
    });
    EXPECT_EQ(lines.size(), expected) << NameOf(selection);
  }
}

TEST(DecisionLogTest, OpenErrorNamesThePath) {
  DecisionLogOptions options;
  options.path = "/proc/none/x.log";
  DecisionLog log(options);
  EXPECT_NE(log.Open().find("/proc/none/x.log"), std::string::npos);
  log.Write({});
}

}  // namespace
}  // namespace marjoramhall::observe
