// Guards against forged, replayed, stale or misdirected messages that are
// accepted, and against rejections with the wrong reason.
#include "src/protocol/envelope.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace marjoramhall::protocol {
namespace {

constexpr VmId kA{11};
constexpr VmId kB{22};

// The codecs of two VMs in the same deployment.
struct CodecPair {
  EnvelopeCodec a{"site", "key", kA, 100};
  EnvelopeCodec b{"site", "key", kB, 200};

  std::string ToB(const std::string& text = "hello") {
    return a.Seal(100, kB, 200, PeerChannel::kFlow, text);
  }
};

TEST(Envelope, AcceptsAMessageOnlyOnce) {
  CodecPair pair;
  const std::string wire = pair.ToB();
  const auto first = pair.b.Open(wire);
  EXPECT_EQ(first.error, EnvelopeError::kNone);
  EXPECT_EQ(first.payload, "hello");
  EXPECT_EQ(first.sender, kA);
  EXPECT_EQ(first.channel, PeerChannel::kFlow);
  EXPECT_EQ(pair.b.Open(wire).error, EnvelopeError::kReplay);
  EXPECT_EQ(pair.b.RejectedCount(EnvelopeError::kReplay), 1u);
}

TEST(Envelope, AcceptsReorderingWithinTheReplayWindow) {
  CodecPair pair;
  const std::string first = pair.ToB();
  const std::string second = pair.ToB();
  EXPECT_EQ(pair.b.Open(second).error, EnvelopeError::kNone);
  EXPECT_EQ(pair.b.Open(first).error, EnvelopeError::kNone);
  EXPECT_EQ(pair.b.Open(first).error, EnvelopeError::kReplay);
}

// A message captured before a restart of either side must not be accepted after
// the restart.
TEST(Envelope, RejectsMessagesFromBeforeARestart) {
  CodecPair pair;
  const std::string old = pair.ToB();
  EnvelopeCodec restarted_b("site", "key", kB, 300);
  EXPECT_EQ(restarted_b.Open(old).error, EnvelopeError::kOldRecipient);
  EnvelopeCodec restarted_a("site", "key", kA, 150);
  const std::string newer =
      restarted_a.Seal(150, kB, 200, PeerChannel::kFlow, "x");
  EXPECT_EQ(pair.b.Open(newer).error, EnvelopeError::kNone);
  EXPECT_EQ(pair.b.Open(old).error, EnvelopeError::kOldIncarnation);
}

TEST(Envelope, RejectsOtherKeysDeploymentsAndRecipients) {
  CodecPair pair;
  EnvelopeCodec other_key("site", "guess", VmId{5}, 1);
  EXPECT_EQ(
      pair.b.Open(other_key.Seal(1, kB, 200, PeerChannel::kFlow, "x")).error,
      EnvelopeError::kBadMac);
  EnvelopeCodec other_site("other", "key", VmId{6}, 1);
  EXPECT_EQ(
      pair.b.Open(other_site.Seal(1, kB, 200, PeerChannel::kFlow, "x")).error,
      EnvelopeError::kOtherDeployment);
  EXPECT_EQ(
      pair.b.Open(pair.a.Seal(100, VmId{7}, 1, PeerChannel::kFlow, "x")).error,
      EnvelopeError::kOtherRecipient);
  EXPECT_EQ(pair.b.Open(std::string(kMaxEnvelopeBytes + 1, 'x')).error,
            EnvelopeError::kOversized);
}

RC_GTEST_PROP(Envelope, RejectsEveryAlteredMessage, ()) {
  CodecPair pair;
  std::string wire = pair.ToB();
  const auto at = *rc::gen::inRange<size_t>(0, wire.size());
  const auto bit = *rc::gen::inRange(0, 8);
  wire[at] = static_cast<char>(wire[at] ^ (1 << bit));
  RC_ASSERT(pair.b.Open(wire).error != EnvelopeError::kNone);
}

RC_GTEST_PROP(Envelope, RejectsArbitraryInput, (const std::string& wire)) {
  CodecPair pair;
  RC_ASSERT(pair.b.Open(wire).error != EnvelopeError::kNone);
}

}  // namespace
}  // namespace marjoramhall::protocol
