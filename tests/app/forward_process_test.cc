// Guards against a forwarding VM whose parts work alone but are not connected.
// Tests packets, readiness, snapshots and metrics of a whole process on
// loopback.
#include "src/app/forward_process.h"

#include <gtest/gtest.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <atomic>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <string>
#include <thread>

#include "platform/packet_codec.h"
#include "platform/readiness_path.h"
#include "platform/standin/store.h"
#include "src/discovery/change_relay.h"
#include "src/net/flow_path_socket.h"
#include "src/net/http_library.h"
#include "src/net/relay_client.h"
#include "src/net/snapshot_client.h"
#include "src/net/status_server.h"
#include "src/observe/log_rate_limiter.h"
#include "src/protocol/announcement.pb.h"

namespace marjoramhall::app {
namespace {

constexpr auto kTimeout = std::chrono::seconds(20);
// Another process may take a chosen port before the process under test opens
// it, but not this often in a row.
constexpr int kMaxPortTries = 5;
constexpr uint32_t kServiceAddress = 0xc6120001;
constexpr uint16_t kServicePort = 443;

Endpoint AnyLoopback() {
  return {IpAddress::FromV4(0x7f000001), 0};
}

// Returns an address whose port is free for UDP.
Endpoint FreeUdpEndpoint() {
  net::UdpSocket socket;
  EXPECT_EQ(socket.Open(AnyLoopback()), "");
  return socket.LocalEndpoint();
}

// Returns an address whose port is free for TCP. A connection of another
// process may take the port at any time.
Endpoint FreeTcpEndpoint() {
  asio::io_context io;
  const asio::ip::tcp::acceptor acceptor(
      io, {asio::ip::make_address_v4("127.0.0.1"), 0});
  return {AnyLoopback().address, acceptor.local_endpoint().port()};
}

std::pair<int, std::string> Get(const Endpoint& from, const std::string& path) {
  httplib::Client client(from.address.ToString(), from.port);
  const auto answer = client.Get(path);
  return answer ? std::pair(answer->status, answer->body)
                : std::pair(0, std::string());
}

class ForwardProcessTest : public testing::Test {
 protected:
  void SetUp() override {
    ASSERT_EQ(store_.Open(AnyLoopback()), "");
    ASSERT_EQ(target_.Open(AnyLoopback()), "");
    ASSERT_EQ(client_.Open(AnyLoopback()), "");
    discovery::TargetRecord target;
    target.id = "i-0000002a";
    target.service = "s";
    target.address = target_.LocalEndpoint();
    store_.PutTarget(target);
    discovery::ConfigRecord config;
    config.version = 3;
    discovery::RouteRecord route;
    route.address = {IpAddress::FromV4(kServiceAddress), kServicePort};
    route.shares = {{"s", 1}};
    config.routes.push_back(route);
    store_.PutConfig(config);

    settings_.store.url = "http://" + store_.local_endpoint().ToString();
    settings_.log.decisions = DecisionLogging::kNone;
    file_ = testing::TempDir() + "forward_process_test_" +
            std::to_string(store_.local_endpoint().port) + ".ini";
  }

  void ChooseAddresses() {
    settings_.forward.listen = FreeUdpEndpoint();
    settings_.forward.announce = FreeUdpEndpoint();
    settings_.forward.status = FreeTcpEndpoint();
    settings_.forward.peers = FreeTcpEndpoint();
  }

  void Start() {
    std::string error = "not opened";
    for (int i = 0; i < kMaxPortTries && !error.empty(); ++i) {
      ChooseAddresses();
      process_ = std::make_unique<ForwardProcess>(settings_, file_);
      error = process_->Open();
    }
    ASSERT_EQ(error, "");
    runner_ = std::thread([this] { exit_code_ = process_->Run(); });
  }

  void TearDown() override {
    if (runner_.joinable()) {
      std::raise(SIGTERM);
      runner_.join();
    }
    EXPECT_EQ(exit_code_, 0);
    std::filesystem::remove(file_);
  }

