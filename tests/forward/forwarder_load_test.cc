// Guards against a forwarder that mistakes crashed targets, suspensions of its
// own VM or retransmitted requests for load, or that does not detect real load.
#include <gtest/gtest.h>

#include <cstring>
#include <deque>
#include <set>
#include <utility>

#include "tests/forward/forwarder_helpers.h"

namespace marjoramhall::forward {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A forwarder that has admitted flows until it refused one.
class OverloadTest : public testing::Test {
 protected:
  OverloadTest() : forwarder_({}, Hooks()) {
    syn_bytes_.fill(1);
    forwarder_.OnView(std::make_shared<View>(MakeView(2)));
    while (last_.action == PacketAction::kForward) {
      last_ = Open(++port_);
    }
  }

  ForwarderHooks Hooks() {
    ForwarderHooks hooks = NoHooks();
    hooks.may_log = [](bool, TimePoint) { return true; };
    hooks.log_decision = [this](const Decision& decision) {
      detail_ = decision.detail;
    };
    return hooks;
  }

  PacketVerdict Open(uint16_t port) {
    return forwarder_.OnPacket(MakeSyn(port), syn_bytes_, now_);
  }

  TimePoint now_{seconds(1000)};
  HeaderOnlyPacket syn_bytes_{};
  std::string detail_;  // of the last decision
  uint16_t port_ = 0;
  PacketVerdict last_{PacketAction::kForward};
  Forwarder forwarder_;
};

TEST_F(OverloadTest, ResetsNewFlow) {
  // The reset tells the client at once that the request has not run.
  EXPECT_EQ(last_.action, PacketAction::kReset);
  EXPECT_EQ(last_.reason, Reason::kOverload);
}

TEST_F(OverloadTest, LogsRequestsInProgressAndLimit) {
  // Without both numbers a correct refusal looks like a fault of the VM.
  EXPECT_NE(detail_.find(", 16 requests of this VM in progress, limit 16"),
            std::string::npos)
      << detail_;
}

TEST_F(OverloadTest, DoesNotResetRetransmittedSyn) {
  // The first SYN may have opened the flow through another VM.
  PacketHeader retransmitted = MakeSyn(++port_);
  retransmitted.acknowledged = 1;
  EXPECT_EQ(forwarder_.OnPacket(retransmitted, syn_bytes_, now_).action,
            PacketAction::kForward);
}

TEST_F(OverloadTest, AdmitsFlowsAfterResponsesAndTimeouts) {
  const TargetToken token =
      forwarder_.targets().TargetsOf(kService)[0]->target.token;
  for (uint16_t port = 1; port < 9; ++port) {
    forwarder_.OnPacket(MakePacket(port, token, 100, 10), {}, now_);
    PacketHeader fin = MakePacket(port, token, 200);
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
    hooks.log_decision = [this](const Decision& it) {
      suspect_decisions_ += it.outcome == "suspect" ? 1 : 0;
    };
    hooks.resend_syn = [this](const HeaderOnlyPacket& syn,
                              const Target& target) {
      uint16_t port = 0;
      std::memcpy(&port, &syn[1], sizeof(port));
      resent_.emplace_back(port, target.token);
    };
    return hooks;
  }

  // Plays the handshake and one request of 5 ms, if the target is alive.
  void Serve(uint16_t port, TargetToken token) {
    if (crashed_ && token == TargetToken{1}) {
      return;
    }
    served_.insert(port);
    forwarder_.OnPacket(MakePacket(port, token, 100, 10), {}, now_);
    PacketHeader fin = MakePacket(port, token, 200);
    fin.fin = true;
    now_ += milliseconds(5);
    forwarder_.OnPacket(fin, {}, now_);
  }

  PacketAction SendSyn(uint16_t port, uint32_t retransmissions) {
    HeaderOnlyPacket bytes{1};
    std::memcpy(&bytes[1], &port, sizeof(port));
    PacketHeader syn = MakeSyn(port);
    syn.acknowledged = retransmissions;
    const PacketVerdict verdict = forwarder_.OnPacket(syn, bytes, now_);
    if (verdict.action == PacketAction::kForward) {
      Serve(port, verdict.target->token);
    }
    return verdict.action;
  }

  // Opens a flow. Returns whether it was admitted.
  bool OpenFlow() {
    const TimePoint opened_at = now_;
    const PacketAction action = SendSyn(++port_, 0);
    if (action == PacketAction::kForward) {
      retransmissions_.push_back({opened_at + milliseconds(200), port_});
    }
    now_ += milliseconds(5);
    while (!retransmissions_.empty() &&
           retransmissions_.front().first <= now_) {
      const uint16_t port = retransmissions_.front().second;
      retransmissions_.pop_front();
      if (!served_.contains(port)) {
        SendSyn(port, 1);
      }
    }
    forwarder_.OnTick(now_);
    for (const auto& [port, token] : std::exchange(resent_, {})) {
      Serve(port, token);
    }
    return action != PacketAction::kReset;
  }

  TimePoint now_{seconds(1000)};
  bool crashed_ = false;
  uint16_t port_ = 1000;
  int suspect_decisions_ = 0;
  std::vector<std::pair<uint16_t, TargetToken>> resent_;
  std::set<uint16_t> served_;
  // When clients send their SYNs again, unless they have been served.
  std::deque<std::pair<TimePoint, uint16_t>> retransmissions_;
  Forwarder forwarder_;
};

TEST_F(CrashTest, DoesNotCountRetransmittedRequestsAsLoad) {
  for (int i = 0; i < 100; ++i) {
    ASSERT_TRUE(OpenFlow());
  }
  crashed_ = true;
  // 15 long-lived flows wait for the dead target, and their clients retransmit
  // the requests.
  for (int i = 0; i < 300; ++i) {
    if (i % 20 == 0) {
      for (uint16_t port = 1; port <= 15; ++port) {
        forwarder_.OnPacket(MakePacket(port, TargetToken{1}, 100, 10), {},
                            now_);
      }
    }
    EXPECT_TRUE(OpenFlow()) << i;
  }
  // Only new flows detect the dead target, so it must not look busy for long.
  EXPECT_GE(suspect_decisions_, 1);
}

TEST(ForwarderSuspensionTest, DropsTheRestOfABatchThatASuspensionInterrupted) {
  // The VM was suspended between two SYNs of a batch. The flow of the second
  // may be open through another VM by now.
  Forwarder forwarder({}, NoHooks());
  forwarder.OnView(std::make_shared<View>(MakeView(4)));
  const HeaderOnlyPacket bytes{1};
  TimePoint now{seconds(1000)};
  forwarder.OnSocketEmptied(now);
  EXPECT_EQ(forwarder.OnPacket(MakeSyn(1), bytes, now).action,
            PacketAction::kForward);
  forwarder.OnReceiveBatch(now + seconds(2));
  EXPECT_EQ(forwarder.OnPacket(MakeSyn(2), bytes, now).reason,
            Reason::kStaleSyn);
}

// A VM that gets no processor twice in a row passed on SYNs that had waited for
// both times, while their clients' copies had taken another way: two targets
// answered.
TEST(ForwarderSuspensionTest, DropsSynsThatWaitedDuringTwoStallsInARow) {
  Forwarder forwarder({}, NoHooks());
  forwarder.OnView(std::make_shared<View>(MakeView(4)));
  const HeaderOnlyPacket bytes{1};
  const TimePoint begin{seconds(1000)};
  TimePoint now = begin;
  // The first stall follows a receive call that has found nothing.
  now += milliseconds(140);
  EXPECT_FALSE(forwarder.OnReceiveBatch(now));
  forwarder.OnSocketEmptied(begin);
  forwarder.OnTick(now);
  now += milliseconds(140);
  EXPECT_TRUE(forwarder.OnReceiveBatch(now));
  EXPECT_EQ(forwarder.OnPacket(MakeSyn(1), bytes, now).reason,
            Reason::kStaleSyn);
  forwarder.OnSocketEmptied(now);
  EXPECT_FALSE(forwarder.OnReceiveBatch(now + milliseconds(1)));
  forwarder.OnTick(now);
  EXPECT_EQ(forwarder.OnPacket(MakeSyn(2), bytes, now).action,
            PacketAction::kForward);
}

TEST(ForwarderSuspensionTest, DoesNotMistakeItsSuspensionForSlowTargets) {
  Forwarder forwarder({}, NoHooks());
  forwarder.OnView(std::make_shared<View>(MakeView(4)));
  const HeaderOnlyPacket bytes{1};
  TimePoint now{seconds(1000)};
  uint16_t port = 0;
  // Opens up to `flows` flows, lets their targets respond after a time, and
  // returns the number of admitted flows.
  const auto play = [&](int flows, Duration response_time) {
    std::vector<PacketHeader> open;
    for (int i = 0; i < flows; ++i) {
      const PacketVerdict verdict =
          forwarder.OnPacket(MakeSyn(++port), bytes, now);
      if (verdict.action == PacketAction::kForward) {
        open.push_back(MakePacket(port, verdict.target->token, 100, 10));
        forwarder.OnPacket(open.back(), {}, now);
      }
    }
    now += response_time;
    forwarder.OnReceiveBatch(now);
    forwarder.OnSocketEmptied(now);
    for (PacketHeader& it : open) {
      it.acknowledged = 200;
      it.fin = true;
      forwarder.OnPacket(it, {}, now);
    }
    forwarder.OnTick(now);
    return open.size();
  };
  for (int i = 0; i < 20; ++i) {
    forwarder.OnSocketEmptied(now);
    play(5, milliseconds(50));
  }
  for (int i = 0; i < 4; ++i) {
    play(16, seconds(2));  // the VM is suspended
  }
  EXPECT_EQ(play(16, milliseconds(50)), 16U);
}

}  // namespace
}  // namespace marjoramhall::forward
