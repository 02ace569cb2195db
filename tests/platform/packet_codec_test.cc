// Guards against packets that are misread, changed on their way, or reset with
// the wrong ends.
#include "platform/packet_codec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <vector>

namespace marjoramhall::platform {
namespace {

// The example of the platform's page: an opening from 100.64.0.7:40001 to
// 198.18.0.1:443.
constexpr forward::HeaderOnlyPacket kOpening = {
    0x10, 0x00, 0x64, 0x40, 0x00, 0x07, 0x9c, 0x41, 0x01, 0xbb, 0xc6,
    0x12, 0x00, 0x01, 0x00, 0x00, 0x00, 0x00, 0x11, 0x22, 0x33, 0x44,
    0x00, 0x00, 0x00, 0x00, 0xa1, 0xb2, 0xc3, 0xd5, 0x00, 0x00};
constexpr forward::HeaderOnlyPacket kReset = {
    0x80, 0x00, 0xc6, 0x12, 0x00, 0x01, 0x01, 0xbb, 0x9c, 0x41, 0x64,
    0x40, 0x00, 0x07, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00,
    0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00};

TEST(PacketCodec, ReadsTheExample) {
  forward::PacketHeader header;
  ASSERT_TRUE(MakePacketCodec().decode(kOpening, &header));
  EXPECT_EQ(header.flow.client_address, 0x64400007U);
  EXPECT_EQ(header.flow.client_port, 40001);
  EXPECT_EQ(header.flow.service_address, 0xc6120001U);
  EXPECT_EQ(header.flow.service_port, 443);
  EXPECT_EQ(header.sequence, 0x11223344U);
  EXPECT_TRUE(header.syn);
  EXPECT_FALSE(header.ack || header.fin || header.reset);
}

TEST(PacketCodec, WritesTheExampleReset) {
  forward::PacketHeader header;
  ASSERT_TRUE(MakePacketCodec().decode(kOpening, &header));
  EXPECT_EQ(MakePacketCodec().make_reset(header.flow), kReset);
}

TEST(PacketCodec, ChangesOnlyTheTokenOfAPacket) {
  forward::HeaderOnlyPacket packet = kOpening;
  MakePacketCodec().set_token(packet, forward::TargetToken{0x01020304});
  for (size_t i = 0; i < packet.size(); ++i) {
    if (i < 14 || i >= 18) {
      EXPECT_EQ(packet[i], kOpening[i]) << i;
    }
  }
  forward::PacketHeader header;
  ASSERT_TRUE(MakePacketCodec().decode(packet, &header));
  EXPECT_EQ(header.token, forward::TargetToken{0x01020304});
}

RC_GTEST_PROP(PacketCodec, TakesOnlyDatagramsOfTheRightLength, ()) {
  const auto bytes = *rc::gen::arbitrary<std::vector<uint8_t>>();
  forward::PacketHeader header;
  const bool taken = MakePacketCodec().decode(bytes, &header);
  RC_ASSERT(!taken || bytes.size() == 32U + header.data_bytes);
}

TEST(PacketCodec, RefusesALengthThatDoesNotFit) {
  std::vector<uint8_t> packet(kOpening.begin(), kOpening.end());
  forward::PacketHeader header;
  packet.push_back(0);
  EXPECT_FALSE(MakePacketCodec().decode(packet, &header));
  packet[31] = 1;
  EXPECT_TRUE(MakePacketCodec().decode(packet, &header));
  packet.resize(31);
  EXPECT_FALSE(MakePacketCodec().decode(packet, &header));
}

TEST(InstanceOf, TakesTheHexDigitsAtTheEnd) {
  EXPECT_EQ(InstanceOf("i-7f3a91c2"), 0x7f3a91c2U);
  EXPECT_EQ(InstanceOf("i-1feedae405"), 0x1feedae405U);
  EXPECT_EQ(InstanceOf("7f"), 0x7fU);
  EXPECT_EQ(InstanceOf("i-"), std::nullopt);
  EXPECT_EQ(InstanceOf("i-11112222333344445"), std::nullopt);
}

}  // namespace
}  // namespace marjoramhall::platform
