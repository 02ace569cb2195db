// What the forwarder reads of a packet. The wire layout is an adapter's
// concern.
#ifndef MARJORAMHALL_FORWARD_PACKET_H_
#define MARJORAMHALL_FORWARD_PACKET_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <span>

namespace marjoramhall::forward {

// Names a target inside a packet: both ends of a flow repeat the last token
// that they received, so any VM can tell the target of any later packet.
enum class TargetToken : uint32_t { kNone = 0 };

// Both ends of a flow, addresses and ports in host byte order.
struct FlowKey {
  uint32_t client_address = 0;
  uint32_t service_address = 0;
  uint16_t client_port = 0;
  uint16_t service_port = 0;

  bool operator==(const FlowKey&) const = default;
};

// Mixes all fields; also the id of a flow in log lines.
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
  // Of an opening: how many copies of it the client sent before.
  uint32_t acknowledged = 0;
  uint16_t data_bytes = 0;
  bool syn = false;
  bool ack = false;
  bool fin = false;
  bool reset = false;
};

// A packet without data, as bytes. The size is the header's.
inline constexpr size_t kPacketHeaderBytes = 32;
using HeaderOnlyPacket = std::array<uint8_t, kPacketHeaderBytes>;

// Bytes in front of a packet that tell the receiver which target is meant.
using EncapsulationHeader = std::array<uint8_t, 8>;

// How packets stand on the wire. Hooks are called on the traffic thread for
// each packet and must not block.
struct PacketCodec {
  // Reads a header. False for a datagram that is not a packet.
  std::function<bool(std::span<const uint8_t> datagram, PacketHeader* out)>
      decode;
  // Replaces the token of a packet that decode() accepted.
  std::function<void(std::span<uint8_t> datagram, TargetToken token)> set_token;
  std::function<EncapsulationHeader(uint64_t instance)> encapsulation_header;
  // A reset of a flow that is not open, from the service's end to the client's.
  std::function<HeaderOnlyPacket(const FlowKey& flow)> make_reset;
};

}  // namespace marjoramhall::forward

#endif  // MARJORAMHALL_FORWARD_PACKET_H_
