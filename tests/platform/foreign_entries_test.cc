// Guards against entries of other writers that end a VM, keep it from following
// the store, or take the place of a target's own entry.
#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

#include "platform/standin/store.h"
#include "platform/store_documents.h"
#include "src/discovery/snapshot_codec.h"
#include "tests/platform/following_vm.h"

namespace marjoramhall::platform {
namespace {

using discovery::StoreChange;
using forward::TargetState;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kTargetKey[] = "servers/i-7f3a91c2";

// Fields of a target's entry with their values.
using Fields = std::vector<std::pair<std::string, std::string>>;

Fields ValidFields() {
  return {{"service", R"("s")"},
          {"address", R"("10.0.0.1:80")"},
          {"zone", R"("a")"},
          {"version", R"("v1")"},
          {"slots", "3"},
          {"state", R"("ready")"},
          {"seq", "4"},
          {"warmup_left_ms", "0"},
          {"born", "1700000000123"}};
}

std::string ToText(const Fields& fields) {
  std::string text;
  for (const auto& [name, value] : fields) {
    text += text.empty() ? "{\"" : ",\"";
    text += name;
    text += "\":";
    text += value;
  }
  return text + "}";
}

std::string With(const std::string& name, const std::string& value) {
  Fields fields = ValidFields();
  for (auto& it : fields) {
    if (it.first == name) {
      it.second = value;
    }
  }
  return ToText(fields);
}

std::string Without(const std::string& name) {
  Fields fields = ValidFields();
  std::erase_if(fields, [&](const auto& it) { return it.first == name; });
  return ToText(fields);
}

std::string Nested(size_t levels, const std::string& open) {
  std::string text;
  for (size_t i = 0; i < levels; ++i) {
    text += open;
  }
  return text;
}

constexpr size_t kLevels = 100'000;
constexpr size_t kMaxValueBytes = 1 << 20;

// Values that no field of an entry has.
std::vector<std::string> InvalidValues() {
  return {"null",
          "true",
          "{}",
          "[]",
          "[7]",
          "-1",
          "0.5",
          "1e300",
          "1e99999999",
          "-1e99999999",
          "18446744073709551616",
          "9223372036854775808",
          "99999999999999999999999999999999999999999",
          "\"\xff\xfe\"",
          R"("\ud800")",
          "\"",
          Nested(kLevels, "["),
          Nested(kLevels, "[") + Nested(kLevels, "]"),
          Nested(kLevels, R"({"a":)") + "1" + Nested(kLevels, "}")};
}

std::vector<std::string> InvalidEntries() {
  std::vector<std::string> entries = {"",
                                      "null",
                                      "7",
                                      "[]",
                                      "{",
                                      "\xff\xfe",
                                      std::string(1, '\0'),
                                      Nested(kLevels, "["),
                                      Nested(kLevels, R"({"service":)"),
                                      std::string(kMaxValueBytes, '['),
                                      std::string(kMaxValueBytes, '9'),
                                      std::string(kMaxValueBytes, ' '),
                                      "[" + ToText(ValidFields()) + "]",
                                      ToText(ValidFields()) + "x"};
  for (const auto& [name, value] : ValidFields()) {
    for (const std::string& it : InvalidValues()) {
      entries.push_back(With(name, it));
    }
    if (name != "born") {
      entries.push_back(Without(name));
    }
    // Another type.
    entries.push_back(With(name, value[0] == '"' ? "7" : R"("7")"));
  }
  for (const char* it :
       {"10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:65536",
        "10.0.0.1:99999999999999999999", "10.0.0.1:-1", "10.0.0.1:+80",
        "10.0.0.1:80 ", "10.0.0.1:8x", "10.0.0.256:80", "10.0.0:80", ":80",
        "[::1]:80", "host:80", "10.0.0.1:80:80", ""}) {
    entries.push_back(With("address", '"' + std::string(it) + '"'));
  }
  for (const char* it : {"starting", "READY", "ready ", ""}) {
    entries.push_back(With("state", '"' + std::string(it) + '"'));
  }
  entries.push_back(With("service", R"("")"));
  for (const char* it : {"service", "zone"}) {
    entries.push_back(With(it, '"' + std::string(1025, 'x') + '"'));
  }
  entries.push_back(With("slots", "0"));
  entries.push_back(With("slots", "65537"));
  return entries;
}

TEST(ForeignEntriesTest, NoInvalidEntryNamesATarget) {
  ASSERT_TRUE(DecodeEntry(kTargetKey, {0, 1}, ToText(ValidFields())).target);
  for (const std::string& it : InvalidEntries()) {
    const StoreChange change = DecodeEntry(kTargetKey, {0, 1}, it);
    EXPECT_FALSE(change.target) << it.substr(0, 300);
    EXPECT_TRUE(change.is_target);
    EXPECT_FALSE(change.error.empty());
    EXPECT_LT(change.error.size(), 200U);
  }
}

TEST(ForeignEntriesTest, NoBytesForAConfigurationEndTheVm) {
  const std::string valid =
      R"({"version":7,"routes":[{"name":"a","host":"198.18.0.1",)"
      R"("prefix":"/80/","type":"idempotent","service":"s","priority":1,)"
      R"("timeout_ms":2000,"target_latency_ms":300}],)"
      R"("limits":{"idle_timeout_ms":15000}})";
  ASSERT_EQ(DecodeEntry("op/config", {0, 1}, valid).error, "");
  for (const char* field : {"7", "\"a\"", "\"198.18.0.1\"", "\"/80/\"",
                            "\"idempotent\"", "\"s\"", "1", "2000", "15000"}) {
    for (const std::string& it : InvalidValues()) {
      std::string text = valid;
      text.replace(text.find(field), std::string(field).size(), it);
      DecodeEntry("op/config", {0, 1}, text);
    }
  }
  for (const std::string& it : InvalidEntries()) {
    EXPECT_FALSE(DecodeEntry("op/config", {0, 1}, it).config);
  }
}

TEST(ForeignEntriesTest, TheLastOfDuplicateMembersCounts) {
  std::string text = ToText(ValidFields());
  text.insert(text.size() - 1, R"(,"state":"draining")");
  const StoreChange change = DecodeEntry(kTargetKey, {0, 1}, text);
  ASSERT_TRUE(change.target);
  EXPECT_TRUE(change.target->draining);
}

discovery::TargetRecord MakeRecord(uint64_t instance) {
  discovery::TargetRecord record;
  record.id = "i-0000000" + std::to_string(instance);
  record.instance = instance;
  record.service = "s";
  record.address = {IpAddress::FromV4(0x0a000001),
                    static_cast<uint16_t>(1000 + instance)};
  record.start_time_ms = static_cast<int64_t>(instance);
  return record;
}

// Two targets, and another writer with its entries before, between and after
// theirs.
class ForeignWriterTest : public testing::Test {
 protected:
  static constexpr const char* kForeignIds[] = {"a-00000bad", "i-00000007x0bad",
                                                "inv-i-00000007", "z"};

