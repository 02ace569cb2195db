// Guards against packets of one flow that reach different targets when they
// enter at different VMs, oversized packets that are dropped silently, and
// errors of Open() without the address. Uses real loopback sockets.
#include "src/net/flow_path.h"

#include <gtest/gtest.h>

#include <asio.hpp>
#include <map>
#include <set>
#include <thread>

#include "lab/flow_packets.h"
#include "src/net/flow_path_socket.h"

namespace marjoramhall::net {
namespace {

const Endpoint kAnyPort = *Endpoint::Parse("127.0.0.1:0");

FlowPathOptions Options(const std::string& name) {
  FlowPathOptions options;
  options.self = config::VmIdOf(name);
  options.incarnation = 1;
  options.fabric_endpoint = kAnyPort;
  options.hop_endpoint = kAnyPort;
  options.flow.max_table_entries = 4096;
  options.flow.shared_key = "test";
  return options;
}

// Three VMs on one io_context, two targets.
class FlowPathTest : public testing::Test {
 protected:
  FlowPathTest() {
    for (int i = 0; i < 3; ++i) {
      const std::string name = "vm-" + std::to_string(i);
      paths_.push_back(std::make_unique<FlowPath>(
          io_, Options(name),
          [this, from = config::VmIdOf(name)](VmId to, PeerChannel,
                                              std::string payload) {
            by_id_.at(to)->PostPeerMessage(from, std::move(payload));
          },
          DecisionHook()));
      by_id_[config::VmIdOf(name)] = paths_.back().get();
      EXPECT_EQ(paths_.back()->Open(), "");
    }
    for (UdpSocket& it : targets_) {
      EXPECT_EQ(it.Open(kAnyPort), "");
    }
    EXPECT_EQ(caller_.Open(kAnyPort), "");
    PublishView();
  }

  void PublishView() {
    auto deployment = std::make_shared<config::Deployment>();
    deployment->lineage = "test";
    deployment->revision = 1;
    deployment->next_target_id = 3;
    config::Service service;
    service.id = static_cast<ServiceId>(1);
    service.flow_address = *Endpoint::Parse("192.0.2.1:443");
    for (uint32_t i = 0; i < 2; ++i) {
      config::Target target;
      target.id = static_cast<TargetId>(i + 1);
      target.flow_endpoint = targets_[i].LocalEndpoint();
      service.targets.push_back(target);
    }
    deployment->services.push_back(service);
    for (const auto& [self, path] : by_id_) {
      auto view = std::make_shared<config::ControlView>();
      view->self = self;
      view->deployment = deployment;
      for (const auto& [id, other] : by_id_) {
        config::Member member;
        member.id = id;
        member.incarnation = 1;
        member.hop_endpoint = other->HopEndpoint();
        view->members.push_back(member);
      }
      path->PostView(view);
    }
  }

  void Send(size_t vm, uint16_t port, uint8_t flags, size_t size) {
    const flow::FlowKey key = {*IpAddress::Parse("198.51.100.7"),
                               *IpAddress::Parse("192.0.2.1"), port, 443,
                               config::FlowProtocol::kTcp};
    const auto packet = lab::MakePacket(key, flags, size);
    SendBatch batch;
    batch.Add(paths_[vm]->FabricEndpoint(), {}, packet);
    EXPECT_EQ(caller_.Send(batch), 0U);
    io_.poll();
  }

  // Runs the VMs until `count` packets have arrived at the targets or the
  // maximum number of rounds is reached. Records which target received which
  // source port.
  size_t Collect(size_t count) {
    size_t received = 0;
    ReceiveBatch batch;
    for (int turn = 0; turn < 2000 && received < count; ++turn) {
      io_.run_for(std::chrono::milliseconds(1));
      for (size_t t = 0; t < 2; ++t) {
        const size_t n = targets_[t].Receive(batch);
        for (size_t i = 0; i < n; ++i) {
          flow::PacketInfo info;
          flow::ParsePacket(batch.Datagram(i), info);
          seen_[info.key.source_port].insert(t);
        }
        received += n;
      }
    }
    return received;
  }

  asio::io_context io_;
  std::vector<std::unique_ptr<FlowPath>> paths_;
  std::map<VmId, FlowPath*> by_id_;
  UdpSocket targets_[2];
  UdpSocket caller_;
  std::map<uint16_t, std::set<size_t>> seen_;
};

TEST_F(FlowPathTest, FlowsThatEnterAtDifferentVmsStayOnOneTarget) {
  for (uint16_t port = 1; port <= 100; ++port) {
    Send(port % 3, port, lab::kTcpSyn, 0);
  }
  ASSERT_EQ(Collect(100), 100U);
  for (size_t round = 1; round <= 6; ++round) {
    for (uint16_t port = 1; port <= 100; ++port) {
      Send((port + round) % 3, port, lab::kTcpAck, round == 1 ? 0 : 100);
    }
    ASSERT_EQ(Collect(100), 100U);
  }
  for (const auto& [port, targets] : seen_) {
    EXPECT_EQ(targets.size(), 1U) << "port " << port;
  }
}

TEST_F(FlowPathTest, SendsAnIcmpErrorForAnOversizedPacket) {
  Send(0, 5, lab::kTcpSyn, 9000);
  ReceiveBatch batch;
  size_t n = 0;
  for (int turn = 0; turn < 2000 && n == 0; ++turn) {
    io_.run_for(std::chrono::milliseconds(1));
    n = caller_.Receive(batch);
  }
  ASSERT_EQ(n, 1U);
  flow::PacketInfo info;
  ASSERT_EQ(flow::ParsePacket(batch.Datagram(0), info),
            flow::ParseError::kNone);
  EXPECT_EQ(info.ip_protocol, 1);
}

TEST_F(FlowPathTest, StopEndsReceivingAndPublishesTheStats) {
  Send(0, 9, lab::kTcpSyn, 0);
  ASSERT_EQ(Collect(1), 1U);
  bool stopped = false;
  paths_[0]->PostStop([&] { stopped = true; });
  io_.run_for(std::chrono::milliseconds(5));
  EXPECT_TRUE(stopped);
  EXPECT_EQ(paths_[0]->Snapshot().fabric_packets_received, 1U);
}

TEST_F(FlowPathTest, OpenErrorNamesTheAddress) {
  FlowPathOptions options = Options("other");
  options.hop_endpoint = paths_[0]->HopEndpoint();
  FlowPath path(io_, options, {}, {});
  const std::string error = path.Open();
  EXPECT_NE(error.find(options.hop_endpoint.ToString()), std::string::npos);
}

}  // namespace
}  // namespace marjoramhall::net
