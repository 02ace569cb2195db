// Guards against changes that take effect twice or not at all, against plans
// that are confirmed on a state that the operator did not see, and against
// malformed input.
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

TestJson PlanOf(PlanServiceCluster& world, size_t vm, const std::string& body) {
  return TestJson::parse(world.vm(vm).CreatePlan(body).json);
}

// Confirms and runs the store until the answer is there.
TestJson ConfirmAt(PlanServiceCluster& world, size_t vm, const TestJson& plan) {
  std::string answer;
  world.vm(vm).Confirm(
      plan.at("plan_id"), plan.dump(),
      [&](const PlanServiceResponse& it) { answer = it.json; });
  while (answer.empty() && !world.proposals.empty()) {
    world.RunProposal();
  }
  return TestJson::parse(answer);
}

TEST(PlanServiceTest, AnyVmConfirmsOnceHoweverOftenItIsAsked) {
  PlanServiceCluster world(3);
  const auto plan = PlanOf(world, 0, PlanBody("ana", Drain("long-0")));
  EXPECT_EQ(ConfirmAt(world, 1, plan)["revision"], 2);
  EXPECT_EQ(ConfirmAt(world, 2, plan)["revision"], 2);
  EXPECT_EQ(ConfirmAt(world, 0, plan)["revision"], 2);
  world.now += 10'000;  // an expired plan that was accepted stays accepted
  EXPECT_EQ(ConfirmAt(world, 0, plan)["revision"], 2);
  EXPECT_EQ(world.head().revision, 2U);
}

TEST(PlanServiceTest, LostAnswerIsSettledByConfirmingAgain) {
  PlanServiceCluster world(2);
  const auto plan = PlanOf(world, 0, PlanBody("ana", Drain("long-0")));
  std::string first;
  world.vm(0).Confirm(plan["plan_id"], "",
                      [&](const PlanServiceResponse& it) { first = it.json; });
  world.RunProposal(ProposeOutcome::kUnknown);
  EXPECT_EQ(TestJson::parse(first)["outcome"], "unknown");
  EXPECT_EQ(ConfirmAt(world, 0, plan)["outcome"], "ok");
  EXPECT_EQ(world.head().revision, 2U);
}

TEST(PlanServiceTest, StoreOutageIsSaidAndChangesNothing) {
  PlanServiceCluster world(1);
  const auto plan = PlanOf(world, 0, PlanBody("ana", Drain("long-0")));
  PlanServiceResponse answer;
  world.vm(0).Confirm(plan["plan_id"], "",
                      [&](const PlanServiceResponse& it) { answer = it; });
  world.RunProposal(ProposeOutcome::kUnavailable);
  EXPECT_EQ(answer.outcome, PlanServiceOutcome::kUnavailable);
  EXPECT_EQ(world.head().revision, 1U);
  EXPECT_EQ(ConfirmAt(world, 0, plan)["outcome"], "ok");
}

TEST(PlanServiceTest, ForgottenPlanIsNotAppliedAgain) {
  PlanServiceCluster world(1);
  world.Learn(0);
  const auto weight = [](int value) {
    return PlanBody("ana",
                    R"({"op": "set-weight", "name": "long-0", "weight": )" +
                        std::to_string(value) + "}");
  };
  const auto plan = PlanOf(world, 0, weight(50));
  EXPECT_EQ(ConfirmAt(world, 0, plan)["outcome"], "ok");
  for (size_t i = 0; i < config::kHistoryLimit; ++i) {
    const auto other =
        PlanOf(world, 0, weight(i % 2 == 0 ? 70 : 100));  // ends at the base
    EXPECT_EQ(ConfirmAt(world, 0, other)["outcome"], "ok");
  }
  const auto again = ConfirmAt(world, 0, plan);
  EXPECT_EQ(again["outcome"], "refused");
  EXPECT_TRUE(again.contains("new_plan"));
}

