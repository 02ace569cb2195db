// Memory of a VM for the operator's configuration: at rest after a number of
// versions, and at the peak of the last one. docs/CAPACITY.md has the results.
#include <benchmark/benchmark.h>
#include <malloc.h>

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <new>
#include <string>

#include "platform/store_documents.h"
#include "src/discovery/change_relay.h"
#include "src/discovery/encoded_changes.h"
#include "src/discovery/target_registry.h"

namespace {

int64_t live_bytes = 0;
int64_t peak_bytes = 0;

void Count(int64_t bytes) {
  live_bytes += bytes;
  peak_bytes = std::max(peak_bytes, live_bytes);
}

}  // namespace

[[gnu::noinline]] void* operator new(size_t size) {
  void* memory = std::malloc(size);
  if (memory == nullptr) {
    throw std::bad_alloc();
  }
  Count(static_cast<int64_t>(malloc_usable_size(memory)));
  return memory;
}

[[gnu::noinline]] void operator delete(void* memory) noexcept {
  Count(-static_cast<int64_t>(malloc_usable_size(memory)));
  std::free(memory);
}

[[gnu::noinline]] void operator delete(void* memory, size_t) noexcept {
  operator delete(memory);
}

namespace marjoramhall {
namespace {

std::string ConfigText(uint64_t version, int64_t routes) {
  std::string text = R"({"version":)" + std::to_string(version);
  text += R"(,"routes":[)";
  for (int64_t i = 0; i < routes; ++i) {
    text += i == 0 ? "" : ",";
    text += R"({"name":"r-)" + std::to_string(1'000'000 + i) +
            R"(","host":"198.18.)" + std::to_string(i / 100 % 250) + "." +
            std::to_string(i % 100) +
            R"(","prefix":"/8443/","type":"idempotent","timeout_ms":1500,)"
            R"("target_latency_ms":250,"priority":2,"service":"huvo11a",)"
            R"("max_attempts":2})";
  }
  return text + R"(],"services":[{"name":"huvo11a"}]})";
}

// Arguments: routes, versions.
void ConfigMemory(benchmark::State& state) {
  const int64_t routes = state.range(0);
  const int64_t versions = state.range(1);
  int64_t rest = 0;
  int64_t peak = 0;
  size_t text_bytes = 0;
  for ([[maybe_unused]] auto _ : state) {
    const int64_t before = live_bytes;
    discovery::TargetRegistry registry({}, [](const Decision&) {});
    discovery::ChangeRelay relay({}, [&] { return registry.Snapshot(); });
    discovery::EncodedChanges encoded(relay);
    discovery::ChangeRelay::State polled;
    polled.has_view = true;
    polled.fleet.vm_count = 760;
    forward::ViewPtr view;
    const TimePoint now{std::chrono::seconds(1000)};
    for (int64_t i = 1; i <= versions; ++i) {
      const StorePosition after{1, static_cast<uint64_t>(i)};
      const StorePosition position{1, static_cast<uint64_t>(i) + 1};
      peak_bytes = live_bytes;
      const std::string text = ConfigText(static_cast<uint64_t>(i), routes);
      text_bytes = text.size();
      const std::vector<discovery::StoreChange> changes = {
          platform::DecodeEntry("op/config", position, text)};
      polled.confirmed_at = now;
      relay.OnChanges(changes, position, now);
      registry.ApplyChanges(changes, position, now);
      view = registry.MakeView();  // beside the one that packets still use
      auto answer = relay.Accept(after, polled, now);
      benchmark::DoNotOptimize(
          encoded.Encode(after, *std::move(answer.set), now));
    }
    peak = peak_bytes - before;
    rest = live_bytes - before;
  }
  const double divisor = 1e6;
  state.counters["value_MB"] = static_cast<double>(text_bytes) / divisor;
  state.counters["rest_MB"] = static_cast<double>(rest) / divisor;
  state.counters["peak_MB"] = static_cast<double>(peak) / divisor;
  state.counters["rest_B_a_route"] =
      static_cast<double>(rest) / static_cast<double>(routes);
}
BENCHMARK(ConfigMemory)
    ->ArgsProduct({{43, 1443, 5643}, {1, 10, 100}})
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace marjoramhall
