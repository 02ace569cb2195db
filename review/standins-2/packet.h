// Packets as clients and servers write them.
#ifndef REVIEW_STANDINS_2_PACKET_H_
#define REVIEW_STANDINS_2_PACKET_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "support.h"

namespace review {

inline constexpr uint8_t kSyn = 16;
inline constexpr uint8_t kAck = 4;
inline constexpr uint8_t kFin = 8;
inline constexpr uint8_t kReset = 128;
inline constexpr size_t kHeadBytes = 32;

struct Packet {
  uint8_t flags = 0;
  Address source;
  Address destination;
  uint32_t echo = 0;
  uint32_t sequence = 0;
  uint32_t acknowledged = 0;
  uint32_t sum = 0;  // of a packet that was read
  std::string data;

  bool Has(uint8_t flag) const { return (flags & flag) != 0; }
};

// Writes a packet with its keyed sum.
std::string EncodePacket(const Packet& packet);
bool DecodePacket(std::string_view bytes, Packet* out);
// Whether the sum is that of the packet's sender.
bool IsGenuine(const Packet& packet);

// The 8 bytes before a packet that name its server.
std::string EncodeInstance(uint64_t instance);

}  // namespace review

#endif  // REVIEW_STANDINS_2_PACKET_H_
