// The packets of flows, as PROTOCOL.md describes them.
#ifndef MARJORAMHALL_REVIEW_STANDINS_PACKET_H_
#define MARJORAMHALL_REVIEW_STANDINS_PACKET_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace marjoramhall::review {

inline constexpr uint8_t kSyn = 16;
inline constexpr uint8_t kAck = 4;
inline constexpr uint8_t kFin = 8;
inline constexpr uint8_t kRst = 128;

inline constexpr size_t kHeaderBytes = 32;
inline constexpr size_t kMaxDataBytes = 1200;

// Addresses and ports are in host byte order.
struct Packet {
  uint8_t flags = 0;
  uint32_t source = 0;
  uint16_t source_port = 0;
  uint32_t destination = 0;
  uint16_t destination_port = 0;
  uint32_t echo = 0;
  uint32_t sequence = 0;
  uint32_t acknowledged = 0;
  uint32_t sum = 0;
  std::string data;
};

// Sets the sum of the encoded packet, whose key only the ends of flows know.
std::vector<uint8_t> Encode(const Packet& packet);

// Returns nothing if the bytes are no packet.
std::optional<Packet> Decode(std::span<const uint8_t> bytes);

// Whether the packet is as its sender wrote it.
bool HasValidSum(const Packet& packet);

// For the record.
std::string Describe(const Packet& packet);

std::string AddressText(uint32_t address);

}  // namespace marjoramhall::review

#endif  // MARJORAMHALL_REVIEW_STANDINS_PACKET_H_
