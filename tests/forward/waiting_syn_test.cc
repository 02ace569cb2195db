// Guards against flows that wait for room although there is some, that are sent
// to a second target or reset while another VM may have opened them, and
// against urgent flows that are refused for others.
#include <gtest/gtest.h>

#include <set>
#include <vector>

#include "tests/forward/forwarder_helpers.h"

namespace marjoramhall::forward {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint16_t kUploadPort = 8443;
constexpr uint16_t kUrgentPort = 8080;

class WaitingSynTest : public testing::Test {
 protected:
  static ForwarderOptions Options() {
    ForwarderOptions options;
    options.bulk.link_bytes_per_second = 10e6 / 8;
    return options;
  }

  WaitingSynTest()
      : forwarder_(Options(),
                   {[this](const HeaderOnlyPacket&, const Target& target) {
                      sent_.push_back(target.token);
                    },
                    [](const Decision&) {},
                    [](bool, TimePoint) { return false; }, [](Duration) {}}) {
    syn_bytes_.fill(1);
    View view = MakeView(10);
    Route& usual = view.routes.at(RouteKeyOf(kAddress, kPort));
    usual.priority = 2;
    usual.latency_objective = milliseconds(500);
    Route urgent = usual;
    urgent.priority = 1;
    view.routes[RouteKeyOf(kAddress, kUrgentPort)] = urgent;
    Route upload = usual;
    upload.latency_objective = milliseconds(1500);
    view.routes[RouteKeyOf(kAddress, kUploadPort)] = upload;
    forwarder_.OnView(std::make_shared<View>(view));
    view_ = view;
    // Lets the forwarder learn that uploads are large.
    const TargetToken token = Begin(1, kUploadPort);
    Upload(1, token, 40);
    Answer(1, kUploadPort, token, 40);
  }

  PacketVerdict Open(uint16_t client_port, uint16_t port, uint32_t copy = 0) {
    PacketHeader syn = MakeSyn(client_port);
    syn.flow.service_port = port;
    syn.acknowledged = copy;
    return forwarder_.OnPacket(syn, syn_bytes_, now_);
  }

  // Opens a flow and sends the first packet of a request.
  TargetToken Begin(uint16_t client_port, uint16_t port) {
    const TargetToken token = Open(client_port, port).target->token;
    Send(client_port, port, token, 0, 100);
    return token;
  }

  void Send(uint16_t client_port,
            uint16_t port,
            TargetToken token,
            uint32_t sequence,
            uint32_t acknowledged) {
    PacketHeader header = MakePacket(client_port, token, acknowledged, 1200);
    header.flow.service_port = port;
    header.sequence = sequence;
    forwarder_.OnPacket(header, {}, now_);
  }

  void Upload(uint16_t client_port, TargetToken token, uint32_t packets) {
    for (uint32_t i = 1; i < packets; ++i) {
      Send(client_port, kUploadPort, token, i * 1200, 100);
    }
  }

  // The client acknowledges the response and closes the flow.
  void Answer(uint16_t client_port,
              uint16_t port,
              TargetToken token,
              uint32_t packets) {
    PacketHeader header = MakePacket(client_port, token, 400);
    header.flow.service_port = port;
    header.sequence = packets * 1200;
    header.fin = true;
    forwarder_.OnPacket(header, {}, now_);
  }

  void Pass(Duration span) {
    now_ += span;
    forwarder_.OnTick(now_);
  }

  // Uses the VM's share of the targets with requests of a route.
  void FillTargets(uint16_t port) {
    forwarder_.OnTrafficShare(0.1);
    for (uint16_t client_port = 1000; client_port < 1050; ++client_port) {
      const PacketVerdict verdict = Open(client_port, port);
      if (verdict.action != PacketAction::kForward) {
        return;
      }
      busy_.insert(verdict.target->token);
      Send(client_port, port, verdict.target->token, 0, 100);
    }
    FAIL() << "no limit";
  }

  // Evacuates all targets, or those that FillTargets() has used.
  void Evacuate(bool all) {
    for (Target& it : view_.targets) {
      it.is_evacuated = all || busy_.contains(it.token);
    }
    forwarder_.OnView(std::make_shared<View>(view_));
  }

