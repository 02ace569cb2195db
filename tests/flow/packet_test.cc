// Guards against crashes and overreads of the packet parser, and against
// packets assigned to the wrong flow.
#include "src/flow/packet.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "lab/flow_packets.h"
#include "src/flow/packet_too_big.h"

namespace marjoramhall::flow {
namespace {

FlowKey Key(bool v6, config::FlowProtocol protocol) {
  const char* source = v6 ? "2001:db8::1" : "192.0.2.1";
  const char* destination = v6 ? "2001:db8::2" : "198.51.100.9";
  return {*IpAddress::Parse(source), *IpAddress::Parse(destination), 40000, 443,
          protocol};
}

TEST(PacketTest, ParsesTcpAndUdpOverIpv4AndIpv6) {
  for (const bool v6 : {false, true}) {
    for (const auto protocol :
         {config::FlowProtocol::kTcp, config::FlowProtocol::kUdp}) {
      const FlowKey key = Key(v6, protocol);
      PacketInfo info;
      ASSERT_EQ(ParsePacket(lab::MakePacket(key, lab::kTcpSyn, 10), info),
                ParseError::kNone);
      EXPECT_EQ(info.key, key);
      EXPECT_EQ(info.payload_size, 10U);
      EXPECT_EQ(info.tcp_syn, protocol == config::FlowProtocol::kTcp);
    }
  }
}

// A SYN-ACK is sent by a service and must not open a flow towards one.
TEST(PacketTest, SynAckDoesNotOpenAFlow) {
  PacketInfo info;
  const auto packet = lab::MakePacket(Key(false, config::FlowProtocol::kTcp),
                                      lab::kTcpSyn | lab::kTcpAck, 0);
  ASSERT_EQ(ParsePacket(packet, info), ParseError::kNone);
  EXPECT_FALSE(info.tcp_syn);
}

TEST(PacketTest, IcmpErrorHasTheKeyOfTheQuotedFlow) {
  for (const bool v6 : {false, true}) {
    const FlowKey key = Key(v6, config::FlowProtocol::kTcp);
    FlowKey answer = key;
    std::swap(answer.source, answer.destination);
    std::swap(answer.source_port, answer.destination_port);
    const auto quoted = lab::MakePacket(answer, lab::kTcpAck, 1400);
    std::vector<uint8_t> icmp(8, 0);
    icmp[0] = v6 ? 2 : 3;
    icmp[1] = v6 ? 0 : 4;
    icmp.insert(icmp.end(), quoted.begin(), quoted.begin() + (v6 ? 48 : 28));
    PacketInfo info;
    ASSERT_EQ(
        ParsePacket(lab::MakeIp(key.source, key.destination, v6 ? 58 : 1, icmp),
                    info),
        ParseError::kNone);
    EXPECT_TRUE(info.icmp_error);
    EXPECT_EQ(info.key, key);
  }
}

TEST(PacketTest, FragmentsHaveTheSameIdAndOnlyTheFirstHasPorts) {
  const FlowKey key = Key(false, config::FlowProtocol::kUdp);
  const auto segment = lab::MakeSegment(key, 0, 64);
  const std::span<const uint8_t> all(segment);
  PacketInfo info;
  ASSERT_EQ(ParsePacket(lab::MakeIp(key.source, key.destination, 17,
                                    all.first(40), 0x2000, 77),
                        info),
            ParseError::kNone);
  EXPECT_TRUE(info.first_fragment);
  EXPECT_EQ(info.key, key);
  ASSERT_EQ(ParsePacket(lab::MakeIp(key.source, key.destination, 17,
                                    all.subspan(40), 5, 77),
                        info),
            ParseError::kNone);
  EXPECT_TRUE(info.fragment);
  EXPECT_FALSE(info.first_fragment);
  EXPECT_EQ(info.fragment_id, 77U);
  EXPECT_EQ(info.key.source_port, 0);
}

TEST(PacketTest, RejectsMalformedPacketsWithReason) {
  const FlowKey key = Key(false, config::FlowProtocol::kTcp);
  const auto good = lab::MakePacket(key, lab::kTcpAck, 0);
  PacketInfo info;
  const auto parse = [&](std::vector<uint8_t> data) {
    return ParsePacket(data, info);
  };
  auto bad = good;
  bad[0] = 0x55;
  EXPECT_EQ(parse(bad), ParseError::kBadVersion);
  bad = good;
  bad[0] = 0x44;
  EXPECT_EQ(parse(bad), ParseError::kBadHeaderLength);
  bad = good;
  bad[8] = 1;
  EXPECT_EQ(parse(bad), ParseError::kBadChecksum);
  EXPECT_EQ(parse({good.begin(), good.end() - 1}), ParseError::kTruncated);
  EXPECT_EQ(parse(lab::MakeIp(key.source, key.destination, 47, good)),
            ParseError::kBadProtocol);
  const std::vector<uint8_t> echo(8, 8);
  EXPECT_EQ(parse(lab::MakeIp(key.source, key.destination, 1, echo)),
            ParseError::kNotAnError);
}

// Parses random bytes and valid packets with random corruption. The sanitizer
// builds detect overreads.
RC_GTEST_PROP(PacketTest, NeverReadsPastTheInput, (bool v6)) {
  std::vector<uint8_t> packet;
  if (*rc::gen::arbitrary<bool>()) {
    packet = *rc::gen::arbitrary<std::vector<uint8_t>>();
  } else {
    packet = lab::MakePacket(Key(v6, config::FlowProtocol::kTcp), 2, 30);
    for (int i = 0; i < 3; ++i) {
      packet[*rc::gen::inRange<size_t>(0, packet.size())] =
          *rc::gen::arbitrary<uint8_t>();
    }
    packet.resize(*rc::gen::inRange<size_t>(0, packet.size() + 1));
  }
  const std::vector<uint8_t> exact(packet);
  PacketInfo info;
  ParsePacket(exact, info);
  MakePacketTooBig(exact, 1400);
}

// A caller ignores the error unless it quotes a packet of the caller, has
// correct IP and ICMP checksums and reports the MTU.
TEST(PacketTest, PacketTooBigQuotesTheCallersPacket) {
  const FlowKey key = Key(false, config::FlowProtocol::kTcp);
  const auto packet = lab::MakePacket(key, lab::kTcpAck, 1460);
  const auto error = MakePacketTooBig(packet, 1400);
  ASSERT_EQ(error.size(), 576U);
  PacketInfo info;
  ASSERT_EQ(ParsePacket(error, info), ParseError::kNone);
  EXPECT_EQ(info.key.source, key.destination);
  EXPECT_EQ(InternetChecksum(std::span(error).subspan(20)), 0);
  EXPECT_EQ((error[26] << 8) | error[27], 1400);
  EXPECT_TRUE(MakePacketTooBig(error, 1400).empty());
}

}  // namespace
}  // namespace marjoramhall::flow