  bool WaitForReadiness(int status) {
    const auto end = std::chrono::steady_clock::now() + kTimeout;
    while (std::chrono::steady_clock::now() < end) {
      if (Get(settings_.forward.status, platform::kReadyPath).first == status) {
        return true;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return false;
  }

  platform::StandInStore store_;
  net::UdpSocket target_;
  net::UdpSocket client_;
  settings::Settings settings_;
  std::string file_;  // settings file for a reload
  std::unique_ptr<ForwardProcess> process_;
  std::thread runner_;
  int exit_code_ = -1;
};

TEST_F(ForwardProcessTest, ForwardsPacketsServesPagesAndStops) {
  Start();
  ASSERT_TRUE(WaitForReadiness(200));

  forward::PacketHeader header;
  header.flow = {0x7f000001, kServiceAddress, 40001, kServicePort};
  header.syn = true;
  const auto packet = platform::EncodePacket(header);
  net::SendBatch batch;
  batch.Add(settings_.forward.listen, {}, packet);
  client_.Send(batch);
  ASSERT_TRUE(target_.WaitReadable(kTimeout));
  net::ReceiveBatch received;
  ASSERT_GE(target_.Receive(received), 1U);
  const auto codec = platform::MakePacketCodec();
  const auto prefix = codec.encapsulation_header(0x2a);
  const auto datagram = received.Datagram(0);
  ASSERT_EQ(datagram.size(), prefix.size() + packet.size());
  EXPECT_TRUE(std::equal(prefix.begin(), prefix.end(), datagram.begin()));
  forward::PacketHeader forwarded;
  ASSERT_TRUE(codec.decode(datagram.subspan(prefix.size()), &forwarded));
  EXPECT_EQ(forwarded.token, forward::TargetToken{0x2a});

  const auto [status, metrics] = Get(settings_.forward.peers, "/metrics");
  EXPECT_EQ(status, 200);
  EXPECT_NE(metrics.find("marjoramhall_forward_config_version 3"),
            std::string::npos)
      << metrics;
  EXPECT_NE(metrics.find("marjoramhall_forward_response_seconds_bucket"),
            std::string::npos);
  EXPECT_NE(metrics.find("marjoramhall_store_calls_total{call=\"list\","
                         "outcome=\"ok\"} 1"),
            std::string::npos)
      << metrics;

  EXPECT_TRUE(net::FetchSnapshot({settings_.forward.peers}, {}));
  EXPECT_FALSE(net::FetchSnapshot({settings_.forward.peers}, {1'000'000, 0}));

  std::raise(SIGTERM);
  EXPECT_TRUE(WaitForReadiness(503));
  runner_.join();
}

TEST_F(ForwardProcessTest, OpenErrorNamesAnAddressInUse) {
  // The traffic thread has started by the time that the address fails, so this
  // also checks that the destructor stops it.
  asio::io_context io;
  const asio::ip::tcp::acceptor taken(
      io, {asio::ip::make_address_v4("127.0.0.1"), 0});
  ChooseAddresses();
  settings_.forward.peers = {AnyLoopback().address,
                             taken.local_endpoint().port()};
  ForwardProcess process(settings_, file_);
  EXPECT_NE(process.Open().find(settings_.forward.peers.ToString()),
            std::string::npos);
  exit_code_ = 0;  // no process runs that TearDown() has to stop
}

TEST_F(ForwardProcessTest, LimitsLogLinesOfTargetsThatJoinTogether) {
  constexpr int kTargets = 300;
  for (int i = 1; i <= kTargets; ++i) {
    discovery::TargetRecord target;
    target.instance = 0x100U + static_cast<unsigned>(i);
    char id[16];
    std::snprintf(id, sizeof(id), "i-%08x", 0x100 + i);
    target.id = id;
    target.service = "s";
    target.address = {IpAddress::FromV4(0x7f000101),
                      static_cast<uint16_t>(1000 + i)};
    store_.PutTarget(target);
  }
  settings_.log.decisions = DecisionLogging::kAll;
  settings_.log.path = file_ + ".log";
  Start();
  ASSERT_TRUE(WaitForReadiness(200));
  std::raise(SIGTERM);
  runner_.join();
  std::ifstream log(settings_.log.path);
  int joined = 0;
  for (std::string line; std::getline(log, line);) {
    joined += line.find("\"reason\":\"joined\"") != std::string::npos ? 1 : 0;
  }
  std::filesystem::remove(settings_.log.path);
  EXPECT_GE(joined, 1);
  // The targets arrive together, but a new one-second window may begin between
  // them. That allows twice the limit.
  EXPECT_LE(
      joined,
      2 * static_cast<int>(
              observe::LogRateLimiterOptions{}.ordinary_lines_per_second));
}

TEST_F(ForwardProcessTest, AnnouncesItselfToSeedsOfAReload) {
  // VMs that start during a store outage find other VMs through their seeds.
  // They miss a VM that still sends its announcements to the old seeds.
  Start();
  ASSERT_TRUE(WaitForReadiness(200));
  net::UdpSocket seed;
  ASSERT_EQ(seed.Open({IpAddress::FromV4(0x7f000002),
                       settings_.forward.announce.port}),
            "");
  EXPECT_FALSE(seed.WaitReadable(std::chrono::milliseconds(600)));
  std::ofstream(file_) << "[vm]\nname = v\nfailure_domain = a\n"
                          "[forward]\nseeds = 127.0.0.2:1\n";
  std::raise(SIGHUP);
  EXPECT_TRUE(seed.WaitReadable(kTimeout));
}

TEST_F(ForwardProcessTest, RelaysChangesInAFleetOnly) {
  Start();
  ASSERT_TRUE(WaitForReadiness(200));
  const std::string poll = "/v1/changes?after=0";
  EXPECT_EQ(Get(settings_.forward.peers, poll).first, 503);
  net::UdpSocket other;
  ASSERT_EQ(other.Open(AnyLoopback()), "");
  for (uint32_t i = 0; i < discovery::ChangeRelayOptions().min_peers; ++i) {
    protocol::Announcement message;
    message.set_revision(1);
    message.set_snapshot_port(1000 + i);
    const std::string bytes = message.SerializeAsString();
    net::SendBatch batch;
    batch.Add(settings_.forward.announce, {},
              {reinterpret_cast<const uint8_t*>(bytes.data()), bytes.size()});
    other.Send(batch);
  }
  const auto end = std::chrono::steady_clock::now() + kTimeout;
  std::pair<int, std::string> answer;
  while (answer.first != 200 && std::chrono::steady_clock::now() < end) {
    answer = Get(settings_.forward.peers, poll);
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  const auto set = discovery::DecodeChangeSet(answer.second);
  ASSERT_TRUE(set);
  EXPECT_TRUE(set->complete);
  EXPECT_EQ(set->changes.size(), 2U);  // the configuration and the target

  // A change of the store reaches the next poll.
  store_.RemoveTarget("i-0000002a");
  const std::string next =
      "/v1/changes?after=" + std::to_string(set->position.revision) +
      "&epoch=" + std::to_string(set->position.epoch);
  std::optional<discovery::ChangeSet> changes;
  while ((!changes || changes->changes.empty()) &&
         std::chrono::steady_clock::now() < end) {
    changes =
        discovery::DecodeChangeSet(Get(settings_.forward.peers, next).second);
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  ASSERT_TRUE(changes);
  ASSERT_EQ(changes->changes.size(), 1U);
  EXPECT_TRUE(changes->changes[0].removed);

  // A stopping VM sends its followers away.
  std::raise(SIGTERM);
  ASSERT_TRUE(WaitForReadiness(503));
  EXPECT_NE(Get(settings_.forward.peers, poll).first, 200);
}

TEST_F(ForwardProcessTest, FollowsARelay) {
  // The relay names a target that the store does not have, so that the target
  // shows whom this VM follows.
  asio::io_context relay_io;
  discovery::ChangeSet set;
  discovery::StoreChange change;
  change.key = "servers/i-0000002b";
  change.is_target = true;
  change.target.emplace().id = "i-0000002b";
  change.target->instance = 0x2b;
  change.target->service = "s";
  change.target->address = {AnyLoopback().address, 9};
  std::atomic<bool> polled{false};
  net::StatusServer relay(
      relay_io, AnyLoopback(),
      {{net::kChangesPath, [&](const net::QueryParameter& query) {
          set.position = {std::stoull(query(net::kEpochParameter)),
                          std::stoull(query(net::kAfterParameter)) + 1};
          change.position = set.position;
          set.changes = {change};
          polled = true;
          return net::StatusResponse{200, discovery::EncodeChangeSet(set)};
        }}});
  ASSERT_EQ(relay.Open(), "");
  std::thread relay_runner([&] { relay_io.run(); });
  settings_.forward.seeds = {relay.LocalEndpoint()};
  Start();
  EXPECT_TRUE(WaitForReadiness(200));
  const auto end = std::chrono::steady_clock::now() + kTimeout;
  std::string metrics;
  while (metrics.find("marjoramhall_forward_targets 2") == std::string::npos &&
         std::chrono::steady_clock::now() < end) {
    metrics = Get(settings_.forward.peers, "/metrics").second;
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  EXPECT_TRUE(polled);
  EXPECT_NE(metrics.find("marjoramhall_forward_targets 2"), std::string::npos)
      << metrics;
  std::raise(SIGTERM);
  runner_.join();
  relay_io.stop();
  relay_runner.join();
}

}  // namespace
}  // namespace marjoramhall::app
