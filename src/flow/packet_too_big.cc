// Builds ICMP "packet too big" errors.
#include "src/flow/packet_too_big.h"

#include <algorithm>

#include "src/flow/packet.h"

namespace marjoramhall::flow {
namespace {

// Size limits of the error with the quoted packet: RFC 1812 and RFC 4443.
constexpr size_t kMaxIcmpV4ErrorBytes = 576;
constexpr size_t kMaxIcmpV6ErrorBytes = 1280;

void Write16(std::vector<uint8_t>& data, size_t offset, size_t value) {
  data[offset] = static_cast<uint8_t>(value >> 8);
  data[offset + 1] = static_cast<uint8_t>(value);
}

std::vector<uint8_t> MakeV4(std::span<const uint8_t> packet, size_t mtu) {
  const size_t quoted = std::min(packet.size(), kMaxIcmpV4ErrorBytes - 28);
  std::vector<uint8_t> out(28 + quoted, 0);
  out[0] = 0x45;  // version 4, header of 20 bytes
  Write16(out, 2, out.size());
  out[8] = 64;  // time to live
  out[9] = 1;   // ICMP
  std::copy_n(packet.begin() + 16, 4, out.begin() + 12);
  std::copy_n(packet.begin() + 12, 4, out.begin() + 16);
  Write16(out, 10, InternetChecksum({out.data(), 20}));
  out[20] = 3;  // destination unreachable
  out[21] = 4;  // fragmentation needed
  Write16(out, 26, mtu);
  std::copy_n(packet.begin(), quoted, out.begin() + 28);
  Write16(out, 22, InternetChecksum({out.data() + 20, out.size() - 20}));
  return out;
}

std::vector<uint8_t> MakeV6(std::span<const uint8_t> packet, size_t mtu) {
  const size_t quoted = std::min(packet.size(), kMaxIcmpV6ErrorBytes - 48);
  std::vector<uint8_t> out(48 + quoted, 0);
  out[0] = 0x60;  // version 6
  Write16(out, 4, 8 + quoted);
  out[6] = 58;  // ICMPv6
  out[7] = 64;  // hop limit
  std::copy_n(packet.begin() + 24, 16, out.begin() + 8);
  std::copy_n(packet.begin() + 8, 16, out.begin() + 24);
  out[40] = 2;  // packet too big
  Write16(out, 44, mtu >> 16);
  Write16(out, 46, mtu & 0xffff);
  std::copy_n(packet.begin(), quoted, out.begin() + 48);
  // The checksum covers a pseudo header: addresses, length and protocol.
  std::vector<uint8_t> pseudo(out.begin() + 8, out.begin() + 40);
  pseudo.resize(40, 0);
  Write16(pseudo, 34, 8 + quoted);
  pseudo[39] = 58;
  pseudo.insert(pseudo.end(), out.begin() + 40, out.end());
  Write16(out, 42, InternetChecksum(pseudo));
  return out;
}

}  // namespace

std::vector<uint8_t> MakePacketTooBig(std::span<const uint8_t> packet,
                                      size_t mtu) {
  PacketInfo info;
  if (ParsePacket(packet, info) != ParseError::kNone || info.icmp_error ||
      (info.fragment && !info.first_fragment)) {
    return {};
  }
  return (packet[0] >> 4) == 4 ? MakeV4(packet, std::min<size_t>(mtu, 0xffff))
                               : MakeV6(packet, mtu);
}

}  // namespace marjoramhall::flow
