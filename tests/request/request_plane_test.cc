// At-most-once execution and slot limits under faults. Guards against keys that
// run twice, false "not run" refusals, requests that end twice or never, and
// targets that get more requests than they have slots and queue places.
#include "src/request/request_plane.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstdlib>

#include "tests/request/fake_fleet.h"

namespace marjoramhall::request {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Runs few cases by default, since sanitizer builds run them too. With
// MARJORAMHALL_DEEP=1, runs RapidCheck's default of 100 cases.
const bool kFewCases = [] {
  const char* set = std::getenv("RC_PARAMS");
  const std::string params = set == nullptr ? "" : set;
  if (std::getenv("MARJORAMHALL_DEEP") != nullptr ||
      params.find("max_success") != std::string::npos) {
    return false;
  }
  setenv("RC_PARAMS", (params + " max_success=15").c_str(), 1);
  return true;
}();

FleetOptions SmallFleet(size_t vms, size_t targets, uint32_t slots) {
  FleetOptions options;
  options.vms = vms;
  options.targets = targets;
  options.slots = slots;
  return options;
}

FleetOptions FaultyOptions(uint64_t seed) {
  FleetOptions options;
  options.seed = seed;
  options.message_loss_ratio = 0.05;
  options.message_duplication_ratio = 0.05;
  options.max_extra_delay = milliseconds(50);
  options.attempt_failure_ratio = 0.05;
  options.lost_store_reply_ratio = 0.1;
  // Short enough that gaps and retention end within a run.
  options.plane.key_retention = seconds(30);
  options.plane.ownership_confirm_timeout = seconds(8);
  return options;
}

// Does not shrink, since a smaller seed is not a simpler case.
uint64_t AnySeed() {
  return *rc::gen::noShrink(rc::gen::arbitrary<uint64_t>());
}

void InjectFault(FakeFleet& fleet, RandomSource& random) {
  const size_t vm = random.Below(5);
  const size_t other = (vm + 1 + random.Below(4)) % 5;
  switch (random.Below(9)) {
    case 0:
      if (fleet.Alive(vm)) {
        fleet.Kill(vm);
      }
      break;
    case 1:
      fleet.Restart(vm);
      break;
    case 2:
      if (fleet.Alive(vm)) {
        fleet.Pause(vm);
        fleet.At(milliseconds(random.Below(20000)),
                 [&fleet, vm] { fleet.Resume(vm); });
      }
      break;
    case 3:
    case 4: {
      // A partition into two groups of VMs.
      const size_t size = 1 + random.Below(2);
      for (size_t i = 0; i < 5; ++i) {
        for (size_t j = 0; j < 5; ++j) {
          if ((i < size) != (j < size)) {
            fleet.SetOneWayPartition(i, j, true);
          }
        }
      }
      break;
    }
    case 5:
      fleet.SetOneWayPartition(vm, other, true);
      break;
    case 6:
      fleet.SetStoreDown(true);
      break;
    case 7:
      fleet.SetStoreDown(false);
      break;
    default:
      for (size_t i = 0; i < 5; ++i) {
        for (size_t j = 0; j < 5; ++j) {
          fleet.SetOneWayPartition(i, j, false);
        }
        if (!fleet.Alive(i) && random.Below(2) == 0) {
          fleet.Restart(i);
        }
      }
  }
}

// Guards against keys that run twice or requests that never end under random
// kills, restarts, pauses, partitions and store outages, and against VMs that
// do not recover afterwards.
RC_GTEST_PROP(RequestPlaneProperty, EachKeyRunsAtMostOnce, ()) {
  const uint64_t seed = AnySeed();
  FakeFleet fleet(FaultyOptions(seed));
  RandomSource random(seed);
  fleet.RunFor(seconds(3));
  size_t next_key = 0;
  for (int step = 0; step < 20; ++step) {
    if (random.Below(2) == 0) {
      InjectFault(fleet, random);
    }
    for (int i = 0; i < 10; ++i) {
      fleet.At(milliseconds(random.Below(2000)), [&] {
        fleet.Submit(random.Below(5), "k" + std::to_string(next_key++));
        fleet.Submit(random.Below(5), "");
      });
    }
    fleet.RunFor(seconds(2));
    for (const std::string& it : fleet.violations()) {
      RC_FAIL(it);
    }
  }
  fleet.Heal();
  fleet.RunFor(seconds(60));
  fleet.CheckAllEnded();
  fleet.CheckSlots();
  for (const std::string& it : fleet.violations()) {
    RC_FAIL(it);
  }
  // After the faults, every VM must answer requests again.
  std::vector<size_t> final_submissions;
  final_submissions.reserve(20);
  for (int i = 0; i < 20; ++i) {
    final_submissions.push_back(fleet.SubmitOnce(
        static_cast<size_t>(i) % 5, "z" + std::to_string(i), 1, true));
  }
  fleet.RunFor(seconds(5));
  for (size_t i = 0; i < final_submissions.size(); ++i) {
    if (fleet.EndOfSubmission(final_submissions[i]) != "answered") {
      const RequestStats stats = fleet.plane(i % 5).Stats();
      RC_FAIL("VM " + std::to_string(i % 5) + ": " +
              fleet.EndOfSubmission(final_submissions[i]) + ", slots " +
              std::to_string(stats.slots_held) + ", in use " +
              std::to_string(stats.slots_in_use) + ", ejected " +
              std::to_string(stats.targets_ejected));
    }
  }
}

// Guards against more requests in flight at a target than its slots and queue
// when load and slots move between live VMs.
RC_GTEST_PROP(RequestPlaneProperty, TargetLimitsHoldUnderMovingLoad, ()) {
  const uint64_t seed = AnySeed();
  FleetOptions options;
  options.seed = seed;
  options.message_loss_ratio = 0.02;
  FakeFleet fleet(options);
  RandomSource random(seed);
  fleet.service_time = [&] { return milliseconds(10 + random.Below(200)); };
  fleet.RunFor(seconds(2));
  // The load moves from VM to VM and sometimes exceeds the slots.
  for (int step = 0; step < 400; ++step) {
    const size_t loaded_vm = static_cast<size_t>(step) / 100;
    for (uint64_t n = random.Below(10); n > 0; --n) {
      fleet.SubmitOnce(random.Below(2) == 0 ? loaded_vm : random.Below(5), "",
                       random.Below(2) * 2, true);
    }
    fleet.RunFor(milliseconds(20));
    fleet.CheckSlots();
  }
  fleet.RunFor(seconds(20));
  fleet.CheckAllEnded();
  for (const std::string& it : fleet.violations()) {
    RC_FAIL(it);
  }
}

// Guards against VMs that take over each other's ranges with a history gap
// while they have not yet discovered each other.
TEST(RequestPlaneTest, SlowDiscoveryLosesNoKeyHistory) {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    size_t gaps = 0;
    FleetOptions options = SmallFleet(7, 6, 3);
    options.seed = seed;
    options.discovery_spread = seconds(3);
    options.trace = [&](TimePoint, size_t, const Decision& it) {
      gaps += it.outcome == "own-with-history-gap";
    };
    FakeFleet fleet(options);
    for (int i = 0; i < 200; ++i) {
      fleet.RunFor(milliseconds(50));
      fleet.SubmitOnce(static_cast<size_t>(i) % 7, "k" + std::to_string(i), 1,
                       false);
    }
    fleet.RunFor(seconds(5));
    EXPECT_EQ(gaps, 0U) << "seed " << seed;
    EXPECT_EQ(fleet.answered(), 200U) << "seed " << seed;
    fleet.CheckAllEnded();
    EXPECT_TRUE(fleet.violations().empty());
  }
}

