// Guards against a forwarder that takes crashed targets, its own pauses or
// requests that are sent again for load, or that does not see real load.
#include <gtest/gtest.h>

#include <cstring>
#include <utility>

#include "tests/forward/forwarder_helpers.h"

namespace marjoramhall::forward {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// An overloaded forwarder: as many openings at one target as it lets in.
class OverloadTest : public testing::Test {
 protected:
  OverloadTest() : forwarder_({}, Hooks()) {
    opening_bytes_.fill(1);
    forwarder_.OnView(std::make_shared<View>(MakeView(2)));
    while (last_.action == PacketAction::kForward) {
      last_ = Open(++port_);
    }
  }

  ForwarderHooks Hooks() {
    ForwarderHooks hooks = NoHooks();
    hooks.may_log = [](bool, TimePoint) { return true; };
    hooks.decide = [this](const Decision& decision) {
      detail_ = decision.detail;
    };
    return hooks;
  }

  PacketVerdict Open(uint16_t port) {
    return forwarder_.OnPacket(Opening(port), opening_bytes_, now_);
  }

  TimePoint now_{seconds(1000)};
  HeaderOnlyPacket opening_bytes_{};
  std::string detail_;  // of the last decision
  uint16_t port_ = 0;
  PacketVerdict last_{PacketAction::kForward};
  Forwarder forwarder_;
};

TEST_F(OverloadTest, ResetsANewFlowAtOnce) {
  // It has not run, and its client is told so without waiting.
  EXPECT_EQ(last_.action, PacketAction::kReset);
  EXPECT_EQ(last_.reason, Reason::kOverload);
}

TEST_F(OverloadTest, SaysWhatDecided) {
  // Without both numbers a refusal can't be told from a fault of the VM.
  EXPECT_NE(detail_.find(", 16 requests of this VM in progress, limit 16"),
            std::string::npos)
      << detail_;
}

TEST_F(OverloadTest, DoesNotResetACopy) {
  // The first one may have gone through another VM, and opened the flow since.
  PacketHeader copy = Opening(++port_);
  copy.acknowledged = 1;
  EXPECT_EQ(forwarder_.OnPacket(copy, opening_bytes_, now_).action,
            PacketAction::kForward);
}

TEST_F(OverloadTest, LetsInAgainWhenTargetsAnswerOrFallSilent) {
  const TargetToken token =
      forwarder_.targets().OfService(kService)[0]->target.token;
  for (uint16_t port = 1; port < 9; ++port) {
    forwarder_.OnPacket(Later(port, token, 100, 10), {}, now_);
    PacketHeader fin = Later(port, token, 200);
    fin.fin = true;
    forwarder_.OnPacket(fin, {}, now_);
  }
  EXPECT_EQ(Open(++port_).action, PacketAction::kForward);
  now_ += seconds(10);
  forwarder_.OnTick(now_);
  EXPECT_EQ(forwarder_.tracked_flow_count(), 0U);
  EXPECT_EQ(Open(++port_).action, PacketAction::kForward);
}

// A forwarder with two targets, the first of which crashes.
class CrashTest : public testing::Test {
 protected:
  CrashTest() : forwarder_({}, Hooks()) {
    forwarder_.OnView(std::make_shared<View>(MakeView(2)));
  }

  ForwarderHooks Hooks() {
    ForwarderHooks hooks = NoHooks();
    hooks.may_log = [](bool, TimePoint) { return true; };
    hooks.decide = [this](const Decision& it) {
      suspects_ += it.outcome == "suspect" ? 1 : 0;
    };
    hooks.resend = [this](const HeaderOnlyPacket& opening,
                          const Target& target) {
      uint16_t port = 0;
      std::memcpy(&port, &opening[1], sizeof(port));
      resent_.emplace_back(port, target.token);
    };
    return hooks;
  }

  // Opening and one request of 5 ms, if the target lives.
  void Serve(uint16_t port, TargetToken token) {
    if (crashed_ && token == TargetToken{1}) {
      return;
    }
    forwarder_.OnPacket(Later(port, token, 100, 10), {}, now_);
    PacketHeader fin = Later(port, token, 200);
    fin.fin = true;
    now_ += milliseconds(5);
    forwarder_.OnPacket(fin, {}, now_);
  }

  // Opens a flow. Returns whether it was let in.
  bool Play() {
    HeaderOnlyPacket bytes{1};
    ++port_;
    std::memcpy(&bytes[1], &port_, sizeof(port_));
    const PacketVerdict verdict =
        forwarder_.OnPacket(Opening(port_), bytes, now_);
    if (verdict.action == PacketAction::kForward) {
      Serve(port_, verdict.target->token);
    }
    now_ += milliseconds(5);
    forwarder_.OnTick(now_);
    for (const auto& [port, token] : std::exchange(resent_, {})) {
      Serve(port, token);
    }
    return verdict.action != PacketAction::kReset;
  }

  TimePoint now_{seconds(1000)};
  bool crashed_ = false;
  uint16_t port_ = 1000;
  int suspects_ = 0;
  std::vector<std::pair<uint16_t, TargetToken>> resent_;
  Forwarder forwarder_;
};

TEST_F(CrashTest, RequestsThatAreSentAgainAreNoLoad) {
  for (int i = 0; i < 100; ++i) {
    ASSERT_TRUE(Play());
  }
  crashed_ = true;
  // 15 lasting flows wait for the dead target; their clients send the requests
  // again and again.
  for (int i = 0; i < 300; ++i) {
    if (i % 20 == 0) {
      for (uint16_t lasting = 1; lasting <= 15; ++lasting) {
        forwarder_.OnPacket(Later(lasting, TargetToken{1}, 100, 10), {}, now_);
      }
    }
    EXPECT_TRUE(Play()) << i;
  }
  // The target is found by new flows, so it must not look busy for long.
  EXPECT_GE(suspects_, 1);
}

TEST(ForwarderPauseTest, DoesNotTakeItsOwnPauseForSlowTargets) {
  Forwarder forwarder({}, NoHooks());
  forwarder.OnView(std::make_shared<View>(MakeView(4)));
  const HeaderOnlyPacket bytes{1};
  TimePoint now{seconds(1000)};
  uint16_t port = 0;
  // Gives up to `flows` new ones a target, and lets them answer after a time.
  const auto play = [&](int flows, Duration span) {
    std::vector<PacketHeader> open;
    for (int i = 0; i < flows; ++i) {
      const PacketVerdict verdict =
          forwarder.OnPacket(Opening(++port), bytes, now);
      if (verdict.action == PacketAction::kForward) {
        open.push_back(Later(port, verdict.target->token, 100, 10));
        forwarder.OnPacket(open.back(), {}, now);
      }
    }
    now += span;
    forwarder.OnReceiveBatch(now);
    for (PacketHeader& it : open) {
      it.acknowledged = 200;
      it.fin = true;
      forwarder.OnPacket(it, {}, now);
    }
    forwarder.OnTick(now);
    return open.size();
  };
  for (int i = 0; i < 20; ++i) {
    forwarder.OnReceiveBatch(now);
    play(5, milliseconds(50));
  }
  for (int i = 0; i < 4; ++i) {
    play(16, seconds(2));  // the VM stands still
  }
  EXPECT_EQ(play(16, milliseconds(50)), 16U);
}

}  // namespace
}  // namespace marjoramhall::forward