TEST(PlanServiceTest, WarningsThatAreNewAtTheConfirmationRefuseIt) {
  PlanServiceCluster world(2);
  std::vector<TestJson> plans;
  for (const char* it : {"long-0", "long-1"}) {
    plans.push_back(PlanOf(world, 0, PlanBody("ana", Drain(it))));
    EXPECT_TRUE(plans.back()["warnings"].empty()) << plans.back();
  }
  EXPECT_EQ(ConfirmAt(world, 0, plans[0])["outcome"], "ok");
  const auto second = ConfirmAt(world, 1, plans[1]);
  EXPECT_EQ(second["outcome"], "refused") << second;
  EXPECT_EQ(second["new_plan"]["warnings"][0]["code"], "several-drains long");
  EXPECT_EQ(ConfirmAt(world, 1, second["new_plan"])["outcome"], "ok");
}

TEST(PlanServiceTest, PlanShowsEffectsAndWarnings) {
  PlanServiceCluster world(1);
  const TargetId target = world.head().services[1].targets[0].id;
  world.load->targets[target] = {70, 2};
  const auto plan =
      PlanOf(world, 0,
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

TEST(PlanServiceTest, RemovalNeedsADrainedTargetWithoutWork) {
  PlanServiceCluster world(1);
  const std::string removal =
      PlanBody("ana", R"({"op": "remove-target", "name": "long-0"})");
  EXPECT_EQ(PlanOf(world, 0, removal)["outcome"], "refused");
  const auto drain = PlanOf(world, 0, PlanBody("ana", Drain("long-0")));
  EXPECT_EQ(ConfirmAt(world, 0, drain)["outcome"], "ok");
  const TargetId target = world.head().services[1].targets[0].id;
  world.load->targets[target] = {3, 0};
  const auto refused = PlanOf(world, 0, removal);
  EXPECT_NE(refused["reasons"][0].get<std::string>().find("cut 3 flows"),
            std::string::npos);
  world.load.reset();
  const auto unknown = PlanOf(world, 0, removal);
  EXPECT_EQ(unknown["warnings"][0]["code"], "counts-incomplete long-0");
  world.load = TargetLoads{{}, true};
  const auto plan = PlanOf(world, 0, removal);
  EXPECT_EQ(ConfirmAt(world, 0, plan)["outcome"], "ok");
  EXPECT_EQ(world.head().released.size(), 2U);
}

TEST(PlanServiceTest, OlderBaseRevisionGetsANewPlan) {
  PlanServiceCluster world(1);
  const auto first = PlanOf(world, 0, PlanBody("ana", Drain("long-0")));
  EXPECT_EQ(ConfirmAt(world, 0, first)["outcome"], "ok");
  const auto answer =
      PlanOf(world, 0,
             R"({"author": "b", "base_revision": 1, "operations": [)" +
                 Drain("short-0") + "]}");
  EXPECT_EQ(answer["outcome"], "refused");
  EXPECT_EQ(answer["new_plan"]["base_revision"], 2);
}

TEST(PlanServiceTest, ForgedAndForeignDocumentsAreRefused) {
  PlanServiceCluster world(1);
  const auto plan = PlanOf(world, 0, PlanBody("ana", Drain("long-0")));
  auto forged = plan;
  std::string payload = forged["document"]["payload"];
  payload.replace(payload.find("long-0"), 6, "long-1");
  forged["document"]["payload"] = payload;
  EXPECT_EQ(ConfirmAt(world, 0, forged)["outcome"], "bad-request");
  auto renamed = plan;
  renamed["plan_id"] = std::string(32, '0');
  EXPECT_EQ(ConfirmAt(world, 0, renamed)["outcome"], "bad-request");
  world.now += 601;
  EXPECT_EQ(ConfirmAt(world, 0, plan)["reasons"][0], "the plan has expired");
  EXPECT_EQ(world.head().revision, 1U);
}

RC_GTEST_PROP(PlanServiceTest, MalformedBodiesAreRefused, ()) {
  PlanServiceCluster world(1);
  const auto plan = PlanOf(world, 0, PlanBody("ana", Drain("long-0")));
  std::string body =
      *rc::gen::element(plan.dump(), PlanBody("ana", Drain("long-0")));
  const auto position = *rc::gen::inRange<size_t>(0, body.size());
  body.resize(position);
  body += *rc::gen::arbitrary<std::string>();
  RC_ASSERT(world.vm(0).CreatePlan(body).outcome ==
            PlanServiceOutcome::kBadRequest);
  if (!body.empty()) {
    world.vm(0).Confirm(
        plan["plan_id"], body, [](const PlanServiceResponse& it) {
          RC_ASSERT(it.outcome == PlanServiceOutcome::kBadRequest);
        });
  }
  RC_ASSERT(world.proposals.empty());
}

// A number below `end`, whatever the size that RapidCheck has reached.
size_t AnyBelow(size_t end) {
  return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<size_t>(0, end));
}

// Operators at three VMs plan and confirm in any order, with lost answers and
// outages; the history must be one chain with each plan at most once.
RC_GTEST_PROP(PlanServiceTest, RacingOperatorsGetOneHistory, ()) {
  PlanServiceCluster world(3);
  std::vector<TestJson> plans;
  std::map<std::string, Revision> accepted;
  bool revision_differs = false;
  for (int step = 0; step < 60; ++step) {
    const size_t vm = AnyBelow(3);
    const size_t action = AnyBelow(7);
    if (action == 0) {
      world.Learn(vm);
    } else if (action <= 2) {
      const std::string target = *rc::gen::element<std::string>(
          "long-0", "long-1", "short-0", "short-1");
      const size_t weight = AnyBelow(4);
      auto plan = PlanOf(world, vm,
                         PlanBody("op", R"({"op": "set-weight", "name": ")" +
                                            target + R"(", "weight": )" +
                                            std::to_string(weight) + "}"));
      if (plan["outcome"] == "ok") {
        plans.push_back(std::move(plan));
      }
    } else if (action <= 4 && !plans.empty()) {
      const auto& plan = plans[AnyBelow(plans.size())];
      const std::string id = plan["plan_id"];
      world.vm(vm).Confirm(
          id, plan.dump(), [&, id](const PlanServiceResponse& it) {
            if (it.outcome == PlanServiceOutcome::kOk) {
              const Revision revision = TestJson::parse(it.json)["revision"];
              const auto known = accepted.insert({id, revision}).first;
              revision_differs = revision_differs || known->second != revision;
            }
          });
    } else if (!world.proposals.empty()) {
      world.RunProposal(*rc::gen::element(
          ProposeOutcome::kAccepted, ProposeOutcome::kAccepted,
          ProposeOutcome::kUnknown, ProposeOutcome::kUnavailable));
    }
  }
  RC_ASSERT(!revision_differs);
  std::map<std::string, Revision> recorded;
  for (const auto& it : world.head().history) {
    RC_ASSERT(recorded.insert({it.change_id, it.revision}).second);
    RC_ASSERT(it.revision == recorded.size());
  }
  for (const auto& [id, revision] : accepted) {
    RC_ASSERT(recorded.at(id) == revision);
  }
  RC_TAG(std::to_string(recorded.size() / 3 * 3) + "+ changes");
}

// The whole exchange of two operators who race, with plan ids as P1, P2, ...
TEST(PlanServiceTest, TwoOperatorsRacingMatchTheGoldenFile) {
  PlanServiceCluster world(2);
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
  const auto ana = PlanOf(world, 0, PlanBody("ana", Drain("long-0")));
  note("ana plans at vm-0", ana);
  const auto bo = PlanOf(
      world, 1, PlanBody("bo", Drain("long-0") + "," + Drain("short-0")));
  note("bo plans at vm-1", bo);
  const auto cy = PlanOf(
      world, 1,
      PlanBody("cy",
               R"({"op": "set-weight", "name": "short-1", "weight": 10})"));
  note("cy plans at vm-1", cy);
  note("ana confirms at vm-0", ConfirmAt(world, 0, ana));
  const auto refused = ConfirmAt(world, 1, bo);
  note("bo confirms at vm-1 and loses the race", refused);
  note("cy confirms at vm-1 and is merged", ConfirmAt(world, 1, cy));
  note("ana confirms again at vm-1", ConfirmAt(world, 1, ana));
  note("history at vm-1", TestJson::parse(world.vm(1).History().json));

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
