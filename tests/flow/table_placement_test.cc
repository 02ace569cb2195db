// Guards against flow table entries that are lost or reappear after removal,
// against uneven placements and placements that move more buckets than needed,
// and against a rate limiter that admits too much.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

#include "src/flow/flow_table.h"
#include "src/flow/gcra.h"
#include "src/flow/placement.h"

namespace marjoramhall::flow {
namespace {

// Hashes with few distinct home slots, so that probe chains form, wrap around
// and are shifted.
FlowHash CollidingHash(uint8_t n) {
  return {n, (uint64_t{n} << 32) | (60 + n % 8U)};
}

RC_GTEST_PROP(FlowTableTest, BehavesLikeAMap, ()) {
  FlowTable table(40);
  std::map<uint8_t, uint32_t> model;
  const auto steps =
      *rc::gen::container<std::vector<std::pair<uint8_t, bool>>>(rc::gen::pair(
          rc::gen::inRange<uint8_t>(0, 48), rc::gen::arbitrary<bool>()));
  uint32_t value = 0;
  for (const auto& [n, insert] : steps) {
    FlowEntry* entry = table.Find(CollidingHash(n));
    RC_ASSERT((entry != nullptr) == model.contains(n));
    if (entry && !insert) {
      table.Erase(entry);
      model.erase(n);
    } else if (!entry && insert) {
      entry = table.Insert(CollidingHash(n));
      RC_ASSERT((entry != nullptr) == (model.size() < 40));
      if (entry) {
        entry->target = static_cast<TargetId>(++value);
        model[n] = value;
      }
    }
    RC_ASSERT(table.size() == model.size());
  }
  for (const auto& [n, expected] : model) {
    const FlowEntry* entry = table.Find(CollidingHash(n));
    RC_ASSERT(entry && ToInteger(entry->target) == expected);
  }
}

// A sweep that skips entries would keep expired flows forever and never
// replicate some exceptions.
RC_GTEST_PROP(FlowTableTest, SweepVisitsEveryEntry, ()) {
  FlowTable table(40);
  const auto numbers =
      *rc::gen::unique<std::vector<uint8_t>>(rc::gen::inRange<uint8_t>(0, 40));
  for (const uint8_t n : numbers) {
    table.Insert(CollidingHash(n));
  }
  for (int pass = 0; pass < 2 && table.size() > 0; ++pass) {
    while (!table.Sweep(7, [](FlowEntry&) { return false; })) {
    }
  }
  RC_ASSERT(table.size() == 0U);
}

// At the limit, new half-open flows must evict old ones instead of failing.
TEST(FlowTableTest, InsertEvictingReplacesEntriesAtTheLimit) {
  FlowTable table(8);
  for (uint64_t n = 1; n <= 100; ++n) {
    ASSERT_NE(table.InsertEvicting({n, n * 7919}), nullptr);
  }
  EXPECT_EQ(table.size(), 8U);
  EXPECT_NE(table.Find({100, uint64_t{100} * 7919}), nullptr);
}

config::Service MakeService(const std::vector<uint32_t>& weights) {
  config::Service service;
  for (size_t i = 0; i < weights.size(); ++i) {
    config::Target target;
    target.id = static_cast<TargetId>(i + 1);
    target.weight = weights[i];
    service.targets.push_back(target);
  }
  return service;
}

RC_GTEST_PROP(PlacementTest, CountsMatchWeightsWithinOneBucket, ()) {
  const auto weights = *rc::gen::nonEmpty(
      rc::gen::container<std::vector<uint32_t>>(rc::gen::inRange(1, 300)));
  const config::Service service = MakeService(weights);
  const Placement placement = ComputePlacement(service);
  double total = 0;
  for (const uint32_t it : weights) {
    total += it;
  }
  std::map<TargetId, double> counts;
  for (const TargetId it : placement) {
    ++counts[it];
  }
  for (const auto& it : service.targets) {
    const double share = kBucketCount * it.weight / total;
    RC_ASSERT(counts[it.id] > share - 1 && counts[it.id] < share + 1);
  }
}

// A drain must move all buckets of the drained target and no others.
RC_GTEST_PROP(PlacementTest, DrainMovesOnlyTheDrainedTarget, ()) {
  config::Service service = MakeService(std::vector<uint32_t>(14, 100));
  const Placement before = ComputePlacement(service);
  const auto i = *rc::gen::inRange<size_t>(0, 14);
  service.targets[i].state = config::TargetState::kDraining;
  const Placement after = ComputePlacement(service);
  for (uint32_t b = 0; b < kBucketCount; ++b) {
    RC_ASSERT((before[b] == after[b]) == (before[b] != service.targets[i].id));
  }
}

// Adding one of 14 targets must move its share of the buckets and few others.
// The balancing pass moves some buckets between the other targets.
TEST(PlacementTest, AddedTargetMovesAtMostTwiceItsShare) {
  const config::Service small = MakeService(std::vector<uint32_t>(13, 100));
  const config::Service large = MakeService(std::vector<uint32_t>(14, 100));
  const size_t moved =
      CountMovedBuckets(ComputePlacement(small), ComputePlacement(large));
  RecordProperty("moved", static_cast<int>(moved));
  EXPECT_GE(moved, kBucketCount / 14);
  EXPECT_LE(moved, kBucketCount / 14 * 2);
}

TEST(PlacementTest, NoBucketIsPlacedWithoutActiveTargets) {
  config::Service service = MakeService({100});
  service.targets[0].state = config::TargetState::kDraining;
  EXPECT_EQ(ComputePlacement(service)[0], TargetId::kNone);
}

// In any time span, the admitted amount must not exceed the rate times the span
// plus the burst.
RC_GTEST_PROP(GcraTest, AdmitsAtMostRateAndBurst, ()) {
  Gcra gcra(1000, 500);
  TimePoint now{std::chrono::seconds(5)};
  const TimePoint start = now;
  double taken = 0;
  const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(0, 50), rc::gen::inRange(1, 300)));
  for (const auto& [wait_ms, units] : steps) {
    now += std::chrono::milliseconds(wait_ms);
    taken += gcra.TryTake(units, now) ? units : 0;
    const double elapsed = std::chrono::duration<double>(now - start).count();
    RC_ASSERT(taken <= 1000 * elapsed + 500 + 1);
  }
}

}  // namespace
}  // namespace marjoramhall::flow
