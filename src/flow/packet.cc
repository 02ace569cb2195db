// Parsing of IPv4, IPv6, TCP, UDP and ICMP error packets.
#include "src/flow/packet.h"

#include <arpa/inet.h>

#include <algorithm>
#include <cstring>

namespace marjoramhall::flow {
namespace {

// IP protocol numbers and IPv6 extension header types (IANA).
constexpr uint8_t kProtocolIcmp = 1;
constexpr uint8_t kProtocolTcp = 6;
constexpr uint8_t kProtocolUdp = 17;
constexpr uint8_t kProtocolIcmpV6 = 58;
constexpr uint8_t kHeaderHopByHop = 0;
constexpr uint8_t kHeaderRouting = 43;
constexpr uint8_t kHeaderFragment = 44;
constexpr uint8_t kHeaderDestinationOptions = 60;
// RFC 8200 expects each extension header about once. The limit bounds the
// parsing time of hostile packets.
constexpr int kMaxExtensionHeaders = 6;

using Bytes = std::span<const uint8_t>;

uint16_t Read16(Bytes data, size_t offset) {
  return static_cast<uint16_t>((data[offset] << 8) | data[offset + 1]);
}

uint32_t Read32(Bytes data, size_t offset) {
  return (uint32_t{Read16(data, offset)} << 16) | Read16(data, offset + 2);
}

// The IP layer of a packet. `payload` starts at the transport header.
struct IpLayer {
  IpAddress source;
  IpAddress destination;
  uint8_t protocol = 0;
  bool fragment = false;
  uint32_t fragment_offset = 0;
  uint32_t fragment_id = 0;
  Bytes payload;
};

// `complete` is false for a packet quoted by an ICMP error. It may be cut off,
// so its length may exceed the input, and its checksum is not verified.
ParseError ParseV4(Bytes data, bool complete, IpLayer& ip) {
  if (data.size() < 20) {
    return ParseError::kTruncated;
  }
  const size_t header = (data[0] & 0x0f) * size_t{4};
  const size_t total = Read16(data, 2);
  if (header < 20) {
    return ParseError::kBadHeaderLength;
  }
  if (header > data.size()) {
    return ParseError::kTruncated;
  }
  if (total < header) {
    return ParseError::kBadLength;
  }
  if (complete && total > data.size()) {
    return ParseError::kTruncated;
  }
  if (complete && InternetChecksum(data.first(header)) != 0) {
    return ParseError::kBadChecksum;
  }
  ip.source = IpAddress::FromV4(Read32(data, 12));
  ip.destination = IpAddress::FromV4(Read32(data, 16));
  ip.protocol = data[9];
  ip.fragment_id = Read16(data, 4);
  ip.fragment_offset = (Read16(data, 6) & 0x1fff) * 8U;
  ip.fragment = ip.fragment_offset > 0 || (data[6] & 0x20) != 0;
  ip.payload = data.first(std::min(total, data.size())).subspan(header);
  return ParseError::kNone;
}

// Skips the extension headers of `ip.payload`.
ParseError SkipExtensions(IpLayer& ip) {
  for (int i = 0; i <= kMaxExtensionHeaders; ++i) {
    const uint8_t next = ip.protocol;
    if (next != kHeaderHopByHop && next != kHeaderRouting &&
        next != kHeaderFragment && next != kHeaderDestinationOptions) {
      return ParseError::kNone;
    }
    if (ip.payload.size() < 8) {
      return ParseError::kTruncated;
    }
    size_t length = 8;
    if (next == kHeaderFragment) {
      ip.fragment_offset = Read16(ip.payload, 2) & 0xfff8U;
      ip.fragment = ip.fragment_offset > 0 || (ip.payload[3] & 1) != 0;
      ip.fragment_id = Read32(ip.payload, 4);
    } else {
      length = (ip.payload[1] + size_t{1}) * 8;
    }
    if (length > ip.payload.size()) {
      return ParseError::kTruncated;
    }
    ip.protocol = ip.payload[0];
    ip.payload = ip.payload.subspan(length);
    if (ip.fragment_offset > 0) {
      return ParseError::kNone;
    }
  }
  return ParseError::kBadExtension;
}

ParseError ParseV6(Bytes data, bool complete, IpLayer& ip) {
  if (data.size() < 40) {
    return ParseError::kTruncated;
  }
  const size_t length = Read16(data, 4);
  if (complete && length > data.size() - 40) {
    return ParseError::kTruncated;
  }
  std::copy_n(data.begin() + 8, 16, ip.source.bytes.begin());
  std::copy_n(data.begin() + 24, 16, ip.destination.bytes.begin());
  if (ip.source.IsV4() || ip.destination.IsV4()) {
    // An IPv4-mapped address on the wire would get the key of an IPv4 flow.
    return ParseError::kBadVersion;
  }
  ip.protocol = data[6];
  ip.payload = data.subspan(40, std::min(length, data.size() - 40));
  return SkipExtensions(ip);
}

ParseError ParseIp(Bytes data, bool complete, IpLayer& ip) {
  if (data.empty()) {
    return ParseError::kTruncated;
  }
  switch (data[0] >> 4) {
    case 4:
      return ParseV4(data, complete, ip);
    case 6:
      return ParseV6(data, complete, ip);
    default:
      return ParseError::kBadVersion;
  }
}

ParseError ParseTcp(Bytes data, PacketInfo& info) {
  if (data.size() < 20) {
    return ParseError::kTruncated;
  }
  const size_t header = (data[12] >> 4) * size_t{4};
  if (header < 20) {
    return ParseError::kBadHeaderLength;
  }
  if (header > data.size()) {
    return ParseError::kTruncated;
  }
  info.tcp_fin = (data[13] & 0x01) != 0;
  info.tcp_rst = (data[13] & 0x04) != 0;
  info.tcp_syn = (data[13] & 0x16) == 0x02;
  info.payload_size = static_cast<uint32_t>(data.size() - header);
  return ParseError::kNone;
}

ParseError ParseUdp(Bytes data, bool fragment, PacketInfo& info) {
  if (data.size() < 8) {
    return ParseError::kTruncated;
  }
  const size_t length = Read16(data, 4);
  if (length < 8) {
    return ParseError::kBadLength;
  }
  if (length > data.size() && !fragment) {
    return ParseError::kTruncated;
  }
  info.payload_size = static_cast<uint32_t>(data.size() - 8);
  return ParseError::kNone;
}

bool IsErrorType(uint8_t protocol, uint8_t type) {
  if (protocol == kProtocolIcmp) {
    // Destination unreachable, source quench, time exceeded, parameter problem.
    return type == 3 || type == 4 || type == 11 || type == 12;
  }
  return type >= 1 && type <= 4;
}

// The quoted packet went from the service to the caller, so source and
// destination are swapped to get the key of the flow.
ParseError ParseIcmp(const IpLayer& outer, PacketInfo& info) {
  if (outer.payload.size() < 8) {
    return ParseError::kTruncated;
  }
  if (!IsErrorType(outer.protocol, outer.payload[0])) {
    return ParseError::kNotAnError;
  }
  IpLayer inner;
  const ParseError error = ParseIp(outer.payload.subspan(8), false, inner);
  if (error != ParseError::kNone) {
    return error;
  }
  if (inner.protocol != kProtocolTcp && inner.protocol != kProtocolUdp) {
    return ParseError::kBadProtocol;
  }
  if (inner.payload.size() < 4 || inner.fragment_offset > 0) {
    return ParseError::kTruncated;
  }
  info.icmp_error = true;
  info.ip_protocol = outer.protocol;
  info.key.source = inner.destination;
  info.key.destination = inner.source;
  info.key.source_port = Read16(inner.payload, 2);
  info.key.destination_port = Read16(inner.payload, 0);
  info.key.protocol = static_cast<config::FlowProtocol>(inner.protocol);
  return ParseError::kNone;
}

}  // namespace

uint16_t InternetChecksum(std::span<const uint8_t> data) {
  // The sum does not depend on the byte order (RFC 1071, 2B), so words are
  // added in host order.
  uint64_t sum = 0;
  size_t i = 0;
  for (; i + 4 <= data.size(); i += 4) {
    uint32_t word = 0;
    std::memcpy(&word, data.data() + i, sizeof(word));
    sum += word;
  }
  if (i < data.size()) {
    uint32_t word = 0;
    std::memcpy(&word, data.data() + i, data.size() - i);
    sum += word;
  }
  while ((sum >> 16) != 0) {
    sum = (sum & 0xffff) + (sum >> 16);
  }
  return ntohs(static_cast<uint16_t>(~sum));
}

ParseError ParsePacket(std::span<const uint8_t> packet, PacketInfo& info) {
  IpLayer ip;
  const ParseError error = ParseIp(packet, true, ip);
  if (error != ParseError::kNone) {
    return error;
  }
  info = PacketInfo{};
  info.ip_protocol = ip.protocol;
  info.key.source = ip.source;
  info.key.destination = ip.destination;
  info.fragment = ip.fragment;
  info.first_fragment = ip.fragment && ip.fragment_offset == 0;
  info.fragment_id = ip.fragment_id;
  if (ip.protocol == kProtocolIcmp || ip.protocol == kProtocolIcmpV6) {
    return ip.fragment ? ParseError::kNotAnError : ParseIcmp(ip, info);
  }
  if (ip.protocol != kProtocolTcp && ip.protocol != kProtocolUdp) {
    return ParseError::kBadProtocol;
  }
  info.key.protocol = static_cast<config::FlowProtocol>(ip.protocol);
  if (ip.fragment && !info.first_fragment) {
    info.payload_size = static_cast<uint32_t>(ip.payload.size());
    return ParseError::kNone;
  }
  const ParseError transport = ip.protocol == kProtocolTcp
                                   ? ParseTcp(ip.payload, info)
                                   : ParseUdp(ip.payload, ip.fragment, info);
  if (transport == ParseError::kNone) {
    info.key.source_port = Read16(ip.payload, 0);
    info.key.destination_port = Read16(ip.payload, 2);
  }
  return transport;
}

}  // namespace marjoramhall::flow