  TimePoint now_{seconds(1000)};
  View view_;
  std::set<TargetToken> busy_;
  HeaderOnlyPacket syn_bytes_{};
  std::vector<TargetToken> sent_;
  Forwarder forwarder_;
};

TEST_F(WaitingSynTest, AThirdUploadWaitsForTheLinkAndALookupDoesNot) {
  const TargetToken first = Begin(10, kUploadPort);
  Begin(11, kUploadPort);
  EXPECT_EQ(Open(12, kUploadPort).action, PacketAction::kHold);
  Begin(13, kUrgentPort);
  Pass(milliseconds(20));
  EXPECT_TRUE(sent_.empty());
  Upload(10, first, 40);
  Answer(10, kUploadPort, first, 40);
  Pass(milliseconds(20));
  EXPECT_EQ(sent_.size(), 1U);
}

TEST_F(WaitingSynTest, AnUploadThatWouldWaitTooLongIsRefusedAtOnce) {
  Begin(10, kUploadPort);
  Begin(11, kUploadPort);
  PacketVerdict verdict;
  for (uint16_t i = 0; i < 100 && verdict.action != PacketAction::kReset; ++i) {
    verdict = Open(static_cast<uint16_t>(100 + i), kUploadPort);
    EXPECT_NE(verdict.action, PacketAction::kForward);
  }
  EXPECT_EQ(verdict.action, PacketAction::kReset);
  EXPECT_EQ(verdict.reason, Reason::kLinkFull);
}

TEST_F(WaitingSynTest, AnUploadBehindThoseOfAnotherServiceIsRefusedAtOnce) {
  constexpr uint16_t kOtherPort = 8444;
  view_.targets.push_back(MakeTarget(20, kOtherService));
  Route other = view_.routes.at(RouteKeyOf(kAddress, kUploadPort));
  other.services = {{kOtherService, 1}};
  view_.routes[RouteKeyOf(kAddress, kOtherPort)] = other;
  forwarder_.OnView(std::make_shared<View>(view_));
  const TargetToken token = Begin(2, kOtherPort);
  for (uint32_t i = 1; i < 40; ++i) {
    Send(2, kOtherPort, token, i * 1200, 100);
  }
  Answer(2, kOtherPort, token, 40);
  Begin(10, kUploadPort);
  Begin(11, kUploadPort);
  for (uint16_t port = 100;
       Open(port, kUploadPort).action == PacketAction::kHold; ++port) {
  }
  EXPECT_EQ(Open(20, kOtherPort).action, PacketAction::kReset);
}

TEST_F(WaitingSynTest, AHeldSynIsNotSentWhenAnotherVmMayHaveItsRetransmission) {
  const TargetToken first = Begin(10, kUploadPort);
  Begin(11, kUploadPort);
  Open(12, kUploadPort);
  // The retransmission was due after 200 ms, and did not come through this VM.
  now_ += milliseconds(250);
  Answer(10, kUploadPort, first, 1);
  Pass(milliseconds(20));
  EXPECT_TRUE(sent_.empty());
  // The next one does.
  now_ += milliseconds(350);
  EXPECT_EQ(Open(12, kUploadPort, 2).action, PacketAction::kForward);
}

TEST_F(WaitingSynTest, AHeldSynThatWasDelayedByTheLinkIsNotSentTooLate) {
  const TargetToken first = Begin(10, kUploadPort);
  Begin(11, kUploadPort);
  // It may have waited in the link for 40 ms, so that its client sends it again
  // after 160 ms.
  Open(12, kUploadPort);
  now_ += milliseconds(150);
  Answer(10, kUploadPort, first, 1);
  Pass(milliseconds(0));
  EXPECT_TRUE(sent_.empty());
}

TEST_F(WaitingSynTest, AHeldSynIsNotResetIfACopyWentThroughAnotherVm) {
  Begin(10, kUploadPort);
  Begin(11, kUploadPort);
  Open(12, kUploadPort);
  for (uint16_t port : {10, 11}) {
    Upload(port, TargetToken{1}, 2);
  }
  now_ += milliseconds(300);
  Upload(10, TargetToken{1}, 2);
  Upload(11, TargetToken{1}, 2);
  now_ += milliseconds(300);
  EXPECT_EQ(Open(12, kUploadPort, 2).action, PacketAction::kHold);
}

TEST_F(WaitingSynTest, AHeldSynIsResetWhenItsTimeIsOver) {
  Begin(10, kUploadPort);
  Begin(11, kUploadPort);
  Open(12, kUploadPort);
  now_ += milliseconds(200);
  EXPECT_EQ(Open(12, kUploadPort, 1).action, PacketAction::kHold);
  now_ += milliseconds(400);
  const PacketVerdict verdict = Open(12, kUploadPort, 2);
  EXPECT_EQ(verdict.action, PacketAction::kReset);
  EXPECT_EQ(verdict.reason, Reason::kLinkFull);
}

TEST_F(WaitingSynTest, AFlowThatOpenedThroughAnotherVmIsNotPlacedAgain) {
  const TargetToken first = Begin(10, kUploadPort);
  Begin(11, kUploadPort);
  Open(12, kUploadPort);
  Send(12, kUploadPort, TargetToken{3}, 0, 100);
  Answer(10, kUploadPort, first, 1);
  Pass(milliseconds(20));
  EXPECT_TRUE(sent_.empty());
}

TEST_F(WaitingSynTest, UsualFlowsDoNotUseTheRoomOfUrgentOnes) {
  FillTargets(kPort);
  const PacketVerdict usual = Open(20, kPort);
  EXPECT_NE(usual.action, PacketAction::kForward);
  EXPECT_EQ(usual.reason, Reason::kOverload);
  for (uint16_t i = 0; i < 3; ++i) {
    EXPECT_EQ(Open(static_cast<uint16_t>(30 + i), kUrgentPort).action,
              PacketAction::kForward);
  }
}

TEST_F(WaitingSynTest, UrgentFlowsHaveALimitOfTheirOwn) {
  FillTargets(kUrgentPort);
  EXPECT_NE(Open(20, kUrgentPort).action, PacketAction::kForward);
  EXPECT_NE(Open(21, kPort).action, PacketAction::kForward);
}

TEST_F(WaitingSynTest, WithoutAShareAFlowIsRefusedWithoutWaiting) {
  FillTargets(kPort);
  forwarder_.OnTrafficShare(0);
  for (uint16_t i = 0; i < 30; ++i) {
    EXPECT_NE(Open(static_cast<uint16_t>(40 + i), kPort).action,
              PacketAction::kHold);
  }
}

TEST_F(WaitingSynTest, ARouteThatIsGoneDoesNotKeepItsFlowsWaiting) {
  Begin(10, kUploadPort);
  Begin(11, kUploadPort);
  Open(12, kUploadPort);
  forwarder_.OnView(std::make_shared<View>(MakeView(10)));
  Pass(milliseconds(20));
  EXPECT_EQ(forwarder_.waiting_syns(), 0U);
  EXPECT_TRUE(sent_.empty());
}

TEST_F(WaitingSynTest, AHeldSynIsNotSentAfterASuspensionThatItsClientNoticed) {
  const TargetToken first = Begin(10, kUploadPort);
  Begin(11, kUploadPort);
  forwarder_.OnSocketEmptied(TimePoint(seconds(500)));
  Open(12, kUploadPort);
  Answer(10, kUploadPort, first, 1);
  // The clock of the decisions stands still while the machine is suspended.
  forwarder_.OnReceiveBatch(TimePoint(seconds(501)));
  Pass(milliseconds(20));
  EXPECT_TRUE(sent_.empty());
  EXPECT_EQ(forwarder_.waiting_syns(), 0U);
  EXPECT_EQ(Open(12, kUploadPort, 2).action, PacketAction::kForward);
}

TEST_F(WaitingSynTest, TheEndOfOneUploadDoesNotLetSeveralBegin) {
  const TargetToken first = Begin(10, kUploadPort);
  const TargetToken second = Begin(11, kUploadPort);
  for (uint16_t port = 12; port < 15; ++port) {
    Open(port, kUploadPort);
  }
  now_ += milliseconds(185);
  Upload(11, second, 2);
  Answer(10, kUploadPort, first, 1);
  Pass(milliseconds(0));
  now_ += milliseconds(15);
  int begun = 0;
  for (uint16_t port = 12; port < 15; ++port) {
    begun += Open(port, kUploadPort, 1).action == PacketAction::kForward;
  }
  EXPECT_EQ(begun, 1);
  EXPECT_EQ(forwarder_.bulk_transfers(), 2U);
  Answer(11, kUploadPort, second, 2);
  Pass(milliseconds(20));
  EXPECT_EQ(sent_.size(), 1U) << "the others wait on";
}

TEST_F(WaitingSynTest, RequestsAtEvacuatedTargetsUseNoRoomOfTheOthers) {
  FillTargets(kPort);
  ASSERT_LT(busy_.size(), view_.targets.size());
  Evacuate(false);
  EXPECT_EQ(Open(20, kPort).action, PacketAction::kForward);
}

TEST_F(WaitingSynTest, NoFlowWaitsForTargetsThatAreAllEvacuated) {
  FillTargets(kPort);
  Evacuate(true);
  const PacketVerdict verdict = Open(20, kPort);
  EXPECT_EQ(verdict.action, PacketAction::kReset);
  EXPECT_EQ(verdict.reason, Reason::kEvacuated);
}

TEST_F(WaitingSynTest, ATargetThatWasUnknownForAWhileKeepsNoCountOfItsFlows) {
  forwarder_.OnTrafficShare(0.1);
  view_.targets = {MakeTarget(1), MakeTarget(2, kOtherService)};
  view_.targets[0].slots = 20;
  View without = view_;
  without.targets.erase(without.targets.begin());
  forwarder_.OnView(std::make_shared<View>(view_));
  const TargetToken token = Begin(20, kPort);
  forwarder_.OnView(std::make_shared<View>(without));
  forwarder_.OnView(std::make_shared<View>(view_));
  Begin(21, kUrgentPort);
  Answer(20, kPort, token, 1);
  Answer(21, kUrgentPort, token, 1);
  FillTargets(kUrgentPort);
  EXPECT_EQ(forwarder_.targets().Find(token)->outstanding_requests, 6U);
  EXPECT_EQ(forwarder_.targets().Find(token)->outstanding_by_priority[1], 6U);
}

}  // namespace
}  // namespace marjoramhall::forward
