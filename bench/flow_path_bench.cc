// Packets per second through FlowPath, compared with a plain UDP relay that
// uses the same batching. The two alternate, so that both run under the same
// machine load. Reports the ratio, which is required to be at least 0.8.
#include <benchmark/benchmark.h>
#include <poll.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <thread>
#include <vector>

#include "lab/flow_packets.h"
#include "lab/flow_site.h"
#include "src/net/flow_path_socket.h"

namespace marjoramhall::lab {
namespace {

constexpr size_t kFlows = 4096;
// Datagrams in flight. They fit into the socket buffers, so that none is lost.
constexpr size_t kMaxInFlight = 1024;
constexpr auto kRoundLength = std::chrono::milliseconds(400);

// Forwards each datagram to the target without looking at it, as the upper
// bound of what a user-space forwarder can reach.
class Relay {
 public:
  explicit Relay(const Endpoint& target) {
    in_.Open(*Endpoint::Parse("127.0.0.1:0"));
    thread_ = std::thread([this, target] {
      net::ReceiveBatch input;
      net::SendBatch output;
      while (!stop_) {
        pollfd wait{in_.fd(), POLLIN, 0};
        poll(&wait, 1, 10);
        for (size_t n = net::kUdpBatchSize; n == net::kUdpBatchSize;) {
          n = in_.Receive(input);
          for (size_t i = 0; i < n; ++i) {
            output.Add(target, {}, input.Datagram(i));
          }
          in_.Send(output);
        }
      }
    });
  }
  ~Relay() {
    stop_ = true;
    thread_.join();
  }
  Endpoint Address() const { return in_.LocalEndpoint(); }

 private:
  net::UdpSocket in_;
  std::atomic<bool> stop_ = false;
  std::thread thread_;
};

class Driver {
 public:
  Driver() {
    sink_.Open(*Endpoint::Parse("127.0.0.1:0"));
    out_.Open(*Endpoint::Parse("127.0.0.1:0"));
    for (size_t i = 0; i < kFlows; ++i) {
      const flow::FlowKey key = {
          IpAddress::FromV4(0x0a000001), IpAddress::FromV4(0xc0000201),
          static_cast<uint16_t>(1024 + i), 443, config::FlowProtocol::kTcp};
      packets_.push_back(MakePacket(key, kTcpAck, 64));
    }
  }

  Endpoint Sink() const { return sink_.LocalEndpoint(); }

  // Sends and receives for kRoundLength with a fixed window. Returns packets
  // per second.
  double Measure(const Endpoint& to) {
    const auto start = std::chrono::steady_clock::now();
    size_t sent = 0;
    size_t received = 0;
    size_t empty_receives = 0;
    auto now = start;
    for (; now - start < kRoundLength; now = std::chrono::steady_clock::now()) {
      while (sent - received + net::kUdpBatchSize <= kMaxInFlight) {
        for (size_t i = 0; i < net::kUdpBatchSize; ++i) {
          output_.Add(to, {}, packets_[(sent + i) % kFlows]);
        }
        out_.Send(output_);
        sent += net::kUdpBatchSize;
      }
      const size_t n = sink_.Receive(input_);
      received += n;
      empty_receives = n == 0 ? empty_receives + 1 : 0;
      // Reopens the window after the loss of datagrams.
      if (empty_receives > 200000) {
        received = sent;
        empty_receives = 0;
      }
    }
    return static_cast<double>(received) /
           std::chrono::duration<double>(now - start).count();
  }

 private:
  net::UdpSocket sink_;
  net::UdpSocket out_;
  net::ReceiveBatch input_;
  net::SendBatch output_;
  std::vector<std::vector<uint8_t>> packets_;
};

double Median(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

void PathAgainstRelay(benchmark::State& state) {
  Driver driver;
  Relay relay(driver.Sink());
  FlowSite site(1);
  site.Publish(
      MakeDeployment({{*Endpoint::Parse("192.0.2.1:443"), {driver.Sink()}}}));
  const Endpoint path = site.FabricEndpoints()[0];
  driver.Measure(path);
  driver.Measure(relay.Address());
  std::vector<double> with_path;
  std::vector<double> with_relay;
  for (auto _ : state) {
    with_path.push_back(driver.Measure(path));
    with_relay.push_back(driver.Measure(relay.Address()));
  }
  state.counters["path_packets_per_s"] = Median(with_path);
  state.counters["relay_packets_per_s"] = Median(with_relay);
  state.counters["ratio"] = Median(with_path) / Median(with_relay);
}
BENCHMARK(PathAgainstRelay)->Iterations(5)->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace marjoramhall::lab