  void SetUp() override {
    ASSERT_EQ(store_.Open({IpAddress::FromV4(0x7f000001), 0}), "");
    discovery::ConfigRecord config;
    config.version = 3;
    discovery::RouteRecord route;
    route.address = {IpAddress::FromV4(0xc6120001), 443};
    route.shares = {{"s", 1}};
    config.routes.push_back(route);
    store_.PutConfig(config);
    store_.PutTarget(MakeRecord(7));
    store_.PutTarget(MakeRecord(8));
  }

  void PutForeign(const std::string& value) {
    for (const char* it : kForeignIds) {
      store_.PutRaw(it, value);
    }
  }

  // The VM has both targets and follows the store: it learns of a drain.
  void ExpectInUse(FollowingVm& vm) {
    EXPECT_EQ(vm.StateOf(7), TargetState::kActive);
    EXPECT_EQ(vm.StateOf(8), TargetState::kActive);
    EXPECT_EQ(vm.registry.MakeView()->targets.size(), 2U);
  }

  // Values that between them have each kind of damage.
  static std::vector<std::string> Values() {
    return {std::string(kMaxValueBytes, '['),
            With("born", "99999999999999999999999999"),
            With("address", R"("10.0.0.1:65536")"),
            With("slots", "1e300"),
            Without("seq"),
            "\xff\xfe"};
  }

