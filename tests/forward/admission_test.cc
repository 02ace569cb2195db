// Guards against an admission that refuses what could be served, lets in what
// the targets can't finish in time, or serves what is less urgent first.
#include "src/forward/admission.h"

#include <gtest/gtest.h>

namespace marjoramhall::forward {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr ServiceId kService{1};

class AdmissionTest : public testing::Test {
 protected:
  AdmissionTest() : admission_(AdmissionOptions{}) {
    urgent_.priority = 1;
    urgent_.latency_objective = milliseconds(250);
    urgent_.timeout = milliseconds(2000);
    urgent_.services = {{kService, 1}};
    other_ = urgent_;
    other_.priority = 2;
    View view;
    view.routes[1] = urgent_;
    view.routes[2] = other_;
    admission_.OnView(view);
  }

  // Plays windows of responses while `in_progress` requests are at work.
  void Respond(Duration span, uint32_t in_progress, int responses) {
    for (int i = 0; i < responses; ++i) {
      admission_.Admits(kService, urgent_, in_progress);
      now_ += milliseconds(10);
      admission_.OnResponse(kService, urgent_, span, now_);
    }
  }

  TimePoint now_{seconds(1000)};
  Route urgent_;
  Route other_;
  Admission admission_;
};

TEST_F(AdmissionTest, LetsInWhatStartsBeforeAnyResponseWasSeen) {
  for (uint32_t i = 0; i < 12; ++i) {
    EXPECT_TRUE(admission_.Admits(kService, other_, i)) << i;
  }
}

TEST_F(AdmissionTest, LetsTheFirstVmAfterAnOutageFillEverySlot) {
  View view;
  view.routes[1] = urgent_;
  Target target;
  target.service = kService;
  target.slots = 50;
  view.targets.push_back(target);
  Admission fresh{AdmissionOptions{}};
  fresh.OnView(view);
  EXPECT_TRUE(fresh.Admits(kService, urgent_, 49));
  EXPECT_FALSE(fresh.Admits(kService, urgent_, 50));
}

TEST_F(AdmissionTest, AllowsMoreWhileResponsesAreQuick) {
  Respond(milliseconds(50), 16, 200);
  EXPECT_GT(admission_.LimitOf(kService, urgent_), 20);
}

TEST_F(AdmissionTest, AllowsLessWhileResponsesAreSlow) {
  Respond(milliseconds(50), 4, 100);
  Respond(milliseconds(400), 16, 200);
  EXPECT_LT(admission_.LimitOf(kService, urgent_), 12);
}

TEST_F(AdmissionTest, NeverRefusesEverything) {
  // Without any flow let in, no response could ever raise the limit again.
  Respond(milliseconds(50), 4, 100);
  Respond(seconds(5), 100, 5000);
  EXPECT_TRUE(admission_.Admits(kService, other_, 0));
}

TEST_F(AdmissionTest, SlowResponsesWithoutLoadRefuseNothing) {
  // A target that is slow by itself is not relieved by a refusal.
  Respond(milliseconds(400), 2, 400);
  EXPECT_GE(admission_.LimitOf(kService, urgent_), 16);
}

TEST_F(AdmissionTest, DelaysOfAFewMillisecondsAreNoSignOfLoad) {
  // Work of a millisecond takes several times as long whenever a process has to
  // wait for its processor.
  Respond(milliseconds(1), 4, 100);
  Respond(milliseconds(15), 16, 200);
  EXPECT_GE(admission_.LimitOf(kService, urgent_), 16);
}

TEST_F(AdmissionTest, DelaysOfSomeResponsesAreNoSignOfLoad) {
  // A queue delays every response. Lost packets, which are sent again after 200
  // ms and more, and stragglers delay some.
  Respond(milliseconds(50), 4, 100);
  for (int i = 0; i < 100; ++i) {
    Respond(milliseconds(50), 16, 5);
    Respond(milliseconds(450), 16, 3);
  }
  EXPECT_GE(admission_.LimitOf(kService, urgent_), 16);
}

TEST_F(AdmissionTest, LetsInMoreThanUsualWhileTheTargetsAnswerQuickly) {
  // Requests in progress of one VM vary: with few of them, twice the mean is an
  // ordinary moment.
  View view;
  view.routes[1] = urgent_;
  view.routes[2] = other_;
  Target target;
  target.service = kService;
  target.slots = 42;
  view.targets.push_back(target);
  admission_.OnView(view);
  Respond(milliseconds(50), 4, 400);
  EXPECT_TRUE(admission_.Admits(kService, other_, 14));
  EXPECT_TRUE(admission_.Admits(kService, urgent_, 20));
}

TEST_F(AdmissionTest, RefusesTheLeastUrgentFirst) {
  uint32_t most_other = 0;
  uint32_t most_urgent = 0;
  for (uint32_t i = 0; i < 100; ++i) {
    most_other = admission_.Admits(kService, other_, i) ? i : most_other;
    most_urgent = admission_.Admits(kService, urgent_, i) ? i : most_urgent;
  }
  EXPECT_LT(most_other, most_urgent);
}

TEST_F(AdmissionTest, TreatsTheOnlyPriorityOfAServiceAsTheHighest) {
  View view;
  view.routes[2] = other_;
  admission_.OnView(view);
  EXPECT_TRUE(admission_.Admits(kService, other_, 15));
}

TEST_F(AdmissionTest, ReturnsToTheFirstLimitWhenTheLoadIsGone) {
  // A limit left over from a crest would let the next one overshoot.
  Respond(milliseconds(50), 60, 400);
  ASSERT_GT(admission_.LimitOf(kService, urgent_), 40);
  Respond(milliseconds(50), 2, 2000);
  EXPECT_DOUBLE_EQ(admission_.LimitOf(kService, urgent_), 16);
}

TEST_F(AdmissionTest, CallsARequestOverdueByTheUsualTimeAndTheRoutesTimeLimit) {
  EXPECT_EQ(admission_.OverdueAfter(kService, urgent_), milliseconds(2000));
  Respond(milliseconds(50), 2, 100);
  EXPECT_NEAR(
      static_cast<double>(admission_.OverdueAfter(kService, urgent_).count()),
      static_cast<double>(Duration(milliseconds(400)).count()),
      static_cast<double>(Duration(milliseconds(4)).count()));
}

}  // namespace
}  // namespace marjoramhall::forward