// Guards against slots that stay at idle VMs while another VM is overloaded.
TEST(RequestPlaneTest, SlotsMoveToLoadedVm) {
  FakeFleet fleet(SmallFleet(3, 6, 3));
  fleet.service_time = [] { return milliseconds(500); };
  fleet.RunFor(seconds(2));
  for (int i = 0; i < 16; ++i) {
    fleet.SubmitOnce(0, "", 0, true);
  }
  fleet.RunFor(milliseconds(400));
  // The VM's own third is 6 slots. The others must have come from idle VMs, by
  // loan or by lease.
  size_t running = 0;
  for (size_t i = 0; i < 6; ++i) {
    running += fleet.InFlight(i);
  }
  EXPECT_GE(running, 12U);
  // Steady demand must move leases too.
  for (int i = 0; i < 300; ++i) {
    fleet.SubmitOnce(0, "", 0, true);
    fleet.RunFor(milliseconds(30));
  }
  EXPECT_GE(fleet.plane(0).Stats().slots_held, 12U);
  fleet.CheckSlots();
  EXPECT_TRUE(fleet.violations().empty());
}

// Guards against slots that stay assigned to a dead VM.
TEST(RequestPlaneTest, SlotsOfDeadVmAreReassigned) {
  FakeFleet fleet(SmallFleet(3, 6, 3));
  fleet.RunFor(seconds(2));
  fleet.Kill(1);
  fleet.RunFor(seconds(16));
  EXPECT_EQ(
      fleet.plane(0).Stats().slots_held + fleet.plane(2).Stats().slots_held,
      18U);
}

