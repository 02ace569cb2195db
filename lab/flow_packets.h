// Builds IP packets for stand-ins, tests and benchmarks of the flow plane.
// Header-only, so that test programs can use it without the lab library.
#ifndef MARJORAMHALL_LAB_FLOW_PACKETS_H_
#define MARJORAMHALL_LAB_FLOW_PACKETS_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "src/flow/packet.h"

namespace marjoramhall::lab {

inline constexpr uint8_t kTcpFin = 0x01;
inline constexpr uint8_t kTcpSyn = 0x02;
inline constexpr uint8_t kTcpRst = 0x04;
inline constexpr uint8_t kTcpAck = 0x10;

inline void Write16(std::vector<uint8_t>& data, size_t offset, size_t value) {
  data[offset] = static_cast<uint8_t>(value >> 8);
  data[offset + 1] = static_cast<uint8_t>(value);
}

// Returns `payload` with an IPv4 or IPv6 header, by the family of the
// addresses. `fragment` is the flags and fragment offset field of IPv4: an
// offset in units of 8 bytes, and 0x2000 for "more fragments".
inline std::vector<uint8_t> MakeIp(const IpAddress& source,
                                   const IpAddress& destination,
                                   uint8_t protocol,
                                   std::span<const uint8_t> payload,
                                   uint16_t fragment = 0,
                                   uint16_t id = 0) {
  const bool v4 = source.IsV4();
  const size_t header = v4 ? 20 : 40;
  std::vector<uint8_t> out(header, 0);
  if (v4) {
    out[0] = 0x45;
    Write16(out, 2, header + payload.size());
    Write16(out, 4, id);
    Write16(out, 6, fragment);
    out[8] = 64;
    out[9] = protocol;
    std::copy_n(source.bytes.begin() + 12, 4, out.begin() + 12);
    std::copy_n(destination.bytes.begin() + 12, 4, out.begin() + 16);
    Write16(out, 10, flow::InternetChecksum(out));
  } else {
    out[0] = 0x60;
    Write16(out, 4, payload.size());
    out[6] = protocol;
    out[7] = 64;
    std::copy_n(source.bytes.begin(), 16, out.begin() + 8);
    std::copy_n(destination.bytes.begin(), 16, out.begin() + 24);
  }
  out.insert(out.end(), payload.begin(), payload.end());
  return out;
}

// Returns a TCP or UDP header and `size` zero bytes of payload. `flags` are TCP
// flags.
inline std::vector<uint8_t> MakeSegment(const flow::FlowKey& key,
                                        uint8_t flags,
                                        size_t size) {
  const bool tcp = key.protocol == config::FlowProtocol::kTcp;
  std::vector<uint8_t> out((tcp ? 20 : 8) + size, 0);
  Write16(out, 0, key.source_port);
  Write16(out, 2, key.destination_port);
  if (tcp) {
    out[12] = 0x50;
    out[13] = flags;
  } else {
    Write16(out, 4, out.size());
  }
  return out;
}

// Returns an IP packet of a flow with `size` zero bytes of payload.
inline std::vector<uint8_t> MakePacket(const flow::FlowKey& key,
                                       uint8_t flags,
                                       size_t size) {
  return MakeIp(key.source, key.destination, static_cast<uint8_t>(key.protocol),
                MakeSegment(key, flags, size));
}

}  // namespace marjoramhall::lab

#endif  // MARJORAMHALL_LAB_FLOW_PACKETS_H_
