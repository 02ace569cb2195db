// Guards against changes that take effect twice or are lost, against the
// confirmation of plans whose effects have changed since, and against malformed
// input.
#include "src/control/plan_service.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <fstream>
#include <iterator>
#include <map>
#include <set>

#include "tests/control/plan_service_cluster.h"

namespace marjoramhall::control {
namespace {

TestJson PlanOf(PlanServiceCluster& cluster,
                size_t vm,
                const std::string& body) {
  return TestJson::parse(cluster.vm(vm).CreatePlan(body).json);
}

// Confirms a plan and runs proposals until the response arrives.
TestJson ConfirmAt(PlanServiceCluster& cluster,
                   size_t vm,
                   const TestJson& plan) {
  std::string response;
  cluster.vm(vm).Confirm(
      plan.at("plan_id"), plan.dump(),
      [&](const PlanServiceResponse& it) { response = it.json; });
  while (response.empty() && !cluster.proposals.empty()) {
    cluster.RunProposal();
  }
  return TestJson::parse(response);
}

TEST(PlanServiceTest, RepeatedConfirmationsAtAnyVmTakeEffectOnce) {
  PlanServiceCluster cluster(3);
  const auto plan = PlanOf(cluster, 0, PlanBody("ana", Drain("long-0")));
  EXPECT_EQ(ConfirmAt(cluster, 1, plan)["revision"], 2);
  EXPECT_EQ(ConfirmAt(cluster, 2, plan)["revision"], 2);
  EXPECT_EQ(ConfirmAt(cluster, 0, plan)["revision"], 2);
  cluster.now += 10'000;  // an expired plan that was accepted stays accepted
  EXPECT_EQ(ConfirmAt(cluster, 0, plan)["revision"], 2);
  EXPECT_EQ(cluster.head().revision, 2U);
}

TEST(PlanServiceTest, ConfirmingAgainResolvesALostResponse) {
  PlanServiceCluster cluster(2);
  const auto plan = PlanOf(cluster, 0, PlanBody("ana", Drain("long-0")));
  std::string first;
  cluster.vm(0).Confirm(
      plan["plan_id"], "",
      [&](const PlanServiceResponse& it) { first = it.json; });
  cluster.RunProposal(ProposeOutcome::kUnknown);
  EXPECT_EQ(TestJson::parse(first)["outcome"], "unknown");
  EXPECT_EQ(ConfirmAt(cluster, 0, plan)["outcome"], "ok");
  EXPECT_EQ(cluster.head().revision, 2U);
}

TEST(PlanServiceTest, StoreOutageIsReportedAndChangesNothing) {
  PlanServiceCluster cluster(1);
  const auto plan = PlanOf(cluster, 0, PlanBody("ana", Drain("long-0")));
  PlanServiceResponse response;
  cluster.vm(0).Confirm(plan["plan_id"], "",
                        [&](const PlanServiceResponse& it) { response = it; });
  cluster.RunProposal(ProposeOutcome::kUnavailable);
  EXPECT_EQ(response.outcome, PlanServiceOutcome::kUnavailable);
  EXPECT_EQ(cluster.head().revision, 1U);
  EXPECT_EQ(ConfirmAt(cluster, 0, plan)["outcome"], "ok");
}

TEST(PlanServiceTest, PlanOlderThanTheHistoryIsRefused) {
  PlanServiceCluster cluster(1);
  cluster.Learn(0);
  const auto weight = [](int value) {
    return PlanBody("ana",
                    R"({"op": "set-weight", "name": "long-0", "weight": )" +
                        std::to_string(value) + "}");
  };
  const auto plan = PlanOf(cluster, 0, weight(50));
  EXPECT_EQ(ConfirmAt(cluster, 0, plan)["outcome"], "ok");
  // The last change restores the weight of the plan's base, so that only the
  // history tells the states apart.
  for (size_t i = 0; i < config::kHistoryLimit; ++i) {
    const auto other = PlanOf(cluster, 0, weight(i % 2 == 0 ? 70 : 100));
    EXPECT_EQ(ConfirmAt(cluster, 0, other)["outcome"], "ok");
  }
  const auto again = ConfirmAt(cluster, 0, plan);
  EXPECT_EQ(again["outcome"], "refused");
  EXPECT_TRUE(again.contains("new_plan"));
}

TEST(PlanServiceTest, ConfirmationWithANewWarningIsRefused) {
  PlanServiceCluster cluster(2);
  std::vector<TestJson> plans;
  for (const char* it : {"long-0", "long-1"}) {
    plans.push_back(PlanOf(cluster, 0, PlanBody("ana", Drain(it))));
    EXPECT_TRUE(plans.back()["warnings"].empty()) << plans.back();
  }
  EXPECT_EQ(ConfirmAt(cluster, 0, plans[0])["outcome"], "ok");
  const auto second = ConfirmAt(cluster, 1, plans[1]);
  EXPECT_EQ(second["outcome"], "refused") << second;
  EXPECT_EQ(second["new_plan"]["warnings"][0]["code"], "several-drains long");
  EXPECT_EQ(ConfirmAt(cluster, 1, second["new_plan"])["outcome"], "ok");
}

TEST(PlanServiceTest, PlanShowsEffectsAndWarnings) {
  PlanServiceCluster cluster(1);
  const TargetId target = cluster.head().services[1].targets[0].id;
  cluster.load->targets[target] = {70, 2};
  const auto plan =
      PlanOf(cluster, 0,
             PlanBody("ana", Drain("long-0") + "," + Drain("long-1") + "," +
                                 Drain("long-2") + "," + Drain("long-3")));
  const auto& effect = plan["services"][0];
  EXPECT_EQ(effect["moved_share"], 1.0);
  EXPECT_EQ(effect["flows_at_draining_targets"], 70);
  EXPECT_EQ(effect["flows_cut"], 0);
  EXPECT_EQ(effect["slots_after"], 0);
  std::set<std::string> codes;
  for (const auto& it : plan["warnings"]) {
    codes.insert(it["code"]);
  }
  EXPECT_EQ(codes,
            (std::set<std::string>{"last-target long", "several-drains long",
                                   "third-of-domain a", "third-of-domain b",
                                   "capacity long"}));
}

TEST(PlanServiceTest, RemovalNeedsADrainedTargetWithoutLoad) {
  PlanServiceCluster cluster(1);
  const std::string removal =
      PlanBody("ana", R"({"op": "remove-target", "name": "long-0"})");
  EXPECT_EQ(PlanOf(cluster, 0, removal)["outcome"], "refused");
  const auto drain = PlanOf(cluster, 0, PlanBody("ana", Drain("long-0")));
  EXPECT_EQ(ConfirmAt(cluster, 0, drain)["outcome"], "ok");
  const TargetId target = cluster.head().services[1].targets[0].id;
  cluster.load->targets[target] = {3, 0};
  const auto refused = PlanOf(cluster, 0, removal);
  EXPECT_NE(refused["reasons"][0].get<std::string>().find("cut 3 flows"),
            std::string::npos);
  cluster.load.reset();
  const auto unknown = PlanOf(cluster, 0, removal);
  EXPECT_EQ(unknown["warnings"][0]["code"], "counts-incomplete long-0");
  cluster.load = TargetLoads{{}, true};
  const auto plan = PlanOf(cluster, 0, removal);
  EXPECT_EQ(ConfirmAt(cluster, 0, plan)["outcome"], "ok");
  EXPECT_EQ(cluster.head().released.size(), 2U);
}

TEST(PlanServiceTest, OlderBaseRevisionGetsANewPlan) {
  PlanServiceCluster cluster(1);
  const auto first = PlanOf(cluster, 0, PlanBody("ana", Drain("long-0")));
  EXPECT_EQ(ConfirmAt(cluster, 0, first)["outcome"], "ok");
  const auto response =
      PlanOf(cluster, 0,
             R"({"author": "b", "base_revision": 1, "operations": [)" +
                 Drain("short-0") + "]}");
  EXPECT_EQ(response["outcome"], "refused");
  EXPECT_EQ(response["new_plan"]["base_revision"], 2);
}

TEST(PlanServiceTest, ForgedAndForeignDocumentsAreRefused) {
  PlanServiceCluster cluster(1);
  const auto plan = PlanOf(cluster, 0, PlanBody("ana", Drain("long-0")));
  auto forged = plan;
  std::string payload = forged["document"]["payload"];
  payload.replace(payload.find("long-0"), 6, "long-1");
  forged["document"]["payload"] = payload;
  EXPECT_EQ(ConfirmAt(cluster, 0, forged)["outcome"], "bad-request");
  auto renamed = plan;
  renamed["plan_id"] = std::string(32, '0');
  EXPECT_EQ(ConfirmAt(cluster, 0, renamed)["outcome"], "bad-request");
  cluster.now += 601;
  EXPECT_EQ(ConfirmAt(cluster, 0, plan)["reasons"][0], "the plan has expired");
  EXPECT_EQ(cluster.head().revision, 1U);
}

RC_GTEST_PROP(PlanServiceTest, MalformedBodiesAreRefused, ()) {
  PlanServiceCluster cluster(1);
  const auto plan = PlanOf(cluster, 0, PlanBody("ana", Drain("long-0")));
  std::string body =
      *rc::gen::element(plan.dump(), PlanBody("ana", Drain("long-0")));
  const auto position = *rc::gen::inRange<size_t>(0, body.size());
  body.resize(position);
  body += *rc::gen::arbitrary<std::string>();
  RC_ASSERT(cluster.vm(0).CreatePlan(body).outcome ==
            PlanServiceOutcome::kBadRequest);
  if (!body.empty()) {
    cluster.vm(0).Confirm(
        plan["plan_id"], body, [](const PlanServiceResponse& it) {
          RC_ASSERT(it.outcome == PlanServiceOutcome::kBadRequest);
        });
  }
  RC_ASSERT(cluster.proposals.empty());
}

// A random number below `end`, independent of the size parameter of RapidCheck.
size_t RandomBelow(size_t end) {
  return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<size_t>(0, end));
}

// Operators at three VMs plan and confirm in random order, with lost responses
// and outages. Guards against a history that has gaps or contains a plan twice.
RC_GTEST_PROP(PlanServiceTest, ConcurrentOperatorsGetOneHistory, ()) {
  PlanServiceCluster cluster(3);
  std::vector<TestJson> plans;
  std::map<std::string, Revision> accepted;
  bool revision_differs = false;
  for (int step = 0; step < 60; ++step) {
    const size_t vm = RandomBelow(3);
    const size_t action = RandomBelow(7);
    if (action == 0) {
      cluster.Learn(vm);
    } else if (action <= 2) {
      const std::string target = *rc::gen::element<std::string>(
          "long-0", "long-1", "short-0", "short-1");
      const size_t weight = RandomBelow(4);
      auto plan = PlanOf(cluster, vm,
                         PlanBody("op", R"({"op": "set-weight", "name": ")" +
                                            target + R"(", "weight": )" +
                                            std::to_string(weight) + "}"));
      if (plan["outcome"] == "ok") {
        plans.push_back(std::move(plan));
      }
    } else if (action <= 4 && !plans.empty()) {
      const auto& plan = plans[RandomBelow(plans.size())];
      const std::string id = plan["plan_id"];
      cluster.vm(vm).Confirm(
          id, plan.dump(), [&, id](const PlanServiceResponse& it) {
            if (it.outcome == PlanServiceOutcome::kOk) {
              const Revision revision = TestJson::parse(it.json)["revision"];
              const auto known = accepted.insert({id, revision}).first;
              revision_differs = revision_differs || known->second != revision;
            }
          });
    } else if (!cluster.proposals.empty()) {
      cluster.RunProposal(*rc::gen::element(
          ProposeOutcome::kAccepted, ProposeOutcome::kAccepted,
          ProposeOutcome::kUnknown, ProposeOutcome::kUnavailable));
    }
  }
  RC_ASSERT(!revision_differs);
  std::map<std::string, Revision> recorded;
  for (const auto& it : cluster.head().history) {
    RC_ASSERT(recorded.insert({it.change_id, it.revision}).second);
    RC_ASSERT(it.revision == recorded.size());
  }
  for (const auto& [id, revision] : accepted) {
    RC_ASSERT(recorded.at(id) == revision);
  }
  RC_TAG(std::to_string(recorded.size() / 3 * 3) + "+ changes");
}

