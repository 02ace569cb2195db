// Guards against an entry of another writer that takes a target away from VMs:
// its address, its token, or its own entry. The outcome must not depend on the
// order in which a VM learns of the entries and of the configuration that tells
// whose they are.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <numeric>
#include <random>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "src/discovery/target_registry.h"

namespace marjoramhall::discovery {
namespace {

using forward::TargetState;
using std::chrono::seconds;

constexpr uint64_t kInstance = 0x7f3a91c2;
constexpr int64_t kStartTimeMs = 1'700'000'000'000;
constexpr char kService[] = "s";
constexpr char kForeignService[] = "inventory";

TargetRecord MakeRecord(uint64_t instance, const std::string& service) {
  TargetRecord record;
  record.id = "i-" + std::to_string(instance);
  record.instance = instance;
  record.service = service;
  record.address = {IpAddress::FromV4(0x0a000001),
                    static_cast<uint16_t>(1000 + instance % 1000)};
  record.failure_domain = "a";
  record.slots = 2;
  record.start_time_ms = kStartTimeMs;
  record.sequence = 4;
  return record;
}

StoreChange MakePut(const TargetRecord& record, uint64_t revision) {
  StoreChange change;
  change.key = "servers/" + record.id;
  change.position = {1, revision};
  change.is_target = true;
  change.target = record;
  return change;
}

StoreChange MakeConfig(uint64_t version,
                       uint64_t revision,
                       const std::vector<std::string>& services) {
  StoreChange change;
  change.key = "op/config";
  change.position = {1, revision};
  change.config.emplace();
  change.config->version = version;
  for (const std::string& it : services) {
    RouteRecord route;
    route.address = {IpAddress::FromV4(0xc6120001),
                     static_cast<uint16_t>(1 + change.config->routes.size())};
    route.shares = {{it, 1}};
    change.config->routes.push_back(route);
  }
  return change;
}

class ForeignEntryTest : public testing::Test {
 protected:
  void Apply(const StoreChange& change) {
    registry_.ApplyChanges({change}, change.position, now_);
  }

  // Returns null if the view does not have the target.
  static const forward::Target* Find(const forward::ViewPtr& view,
                                     const std::string& id) {
    const auto it =
        std::find_if(view->targets.begin(), view->targets.end(),
                     [&id](const auto& target) { return target.id == id; });
    return it == view->targets.end() ? nullptr : &*it;
  }

  void ExpectInUse(const std::string& id) {
    const auto view = registry_.MakeView();
    const forward::Target* target = Find(view, id);
    ASSERT_NE(target, nullptr);
    EXPECT_EQ(target->state, TargetState::kActive);
    EXPECT_FALSE(target->gone);
  }

