// Guards against datagrams that are accepted although they are corrupted,
// truncated or from another deployment.
#include "src/protocol/hop_header.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <vector>

namespace marjoramhall::protocol {
namespace {

std::vector<uint8_t> Encode(const HopHeader& header,
                            const HopKey& key,
                            const std::vector<uint8_t>& packet) {
  std::vector<uint8_t> out(kHopHeaderSize);
  EncodeHopHeader(header, key, packet, out.data());
  out.insert(out.end(), packet.begin(), packet.end());
  return out;
}

HopHeader SampleHeader() {
  HopHeader header;
  header.kind = HopKind::kRecordFlow;
  header.flags = kHopNewFlow | kHopToOwner;
  header.hops = 3;
  header.service = static_cast<ServiceId>(7);
  header.target = static_cast<TargetId>(0x01020304);
  header.revision = 0x1122334455667788;
  header.origin = static_cast<VmId>(1);
  header.sender = static_cast<VmId>(2);
  header.incarnation = 99;
  header.origin_tick = 12345;
  header.source_port = 40000;
  header.destination_port = 443;
  return header;
}

// The test vector of the SipHash paper: key 00..0f, message 00..0e.
TEST(HopHeaderTest, SipHashMatchesThePublishedTestVector) {
  const HopKey key = {0x0706050403020100, 0x0f0e0d0c0b0a0908};
  std::vector<uint8_t> message(15);
  for (uint8_t i = 0; i < 15; ++i) {
    message[i] = i;
  }
  EXPECT_EQ(SipHash24(key, message), 0xa129ca6149be45e5ULL);
}

RC_GTEST_PROP(HopHeaderTest,
              RoundTripKeepsEveryField,
              (const std::vector<uint8_t>& packet)) {
  const HopKey key = DeriveHopKey("secret");
  HopHeader decoded;
  RC_ASSERT(DecodeHopHeader(Encode(SampleHeader(), key, packet), key,
                            decoded) == HopError::kNone);
  RC_ASSERT(decoded == SampleHeader());
}

// Any flipped bit in the header or in the first 64 bytes of the packet must be
// detected.
RC_GTEST_PROP(HopHeaderTest, FlippedBitIsRejected, ()) {
  const HopKey key = DeriveHopKey("secret");
  auto data = Encode(SampleHeader(), key, std::vector<uint8_t>(100, 0xaa));
  const auto bit = *rc::gen::inRange<size_t>(0, (kHopHeaderSize + 64) * 8);
  data[bit / 8] ^= static_cast<uint8_t>(1U << (bit % 8));
  HopHeader decoded;
  RC_ASSERT(DecodeHopHeader(data, key, decoded) != HopError::kNone);
}

// Truncated datagrams, unknown versions and kinds, and datagrams of another
// deployment are rejected, each with its own error.
TEST(HopHeaderTest, RejectsInvalidDatagramsWithTheRightError) {
  const HopKey key = DeriveHopKey("secret");
  const auto data = Encode(SampleHeader(), key, std::vector<uint8_t>(40, 1));
  HopHeader decoded;
  const auto decode = [&](std::vector<uint8_t> input) {
    return DecodeHopHeader(input, key, decoded);
  };
  EXPECT_EQ(decode({data.begin(), data.begin() + 63}), HopError::kTooShort);
  EXPECT_EQ(decode({data.begin(), data.end() - 1}), HopError::kLength);
  auto changed = data;
  changed[2] = 2;
  EXPECT_EQ(decode(changed), HopError::kVersion);
  changed = data;
  changed[3] = 200;
  EXPECT_EQ(decode(changed), HopError::kKind);
  EXPECT_EQ(DecodeHopHeader(data, DeriveHopKey("other"), decoded),
            HopError::kChecksum);
}

}  // namespace
}  // namespace marjoramhall::protocol
