// Encoding, decoding and checksum of the hop header.
#include "src/protocol/hop_header.h"

#include <openssl/sha.h>

#include <algorithm>
#include <bit>
#include <cstring>
#include <string>

namespace marjoramhall::protocol {
namespace {

static_assert(std::endian::native == std::endian::little,
              "fields are copied to the wire without byte swapping");

constexpr uint16_t kMagic = 0x4d6a;  // "jM"
constexpr uint8_t kVersion = 1;
constexpr size_t kChecksumOffset = 56;
// Packet bytes covered by the checksum: enough for the IPv6 and TCP headers.
constexpr size_t kCoveredPacketBytes = 64;

template <typename T>
void Put(uint8_t* out, size_t offset, T value) {
  std::memcpy(out + offset, &value, sizeof(value));
}

template <typename T>
T Get(const uint8_t* in, size_t offset) {
  T value;
  std::memcpy(&value, in + offset, sizeof(value));
  return value;
}

uint64_t Checksum(const HopKey& key,
                  const uint8_t* header,
                  std::span<const uint8_t> packet) {
  uint8_t buf[kChecksumOffset + kCoveredPacketBytes];
  const size_t n = std::min(packet.size(), kCoveredPacketBytes);
  std::memcpy(buf, header, kChecksumOffset);
  if (n > 0) {
    std::memcpy(buf + kChecksumOffset, packet.data(), n);
  }
  return SipHash24(key, {buf, kChecksumOffset + n});
}

struct SipState {
  uint64_t v0, v1, v2, v3;

  void Round() {
    v0 += v1;
    v1 = std::rotl(v1, 13) ^ v0;
    v0 = std::rotl(v0, 32);
    v2 += v3;
    v3 = std::rotl(v3, 16) ^ v2;
    v0 += v3;
    v3 = std::rotl(v3, 21) ^ v0;
    v2 += v1;
    v1 = std::rotl(v1, 17) ^ v2;
    v2 = std::rotl(v2, 32);
  }

  void Absorb(uint64_t word) {
    v3 ^= word;
    Round();
    Round();
    v0 ^= word;
  }
};

}  // namespace

uint64_t SipHash24(const HopKey& key, std::span<const uint8_t> data) {
  SipState state{key[0] ^ 0x736f6d6570736575ULL, key[1] ^ 0x646f72616e646f6dULL,
                 key[0] ^ 0x6c7967656e657261ULL,
                 key[1] ^ 0x7465646279746573ULL};
  size_t i = 0;
  for (; i + 8 <= data.size(); i += 8) {
    state.Absorb(Get<uint64_t>(data.data(), i));
  }
  uint64_t last = static_cast<uint64_t>(data.size()) << 56;
  for (size_t shift = 0; i < data.size(); ++i, shift += 8) {
    last |= static_cast<uint64_t>(data[i]) << shift;
  }
  state.Absorb(last);
  state.v2 ^= 0xff;
  for (int round = 0; round < 4; ++round) {
    state.Round();
  }
  return state.v0 ^ state.v1 ^ state.v2 ^ state.v3;
}

HopKey DeriveHopKey(std::string_view shared_key) {
  const std::string input =
      "marjoramhall hop header " + std::string(shared_key);
  uint8_t digest[SHA256_DIGEST_LENGTH];
  SHA256(reinterpret_cast<const uint8_t*>(input.data()), input.size(), digest);
  return {Get<uint64_t>(digest, 0), Get<uint64_t>(digest, 8)};
}

void EncodeHopHeader(const HopHeader& header,
                     const HopKey& key,
                     std::span<const uint8_t> packet,
                     uint8_t* out) {
  Put(out, 0, kMagic);
  Put(out, 2, kVersion);
  Put(out, 3, static_cast<uint8_t>(header.kind));
  Put(out, 4, header.flags);
  Put(out, 5, header.hops);
  Put(out, 6, static_cast<uint16_t>(packet.size()));
  Put(out, 8, ToInteger(header.service));
  Put(out, 12, ToInteger(header.target));
  Put(out, 16, header.revision);
  Put(out, 24, ToInteger(header.origin));
  Put(out, 32, ToInteger(header.sender));
  Put(out, 40, header.incarnation);
  Put(out, 48, header.origin_tick);
  Put(out, 52, header.source_port);
  Put(out, 54, header.destination_port);
  Put(out, kChecksumOffset, Checksum(key, out, packet));
}

HopError DecodeHopHeader(std::span<const uint8_t> datagram,
                         const HopKey& key,
                         HopHeader& header) {
  if (datagram.size() < kHopHeaderSize) {
    return HopError::kTooShort;
  }
  const uint8_t* in = datagram.data();
  if (Get<uint16_t>(in, 0) != kMagic) {
    return HopError::kMagic;
  }
  if (in[2] != kVersion) {
    return HopError::kVersion;
  }
  if (in[3] < static_cast<uint8_t>(HopKind::kFirstPacket) ||
      in[3] > static_cast<uint8_t>(HopKind::kFragment)) {
    return HopError::kKind;
  }
  const auto packet = datagram.subspan(kHopHeaderSize);
  if (Get<uint16_t>(in, 6) != packet.size()) {
    return HopError::kLength;
  }
  if (Get<uint64_t>(in, kChecksumOffset) != Checksum(key, in, packet)) {
    return HopError::kChecksum;
  }
  header.kind = static_cast<HopKind>(in[3]);
  header.flags = in[4];
  header.hops = in[5];
  header.service = static_cast<ServiceId>(Get<uint32_t>(in, 8));
  header.target = static_cast<TargetId>(Get<uint32_t>(in, 12));
  header.revision = Get<uint64_t>(in, 16);
  header.origin = static_cast<VmId>(Get<uint64_t>(in, 24));
  header.sender = static_cast<VmId>(Get<uint64_t>(in, 32));
  header.incarnation = Get<uint64_t>(in, 40);
  header.origin_tick = Get<uint32_t>(in, 48);
  header.source_port = Get<uint16_t>(in, 52);
  header.destination_port = Get<uint16_t>(in, 54);
  return HopError::kNone;
}

}  // namespace marjoramhall::protocol
