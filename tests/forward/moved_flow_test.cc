// Guards against a second target for a flow whose packets have moved to another
// VM, and against clients that wait for silent targets.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstring>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "tests/forward/forwarder_helpers.h"

namespace marjoramhall::forward {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class MovedFlowTest : public testing::Test {
 protected:
  MovedFlowTest() : forwarder_(UnlimitedOptions(), Hooks()) {
    syn_bytes_.fill(1);
    // Target 1 has so many slots that it gets all flows while it works.
    View view = MakeView(4);
    view.targets[0].slots = 1000;
    forwarder_.OnView(std::make_shared<View>(view));
  }

  ForwarderHooks Hooks() {
    ForwarderHooks hooks = NoHooks();
    hooks.resend_syn = [this](const HeaderOnlyPacket&, const Target& target) {
      resent_.push_back(target.token);
    };
    return hooks;
  }

  TargetToken Open(uint16_t port, uint32_t retransmissions = 0) {
    PacketHeader syn = MakeSyn(port);
    syn.acknowledged = retransmissions;
    return forwarder_.OnPacket(syn, syn_bytes_, now_).target->token;
  }

  // Opens a flow, which is expected to be assigned to the target. Returns the
  // flow's port.
  uint16_t OpenAt(TargetToken target) {
    EXPECT_EQ(Open(++port_), target);
    return port_;
  }

  // The flow's target answers the SYN and the request.
  void Answer(uint16_t port) {
    const TargetToken token = Open(port);  // a duplicate goes the same way
    forwarder_.OnPacket(MakePacket(port, token, 100, 10), {}, now_);
    PacketHeader fin = MakePacket(port, token, 200);
    fin.fin = true;
    forwarder_.OnPacket(fin, {}, now_);
  }

  void Pass(Duration span) {
    now_ += span;
    forwarder_.OnTick(now_);
  }

  // A packet of another flow, at another target than `silent`, shows that this
  // VM is in the rotation.
  void ReceiveOther(TargetToken silent) {
    const TargetToken token{silent == TargetToken{1} ? 2U : 1U};
    forwarder_.OnPacket(MakePacket(9, token, 100), {}, now_);
  }

  // Passes time in which other flows go on.
  void PassWithTraffic(Duration span, TargetToken silent) {
    for (const TimePoint end = now_ + span; now_ < end;) {
      ReceiveOther(silent);
      Pass(milliseconds(10));
    }
  }

  bool IsSuspect(TargetToken token) {
    return forwarder_.targets().Find(token)->silence.IsSuspect();
  }

  std::set<TargetToken> ResentTo() const {
    return {resent_.begin(), resent_.end()};
  }

