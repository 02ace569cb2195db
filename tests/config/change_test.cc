// Guards against changes that make a valid deployment invalid, reuse ids, or
// are merged although they concern the same object.
#include "src/config/change.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "src/config/merge.h"
#include "src/config/validation.h"
#include "tests/config/test_deployment.h"

namespace marjoramhall::config {
namespace {

using enum OperationKind;

std::string TargetName(int i) {
  return (i < 4 ? "short-" : "long-") + std::to_string(i % 4);
}

Operation RandomOperation() {
  const auto kind = *rc::gen::element(kDrainTarget, kUndrainTarget, kSetWeight,
                                      kChangeTarget, kRemoveTarget, kAddTarget);
  const int i = *rc::gen::inRange(0, 8);
  Operation it = MakeOperation(kind, TargetName(i));
  if (kind == kAddTarget) {
    it = AddTarget(
        i < 4 ? "short" : "long",
        MakeTestTarget(TargetName(i), static_cast<uint32_t>(i) + 300));
  }
  it.weight = kind == kSetWeight ? *rc::gen::inRange(0U, 200U) : 0;
  if (kind == kChangeTarget) {
    it.set = R"({"slots":)" + std::to_string(*rc::gen::inRange(1, 9)) + "}";
  }
  return it;
}

std::string JoinLines(const std::vector<std::string>& list) {
  std::string text;
  for (const std::string& it : list) {
    text += it + "\n";
  }
  return text;
}

RC_GTEST_PROP(ChangeTest, OperationsRoundTripThroughJson, ()) {
  std::vector<Operation> operations(*rc::gen::inRange(1, 5));
  for (Operation& it : operations) {
    it = RandomOperation();
  }
  std::string error;
  const auto read =
      OperationsFromJson(OperationsToJson(operations), "operations", &error);
  RC_ASSERT(error.empty());
  RC_ASSERT(read == operations);
}

RC_GTEST_PROP(ChangeTest, ChangesKeepADeploymentValidAndAssignNewIds, ()) {
  Deployment current = MakeTestDeployment();
  uint32_t largest_id = current.next_target_id - 1;
  for (int step = 0; step < 12; ++step) {
    const Operation operation = RandomOperation();
    const auto result = ApplyChange(current, {&operation, 1}, {"c", "", "", 0});
    if (!result.errors.empty()) {
      continue;
    }
    RC_ASSERT(ValidateDeployment(result.deployment).empty());
    RC_ASSERT(result.deployment.revision == current.revision + 1);
    if (operation.kind == kAddTarget) {
      const auto& service =
          result.deployment.services[operation.service == "short" ? 0 : 1];
      RC_ASSERT(ToInteger(service.targets.back().id) > largest_id);
      largest_id = ToInteger(service.targets.back().id);
    }
    current = result.deployment;
  }
}

RC_GTEST_PROP(ChangeTest, PlansOnDifferentObjectsMergeAndOthersConflict, ()) {
  const Deployment base = MakeTestDeployment();
  const Operation a = RandomOperation();
  const Operation b = RandomOperation();
  const auto after_a = ApplyChange(base, {&a, 1}, {"a", "", "", 0});
  const auto after_b = ApplyChange(base, {&b, 1}, {"b", "", "", 0});
  RC_PRE(after_a.errors.empty() && after_b.errors.empty());
  const auto fingerprints = FingerprintObjects(base, {&b, 1});
  const auto conflicts = FindConflicts(after_a.deployment, fingerprints);
  const bool a_changed = after_a.deployment.services != base.services;
  RC_ASSERT(conflicts.empty() == (a.name != b.name || !a_changed));
  if (conflicts.empty()) {
    RC_ASSERT(ApplyChange(after_a.deployment, {&b, 1}, {"b", "", "", 0})
                  .errors.empty());
  }
}

TEST(ChangeTest, RemovalOfAServiceConflictsWithANewTargetOfIt) {
  const Deployment base = MakeTestDeployment();
  const Operation removal = MakeOperation(kRemoveService, "long");
  const Operation addition = AddTarget("long", MakeTestTarget("new", 400));
  const auto fingerprints = FingerprintObjects(base, {&removal, 1});
  const auto current = ApplyChange(base, {&addition, 1}, {"a", "", "", 0});
  EXPECT_EQ(JoinLines(FindConflicts(current.deployment, fingerprints)),
            "targets of service long\n");
}

TEST(ChangeTest, ObjectThatWasReplacedByAnEqualOneConflicts) {
  const Deployment base = MakeTestDeployment();
  const Operation weight = MakeOperation(kSetWeight, "long-1");
  const auto fingerprints = FingerprintObjects(base, {&weight, 1});
  const Operation replace[] = {MakeOperation(kRemoveTarget, "long-1"),
                               AddTarget("long", base.services[1].targets[1])};
  const auto current = ApplyChange(base, replace, {"a", "", "", 0});
  ASSERT_EQ(JoinLines(current.errors), "");
  EXPECT_EQ(FindConflicts(current.deployment, fingerprints).size(), 1U);
}

TEST(ChangeTest, ReportsEveryViolatedRule) {
  Target shared = MakeTestTarget("bad name", 101);
  shared.domain = "nowhere";
  shared.slots = 0;
  const Operation operations[] = {MakeOperation(kDrainTarget, "none"),
                                  AddTarget("none", MakeTestTarget("x", 9)),
                                  AddTarget("long", shared)};
  const std::string errors = JoinLines(
      ApplyChange(MakeTestDeployment(), operations, {"a", "", "", 0}).errors);
  for (const char* it :
       {"operations[0]: target \"none\" does not exist",
        "operations[1]: service \"none\" does not exist",
        "failure domain \"nowhere\" does not exist", "slots must be from 1",
        "already belongs to target short-0", "a name has 1 to 64"}) {
    EXPECT_NE(errors.find(it), std::string::npos) << it << " in\n" << errors;
  }
}

TEST(ChangeTest, MalformedOperationsAreReportedWithTheirPath) {
  std::string error;
  EXPECT_FALSE(OperationsFromJson(
      R"([{"op": "drain-target"}, {"op": "fly"}, {"op": "set-weight",
       "name": "t", "weight": -1}, {"op": "change-target", "name": "t",
       "set": {"flow_endpoint": "10.0.0.1:1"}}, {"op": "add-domain",
       "domain": {"name": "d"}, "extra": 1}, 7])",
      "operations", &error));
  for (const char* it :
       {"operations[0].name: missing", "operations[1].op: expected one of",
        "operations[2].weight: expected a whole number",
        "operations[3].set.flow_endpoint: unknown key",
        "operations[4].extra: unknown key",
        "operations[5]: expected an object"}) {
    EXPECT_NE(error.find(it), std::string::npos) << it << " in\n" << error;
  }
}

