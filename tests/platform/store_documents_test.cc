// Guards against entries of other programs and against fields that are missing,
// of another type or out of range. Such an entry gives no target and does not
// affect other entries.
#include "platform/store_documents.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace marjoramhall::platform {
namespace {

using discovery::StoreChange;

constexpr char kTargetJson[] =
    R"({"service":"huvo11a","address":"10.128.0.9:8080","zone":"valley-a",)"
    R"("version":"v1","slots":3,"state":"ready","warmup_left_ms":250,"seq":4,)"
    R"("born":1700000000123})";

StoreChange DecodeTarget(const std::string& value) {
  return DecodeEntry("servers/i-7f3a91c2", {0, 5}, value);
}

// Returns kTargetJson with one replacement.
std::string Replaced(const std::string& from, const std::string& to) {
  std::string text = kTargetJson;
  text.replace(text.find(from), from.size(), to);
  return text;
}

TEST(StoreDocumentsTest, ReadsATarget) {
  const StoreChange change = DecodeTarget(kTargetJson);
  ASSERT_TRUE(change.target) << change.error;
  EXPECT_TRUE(change.is_target);
  EXPECT_EQ(change.position.revision, 5U);
  EXPECT_EQ(change.target->id, "i-7f3a91c2");
  EXPECT_EQ(change.target->instance, 0x7f3a91c2U);
  EXPECT_EQ(change.target->service, "huvo11a");
  EXPECT_EQ(change.target->address.ToString(), "10.128.0.9:8080");
  EXPECT_EQ(change.target->failure_domain, "valley-a");
  EXPECT_EQ(change.target->slots, 3U);
  EXPECT_FALSE(change.target->draining);
  EXPECT_EQ(change.target->warm_up_left, std::chrono::milliseconds(250));
  EXPECT_EQ(change.target->start_time_ms, 1700000000123);
}

TEST(StoreDocumentsTest, ReadsADrainingTarget) {
  EXPECT_TRUE(DecodeTarget(Replaced("ready", "draining")).target->draining);
}

TEST(StoreDocumentsTest, RejectsInvalidTargets) {
  for (const std::string& text :
       {std::string(), std::string("\xff\xfe"), std::string("[]"),
        std::string("null"), Replaced("\"huvo11a\"", "7"),
        Replaced("10.128.0.9:8080", "host:80"),
        Replaced("10.128.0.9:8080", "10.128.0.9:0"),
        Replaced("\"ready\"", "\"starting\""), Replaced("\"ready\"", "true"),
        Replaced("\"slots\":3", "\"slots\":0"),
        Replaced("\"slots\":3", "\"slots\":-1"),
        Replaced("\"slots\":3", "\"slots\":1e300"),
        Replaced("\"slots\":3", "\"slots\":\"3\"")}) {
    const StoreChange change = DecodeTarget(text);
    EXPECT_FALSE(change.target) << text;
    EXPECT_TRUE(change.is_target) << text;
    EXPECT_FALSE(change.error.empty()) << text;
  }
}

TEST(StoreDocumentsTest, ReadsATargetWithoutAStartTime) {
  // The platform's examples of entries have none.
  const StoreChange change =
      DecodeTarget(Replaced(R"(,"born":1700000000123)", ""));
  ASSERT_TRUE(change.target) << change.error;
  EXPECT_EQ(change.target->start_time_ms, 0);
}

TEST(StoreDocumentsTest, IgnoresOtherKeys) {
  const StoreChange change = DecodeEntry("status/x", {0, 5}, kTargetJson);
  EXPECT_FALSE(change.is_target || change.target || change.config);
  EXPECT_TRUE(change.error.empty());
}

TEST(StoreDocumentsTest, AnEvacuationHoldsWhateverItsValue) {
  for (const char* value : {"{}", "", "null", "[[", R"({"zone":"b"})"}) {
    const StoreChange change =
        DecodeEntry("op/evacuate/zone \"a\"/1", {0, 5}, value);
    EXPECT_EQ(change.evacuated_domain, "zone \"a\"/1") << value;
    EXPECT_FALSE(change.removed);
    EXPECT_TRUE(change.error.empty());
  }
  const StoreChange removal = DecodeRemoval("op/evacuate/a", {0, 6});
  EXPECT_EQ(removal.evacuated_domain, "a");
  EXPECT_TRUE(removal.removed);
}

TEST(StoreDocumentsTest, AnEvacuationWithoutADomainIsReported) {
  const StoreChange change = DecodeEntry("op/evacuate/", {0, 5}, "{}");
  EXPECT_TRUE(change.evacuated_domain.empty());
  EXPECT_FALSE(change.error.empty());
  EXPECT_TRUE(DecodeEntry("op/evacuated", {0, 5}, "{}").error.empty());
}

TEST(StoreDocumentsTest, ReadsAConfiguration) {
  const StoreChange change = DecodeEntry(
      "op/config", {0, 9},
      R"({"version":7,"routes":[)"
      R"({"name":"a","host":"198.18.0.1","prefix":"/8080/",)"
      R"("type":"non_idempotent","timeout_ms":2000,"target_latency_ms":300,)"
      R"("priority":1,"service":"s1"},)"
      R"({"name":"b","host":"198.18.0.1","prefix":"/8443/","type":"download",)"
      R"("priority":2,"traffic_split":[{"service":"s1","weight":90},)"
      R"({"service":"s2","weight":10}]},)"
      R"({"name":"broken","host":"198.18.0.1","prefix":"8443"}],)"
      R"("limits":{"idle_timeout_ms":15000}})");
  ASSERT_TRUE(change.config);
  EXPECT_EQ(change.error, "1 invalid routes ignored");
  EXPECT_EQ(change.config->version, 7U);
  ASSERT_EQ(change.config->routes.size(), 2U);
  const auto& first = change.config->routes[0];
  EXPECT_EQ(first.address.ToString(), "198.18.0.1:8080");
  EXPECT_EQ(first.idempotency, forward::Idempotency::kNonIdempotent);
  EXPECT_EQ(first.timeout, std::chrono::seconds(2));
  const auto& second = change.config->routes[1];
  EXPECT_EQ(second.idempotency, forward::Idempotency::kIdempotent);
  ASSERT_EQ(second.shares.size(), 2U);
  EXPECT_EQ(second.shares[1].weight, 10U);
  EXPECT_EQ(change.config->flow_idle_timeout, std::chrono::seconds(15));
}

TEST(StoreDocumentsTest, RejectsConfigurationWithoutAVersion) {
  for (const char* text : {"{}", R"({"version":0,"routes":[]})",
                           R"({"version":"7","routes":[]})", "x"}) {
    const StoreChange change = DecodeEntry("op/config", {0, 9}, text);
    EXPECT_FALSE(change.config) << text;
    EXPECT_FALSE(change.error.empty()) << text;
  }
}

RC_GTEST_PROP(StoreDocumentsProperty,
              RejectsAnyOtherBytes,
              (const std::string& bytes)) {
  RC_ASSERT(!DecodeTarget(bytes).target);
  DecodeEntry("op/config", {0, 1}, bytes);
}

TEST(StoreDocumentsTest, ReadsTheWarmUpRatesOfServices) {
  const std::string head = R"({"version":1,"routes":[],"services":)";
  const auto services_of = [&head](const std::string& services) {
    const StoreChange change =
        DecodeEntry("op/config", {0, 5}, head + services + "}");
    EXPECT_TRUE(change.config && change.error.empty()) << services;
    return change.config->services;
  };
  const std::vector<discovery::ServiceRecord> expected = {
      {"a", 7.5}, {"c", 0}, {"b", 3}};
  EXPECT_EQ(services_of(R"([{"name":"a","warmup_s":2.0,"warmup_per_s":7.5},)"
                        R"({"name":"c","warmup_s":2.0,"warmup_per_s":0.0},)"
                        R"({"name":"b","warmup_per_s":3}])"),
            expected);
  for (const char* it :
       {"null", "{}", "7", "[]", "[null,7,[]]", R"([{"warmup_per_s":3}])",
        R"([{"name":7,"warmup_per_s":3}])"}) {
    EXPECT_TRUE(services_of(it).empty()) << it;
  }
  const std::vector<discovery::ServiceRecord> unlimited = {{"a", 0}};
  for (const char* it :
       {R"([{"name":"a"}])", R"([{"name":"a","warmup_per_s":-1}])",
        R"([{"name":"a","warmup_per_s":"3"}])",
        R"([{"name":"a","warmup_per_s":null}])",
        R"([{"name":"a","warmup_per_s":1e300}])"}) {
    EXPECT_EQ(services_of(it), unlimited) << it;
  }
}

}  // namespace
}  // namespace marjoramhall::platform