  TimePoint now_{seconds(1000)};
  uint16_t port_ = 100;
  HeaderOnlyPacket syn_bytes_{};
  std::vector<TargetToken> resent_;
  Forwarder forwarder_;
};

TEST_F(MovedFlowTest, SendsSynOfOneSilentFlowToNoOtherTarget) {
  // The next packets of the flow enter through a VM that has joined.
  const TargetToken target = Open(1);
  PassWithTraffic(seconds(2), target);
  EXPECT_EQ(resent_, std::vector<TargetToken>{target});
  EXPECT_FALSE(IsSuspect(target));
}

TEST_F(MovedFlowTest, SendsNoSynElsewhereWhenAllFlowsMoveAtOnce) {
  // This VM leaves the rotation while several flows wait.
  std::map<TargetToken, int> flows;
  for (uint16_t port = 1; port <= 12; ++port) {
    ++flows[Open(port)];
    now_ += milliseconds(1);
  }
  for (int i = 0; i < 200; ++i) {
    Pass(milliseconds(10));
  }
  EXPECT_EQ(resent_.size(), 12U);
  for (const auto& [target, n] : flows) {
    EXPECT_EQ(std::count(resent_.begin(), resent_.end(), target), n);
    EXPECT_FALSE(IsSuspect(target));
  }
}

TEST_F(MovedFlowTest, SendsNoSynElsewhereAfterItHasLeftTheRotation) {
  // Flows that were opened up to 30 ms apart, and no packet since the last.
  const TargetToken target = Open(1);
  Pass(milliseconds(30));
  OpenAt(target);
  resent_.clear();
  for (int i = 0; i < 100; ++i) {
    Pass(milliseconds(20));
  }
  EXPECT_EQ(ResentTo(), std::set<TargetToken>{target});
}

TEST_F(MovedFlowTest, SendsNoSynElsewhereWhenRotationChangesTwice) {
  // Each change takes a flow to the same target, which answers others.
  for (int i = 0; i < 5; ++i) {
    const uint16_t moved = OpenAt(TargetToken{1});
    PassWithTraffic(milliseconds(300), TargetToken{1});
    Answer(OpenAt(TargetToken{1}));
    EXPECT_NE(moved, port_);
  }
  EXPECT_EQ(ResentTo(), std::set<TargetToken>{TargetToken{1}});
  EXPECT_FALSE(IsSuspect(TargetToken{1}));
}

TEST_F(MovedFlowTest, SendsNoSynElsewhereAfterSuspension) {
  forwarder_.OnSocketEmptied(now_);
  const TargetToken target = Open(1);
  now_ += seconds(3);
  forwarder_.OnReceiveBatch(now_);
  forwarder_.OnTick(now_);
  PassWithTraffic(seconds(1), target);
  EXPECT_TRUE(resent_.empty());
  EXPECT_FALSE(IsSuspect(target));
}

// VMs join and leave in groups. Each of two changes takes over a flow that this
// VM has just sent to the same target, so that the target seems silent. Open
// flows were reset by a second target.
TEST_F(MovedFlowTest, SendsNoSynElsewhereWhenTwoChangesTakeAFlowEach) {
  const TargetToken target{1};
  for (const Duration apart :
       {kAnswerDue, kSynAnswerTimeout, Duration(milliseconds(100)),
        Duration(kSuspicionWindow - milliseconds(1))}) {
    OpenAt(target);
    PassWithTraffic(apart, target);
    OpenAt(target);
    PassWithTraffic(milliseconds(250), target);
    EXPECT_EQ(forwarder_.counters().moved_syns, 0U);
    // An answer through this VM ends the suspicion.
    forwarder_.OnPacket(MakePacket(port_, target, 100, 10), {}, now_);
    EXPECT_FALSE(IsSuspect(target));
    PacketHeader fin = MakePacket(port_, target, 200);
    fin.fin = true;
    forwarder_.OnPacket(fin, {}, now_);
  }
}

TEST_F(MovedFlowTest, SuspectsTargetOfTwoSilentFlows) {
  const TargetToken silent{1};
  OpenAt(silent);
  PassWithTraffic(kAnswerDue, silent);
  OpenAt(silent);
  PassWithTraffic(kSynAnswerTimeout + kSynCheckInterval, silent);
  EXPECT_TRUE(IsSuspect(silent));
  EXPECT_NE(Open(++port_), silent);  // new flows go elsewhere
}

TEST_F(MovedFlowTest, SendsRetransmissionOfClientToAnotherTarget) {
  // The client has received no answer, so the flow is not open.
  const TargetToken silent = Open(1);
  PassWithTraffic(milliseconds(200), silent);
  EXPECT_NE(Open(1, 1), silent);
  EXPECT_TRUE(IsSuspect(silent));
}

TEST_F(MovedFlowTest, WaitsForAnswersAfterGapInReception) {
  // Nothing has passed the network for a while: neither the SYN nor the answer.
  const TargetToken target = Open(1);
  Pass(milliseconds(205));
  EXPECT_EQ(Open(1, 1), target);
  EXPECT_FALSE(IsSuspect(target));
  Pass(milliseconds(6));
  forwarder_.OnPacket(MakePacket(1, target, 100, 10), {}, now_);
  Pass(seconds(1));
  EXPECT_EQ(forwarder_.counters().moved_syns, 0U);
  EXPECT_FALSE(IsSuspect(target));
}

TEST_F(MovedFlowTest, MovesRetransmissionOfOnlyFlowAfterAnswerTimeout) {
  // A VM without other traffic has a gap in reception, too.
  const TargetToken silent = Open(1);
  Pass(milliseconds(200));
  EXPECT_EQ(Open(1, 1), silent);
  Pass(kSynAnswerTimeout);
  Pass(kSynCheckInterval);
  EXPECT_TRUE(IsSuspect(silent));
  EXPECT_EQ(forwarder_.counters().moved_syns, 1U);
}

TEST_F(MovedFlowTest, MovesOtherFlowsOnceClientOfOneRetransmits) {
  const TargetToken silent{1};
  const uint16_t first = OpenAt(silent);
  PassWithTraffic(milliseconds(170), silent);
  OpenAt(silent);
  PassWithTraffic(milliseconds(30), silent);
  EXPECT_EQ(forwarder_.counters().moved_syns, 0U);
  Open(first, 1);
  PassWithTraffic(milliseconds(60), silent);
  EXPECT_EQ(forwarder_.counters().moved_syns, 1U);
}

TEST_F(MovedFlowTest, LeavesSynToClientOnceItsRetransmissionIsDue) {
  // The first client retransmits through another VM, which assigns a target.
  const TargetToken silent{1};
  OpenAt(silent);
  PassWithTraffic(kSuspicionWindow + milliseconds(10), silent);
  const uint16_t proving = OpenAt(silent);
  PassWithTraffic(milliseconds(40), silent);
  OpenAt(silent);
  PassWithTraffic(milliseconds(160), silent);
  Open(proving, 1);
  PassWithTraffic(milliseconds(200), silent);
  EXPECT_TRUE(IsSuspect(silent));
  EXPECT_EQ(forwarder_.counters().moved_syns, 1U);
}

TEST_F(MovedFlowTest, SendsRetransmissionToSameTargetIfItAnswersOthers) {
  // The SYN or its answer was lost. Two targets would answer.
  const uint16_t port = OpenAt(TargetToken{1});
  PassWithTraffic(milliseconds(100), TargetToken{1});
  Answer(OpenAt(TargetToken{1}));
  PassWithTraffic(milliseconds(100), TargetToken{1});
  EXPECT_EQ(Open(port, 1), TargetToken{1});
  PassWithTraffic(milliseconds(400), TargetToken{1});
  EXPECT_NE(Open(port, 2), TargetToken{1});
}

TEST_F(MovedFlowTest, SendsDuplicateOfSynToSameTarget) {
  const TargetToken target = Open(1);
  Pass(milliseconds(30));
  EXPECT_EQ(Open(1), target);
  PassWithTraffic(milliseconds(30), target);
  EXPECT_EQ(Open(1), target);
}

TEST_F(MovedFlowTest, AssignsTargetAnewWhenClientReusesPortOfSilentFlow) {
  Open(1);
  PacketHeader syn = MakeSyn(1);
  syn.sequence = 77;
  forwarder_.OnPacket(syn, syn_bytes_, now_);
  EXPECT_EQ(forwarder_.counters().placed_flows, 2U);
  EXPECT_EQ(forwarder_.tracked_flow_count(), 1U);
}

TEST_F(MovedFlowTest, DoesNotCountFlowThatMovedAsLoadForLong) {
  // Usual requests take 10 ms, so that one is overdue after 80 ms.
  for (int i = 0; i < 20; ++i) {
    const uint16_t port = OpenAt(TargetToken{1});
    forwarder_.OnPacket(MakePacket(port, TargetToken{1}, 100, 10), {}, now_);
    Pass(milliseconds(10));
    forwarder_.OnPacket(MakePacket(port, TargetToken{1}, 200), {}, now_);
  }
  OpenAt(TargetToken{1});
  PassWithTraffic(milliseconds(70), TargetToken{1});
  const TargetEntry* entry = forwarder_.targets().Find(TargetToken{1});
  EXPECT_EQ(entry->outstanding_requests, 1U);
  PassWithTraffic(milliseconds(50), TargetToken{1});
  EXPECT_EQ(entry->outstanding_requests, 0U);
  // The flow comes back with its next request.
  forwarder_.OnPacket(MakePacket(port_, TargetToken{1}, 100, 10), {}, now_);
  EXPECT_EQ(entry->outstanding_requests, 1U);
}

TEST_F(MovedFlowTest, LearnsNoResponseTimeOfFlowThatWasElsewhere) {
  const uint16_t port = OpenAt(TargetToken{1});
  const auto send = [&](uint32_t sequence, uint32_t acknowledged,
                        uint16_t data_bytes) {
    PacketHeader header =
        MakePacket(port, TargetToken{1}, acknowledged, data_bytes);
    header.sequence = sequence;
    forwarder_.OnPacket(header, {}, now_);
  };
  send(10, 100, 10);
  Pass(milliseconds(50));
  send(20, 200, 0);
  EXPECT_EQ(forwarder_.counters().responses, 1U);
  send(20, 200, 10);
  // The response and another request pass another VM.
  Pass(seconds(2));
  send(40, 300, 0);
  EXPECT_EQ(forwarder_.counters().responses, 1U);
  const TargetEntry* entry = forwarder_.targets().Find(TargetToken{1});
  EXPECT_EQ(entry->outstanding_requests, 0U);
  // A request that acknowledges a response which was observed is counted.
  send(40, 300, 10);
  Pass(milliseconds(50));
  send(50, 400, 10);
  EXPECT_EQ(forwarder_.counters().responses, 2U);
  EXPECT_EQ(entry->outstanding_requests, 1U);
}

TEST(TargetSilenceTest, ForgetsUnansweredSynThatNothingConfirms) {
  TargetSilence silence;
  TimePoint at{seconds(1000)};
  for (int i = 0; i < 10; ++i) {
    silence.OnUnansweredSyn(at += kSuspicionWindow + milliseconds(1));
    EXPECT_FALSE(silence.IsSuspect());
  }
}

TEST(TargetSilenceTest, OnlyAClientProvesSilence) {
  TargetSilence silence;
  TimePoint at{seconds(1000)};
  for (int i = 0; i < 10; ++i) {
    silence.OnUnansweredSyn(at += kSynAnswerTimeout);
    EXPECT_FALSE(silence.IsProven());
  }
  EXPECT_TRUE(silence.IsSuspect());
  silence.OnClientRetransmission(at += kSynAnswerTimeout);
  EXPECT_TRUE(silence.IsProven());
}

TEST(TargetSilenceTest, HasToBeProvenAnewAfterLongTime) {
  TargetSilence silence;
  TimePoint at{seconds(1000)};
  silence.OnClientRetransmission(at);
  silence.OnUnansweredSyn(at += kSilenceLifetime);
  EXPECT_TRUE(silence.IsProven());
  silence.OnUnansweredSyn(at += kSilenceLifetime + milliseconds(1));
  EXPECT_TRUE(silence.IsSuspect());
  EXPECT_FALSE(silence.IsProven());
  silence.OnUnansweredSyn(at += seconds(1));
  EXPECT_FALSE(silence.IsProven());
  silence.OnClientRetransmission(at += seconds(1));
  EXPECT_TRUE(silence.IsProven());
  silence.OnAnswer();
  EXPECT_FALSE(silence.IsSuspect());
  EXPECT_FALSE(silence.IsProven());
}

// A model of one VM whose targets all work, and of a rotation that takes flows
// away at random moments, also several times within a handshake. However flows
// come, no SYN reaches a second target.
RC_GTEST_PROP(MovedFlowProperty, WorkingTargetsShareNoFlow, ()) {
  std::map<uint16_t, std::set<TargetToken>> targets_of;
  ForwarderHooks hooks = NoHooks();
  hooks.resend_syn = [&](const HeaderOnlyPacket& syn, const Target& target) {
    uint16_t port = 0;
    std::memcpy(&port, &syn[1], sizeof(port));
    targets_of[port].insert(target.token);
  };
  Forwarder forwarder(UnlimitedOptions(), hooks);
  forwarder.OnView(std::make_shared<View>(MakeView(6)));
  TimePoint now{seconds(1000)};
  uint16_t port = 0;
  std::vector<std::pair<TimePoint, std::pair<uint16_t, TargetToken>>> answers;
  const auto steps = *rc::gen::inRange(1, 400);
  TimePoint next_change = now;
  for (int i = 0; i < steps; ++i) {
    now += milliseconds(*rc::gen::inRange(1, 15));
    if (now >= next_change && *rc::gen::inRange(0, 10) == 0) {
      next_change = now + milliseconds(*rc::gen::inRange(0, 200));
      const auto one_of = *rc::gen::inRange<size_t>(1, 3);
      for (size_t k = 0; k < answers.size(); k += one_of) {
        answers[k].second.second = TargetToken::kNone;  // has moved
      }
    }
    if (*rc::gen::inRange(0, 3) > 0) {
      HeaderOnlyPacket bytes{1};
      ++port;
      std::memcpy(&bytes[1], &port, sizeof(port));
      const PacketVerdict verdict =
          forwarder.OnPacket(MakeSyn(port), bytes, now);
      RC_ASSERT(verdict.action == PacketAction::kForward);
      targets_of[port].insert(verdict.target->token);
      answers.push_back({now + milliseconds(9), {port, verdict.target->token}});
    }
    while (!answers.empty() && answers.front().first <= now) {
      const auto [client, token] = answers.front().second;
      answers.erase(answers.begin());
      if (token != TargetToken::kNone) {
        forwarder.OnPacket(MakePacket(client, token, 100, 10), {}, now);
        PacketHeader fin = MakePacket(client, token, 200);
        fin.fin = true;
        forwarder.OnPacket(fin, {}, now);
      }
    }
    forwarder.OnTick(now);
  }
  for (const auto& [client, targets] : targets_of) {
    RC_ASSERT(targets.size() == 1U);
  }
}

}  // namespace
}  // namespace marjoramhall::forward
