// Cost of a flow table hit, of the parser and hash, and of the router's hit
// path, with 200,000 flows; and the memory of an entry.
#include <benchmark/benchmark.h>

#include <algorithm>
#include <random>
#include <vector>

#include "lab/flow_packets.h"
#include "src/flow/flow_router.h"

namespace marjoramhall::flow {
namespace {

constexpr size_t kLimit = 262144;
constexpr size_t kFlows = 200000;

FlowKey Key(size_t n) {
  return {IpAddress::FromV4(0x0a000000 + static_cast<uint32_t>(n / 50000)),
          IpAddress::FromV4(0xc0000201),
          static_cast<uint16_t>(1024 + n % 50000), 443,
          config::FlowProtocol::kTcp};
}

// Flow numbers in random order, so that lookups miss the cache as in service.
std::vector<uint32_t> RandomOrder() {
  std::vector<uint32_t> order(kFlows);
  for (uint32_t i = 0; i < kFlows; ++i) {
    order[i] = i;
  }
  std::shuffle(order.begin(), order.end(), std::mt19937(1));
  return order;
}

void TableHit(benchmark::State& state) {
  FlowTable table(kLimit);
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
      static_cast<double>(table.SlotCount() * sizeof(FlowEntry)) / kLimit;
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

// The whole decision for a packet of a known flow.
void RouterHit(benchmark::State& state) {
  FlowRouter router(
      FlowOptions{}, static_cast<VmId>(1), 1,
      [](VmId, PeerChannel, const std::string&) {}, {}, 1);
  TimePoint now{std::chrono::seconds(100)};
  router.OnView(OneVm(), now);
  for (const uint32_t n : RandomOrder()) {
    router.OnFabricPacket(lab::MakePacket(Key(n), lab::kTcpSyn, 0), now);
    router.OnFabricPacket(lab::MakePacket(Key(n), lab::kTcpAck, 64), now);
  }
  // One packet per source address, whose port is set for each lookup: packets
  // are warm in the cache after the receive call, table entries are not.
  std::vector<std::vector<uint8_t>> packets;
  for (size_t n = 0; n < kFlows; n += 50000) {
    packets.push_back(lab::MakePacket(Key(n), lab::kTcpAck, 64));
  }
  const auto order = RandomOrder();
  size_t i = 0;
  for (auto _ : state) {
    auto& packet = packets[order[i] / 50000];
    lab::Write16(packet, 20, 1024 + order[i] % 50000);
    benchmark::DoNotOptimize(router.OnFabricPacket(packet, now));
    i = i + 1 < order.size() ? i + 1 : 0;
  }
  state.counters["entries"] = static_cast<double>(router.EntryCount());
  state.counters["hits"] =
      static_cast<double>(router.counters()[FlowCounter::kHits]);
}
BENCHMARK(RouterHit);

}  // namespace
}  // namespace marjoramhall::flow
