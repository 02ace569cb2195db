// The ICMP error that tells a caller the largest packet that fits.
#ifndef MARJORAMHALL_FLOW_PACKET_TOO_BIG_H_
#define MARJORAMHALL_FLOW_PACKET_TOO_BIG_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace marjoramhall::flow {

// Builds "fragmentation needed" (ICMP 3/4, RFC 1191) or "packet too big"
// (ICMPv6 2, RFC 4443) about `packet`, from its destination to its source.
// Empty for packets that must not be answered: malformed ones, later fragments
// and ICMP errors.
std::vector<uint8_t> MakePacketTooBig(std::span<const uint8_t> packet,
                                      size_t mtu);

}  // namespace marjoramhall::flow

#endif  // MARJORAMHALL_FLOW_PACKET_TOO_BIG_H_