// Compares all responses to operators with conflicting and mergeable plans.
// Plan ids are replaced by P1, P2, ...
TEST(PlanServiceTest, RaceOfTwoOperatorsMatchesTheGoldenFile) {
  PlanServiceCluster cluster(2);
  std::string transcript;
  std::vector<std::string> ids;
  const auto note = [&](const std::string& title, TestJson json) {
    json.erase("document");
    if (json.contains("new_plan")) {
      json["new_plan"].erase("document");
      ids.push_back(json["new_plan"]["plan_id"]);
    } else if (json.contains("base_revision")) {
      ids.push_back(json["plan_id"]);
    }
    std::string text = json.dump(1);
    for (size_t i = 0; i < ids.size(); ++i) {
      for (size_t at = text.find(ids[i]); at != std::string::npos;
           at = text.find(ids[i])) {
        text.replace(at, ids[i].size(), "P" + std::to_string(i + 1));
      }
    }
    transcript += "# " + title + "\n" + text + "\n";
  };
  const auto ana = PlanOf(cluster, 0, PlanBody("ana", Drain("long-0")));
  note("ana plans at vm-0", ana);
  const auto bo = PlanOf(
      cluster, 1, PlanBody("bo", Drain("long-0") + "," + Drain("short-0")));
  note("bo plans at vm-1", bo);
  const auto cy = PlanOf(
      cluster, 1,
      PlanBody("cy",
               R"({"op": "set-weight", "name": "short-1", "weight": 10})"));
  note("cy plans at vm-1", cy);
  note("ana confirms at vm-0", ConfirmAt(cluster, 0, ana));
  const auto refused = ConfirmAt(cluster, 1, bo);
  note("bo confirms at vm-1 and loses the race", refused);
  note("cy confirms at vm-1 and is merged", ConfirmAt(cluster, 1, cy));
  note("ana confirms again at vm-1", ConfirmAt(cluster, 1, ana));
  note("history at vm-1", TestJson::parse(cluster.vm(1).History().json));

  const std::string path = MARJORAMHALL_TEST_DIR "/intent_race.golden";
  std::ifstream in(path);
  const std::string golden(std::istreambuf_iterator<char>(in), {});
  if (golden != transcript) {
    std::ofstream("intent_race.actual") << transcript;
  }
  EXPECT_EQ(transcript, golden) << "actual text is in intent_race.actual";
}

}  // namespace
}  // namespace marjoramhall::control
