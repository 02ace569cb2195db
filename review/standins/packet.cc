// Encoding of packets in big-endian order.
#include "packet.h"

#include <cstdio>

namespace marjoramhall::review {
namespace {

// Of the checksum. Any constant serves.
constexpr uint64_t kKey = 0x9e3779b97f4a7c15U;

void Append16(std::vector<uint8_t>& out, uint16_t value) {
  out.push_back(static_cast<uint8_t>(value >> 8));
  out.push_back(static_cast<uint8_t>(value));
}

void Append32(std::vector<uint8_t>& out, uint32_t value) {
  Append16(out, static_cast<uint16_t>(value >> 16));
  Append16(out, static_cast<uint16_t>(value));
}

uint16_t Load16(std::span<const uint8_t> bytes, size_t at) {
  return static_cast<uint16_t>((bytes[at] << 8) | bytes[at + 1]);
}

uint32_t Load32(std::span<const uint8_t> bytes, size_t at) {
  return (uint32_t{Load16(bytes, at)} << 16) | Load16(bytes, at + 2);
}

uint32_t SumOf(const Packet& packet) {
  uint64_t sum = kKey;
  const auto mix = [&sum](uint64_t value) {
    sum = (sum ^ value) * 0x100000001b3U;
    sum ^= sum >> 29;
  };
  mix(packet.flags);
  mix((uint64_t{packet.source} << 32) | packet.destination);
  mix((uint64_t{packet.source_port} << 16) | packet.destination_port);
  mix((uint64_t{packet.sequence} << 32) | packet.acknowledged);
  for (const char c : packet.data) {
    mix(static_cast<uint8_t>(c));
  }
  return static_cast<uint32_t>(sum ^ (sum >> 32)) | 1;
}

}  // namespace

std::vector<uint8_t> Encode(const Packet& packet) {
  std::vector<uint8_t> out;
  out.reserve(kHeaderBytes + packet.data.size());
  out.push_back(packet.flags);
  out.push_back(0);
  Append32(out, packet.source);
  Append16(out, packet.source_port);
  Append16(out, packet.destination_port);
  Append32(out, packet.destination);
  Append32(out, packet.echo);
  Append32(out, packet.sequence);
  Append32(out, packet.acknowledged);
  Append32(out, SumOf(packet));
  Append16(out, static_cast<uint16_t>(packet.data.size()));
  out.insert(out.end(), packet.data.begin(), packet.data.end());
  return out;
}

std::optional<Packet> Decode(std::span<const uint8_t> bytes) {
  if (bytes.size() < kHeaderBytes ||
      bytes.size() != kHeaderBytes + Load16(bytes, 30)) {
    return std::nullopt;
  }
  Packet packet;
  packet.flags = bytes[0];
  packet.source = Load32(bytes, 2);
  packet.source_port = Load16(bytes, 6);
  packet.destination_port = Load16(bytes, 8);
  packet.destination = Load32(bytes, 10);
  packet.echo = Load32(bytes, 14);
  packet.sequence = Load32(bytes, 18);
  packet.acknowledged = Load32(bytes, 22);
  packet.sum = Load32(bytes, 26);
  packet.data.assign(bytes.begin() + kHeaderBytes, bytes.end());
  return packet;
}

bool HasValidSum(const Packet& packet) {
  return packet.sum == SumOf(packet);
}

std::string Describe(const Packet& packet) {
  std::string flags;
  flags += (packet.flags & kSyn) != 0 ? "SYN " : "";
  flags += (packet.flags & kAck) != 0 ? "ACK " : "";
  flags += (packet.flags & kFin) != 0 ? "FIN " : "";
  flags += (packet.flags & kRst) != 0 ? "RST " : "";
  char text[160];
  std::snprintf(text, sizeof(text), "%sseq %08x ack %08x echo %08x len %zu",
                flags.c_str(), packet.sequence, packet.acknowledged,
                packet.echo, packet.data.size());
  return text;
}

std::string AddressText(uint32_t address) {
  char text[16];
  std::snprintf(text, sizeof(text), "%u.%u.%u.%u", address >> 24,
                (address >> 16) & 0xff, (address >> 8) & 0xff, address & 0xff);
  return text;
}

}  // namespace marjoramhall::review
