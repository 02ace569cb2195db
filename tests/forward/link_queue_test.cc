// Guards against targets that are taken for silent or overloaded while their
// answers wait in the queue of the VM's link.
#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <utility>

#include "tests/forward/forwarder_helpers.h"

namespace marjoramhall::forward {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint16_t kUploadPort = 8443;

class LinkQueueTest : public testing::Test {
 protected:
  static ForwarderOptions Options() {
    ForwarderOptions options;
    options.bulk.link_bytes_per_second = 10e6 / 8;
    return options;
  }

  LinkQueueTest() : forwarder_(Options(), NoHooks()) {
    syn_bytes_.fill(1);
    View view = MakeView(2);
    view.routes[RouteKeyOf(kAddress, kUploadPort)] =
        view.routes.at(RouteKeyOf(kAddress, kPort));
    forwarder_.OnView(std::make_shared<View>(view));
  }

  // Packets of an upload arrive without a pause, or a few of them.
  void Receive(Duration span, bool fill_link) {
    for (Duration passed{0}; passed < span; passed += milliseconds(1)) {
      now_ += milliseconds(1);
      if (fill_link || passed.count() % 10'000 == 0) {
        PacketHeader header = MakePacket(9, TargetToken{1}, 100, 1200);
        header.flow.service_port = kUploadPort;
        header.sequence = 1200 * ++packets_;
        forwarder_.OnPacket(header, {}, now_);
      }
      forwarder_.OnTick(now_);
    }
  }

  // Opens flows that nobody answers. The client of one retransmits, which
  // proves that a target is silent. Returns whether another one was sent to
  // another target.
  bool MovesUnansweredFlow(bool fill_link) {
    std::map<TargetToken, uint16_t> first;
    const auto open = [&](uint16_t port) {
      const PacketVerdict verdict =
          forwarder_.OnPacket(MakeSyn(port), syn_bytes_, now_);
      first.try_emplace(verdict.target->token, port);
    };
    open(10);
    open(11);
    Receive(milliseconds(150), fill_link);
    open(12);
    open(13);
    Receive(milliseconds(50), fill_link);
    for (const auto& [token, port] : first) {
      PacketHeader syn = MakeSyn(port);
      syn.acknowledged = 1;
      forwarder_.OnPacket(syn, syn_bytes_, now_);
    }
    Receive(milliseconds(60), fill_link);
    return forwarder_.counters().moved_syns > 0;
  }

  // Opens flows of one request each that take `response`. Returns how many were
  // refused.
  int CountRefused(uint16_t flows, Duration response, bool fill_link) {
    std::deque<std::pair<TimePoint, PacketHeader>> responses;
    int refused = 0;
    for (uint16_t i = 0; i < flows; ++i) {
      const uint16_t port = ++last_port_;
      const PacketVerdict verdict =
          forwarder_.OnPacket(MakeSyn(port), syn_bytes_, now_);
      if (verdict.action == PacketAction::kForward) {
        const TargetToken token = verdict.target->token;
        forwarder_.OnPacket(MakePacket(port, token, 100, 10), {}, now_);
        PacketHeader end = MakePacket(port, token, 200);
        end.fin = true;
        responses.emplace_back(now_ + response, end);
      } else {
        ++refused;
      }
      Receive(milliseconds(6), fill_link);
      while (!responses.empty() && responses.front().first <= now_) {
        forwarder_.OnPacket(responses.front().second, {}, now_);
        responses.pop_front();
      }
    }
    return refused;
  }

  uint16_t last_port_ = 1000;
  TimePoint now_{seconds(1000)};
  uint32_t packets_ = 0;
  HeaderOnlyPacket syn_bytes_{};
  Forwarder forwarder_;
};

TEST_F(LinkQueueTest, AFlowIsNotMovedWhileItsAnswerMayWaitInTheLink) {
  Receive(milliseconds(50), true);
  EXPECT_FALSE(MovesUnansweredFlow(true));
}

TEST_F(LinkQueueTest, AFlowAtASilentTargetIsMovedWhenTheLinkHasNoQueue) {
  Receive(milliseconds(50), true);
  EXPECT_TRUE(MovesUnansweredFlow(false));
}

TEST_F(LinkQueueTest, AFlowIsNotRefusedBecauseResponsesWaitInTheLink) {
  EXPECT_EQ(CountRefused(200, milliseconds(6), false), 0);
  EXPECT_EQ(CountRefused(200, milliseconds(66), true), 0);
}

TEST_F(LinkQueueTest, AFlowIsRefusedWhenTargetsHaveQueues) {
  EXPECT_EQ(CountRefused(200, milliseconds(6), false), 0);
  EXPECT_GT(CountRefused(200, milliseconds(66), false), 0);
}

}  // namespace
}  // namespace marjoramhall::forward