TEST(ChangeTest, HistoryIsLimitedAndReportsWhatItCovers) {
  Deployment current = MakeTestDeployment();
  for (uint32_t i = 0; i < kHistoryLimit; ++i) {
    Operation it = MakeOperation(kSetWeight, "long-0");
    it.weight = i;
    current = ApplyChange(current, {&it, 1}, {std::to_string(i), "", "", 0})
                  .deployment;
  }
  EXPECT_EQ(current.history.size(), kHistoryLimit);
  EXPECT_EQ(current.revision, kHistoryLimit + 1);
  EXPECT_FALSE(HistoryCovers(current, 0));
  EXPECT_TRUE(HistoryCovers(current, 1));
}

// Guards against accepting a deployment file with a service without targets,
// which could not serve any request.
TEST(ChangeTest, InitialServiceWithoutTargetsIsAnError) {
  Deployment written;
  written.domains.push_back({"d", ""});
  Service service;
  service.name = "empty";
  service.host = "empty.example";
  service.flow_address = *Endpoint::Parse("127.0.0.9:443");
  written.services.push_back(service);
  const auto result =
      MakeInitialDeployment(written, "lineage", {"c", "a", "", 0});
  ASSERT_EQ(result.errors.size(), 1U);
  EXPECT_EQ(result.errors[0], "service empty: expected at least one target");
}

}  // namespace
}  // namespace marjoramhall::config