// Guards against attempts that start at a target after its drain began.
TEST(RequestPlaneTest, DrainingTargetGetsNoNewRequests) {
  FakeFleet fleet(SmallFleet(3, 3, 3));
  fleet.RunFor(seconds(2));
  fleet.SetTargetDraining(1);
  fleet.RunFor(milliseconds(500));
  const size_t before = fleet.AttemptsAt(1);
  for (int i = 0; i < 60; ++i) {
    fleet.SubmitOnce(static_cast<size_t>(i) % 3, "", 0, true);
    fleet.RunFor(milliseconds(20));
  }
  EXPECT_EQ(fleet.AttemptsAt(1), before);
}

// Guards against a drain that drops live requests, or that waits for the store
// or loses the keys of its ranges.
TEST(RequestPlaneTest, DrainingVmFinishesRequestsAndHandsOverRanges) {
  FakeFleet fleet(SmallFleet(3, 6, 3));
  fleet.RunFor(seconds(5));
  for (int i = 0; i < 30; ++i) {
    fleet.SubmitOnce(static_cast<size_t>(i) % 3, "k" + std::to_string(i), 1,
                     true);
  }
  fleet.RunFor(milliseconds(10));
  // A planned stop must not need the store.
  fleet.SetStoreDown(true);
  fleet.Drain(1);
  fleet.RunFor(seconds(2));
  EXPECT_TRUE(fleet.plane(1).IsDrained());
  EXPECT_EQ(fleet.plane(1).Stats().ranges_owned, 0U);
  EXPECT_EQ(fleet.answered(), 30U);
  fleet.Kill(1);
  // The new owner knows the handed-over keys.
  for (int i = 0; i < 30; ++i) {
    fleet.SubmitOnce(0, "k" + std::to_string(i), 1, false);
  }
  fleet.RunFor(seconds(1));
  EXPECT_EQ(fleet.answered(), 60U);
  fleet.CheckAllEnded();
  EXPECT_TRUE(fleet.violations().empty());
}

// Guards against a take-over by the backup that loses keys or refuses unknown
// keys.
TEST(RequestPlaneTest, BackupTakesOverWithKeyHistory) {
  FakeFleet fleet(SmallFleet(3, 6, 3));
  fleet.RunFor(seconds(5));
  for (int i = 0; i < 30; ++i) {
    fleet.SubmitOnce(0, "k" + std::to_string(i), 1, true);
  }
  fleet.RunFor(seconds(1));
  fleet.Kill(1);
  fleet.RunFor(seconds(8));
  for (int i = 0; i < 30; ++i) {
    fleet.SubmitOnce(2, "k" + std::to_string(i), 1, false);
    fleet.SubmitOnce(2, "n" + std::to_string(i), 1, false);
  }
  fleet.RunFor(seconds(1));
  EXPECT_EQ(fleet.answered(), 90U);
  EXPECT_EQ(fleet.refused(RefusalReason::kKeyHistoryLost), 0U);
}

// Guards against keys that run twice after owner and backup have both lost
// their keys: only declared first attempts may run.
TEST(RequestPlaneTest, HistoryGapRunsOnlyFirstAttempts) {
  FakeFleet fleet(SmallFleet(2, 6, 3));
  fleet.RunFor(seconds(5));
  fleet.Restart(0);
  fleet.Restart(1);
  fleet.RunFor(seconds(15));
  for (int i = 0; i < 10; ++i) {
    fleet.SubmitOnce(0, "a" + std::to_string(i), 1, true);
    fleet.SubmitOnce(0, "b" + std::to_string(i), 1, false);
  }
  fleet.RunFor(seconds(1));
  EXPECT_EQ(fleet.answered(), 10U);
  EXPECT_EQ(fleet.refused(RefusalReason::kKeyHistoryLost), 10U);
}

}  // namespace
}  // namespace marjoramhall::request