  StandInStore store_;
};

TEST_F(ForeignWriterTest, AVmThatListsUsesTheOtherTargets) {
  for (const std::string& it : Values()) {
    PutForeign(it);
    FollowingVm vm(store_.local_endpoint());
    vm.Steps(4);
    ExpectInUse(vm);
  }
}

TEST_F(ForeignWriterTest, AVmThatWatchesGoesOn) {
  FollowingVm vm(store_.local_endpoint());
  vm.Steps(3);
  for (const std::string& it : Values()) {
    PutForeign(it);
    vm.Steps(3);
    ExpectInUse(vm);
  }
  discovery::TargetRecord draining = MakeRecord(7);
  draining.draining = true;
  store_.PutTarget(draining);
  vm.Steps(2);
  EXPECT_EQ(vm.StateOf(7), TargetState::kDraining);
  EXPECT_EQ(vm.StateOf(8), TargetState::kActive);
}

TEST_F(ForeignWriterTest, ATargetIsUsedAgainOnceItCorrectsItsEntry) {
  FollowingVm vm(store_.local_endpoint());
  vm.Steps(3);
  for (const std::string& it : Values()) {
    store_.PutRaw("i-00000007", it);
    vm.Steps(2);
    EXPECT_EQ(vm.StateOf(7), TargetState::kRetired);
    EXPECT_EQ(vm.StateOf(8), TargetState::kActive);
    store_.PutTarget(MakeRecord(7));
    vm.Steps(2);
    ExpectInUse(vm);
  }
}

TEST_F(ForeignWriterTest, AVmBehindARelayGoesOn) {
  FollowingVm vm(store_.local_endpoint());
  vm.Steps(3);
  discovery::TargetRegistry behind({}, [](const Decision&) {});
  for (const std::string& it : Values()) {
    PutForeign(it);
    vm.Steps(3);
    const auto answer = vm.PollRelay(behind.position());
    const auto set =
        discovery::DecodeChangeSet(discovery::EncodeChangeSet(answer));
    ASSERT_TRUE(set);
    if (set->complete) {
      behind.ApplyListing({set->changes, set->position}, vm.now);
    } else {
      behind.ApplyChanges(set->changes, set->position, vm.now);
    }
    EXPECT_EQ(behind.position(), vm.registry.position());
    EXPECT_EQ(behind.MakeView()->targets.size(), 2U);
  }
}

TEST_F(ForeignWriterTest, AVmThatStartsFromASnapshotGoesOn) {
  FollowingVm vm(store_.local_endpoint());
  for (const std::string& it : Values()) {
    PutForeign(it);
    vm.Steps(3);
    const auto listing = discovery::DecodeSnapshot(
        discovery::EncodeSnapshot(vm.registry.Snapshot()));
    ASSERT_TRUE(listing);
    discovery::TargetRegistry other({}, [](const Decision&) {});
    other.ApplyListing(*listing, vm.now);
    EXPECT_EQ(other.MakeView()->targets.size(), 2U);
  }
}

TEST_F(ForeignWriterTest, AnEntryThatIsRepeatedIsLoggedOnce) {
  FollowingVm vm(store_.local_endpoint());
  vm.Steps(3);
  for (int i = 0; i < 50; ++i) {
    store_.PutRaw("z", With("slots", std::to_string(100'000 + i)));
    vm.Steps(2);
  }
  EXPECT_EQ(vm.CountLogged(discovery::kEntryIgnored), 1);
}

TEST_F(ForeignWriterTest, AnEntryWithoutStartTimeTakesNoTokenOfATarget) {
  // Its key ends with the number of a target and sorts before it.
  store_.PutRaw("a-00000007", Without("born"));
  FollowingVm vm(store_.local_endpoint());
  vm.Steps(4);
  const auto view = vm.registry.MakeView();
  for (const forward::Target& it : view->targets) {
    if (it.instance == 7) {
      EXPECT_EQ(it.id, "i-00000007");
    }
  }
}

}  // namespace
}  // namespace marjoramhall::platform
