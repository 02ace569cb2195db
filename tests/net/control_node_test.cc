// Control nodes over loopback TCP with the in-process store.
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

struct Site {
  explicit Site(size_t n, const std::string& key = "secret") {
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

  // Runs the loop until the condition holds or `limit` has passed.
  bool RunUntil(const std::function<bool()>& condition,
                Duration limit = seconds(20)) {
    const TimePoint end = SteadyNow() + limit;
    while (!condition() && SteadyNow() < end) {
      io.restart();
      io.run_for(milliseconds(10));
    }
    return condition();
  }

  bool AllSee(size_t members, Revision revision) {
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
  Site site(3);
  ASSERT_TRUE(site.RunUntil([&] { return site.AllSee(3, 0); }));

  const auto next = lab::NextSimDeployment(config::Deployment(), "first");
  std::vector<control::ProposeResult> results;
  site.nodes[1]->Propose(next, "first", [&](const control::ProposeResult& it) {
    results.push_back(it);
  });
  ASSERT_TRUE(site.RunUntil([&] { return site.AllSee(3, 1); }));
  ASSERT_EQ(results.size(), 1u);
  EXPECT_EQ(results[0].outcome, control::ProposeOutcome::kAccepted);

  const VmId third = site.nodes[2]->CurrentView()->self;
  site.nodes[0]->SendToPeer(third, PeerChannel::kFlow, "hint");
  ASSERT_TRUE(site.RunUntil([&] { return !site.received.empty(); }));
  EXPECT_EQ(site.received[0], "hint");

  bool left = false;
  site.nodes[2]->Leave([&] { left = true; });
  ASSERT_TRUE(site.RunUntil([&] { return left; }));
  site.nodes.pop_back();
  EXPECT_TRUE(site.RunUntil([&] { return site.AllSee(2, 1); }));
  EXPECT_EQ(site.nodes[0]->Snapshot().membership.removals, 0u);
}

// A VM with another key must stay outside and be counted.
TEST(ControlNode, KeepsStrangersOut) {
  Site site(2);
  ASSERT_TRUE(site.RunUntil([&] { return site.AllSee(2, 0); }));
  site.Add("stranger", "guess");
  const auto refused = [&] {
    const auto stats = site.nodes[0]->Snapshot().transport;
    return stats.refused[static_cast<size_t>(protocol::EnvelopeError::kBadMac)];
  };
  EXPECT_TRUE(site.RunUntil([&] { return refused() > 0; }));
  EXPECT_EQ(site.nodes[0]->CurrentView()->members.size(), 2u);
  EXPECT_EQ(site.nodes[2]->CurrentView()->members.size(), 1u);
}

TEST(ControlNode, NamesTheAddressThatIsInUse) {
  Site site(1);
  ControlNodeOptions options;
  options.self.name = "second";
  options.self.control_endpoint =
      site.nodes[0]->CurrentView()->members[0].control_endpoint;
  ControlNode second(site.io, options, site.store.Client(), lab::SimCodec(),
                     nullptr, nullptr, nullptr);
  EXPECT_NE(second.Open().find(options.self.control_endpoint.ToString()),
            std::string::npos);
}

// A burst larger than the budget is spread over time and arrives whole.
TEST(Pacer, DelaysABurstAndDropsOnlyBeyondTheQueue) {
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

// Request reports at more than the whole rate must not hold up flow messages,
// whose leases would lapse.
TEST(Pacer, KeepsAReserveForMessagesThatWait) {
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
