// Time of a flow table lookup, of parsing and hashing a packet, and of routing
// a packet of a known flow, with 200,000 flows. Reports the memory per entry as
// well.
#include <benchmark/benchmark.h>

#include <algorithm>
#include <chrono>
#include <random>
#include <vector>

#include "lab/flow_packets.h"
#include "src/flow/flow_router.h"

namespace marjoramhall::flow {
namespace {

constexpr size_t kMaxEntries = 262144;
constexpr size_t kFlows = 200000;

FlowKey Key(size_t n) {
  return {IpAddress::FromV4(0x0a000000 + static_cast<uint32_t>(n / 50000)),
          IpAddress::FromV4(0xc0000201),
          static_cast<uint16_t>(1024 + n % 50000), 443,
          config::FlowProtocol::kTcp};
}

// Returns the flow numbers in random order, so that lookups miss the CPU cache
// as they do in production.
std::vector<uint32_t> RandomOrder() {
  std::vector<uint32_t> order(kFlows);
  for (uint32_t i = 0; i < kFlows; ++i) {
    order[i] = i;
  }
  std::shuffle(order.begin(), order.end(), std::mt19937(1));
  return order;
}

void TableHit(benchmark::State& state) {
  FlowTable table(kMaxEntries);
  std::vector<FlowHash> hashes;
  for (const uint32_t n : RandomOrder()) {
    hashes.push_back(HashFlow(Key(n), 1));
    table.Insert(hashes.back());
  }
  std::shuffle(hashes.begin(), hashes.end(), std::mt19937(2));
  size_t i = 0;
  for (auto _ : state) {
    benchmark::DoNotOptimize(table.Find(hashes[i]));
    i = i + 1 < hashes.size() ? i + 1 : 0;
  }
  state.counters["entry_bytes"] = sizeof(FlowEntry);
  state.counters["bytes_per_entry_at_limit"] =
      static_cast<double>(table.SlotCount() * sizeof(FlowEntry)) / kMaxEntries;
}
BENCHMARK(TableHit);

void ParseAndHash(benchmark::State& state) {
  const auto packet = lab::MakePacket(Key(7), lab::kTcpAck, 64);
  for (auto _ : state) {
    PacketInfo info;
    ParsePacket(packet, info);
    benchmark::DoNotOptimize(HashFlow(info.key, 1));
  }
}
BENCHMARK(ParseAndHash);

config::ControlViewPtr OneVm() {
  auto deployment = std::make_shared<config::Deployment>();
  deployment->lineage = "bench";
  deployment->revision = 1;
  deployment->next_target_id = 15;
  config::Service service;
  service.id = static_cast<ServiceId>(1);
  service.flow_address = {IpAddress::FromV4(0xc0000201), 443};
  for (uint32_t i = 1; i <= 14; ++i) {
    config::Target target;
    target.id = static_cast<TargetId>(i);
    target.flow_endpoint = {IpAddress::FromV4(0x7f000001), 6080};
    service.targets.push_back(target);
  }
  deployment->services.push_back(service);
  auto view = std::make_shared<config::ControlView>();
  view->self = static_cast<VmId>(1);
  view->members.push_back({});
  view->members[0].id = view->self;
  view->deployment = deployment;
  return view;
}

// The router of a single VM with all flows established, and a packet of each
// flow in random order.
class EstablishedFlows {
 public:
  EstablishedFlows()
      : router_(
            FlowOptions{},
            static_cast<VmId>(1),
            1,
            [](VmId, PeerChannel, const std::string&) {},
            {},
            1) {
    router_.OnView(OneVm(), now_);
    for (const uint32_t n : RandomOrder()) {
      router_.OnFabricPacket(lab::MakePacket(Key(n), lab::kTcpSyn, 0), now_);
      packets_.push_back(lab::MakePacket(Key(n), lab::kTcpAck, 64));
      router_.OnFabricPacket(packets_.back(), now_);
    }
    std::shuffle(packets_.begin(), packets_.end(), std::mt19937(2));
  }

  // Copies the next packets into one contiguous buffer, as a receive call does.
  // Not part of the measured time.
  std::span<const std::span<const uint8_t>> Next() {
    for (size_t i = 0; i < kBatchSize; ++i) {
      const auto& packet = packets_[next_packet_];
      next_packet_ = next_packet_ + 1 < packets_.size() ? next_packet_ + 1 : 0;
      std::copy(packet.begin(), packet.end(), buffer_[i]);
      spans_[i] = {buffer_[i], packet.size()};
    }
    return spans_;
  }

  FlowRouter& router() { return router_; }
  TimePoint now() const { return now_; }

  static constexpr size_t kBatchSize = 64;

 private:
  TimePoint now_{std::chrono::seconds(100)};
  FlowRouter router_;
  std::vector<std::vector<uint8_t>> packets_;
  size_t next_packet_ = 0;
  uint8_t buffer_[kBatchSize][128];
  std::span<const uint8_t> spans_[kBatchSize];
};

// Measures the time per packet, without the copy in Next().
template <typename Route>
void MeasureHits(benchmark::State& state, Route route) {
  EstablishedFlows flows;
  for (auto _ : state) {
    const auto packets = flows.Next();
    const auto start = std::chrono::steady_clock::now();
    route(flows, packets);
    const auto end = std::chrono::steady_clock::now();
    state.SetIterationTime(std::chrono::duration<double>(end - start).count() /
                           EstablishedFlows::kBatchSize);
  }
  state.counters["entries"] = static_cast<double>(flows.router().EntryCount());
}

void RouterHitSingle(benchmark::State& state) {
  MeasureHits(state, [](EstablishedFlows& flows, auto packets) {
    for (const auto& it : packets) {
      benchmark::DoNotOptimize(flows.router().OnFabricPacket(it, flows.now()));
    }
  });
}
BENCHMARK(RouterHitSingle)->UseManualTime()->MinTime(0.05);

void RouterHitBatch(benchmark::State& state) {
  std::vector<Route> routes;
  MeasureHits(state, [&](EstablishedFlows& flows, auto packets) {
    routes.clear();
    flows.router().OnFabricBatch(packets, flows.now(), routes);
    benchmark::DoNotOptimize(routes.data());
  });
}
BENCHMARK(RouterHitBatch)->UseManualTime()->MinTime(0.05);

}  // namespace
}  // namespace marjoramhall::flow
