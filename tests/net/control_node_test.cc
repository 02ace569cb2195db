// Guards against control nodes that do not join, replicate a configuration or
// leave over real TCP connections, against members with another key, and
// against a rate limiter that starves or drops messages. Uses the in-process
// store.
#include "src/net/control_node.h"

#include <gtest/gtest.h>

#include <asio/io_context.hpp>

#include "lab/control_sim_codec.h"
#include "src/net/local_store.h"
#include "src/net/peer_transport_pacer.h"

namespace marjoramhall::net {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const IpAddress kLoopback = IpAddress::FromV4(0x7f000001);

// Control nodes of one deployment on one io_context.
struct Cluster {
  explicit Cluster(size_t n, const std::string& key = "secret") {
    for (size_t i = 0; i < n; ++i) {
      Add("vm" + std::to_string(i), key);
    }
  }

  void Add(const std::string& name, const std::string& key) {
    ControlNodeOptions options;
    options.self.name = name;
    options.self.domain = "zone";
    options.self.control_endpoint = {kLoopback, 0};
    options.transport.deployment = "site";
    options.transport.key = key;
    options.random_seed = nodes.size() + 1;
    if (!nodes.empty()) {
      const auto view = nodes[0]->CurrentView();
      for (const auto& it : view->members) {
        if (it.id == view->self) {
          options.seeds.push_back(it.control_endpoint);
        }
      }
    }
    nodes.push_back(std::make_unique<ControlNode>(
        io, options, store.Client(), lab::SimCodec(), nullptr,
        [this](VmId, PeerChannel, std::string payload) {
          received.push_back(std::move(payload));
        },
        nullptr));
    ASSERT_EQ(nodes.back()->Open(), "");
  }

  // Runs the io_context until the condition holds or `timeout` has passed.
  bool RunUntil(const std::function<bool()>& condition,
                Duration timeout = seconds(20)) {
    const TimePoint end = SteadyNow() + timeout;
    while (!condition() && SteadyNow() < end) {
      io.restart();
      io.run_for(milliseconds(10));
    }
    return condition();
  }

  bool AllHave(size_t members, Revision revision) {
    for (const auto& it : nodes) {
      const auto view = it->CurrentView();
      if (view->members.size() != members ||
          view->deployment->revision != revision) {
        return false;
      }
    }
    return true;
  }

  asio::io_context io;
  LocalStore store{io};
  std::vector<std::unique_ptr<ControlNode>> nodes;
  std::vector<std::string> received;
};

TEST(ControlNode, JoinsProposesSendsAndLeaves) {
  Cluster cluster(3);
  ASSERT_TRUE(cluster.RunUntil([&] { return cluster.AllHave(3, 0); }));

  const auto next = lab::NextSimDeployment(config::Deployment(), "first");
  std::vector<control::ProposeResult> results;
  cluster.nodes[1]->Propose(
      next, "first",
      [&](const control::ProposeResult& it) { results.push_back(it); });
  ASSERT_TRUE(cluster.RunUntil([&] { return cluster.AllHave(3, 1); }));
  ASSERT_EQ(results.size(), 1u);
  EXPECT_EQ(results[0].outcome, control::ProposeOutcome::kAccepted);

  const VmId third = cluster.nodes[2]->CurrentView()->self;
  cluster.nodes[0]->SendToPeer(third, PeerChannel::kFlow, "hint");
  ASSERT_TRUE(cluster.RunUntil([&] { return !cluster.received.empty(); }));
  EXPECT_EQ(cluster.received[0], "hint");

  bool left = false;
  cluster.nodes[2]->Leave([&] { left = true; });
  ASSERT_TRUE(cluster.RunUntil([&] { return left; }));
  cluster.nodes.pop_back();
  EXPECT_TRUE(cluster.RunUntil([&] { return cluster.AllHave(2, 1); }));
  EXPECT_EQ(cluster.nodes[0]->Snapshot().membership.removals, 0u);
}

// The messages of a VM with another key must be rejected and counted.
TEST(ControlNode, RejectsAVmWithAnotherKey) {
  Cluster cluster(2);
  ASSERT_TRUE(cluster.RunUntil([&] { return cluster.AllHave(2, 0); }));
  cluster.Add("stranger", "guess");
  const auto refused = [&] {
    const auto stats = cluster.nodes[0]->Snapshot().transport;
    return stats.refused[static_cast<size_t>(protocol::EnvelopeError::kBadMac)];
  };
  EXPECT_TRUE(cluster.RunUntil([&] { return refused() > 0; }));
  EXPECT_EQ(cluster.nodes[0]->CurrentView()->members.size(), 2u);
  EXPECT_EQ(cluster.nodes[2]->CurrentView()->members.size(), 1u);
}

TEST(ControlNode, OpenErrorNamesTheAddressInUse) {
  Cluster cluster(1);
  ControlNodeOptions options;
  options.self.name = "second";
  options.self.control_endpoint =
      cluster.nodes[0]->CurrentView()->members[0].control_endpoint;
  ControlNode second(cluster.io, options, cluster.store.Client(),
                     lab::SimCodec(), nullptr, nullptr, nullptr);
  EXPECT_NE(second.Open().find(options.self.control_endpoint.ToString()),
            std::string::npos);
}

// A burst above the budget must be spread over time without loss.
TEST(Pacer, DelaysABurstAndDropsOnlyWhenTheQueueIsFull) {
  Pacer pacer(1000, 0, 1000, 10'000);
  TimePoint now{seconds(1)};
  int sent = 0;
  for (int i = 0; i < 10; ++i) {
    EXPECT_TRUE(pacer.Submit(500, now, [&] { ++sent; }));
  }
  EXPECT_EQ(sent, 2);
  for (int i = 0; i < 40; ++i) {
    now += milliseconds(100);
    pacer.Drain(now);
  }
  EXPECT_EQ(sent, 10);
  pacer.Debit(5000, now);
  EXPECT_TRUE(pacer.Submit(9000, now, [&] { ++sent; }));
  EXPECT_FALSE(pacer.Submit(9000, now, [&] { ++sent; }));
}

// Request reports that use more than the whole rate must not block flow
// messages, because the leases of the flow plane would expire.
TEST(Pacer, ReservesPartOfTheRateForQueuedMessages) {
  Pacer pacer(1000, 500, 1000, 10'000);
  TimePoint now{seconds(1)};
  int sent = 0;
  for (int i = 0; i < 100; ++i) {
    pacer.Debit(200, now);
    EXPECT_TRUE(pacer.Submit(50, now, [&] { ++sent; }));
    now += milliseconds(100);
    pacer.Drain(now);
  }
  EXPECT_GE(sent, 95);
}

}  // namespace
}  // namespace marjoramhall::net
