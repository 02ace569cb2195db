// The packet fields that the forwarder uses. An adapter defines the wire
// format.
#ifndef MARJORAMHALL_FORWARD_PACKET_H_
#define MARJORAMHALL_FORWARD_PACKET_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <span>

namespace marjoramhall::forward {

// Identifies a target inside a packet. Both ends of a flow repeat the last
// token that they received, so any VM can find the target of any packet after
// the SYN.
enum class TargetToken : uint32_t { kNone = 0 };

// Both ends of a flow, addresses and ports in host byte order.
struct FlowKey {
  uint32_t client_address = 0;
  uint32_t service_address = 0;
  uint16_t client_port = 0;
  uint16_t service_port = 0;

  bool operator==(const FlowKey&) const = default;
};

// Hash of all fields. Log lines use it as the id of the flow.
constexpr uint64_t HashOf(const FlowKey& key) {
  uint64_t x = (uint64_t{key.client_address} << 32) | key.service_address;
  x ^= ((uint64_t{key.client_port} << 16) | key.service_port) *
       0x9e3779b97f4a7c15U;
  x ^= x >> 30;
  x *= 0xbf58476d1ce4e5b9U;
  x ^= x >> 27;
  x *= 0x94d049bb133111ebU;
  return x ^ (x >> 31);
}

struct FlowKeyHash {
  size_t operator()(const FlowKey& key) const { return HashOf(key); }
};

struct PacketHeader {
  FlowKey flow;
  TargetToken token = TargetToken::kNone;
  uint32_t sequence = 0;
  // In a SYN: the number of times that the client has sent it before.
  uint32_t acknowledged = 0;
  uint16_t data_bytes = 0;
  bool syn = false;
  bool ack = false;
  bool fin = false;
  bool reset = false;
};

inline constexpr size_t kPacketHeaderBytes = 32;
// A packet without data, in wire format.
using HeaderOnlyPacket = std::array<uint8_t, kPacketHeaderBytes>;

// Precedes a packet on its way to a target and names the target.
using EncapsulationHeader = std::array<uint8_t, 8>;

// The wire format of packets. The hooks are called on the traffic thread for
// each packet and must not block.
struct PacketCodec {
  // Reads a header. Returns false when the datagram is not a packet.
  std::function<bool(std::span<const uint8_t> datagram, PacketHeader* out)>
      decode;
  // Replaces the token of a packet that decode() accepted.
  std::function<void(std::span<uint8_t> datagram, TargetToken token)> set_token;
  // Header for the target with this instance number.
  std::function<EncapsulationHeader(uint64_t instance)> encapsulation_header;
  // A reset from the service to the client, in answer to a packet of the
  // client.
  std::function<HeaderOnlyPacket(const PacketHeader& header)> make_reset;
};

}  // namespace marjoramhall::forward

#endif  // MARJORAMHALL_FORWARD_PACKET_H_
