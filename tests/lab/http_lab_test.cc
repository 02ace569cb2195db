// Tests of the load generator and the stand-in targets over loopback sockets:
// first directly against each other, then through VMs that run the real request
// plane.
#include <gtest/gtest.h>

#include <map>
#include <random>

#include <asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include "lab/http_body.h"
#include "lab/http_commands.h"
#include "lab/http_load.h"
#include "lab/http_load_verify.h"
#include "lab/http_target_group.h"
#include "src/net/request_proxy.h"

namespace marjoramhall::lab {
namespace {

Endpoint Loopback(uint16_t port) {
  return {IpAddress::FromV4(0x7f000001), port};
}

class HttpLabTest : public ::testing::Test {
 protected:
  ~HttpLabTest() override {
    for (const auto& it : group_.targets()) {
      it->Kill();
    }
    paths_.clear();
    io_.restart();
    io_.run_for(std::chrono::milliseconds(20));
  }

  void AddTargets(int count, StandInOptions options) {
    options.listen = Loopback(0);
    for (int i = 1; i <= count; ++i) {
      options.name = "t" + std::to_string(i);
      options.seed = static_cast<uint64_t>(i);
      ASSERT_EQ(group_.Add(options), "");
    }
  }

  config::DeploymentPtr MakeDeployment() const {
    auto out = std::make_shared<config::Deployment>();
    out->lineage = "lab";
    out->revision = 1;
    out->domains = {{"a", "r"}};
    config::Service service;
    service.id = ServiceId{1};
    service.name = "yardbook";
    service.host = "yardbook.test";
    config::RequestKind pulls;
    pulls.name = "pulls";
    pulls.method = "GET";
    pulls.idempotent = true;
    config::RequestKind quotes;
    quotes.name = "quotes";
    service.kinds = {pulls, quotes};
    uint32_t id = 0;
    for (const auto& it : group_.targets()) {
      config::Target target;
      target.id = TargetId{++id};
      target.name = it->options().name;
      target.domain = "a";
      target.request_endpoint = it->local_endpoint();
      target.slots = it->options().slots;
      service.targets.push_back(target);
    }
    out->services = {service};
    return out;
  }

  // Starts VMs that exchange peer messages through the io_context and share one
  // table of key ranges.
  void StartVms(int count) {
    for (int i = 1; i <= count; ++i) {
      const VmId self{static_cast<uint64_t>(i)};
      net::RequestProxyOptions options;
      options.listen = Loopback(0);
      options.self = self;
      options.incarnation = 1;
      options.seed = static_cast<uint64_t>(i);
      options.record_ranges =
          [this, i](const std::vector<request::KeyRangeRecord>& records) {
            RecordRanges(i, records);
          };
      options.read_ranges = [this, i] {
        paths_[i - 1]->PostRangeStoreReply(true, RangeRecords());
      };
      paths_.push_back(std::make_unique<net::RequestProxy>(
          io_, options,
          [this, self](VmId to, PeerChannel, std::string payload) {
            const uint64_t index = ToInteger(to) - 1;
            if (index < paths_.size()) {
              paths_[index]->PostPeerMessage(self, std::move(payload));
            }
          },
          [](const Decision&) {}));
      ASSERT_EQ(paths_.back()->Open(), "");
    }
    PublishMembers(count, config::MemberState::kAlive);
    io_.restart();
    io_.run_for(std::chrono::milliseconds(500));
  }

  // Publishes VMs 1 to `count` as the members, the last one in state `last`.
  void PublishMembers(int count, config::MemberState last) {
    for (size_t i = 1; i <= paths_.size(); ++i) {
      auto view = std::make_shared<config::ControlView>();
      view->number = ++last_view_number_;
      view->self = VmId{i};
      view->deployment = MakeDeployment();
      for (int k = 1; k <= count; ++k) {
        config::Member member;
        member.id = VmId{static_cast<uint64_t>(k)};
        member.name = "vm" + std::to_string(k);
        member.domain = "a";
        member.incarnation = 1;
        member.revision = 1;
        member.state = k == count ? last : config::MemberState::kAlive;
        view->members.push_back(member);
      }
      paths_[i - 1]->PostView(view);
    }
  }

