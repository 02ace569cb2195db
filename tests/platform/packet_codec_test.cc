// Guards against packets that are decoded wrongly or changed when forwarded,
// and against resets with wrong addresses.
#include "platform/packet_codec.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>
#include <algorithm>
#include <iterator>

#include <vector>

namespace marjoramhall::platform {
namespace {

// The example in the platform's documentation: a SYN from 100.64.0.7:40001 to
// 198.18.0.1:443.
constexpr forward::HeaderOnlyPacket kSyn = {
    0x10, 0x00, 0x64, 0x40, 0x00, 0x07, 0x9c, 0x41, 0x01, 0xbb, 0xc6,
    0x12, 0x00, 0x01, 0x00, 0x00, 0x00, 0x00, 0x11, 0x22, 0x33, 0x44,
    0x00, 0x00, 0x00, 0x00, 0xa1, 0xb2, 0xc3, 0xd5, 0x00, 0x00};
constexpr forward::HeaderOnlyPacket kReset = {
    0x80, 0x00, 0xc6, 0x12, 0x00, 0x01, 0x01, 0xbb, 0x9c, 0x41, 0x64,
    0x40, 0x00, 0x07, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00,
    0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00};

TEST(PacketCodec, DecodesTheExample) {
  forward::PacketHeader header;
  ASSERT_TRUE(MakePacketCodec().decode(kSyn, &header));
  EXPECT_EQ(header.flow.client_address, 0x64400007U);
  EXPECT_EQ(header.flow.client_port, 40001);
  EXPECT_EQ(header.flow.service_address, 0xc6120001U);
  EXPECT_EQ(header.flow.service_port, 443);
  EXPECT_EQ(header.sequence, 0x11223344U);
  EXPECT_TRUE(header.syn);
  EXPECT_FALSE(header.ack || header.fin || header.reset);
}

TEST(PacketCodec, EncodesTheResetOfTheExample) {
  forward::PacketHeader header;
  ASSERT_TRUE(MakePacketCodec().decode(kSyn, &header));
  EXPECT_EQ(MakePacketCodec().make_reset(header), kReset);
}

TEST(PacketCodec, ResetOfAnOpenFlowContinuesWhatTheClientAcknowledged) {
  // The client ignores a reset with a sequence number far from that.
  forward::PacketHeader header;
  ASSERT_TRUE(MakePacketCodec().decode(kSyn, &header));
  header.syn = false;
  header.acknowledged = 0x01020304;
  forward::HeaderOnlyPacket expected = kReset;
  const uint8_t sequence[] = {1, 2, 3, 4};
  std::copy(std::begin(sequence), std::end(sequence), expected.begin() + 18);
  EXPECT_EQ(MakePacketCodec().make_reset(header), expected);
}

TEST(PacketCodec, ChangesOnlyTheTokenOfAPacket) {
  forward::HeaderOnlyPacket packet = kSyn;
  MakePacketCodec().set_token(packet, forward::TargetToken{0x01020304});
  for (size_t i = 0; i < packet.size(); ++i) {
    if (i < 14 || i >= 18) {
      EXPECT_EQ(packet[i], kSyn[i]) << i;
    }
  }
  forward::PacketHeader header;
  ASSERT_TRUE(MakePacketCodec().decode(packet, &header));
  EXPECT_EQ(header.token, forward::TargetToken{0x01020304});
}

RC_GTEST_PROP(PacketCodec, AcceptsOnlyDatagramsOfTheRightLength, ()) {
  const auto bytes = *rc::gen::arbitrary<std::vector<uint8_t>>();
  forward::PacketHeader header;
  const bool accepted = MakePacketCodec().decode(bytes, &header);
  RC_ASSERT(!accepted || bytes.size() == 32U + header.data_bytes);
}

TEST(PacketCodec, RejectsAWrongLength) {
  std::vector<uint8_t> packet(kSyn.begin(), kSyn.end());
  forward::PacketHeader header;
  packet.push_back(0);
  EXPECT_FALSE(MakePacketCodec().decode(packet, &header));
  packet[31] = 1;
  EXPECT_TRUE(MakePacketCodec().decode(packet, &header));
  packet.resize(31);
  EXPECT_FALSE(MakePacketCodec().decode(packet, &header));
}

TEST(ParseInstance, ReadsTheTrailingHexDigits) {
  EXPECT_EQ(ParseInstance("i-7f3a91c2"), 0x7f3a91c2U);
  EXPECT_EQ(ParseInstance("i-1feedae405"), 0x1feedae405U);
  EXPECT_EQ(ParseInstance("7f"), 0x7fU);
  EXPECT_EQ(ParseInstance("i-"), std::nullopt);
  EXPECT_EQ(ParseInstance("i-11112222333344445"), std::nullopt);
}

}  // namespace
}  // namespace marjoramhall::platform
