// Guards against deltas that do not restore the text or are too large, and
// against malformed messages of peers.
#include "src/control/gossip_delta.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "lab/control_sim.h"
#include "src/protocol/config_sync.pb.h"
#include "src/protocol/membership.pb.h"

namespace marjoramhall::control {
namespace {

RC_GTEST_PROP(GossipDelta, RestoresTheNewText, ()) {
  const auto text =
      rc::gen::container<std::string>(rc::gen::element('a', 'b', '}', '{'));
  const auto from = *text;
  const auto to = *text;
  const TextDelta delta = MakeDelta(from, to);
  RC_ASSERT(ApplyDelta(from, delta, to.size()) == std::optional(to));
  RC_ASSERT(to.empty() || !ApplyDelta(from, delta, to.size() - 1));
}

RC_GTEST_PROP(GossipDelta,
              HandlesArbitraryDeltas,
              (const std::string& text, const std::string& literal)) {
  TextDelta delta;
  delta.segments = *rc::gen::container<std::vector<uint32_t>>(rc::gen::oneOf(
      rc::gen::inRange<uint32_t>(0, 50), rc::gen::arbitrary<uint32_t>()));
  delta.literal = literal;
  const auto result = ApplyDelta(text, delta, 1000);
  RC_ASSERT(!result || result->size() <= 1000u);
}

// Guards against a delta of the size of the whole configuration when one target
// changes.
TEST(GossipDelta, IsSmallForASmallChange) {
  const auto before = lab::MakeSimDeployment(3800);
  auto after = lab::NextSimDeployment(before, "drain");
  after.services[7].targets[3].state = config::TargetState::kDraining;
  const std::string old_text = lab::FormatSimDeployment(before);
  const std::string new_text = lab::FormatSimDeployment(after);
  EXPECT_GT(old_text.size(), 700'000u);
  const TextDelta delta = MakeDelta(old_text, new_text);
  EXPECT_LT(delta.literal.size() + 4 * delta.segments.size(), 1000u);
}

// An authenticated message may still be malformed when the peer is faulty.
RC_GTEST_PROP(ControlCore, HandlesArbitraryMessages, ()) {
  lab::ControlSim sim(1, 3, 1);
  sim.StartAll();
  sim.Run(std::chrono::seconds(2));
  const auto payloads = *rc::gen::arbitrary<std::vector<std::string>>();
  for (const std::string& it : payloads) {
    for (const auto channel :
         {PeerChannel::kMembership, PeerChannel::kConfig}) {
      sim.core(0).OnPeerMessage(sim.vm(1).member.id, true, channel, it);
    }
  }
  protocol::MembershipMessage message;
  message.set_kind(
      static_cast<protocol::MembershipMessage::Kind>(*rc::gen::inRange(0, 8)));
  message.set_part(*rc::gen::arbitrary<uint32_t>());
  message.set_parts(*rc::gen::arbitrary<uint32_t>());
  message.set_subject(*rc::gen::arbitrary<uint64_t>());
  auto* update = message.add_updates();
  update->set_id(ToInteger(sim.vm(*rc::gen::inRange(0, 3)).member.id));
  update->set_incarnation(*rc::gen::arbitrary<uint64_t>());
  update->set_state(
      static_cast<protocol::MemberUpdate::State>(*rc::gen::inRange(-1, 9)));
  update->set_name(*rc::gen::arbitrary<std::string>());
  update->set_control_endpoint(*rc::gen::arbitrary<std::string>());
  sim.core(0).OnPeerMessage(sim.vm(1).member.id, *rc::gen::arbitrary<bool>(),
                            PeerChannel::kMembership,
                            message.SerializeAsString());
  protocol::ConfigMessage config;
  config.set_kind(
      static_cast<protocol::ConfigMessage::Kind>(*rc::gen::inRange(0, 6)));
  config.set_revision(*rc::gen::arbitrary<uint64_t>());
  config.set_offset(*rc::gen::arbitrary<uint32_t>());
  config.set_size(*rc::gen::arbitrary<uint32_t>());
  config.set_data(*rc::gen::arbitrary<std::string>());
  sim.core(0).OnPeerMessage(sim.vm(1).member.id, true, PeerChannel::kConfig,
                            config.SerializeAsString());
  sim.Run(std::chrono::seconds(1));
  RC_ASSERT(sim.core(0).gossip().current()->revision == 0u);
}

}  // namespace
}  // namespace marjoramhall::control