  TimePoint now_{seconds(1000)};
  TargetRegistry registry_{{}, [](const Decision&) {}};
};

TEST_F(ForeignEntryTest, TakesNoAddressWhicheverEntryComesLast) {
  const TargetRecord target = MakeRecord(kInstance, kService);
  TargetRecord foreign = target;
  foreign.id = "inv-7f3a91c3";
  foreign.instance = kInstance + 1;
  foreign.service = kForeignService;
  for (const int64_t later : {0, 1000}) {
    foreign.start_time_ms = kStartTimeMs + later;
    registry_.ApplyListing({{MakeConfig(1, 1, {kService}), MakePut(target, 2),
                             MakePut(foreign, 3)},
                            {1, 3}},
                           now_);
    ExpectInUse(target.id);
  }
}

TEST_F(ForeignEntryTest, TakesNoTokenFromATargetThatStartedLater) {
  const TargetRecord target = MakeRecord(kInstance, kService);
  TargetRecord foreign = MakeRecord(kInstance, kForeignService);
  foreign.id = "agent-" + target.id;
  foreign.address.port = 9;
  foreign.start_time_ms = kStartTimeMs - 1000;
  Apply(MakeConfig(1, 1, {kService}));
  Apply(MakePut(target, 2));
  Apply(MakePut(foreign, 3));
  ExpectInUse(target.id);
}

// The target writes its entry again with its next heartbeat.
TEST_F(ForeignEntryTest, UnderTheKeyOfATargetDoesNotOrderItsReports) {
  TargetRecord target = MakeRecord(kInstance, kService);
  TargetRecord foreign = target;
  foreign.service = kForeignService;
  foreign.address.port = 9;
  foreign.start_time_ms = kStartTimeMs + 1000;
  Apply(MakeConfig(1, 1, {kService}));
  Apply(MakePut(target, 2));
  Apply(MakePut(foreign, 3));
  const auto view = registry_.MakeView();
  const forward::Target* known = Find(view, target.id);
  ASSERT_NE(known, nullptr);
  EXPECT_EQ(known->port, target.address.port);
  EXPECT_FALSE(known->gone);
  ++target.sequence;
  Apply(MakePut(target, 4));
  ExpectInUse(target.id);
}

TEST_F(ForeignEntryTest, CountsOnceAConfigurationNamesItsService) {
  const TargetRecord former = MakeRecord(kInstance, kService);
  TargetRecord later = former;
  later.id = "i-later";
  later.instance = kInstance + 1;
  later.service = "new";
  later.start_time_ms = kStartTimeMs + 1;
  Apply(MakePut(later, 1));
  Apply(MakeConfig(1, 2, {kService}));
  Apply(MakePut(former, 3));
  ExpectInUse(former.id);
  EXPECT_EQ(registry_.target_count(), 1U);
  Apply(MakeConfig(2, 4, {kService, "new"}));
  ExpectInUse(later.id);
  EXPECT_EQ(Find(registry_.MakeView(), former.id)->state,
            TargetState::kRetired);
  Apply(MakeConfig(3, 5, {kService}));
  ExpectInUse(former.id);
  Apply(MakeConfig(4, 6, {"new", kService}));
  ExpectInUse(later.id);
  EXPECT_EQ(Find(registry_.MakeView(), former.id)->state,
            TargetState::kRetired);
}

TEST_F(ForeignEntryTest, IsKnownToAVmThatStartsFromASnapshot) {
  const TargetRecord target = MakeRecord(kInstance, kService);
  TargetRecord unnamed = MakeRecord(kInstance + 1, "new");
  Apply(MakeConfig(1, 1, {kService}));
  Apply(MakePut(target, 2));
  Apply(MakePut(unnamed, 3));
  TargetRegistry started({}, [](const Decision&) {});
  started.ApplyListing(*DecodeSnapshot(EncodeSnapshot(registry_.Snapshot())),
                       now_);
  const StoreChange config = MakeConfig(2, 4, {kService, "new"});
  started.ApplyChanges({config}, config.position, now_);
  const auto view = started.MakeView();
  const forward::Target* known = Find(view, unnamed.id);
  ASSERT_NE(known, nullptr);
  EXPECT_NE(known->service, ServiceId::kNone);
}

// An exact copy names the same target in the header of packets, so that only
// the latest report counts, whatever the keys.
TEST_F(ForeignEntryTest, CopyOfAnEntryDoesNotHideThatTheTargetDrains) {
  TargetRecord target = MakeRecord(kInstance, kService);
  target.id = "z-7f3a91c2";
  TargetRecord copy = target;
  copy.id = "a-7f3a91c2";
  Apply(MakeConfig(1, 1, {kService}));
  Apply(MakePut(target, 2));
  Apply(MakePut(copy, 3));
  const auto states = [this] {
    std::vector<TargetState> found;
    const forward::ViewPtr view = registry_.MakeView();
    for (const forward::Target& it : view->targets) {
      found.push_back(it.state);
    }
    return found;
  };
  EXPECT_EQ(states(), std::vector{TargetState::kActive});
  ++target.sequence;
  target.draining = true;
  Apply(MakePut(target, 4));
  EXPECT_EQ(states(), std::vector{TargetState::kDraining});
}

TEST_F(ForeignEntryTest, CopyWithAnotherNumberLeavesTheTargetInUse) {
  const TargetRecord target = MakeRecord(kInstance, kService);
  TargetRecord copy = target;
  copy.id = "i-copy";
  copy.instance = kInstance + 1;
  Apply(MakeConfig(1, 1, {kService}));
  Apply(MakePut(copy, 2));
  Apply(MakePut(target, 3));
  ExpectInUse(target.id);
  Apply(MakePut(copy, 4));
  ExpectInUse(target.id);
}

// The part of a view that decides where packets go. Ids of services differ
// between VMs, so that their targets are listed by route.
std::string Describe(const TargetRegistry& registry) {
  const auto view = registry.MakeView();
  std::map<std::string, std::string> lines;
  for (const forward::Target& it : view->targets) {
    bool is_routed = false;
    std::string line;
    for (const auto& [key, route] : view->routes) {
      if (route.services[0].service == it.service) {
        is_routed = true;
        line += " " + std::to_string(key);
      }
    }
    line += " " + std::string(NameOf(it.state)) + (it.gone ? " gone " : " ") +
            std::to_string(it.port) + " " +
            std::to_string(static_cast<uint32_t>(it.token));
    if (is_routed) {
      lines[it.id] = line;
    }
  }
  std::string text;
  for (const auto& [id, line] : lines) {
    text += id + line + "\n";
  }
  return text;
}

// Passes entries to a VM one by one, in pages of a listing, as changes or from
// the snapshot of another VM, and returns what it then knows.
std::string ViewAfter(std::vector<StoreChange> changes,
                      const std::vector<size_t>& order,
                      int way) {
  const TimePoint now{seconds(1000)};
  const auto hook = [](const Decision&) {};
  TargetRegistry registry({}, hook);
  std::vector<StoreChange> ordered;
  ordered.reserve(order.size());
  for (const size_t i : order) {
    ordered.push_back(changes[i]);
  }
  if (way == 0) {
    for (const StoreChange& it : ordered) {
      registry.ApplyChanges({it}, it.position, now);
    }
    return Describe(registry);
  }
  // A listing has the last change of each key only.
  std::map<std::string, uint64_t> newest;
  StorePosition position;
  for (const StoreChange& it : changes) {
    newest[it.key] = std::max(newest[it.key], it.position.revision);
    position = std::max(position, it.position);
  }
  std::erase_if(ordered, [&](const StoreChange& it) {
    return newest[it.key] != it.position.revision;
  });
  registry.ApplyListing({ordered, position}, now);
  if (way == 1) {
    return Describe(registry);
  }
  TargetRegistry other({}, hook);
  Listing snapshot = *DecodeSnapshot(EncodeSnapshot(registry.Snapshot()));
  if (way == 3) {  // a complete set of a relay
    ChangeSet set;
    set.changes = snapshot.items;
    set.position = snapshot.position;
    set.complete = true;
    set = *DecodeChangeSet(EncodeChangeSet(set));
    snapshot = {set.changes, set.position};
  }
  other.ApplyListing(snapshot, now);
  return Describe(other);
}

RC_GTEST_PROP(ForeignEntryProperty,
              ViewsAgreeInWhateverOrderEntriesArrive,
              ()) {
  const std::vector<std::string> services = {kService, "t", kForeignService};
  std::vector<StoreChange> changes;
  uint64_t revision = 1;
  const int n = *rc::gen::inRange(1, 9);
  for (int i = 0; i < n; ++i) {
    TargetRecord record =
        MakeRecord(kInstance + static_cast<uint64_t>(*rc::gen::inRange(0, 4)),
                   services[static_cast<size_t>(*rc::gen::inRange(0, 3))]);
    record.id = "i-" + std::to_string(i);
    record.address.port = static_cast<uint16_t>(80 + *rc::gen::inRange(0, 3));
    record.start_time_ms = kStartTimeMs + *rc::gen::inRange(0, 3);
    record.sequence = static_cast<uint64_t>(*rc::gen::inRange(1, 3));
    record.draining = *rc::gen::inRange(0, 4) == 0;
    changes.push_back(MakePut(record, ++revision));
  }
  // Versions name a service, drop it, and name it again.
  changes.push_back(MakeConfig(1, ++revision, {kService}));
  changes.push_back(MakeConfig(2, ++revision, {kService, "t"}));
  if (*rc::gen::arbitrary<bool>()) {
    changes.push_back(MakeConfig(3, ++revision, {"t"}));
    changes.push_back(MakeConfig(4, ++revision, {"t", kService}));
  }
  std::vector<size_t> order(changes.size());
  std::iota(order.begin(), order.end(), size_t{0});
  const std::string expected = ViewAfter(changes, order, 1);
  std::mt19937 random(*rc::gen::arbitrary<uint32_t>());
  for (int i = 0; i < 8; ++i) {
    std::shuffle(order.begin(), order.end(), random);
    for (const int way : {0, 1, 2, 3}) {
      RC_ASSERT(ViewAfter(changes, order, way) == expected);
    }
  }
}

}  // namespace
}  // namespace marjoramhall::discovery
