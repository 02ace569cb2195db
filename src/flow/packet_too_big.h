// ICMP errors that report the path MTU to a caller.
#ifndef MARJORAMHALL_FLOW_PACKET_TOO_BIG_H_
#define MARJORAMHALL_FLOW_PACKET_TOO_BIG_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace marjoramhall::flow {

// Builds a "fragmentation needed" (ICMP type 3 code 4, RFC 1191) or "packet too
// big" (ICMPv6 type 2, RFC 4443) error about `packet`, from its destination to
// its source. `mtu` is in bytes. Returns an empty vector for packets that must
// not be answered: malformed ones, later fragments and ICMP errors.
std::vector<uint8_t> MakePacketTooBig(std::span<const uint8_t> packet,
                                      size_t mtu);

}  // namespace marjoramhall::flow

#endif  // MARJORAMHALL_FLOW_PACKET_TOO_BIG_H_
