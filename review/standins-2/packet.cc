// The head has 32 bytes in big-endian order.
#include "packet.h"

namespace review {
namespace {

constexpr uint64_t kSumKey = 0x51a7e35c0d9be481;

void Append(std::string& out, uint64_t value, int bytes) {
  for (int i = bytes - 1; i >= 0; --i) {
    out += static_cast<char>((value >> (8 * i)) & 0xffU);
  }
}

uint32_t Load(std::string_view bytes, size_t at, size_t n) {
  uint32_t value = 0;
  for (size_t i = 0; i < n; ++i) {
    value = (value << 8) | static_cast<uint8_t>(bytes[at + i]);
  }
  return value;
}

// Keyed sum over all fields but echo and pad.
uint32_t SumOf(const Packet& packet) {
  std::string fields;
  Append(fields, packet.flags, 1);
  Append(fields, packet.source.ip, 4);
  Append(fields, packet.source.port, 2);
  Append(fields, packet.destination.ip, 4);
  Append(fields, packet.destination.port, 2);
  Append(fields, packet.sequence, 4);
  Append(fields, packet.acknowledged, 4);
  fields += packet.data;
  uint64_t hash = kSumKey;
  for (const char c : fields) {
    hash = (hash ^ static_cast<uint8_t>(c)) * 0x100000001b3;
  }
  return static_cast<uint32_t>(hash ^ (hash >> 32)) | 1U;
}

}  // namespace

std::string EncodePacket(const Packet& packet) {
  std::string out;
  Append(out, packet.flags, 1);
  Append(out, 0, 1);
  Append(out, packet.source.ip, 4);
  Append(out, packet.source.port, 2);
  Append(out, packet.destination.port, 2);
  Append(out, packet.destination.ip, 4);
  Append(out, packet.echo, 4);
  Append(out, packet.sequence, 4);
  Append(out, packet.acknowledged, 4);
  Append(out, SumOf(packet), 4);
  Append(out, packet.data.size(), 2);
  return out + packet.data;
}

bool DecodePacket(std::string_view bytes, Packet* out) {
  if (bytes.size() < kHeadBytes ||
      bytes.size() != kHeadBytes + Load(bytes, 30, 2)) {
    return false;
  }
  out->flags = static_cast<uint8_t>(bytes[0]);
  out->source = {Load(bytes, 2, 4), static_cast<uint16_t>(Load(bytes, 6, 2))};
  out->destination = {Load(bytes, 10, 4),
                      static_cast<uint16_t>(Load(bytes, 8, 2))};
  out->echo = Load(bytes, 14, 4);
  out->sequence = Load(bytes, 18, 4);
  out->acknowledged = Load(bytes, 22, 4);
  out->sum = Load(bytes, 26, 4);
  out->data = bytes.substr(kHeadBytes);
  return true;
}

bool IsGenuine(const Packet& packet) {
  return packet.sum == SumOf(packet);
}

std::string EncodeInstance(uint64_t instance) {
  std::string out;
  Append(out, instance, 8);
  return out;
}

}  // namespace review
