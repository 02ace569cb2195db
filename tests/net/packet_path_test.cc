// Guards against packets that waited while the VM was suspended and are taken
// for new ones.
#include "src/net/packet_path.h"

#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <span>
#include <thread>
#include <utility>

#include "src/net/flow_path_socket.h"

namespace marjoramhall::net {
namespace {

using std::chrono::seconds;

constexpr uint32_t kLoopback = 0x7f000001;
constexpr forward::TargetToken kTarget{1};
const Endpoint kAnyPort{IpAddress::FromV4(kLoopback), 0};

// A packet whose first byte is the client's port. All packets are SYNs.
void SendSyn(UdpSocket& socket, const Endpoint& to, uint8_t port) {
  const forward::HeaderOnlyPacket packet{port};
  SendBatch batch;
  batch.Add(to, {}, packet);
  EXPECT_EQ(socket.Send(batch), 0U);
}

forward::ViewPtr MakeView(const Endpoint& target) {
  auto view = std::make_shared<forward::View>();
  view->config_version = 1;
  forward::Route route;
  route.services = {{ServiceId{1}, 1}};
  view->routes[forward::RouteKeyOf(0, 0)] = route;
  forward::Target& it = view->targets.emplace_back();
  it.token = kTarget;
  it.service = ServiceId{1};
  it.address = target.address.ToV4();
  it.port = target.port;
  return view;
}

TEST(PacketPathTest, DropsSynsThatArrivedAfterTheReceiveCallOfASuspendedVm) {
  UdpSocket client;
  UdpSocket target;
  ASSERT_EQ(client.Open(kAnyPort), "");
  ASSERT_EQ(target.Open(kAnyPort), "");
  PacketPathOptions options;
  {
    UdpSocket free;
    ASSERT_EQ(free.Open(kAnyPort), "");
    options.listen = free.LocalEndpoint();
  }
  bool is_first_syn = false;  // of the traffic thread
  TimePoint boot_time = BootTimeNow();
  forward::PacketCodec codec;
  codec.decode = [&](std::span<const uint8_t> datagram,
                     forward::PacketHeader* out) {
    out->syn = true;
    out->flow.client_port = datagram[0];
    is_first_syn = datagram[0] == 1;
    return true;
  };
  codec.set_token = [](std::span<uint8_t>, forward::TargetToken) {};
  codec.encapsulation_header = [](uint64_t) {
    return forward::EncapsulationHeader{};
  };
  codec.make_reset = [](const forward::PacketHeader&) {
    return forward::HeaderOnlyPacket{};
  };
  PacketPath::Hooks hooks{[](const Decision&) {}, [](Duration) {},
                          [&] {
                            if (std::exchange(is_first_syn, false)) {
                              boot_time += seconds(2);  // suspended
                              SendSyn(client, options.listen, 2);
                            }
                            return boot_time;
                          }};
  PacketPath path(options, std::move(codec), std::move(hooks));
  path.PostView(MakeView(target.LocalEndpoint()));
  ASSERT_EQ(path.Open(), "");
  const auto stats_after = [&](uint64_t syns) {
    const TimePoint end = SteadyNow() + seconds(10);
    while (path.Snapshot().counters.syn_packets < syns && SteadyNow() < end) {
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return path.Snapshot().counters;
  };
  SendSyn(client, options.listen, 1);
  EXPECT_EQ(stats_after(2).placed_flows, 0U);
  SendSyn(client, options.listen, 3);
  const forward::ForwardCounters counters = stats_after(3);
  EXPECT_EQ(counters.placed_flows, 1U);
  EXPECT_EQ(
      counters.refused.at(static_cast<size_t>(forward::Reason::kStaleSyn)), 2U);
}

}  // namespace
}  // namespace marjoramhall::net
