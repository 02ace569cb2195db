// Guards against clients that wait until their deadline for a target that is
// gone, and against open flows of working targets that are reset.
#include <gtest/gtest.h>

#include "tests/forward/forwarder_helpers.h"

namespace marjoramhall::forward {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint16_t kClientPort = 40001;

class GoneTargetTest : public testing::Test {
 protected:
  GoneTargetTest() : forwarder_(UnlimitedOptions(), NoHooks()) {
    view_.routes.begin()->second.idempotency = Idempotency::kIdempotent;
    Publish();
    HeaderOnlyPacket syn{1};
    const auto verdict = forwarder_.OnPacket(MakeSyn(kClientPort), syn, now_);
    token_ = verdict.target->token;
    Send(100, 10);
    now_ += milliseconds(40);
    Send(200, 0);  // the response to the first request
  }

  void Publish() { forwarder_.OnView(std::make_shared<View>(view_)); }

  Target& Current() {
    for (Target& it : view_.targets) {
      if (it.token == token_) {
        return it;
      }
    }
    return view_.targets.front();
  }

  // The target has left or ended, as the store says.
  void Remove() {
    Current().state = TargetState::kRetired;
    Current().gone = true;
    Publish();
  }

  PacketVerdict Send(uint32_t acknowledged,
                     uint16_t data_bytes,
                     uint32_t sequence = 50) {
    PacketHeader header =
        MakePacket(kClientPort, token_, acknowledged, data_bytes);
    header.sequence = sequence;
    return forwarder_.OnPacket(header, {}, now_);
  }

  // A further request on the open flow and its retransmissions after 200 and
  // 600 ms. Returns the verdict on the last one.
  PacketVerdict SendThreeTimes() {
    EXPECT_EQ(Send(200, 10).action, PacketAction::kForward);
    now_ += milliseconds(200);
    EXPECT_EQ(Send(200, 10).action, PacketAction::kForward);
    now_ += milliseconds(400);
    return Send(200, 10);
  }

  TimePoint now_{seconds(1000)};
  View view_ = MakeView(2);
  TargetToken token_ = TargetToken::kNone;
  Forwarder forwarder_;
};

TEST_F(GoneTargetTest, ResetsTheFlowAtTheSecondRetransmission) {
  Remove();
  const PacketVerdict verdict = SendThreeTimes();
  EXPECT_EQ(verdict.action, PacketAction::kReset);
  EXPECT_EQ(verdict.reason, Reason::kTargetGone);
}

TEST_F(GoneTargetTest, KeepsFlowsOfTargetsThatTheStoreStillHas) {
  // A target that is only silent or slow for a while goes on with its work.
  for (const TargetState state :
       {TargetState::kActive, TargetState::kDraining, TargetState::kLapsed}) {
    Current().state = state;
    Publish();
    EXPECT_EQ(SendThreeTimes().action, PacketAction::kForward);
    now_ += milliseconds(100);
    Send(200 + 1, 0);
    now_ += seconds(1);
  }
}

TEST_F(GoneTargetTest, KeepsFlowsOfATargetWithAnUnreadableEntry) {
  Current().state = TargetState::kRetired;
  Publish();
  EXPECT_EQ(SendThreeTimes().action, PacketAction::kForward);
}

TEST_F(GoneTargetTest, KeepsAFlowWhoseTargetAnswers) {
  // It works although it no longer reaches the store.
  Remove();
  Send(200, 10);
  now_ += milliseconds(300);
  Send(300, 0);
  now_ += milliseconds(300);
  EXPECT_EQ(Send(300, 10, 60).action, PacketAction::kForward);
}

TEST_F(GoneTargetTest, KeepsAFlowThatStillSendsItsRequest) {
  // Later packets of a long request show that the target acknowledges.
  Remove();
  Send(200, 10);
  for (uint32_t i = 1; i < 10; ++i) {
    now_ += milliseconds(100);
    EXPECT_EQ(Send(200, 10, 50 + i * 10).action, PacketAction::kForward);
  }
}

TEST_F(GoneTargetTest, KeepsRequestsThatMustNotRunTwice) {
  // The client could not try again, and an answer may be on its way.
  view_.routes.begin()->second.idempotency = Idempotency::kNonIdempotent;
  Remove();
  EXPECT_EQ(SendThreeTimes().action, PacketAction::kForward);
}

TEST_F(GoneTargetTest, CountsFromTheFirstPacketThatThisVmHasSeen) {
  // The flow was at another VM, which may know of an answer.
  Remove();
  Forwarder other(UnlimitedOptions(), NoHooks());
  other.OnView(std::make_shared<View>(view_));
  PacketHeader header = MakePacket(kClientPort, token_, 200, 10);
  EXPECT_EQ(other.OnPacket(header, {}, now_).action, PacketAction::kForward);
}

}  // namespace
}  // namespace marjoramhall::forward