  void RecordRanges(int vm,
                    const std::vector<request::KeyRangeRecord>& records) {
    bool ok = true;
    for (const auto& it : records) {
      const auto known = ranges_.find(it.range);
      const uint64_t epoch = known == ranges_.end() ? 0 : known->second.epoch;
      ok = ok && (epoch + 1 == it.epoch ||
                  (known != ranges_.end() && known->second == it));
    }
    for (const auto& it : records) {
      if (ok) {
        ranges_[it.range] = it;
      }
    }
    paths_[vm - 1]->PostRangeStoreReply(ok, ok ? records : RangeRecords());
  }

  std::vector<request::KeyRangeRecord> RangeRecords() const {
    std::vector<request::KeyRangeRecord> out;
    for (const auto& [range, it] : ranges_) {
      out.push_back(it);
    }
    return out;
  }

  // Load of 70 % pulls (idempotent) and 30 % quotes (with idempotency keys).
  LoadOptions MixedLoad(std::vector<Endpoint> vms) const {
    LoadOptions out;
    out.vms = std::move(vms);
    LoadKind pulls;
    pulls.name = "pulls";
    pulls.host = "yardbook.test";
    pulls.service = "yardbook";
    pulls.share = 0.7;
    LoadKind quotes = pulls;
    quotes.name = "quotes";
    quotes.method = "POST";
    quotes.keyed = true;
    quotes.body_bytes = 300;
    quotes.share = 0.3;
    out.kinds = {pulls, quotes};
    out.requests_per_second = 300;
    out.run_time = std::chrono::milliseconds(600);
    out.connections_per_vm = 2;
    return out;
  }

  std::vector<Endpoint> VmAddresses() const {
    std::vector<Endpoint> out;
    for (const auto& it : paths_) {
      out.push_back(it->local_endpoint());
    }
    return out;
  }

  LoadReport RunLoad(const LoadOptions& options,
                     const std::function<void()>& during_load = {}) {
    LoadGenerator load(io_, options);
    bool done = false;
    load.Start([&] { done = true; });
    bool fault_injected = false;
    for (int i = 0; i < 10'000 && !done; ++i) {
      io_.restart();
      io_.run_for(std::chrono::milliseconds(10));
      if (during_load && !fault_injected &&
          group_.execution_counts().by_key.size() > 20) {
        fault_injected = true;
        during_load();
      }
    }
    EXPECT_TRUE(done);
    LoadReport report = std::move(load.report());
    report.executions = VerifyExecutions(
        io_, {group_.targets()[0]->local_endpoint()}, load.not_run_ids());
    return report;
  }

  static KindReport TotalOf(const LoadReport& report) {
    KindReport out = report.kinds[0];
    out.requests += report.kinds[1].requests;
    out.answered += report.kinds[1].answered;
    out.refused += report.kinds[1].refused;
    out.lost += report.kinds[1].lost;
    return out;
  }

  asio::io_context io_;
  TargetGroup group_{io_};
  std::vector<std::unique_ptr<net::RequestProxy>> paths_;
  std::map<uint32_t, request::KeyRangeRecord> ranges_;
  uint64_t last_view_number_ = 0;
};

// Guards against a pattern that repeats at another offset or in another
// request, which would hide mixed-up answers.
TEST(PatternBodyTest, DetectsShiftedBytesAndOtherRequests) {
  const PatternBody body("a.1");
  const std::string bytes = body.Bytes(5, 40);
  EXPECT_TRUE(body.Matches(5, bytes));
  EXPECT_FALSE(body.Matches(6, bytes));
  EXPECT_FALSE(PatternBody("a.2").Matches(5, bytes));
}

// Guards against counts of the load generator that differ from those of the
// targets when every request is answered.
TEST_F(HttpLabTest, LoadGeneratorAndTargetCountsAgree) {
  StandInOptions options;
  options.service = "yardbook";
  options.slots = 100;
  options.median_service_time = std::chrono::milliseconds(1);
  AddTargets(2, options);
  const LoadReport report =
      RunLoad(MixedLoad({group_.targets()[0]->local_endpoint(),
                         group_.targets()[1]->local_endpoint()}));
  const KindReport sum = TotalOf(report);
  EXPECT_GT(sum.requests, 0u);
  EXPECT_EQ(sum.answered, sum.requests);
  EXPECT_EQ(report.executions.executed, sum.requests);
  EXPECT_FALSE(report.Failed());
  EXPECT_FALSE(nlohmann::json::parse(report.ToJson()).empty());
}

// Guards against counting an unreachable VM as a failed request: the load
// generator has to use another VM without any failed submission.
TEST_F(HttpLabTest, LoadGeneratorUsesAnotherVmWhenOneIsUnreachable) {
  StandInOptions options;
  options.service = "yardbook";
  options.slots = 100;
  options.median_service_time = std::chrono::milliseconds(1);
  AddTargets(2, options);
  const Endpoint gone = group_.targets()[1]->local_endpoint();
  group_.targets()[1]->Kill();
  const LoadReport report =
      RunLoad(MixedLoad({gone, group_.targets()[0]->local_endpoint()}));
  const KindReport sum = TotalOf(report);
  EXPECT_GT(sum.requests, 0u);
  EXPECT_EQ(sum.answered, sum.requests);
  EXPECT_TRUE(report.kinds[0].end_counts.empty()) << report.ToTable();
}

// Guards against a load generator that accepts answers of another service.
TEST_F(HttpLabTest, LoadGeneratorDetectsWrongService) {
  StandInOptions options;
  options.service = "sitepics";
  options.slots = 100;
  options.median_service_time = std::chrono::milliseconds(1);
  AddTargets(1, options);
  const LoadReport report =
      RunLoad(MixedLoad({group_.targets()[0]->local_endpoint()}));
  EXPECT_EQ(report.kinds[0].misrouted, report.kinds[0].requests);
  EXPECT_TRUE(report.Failed());
}

// Guards against a stand-in target that runs more requests than it has slots,
// or that counts shed requests wrongly.
TEST_F(HttpLabTest, SlotsQueueAndSheddingAreCounted) {
  StandInOptions options;
  options.service = "yardbook";
  options.slots = 1;
  options.queue_limit = 1;
  options.median_service_time = std::chrono::milliseconds(50);
  AddTargets(1, options);
  LoadOptions load = MixedLoad({group_.targets()[0]->local_endpoint()});
  load.max_resubmits = 0;
  const LoadReport report = RunLoad(load);
  const StandInCounts& counts = group_.targets()[0]->counts();
  EXPECT_EQ(counts.peak_running, 1u);
  EXPECT_GT(counts.shed, 0u);
  EXPECT_EQ(counts.shed + counts.executed, TotalOf(report).requests);
}

TEST_F(HttpLabTest, ServesControlPathsAndReports) {
  StandInOptions options;
  AddTargets(2, options);
  const Endpoint at = group_.targets()[0]->local_endpoint();
  const auto health = [&] {
    return FetchBody(io_, at, "POST", "/lab/control?target=t1&health=bad", "");
  };
  EXPECT_EQ(health(), R"({"error":""})");
  EXPECT_EQ(FetchBody(io_, at, "POST", "/lab/control?target=t9&drain=1", ""),
            R"({"error":"no target \"t9\""})");
  EXPECT_EQ(FetchBody(io_, at, "GET", "/load", ""),
            R"({"running":0,"waiting":0,"slots":3})");
  EXPECT_EQ(FetchBody(io_, at, "POST", "/lab/control?target=t2&kill=1", ""),
            R"({"error":""})");
  EXPECT_EQ(
      FetchBody(io_, group_.targets()[1]->local_endpoint(), "GET", "/load", ""),
      "");
}

// Guards against duplicate execution when a target dies under load: no request
// may run twice, no answer may be wrong, and no request may run that was
// refused as not run.
TEST_F(HttpLabTest, NothingRunsTwiceWhenATargetIsKilled) {
  StandInOptions options;
  options.service = "yardbook";
  options.median_service_time = std::chrono::milliseconds(4);
  AddTargets(4, options);
  StartVms(2);
  const LoadReport report = RunLoad(MixedLoad(VmAddresses()),
                                    [this] { group_.targets()[3]->Kill(); });
  const KindReport sum = TotalOf(report);
  EXPECT_FALSE(report.Failed()) << report.ToTable();
  EXPECT_EQ(sum.answered + sum.refused + sum.lost, sum.requests);
  EXPECT_GT(sum.answered, 0u);
  EXPECT_TRUE(report.executions.complete);
}

// Guards against requests that are cut off when a VM leaves as planned: each
// one is answered, if need be by the other VM, and no connection is lost.
TEST_F(HttpLabTest, PlannedStopOfAVmLosesNoRequest) {
  StandInOptions options;
  options.service = "yardbook";
  options.median_service_time = std::chrono::milliseconds(4);
  AddTargets(4, options);
  StartVms(2);
  bool stopped = false;
  const LoadReport report = RunLoad(MixedLoad(VmAddresses()), [&] {
    PublishMembers(2, config::MemberState::kLeaving);
    paths_[1]->PostStop([&] {
      stopped = true;
      PublishMembers(1, config::MemberState::kAlive);
    });
  });
  EXPECT_FALSE(report.Failed()) << report.ToTable();
  EXPECT_EQ(TotalOf(report).lost, 0u) << report.ToTable();
  EXPECT_EQ(TotalOf(report).refused, 0u) << report.ToTable();
  for (const KindReport& it : report.kinds) {
    EXPECT_EQ(it.end_counts.count("connection-loss"), 0u) << report.ToTable();
    EXPECT_EQ(it.end_counts.count("answer-cut"), 0u) << report.ToTable();
  }
  for (int i = 0; i < 1000 && !stopped; ++i) {
    io_.restart();
    io_.run_for(std::chrono::milliseconds(10));
  }
  EXPECT_TRUE(stopped);
}

// Guards against duplicate execution and false "not run" refusals while random
// targets are killed, restarted, drained or slowed down, or reset streams with
// REFUSED_STREAM.
TEST_F(HttpLabTest, NothingRunsTwiceUnderRandomTargetFaults) {
  StandInOptions options;
  options.service = "yardbook";
  options.median_service_time = std::chrono::milliseconds(4);
  options.straggler_share = 0.02;
  AddTargets(5, options);
  StartVms(3);
  std::mt19937 random(20261204);
  const std::vector<std::string> faults = {"kill=1",   "revive=1", "refuse=1",
                                           "refuse=0", "drain=1",  "drain=0",
                                           "slow=20",  "slow=1"};
  bool stop = false;
  // The first target stays up, so that VerifyExecutions() can query it.
  const auto inject_fault = [&] {
    const std::string target = "t" + std::to_string(2 + random() % 4);
    EXPECT_EQ(group_.ApplyControlQuery("target=" + target + "&" +
                                       faults[random() % faults.size()]),
              "");
  };
  LoadOptions load = MixedLoad(VmAddresses());
  load.run_time = std::chrono::milliseconds(1500);
  LoadGenerator load_generator(io_, load);
  load_generator.Start([&] { stop = true; });
  for (int i = 0; i < 2000 && !stop; ++i) {
    io_.restart();
    io_.run_for(std::chrono::milliseconds(10));
    if (i % 3 == 0) {
      inject_fault();
    }
  }
  ASSERT_TRUE(stop);
  LoadReport& report = load_generator.report();
  report.executions =
      VerifyExecutions(io_, {group_.targets()[0]->local_endpoint()},
                       load_generator.not_run_ids());
  EXPECT_FALSE(report.Failed()) << report.ToTable();
  EXPECT_TRUE(report.executions.complete);
  EXPECT_GT(TotalOf(report).answered, 0u);
  // The faults must have affected requests.
  uint64_t refused = 0;
  uint64_t cancelled = 0;
  for (const auto& it : group_.targets()) {
    refused += it->counts().refused;
    cancelled += it->counts().cancelled;
  }
  EXPECT_GT(refused, 0u) << report.ToTable();
  EXPECT_GT(cancelled, 0u) << report.ToTable();
}

TEST(HttpCommandsTest, BadArgumentsAreRejected) {
  const std::vector<std::string> foreign = {"--listen", "192.0.2.1:80"};
  EXPECT_EQ(RunHttpTargets(foreign), 2);
  const std::vector<std::string> no_kind = {"--vm", "127.0.0.1:1"};
  EXPECT_EQ(RunHttpLoad(no_kind), 2);
  const std::vector<std::string> field = {"--vm", "127.0.0.1:1", "--kind",
                                          "colour=red"};
  EXPECT_EQ(RunHttpLoad(field), 2);
}

}  // namespace
}  // namespace marjoramhall::lab
