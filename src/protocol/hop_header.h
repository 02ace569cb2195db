// The header of a packet that one VM forwards to another over the hop socket.
// It tells the receiver how to process the packet and carries the routing
// decision made so far.
#ifndef MARJORAMHALL_PROTOCOL_HOP_HEADER_H_
#define MARJORAMHALL_PROTOCOL_HOP_HEADER_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

#include "src/base/enum_names.h"
#include "src/base/ids.h"

namespace marjoramhall::protocol {

enum class HopKind : uint8_t {
  // To the owner: the first packet of a flow. `target` is the target proposed
  // by the sender under `revision`.
  kFirstPacket = 1,
  // To the owner: a packet of a flow that is unknown to the origin. With
  // kHopOriginHasEntry, the origin has an entry and asks for its confirmation.
  kQueryOwner = 2,
  // To the owner (with kHopToOwner) or to the backup: record `target` for the
  // flow, then forward the packet.
  kRecordFlow = 3,
  // To the owner: the backup has a newer revision and chose `target` under it.
  kCorrectTarget = 4,
  // Send the packet to `target`. The origin also stores `target` for the flow.
  kDeliver = 5,
  // To each live VM in turn: search for a VM that knows the flow.
  kSearch = 6,
  // To the owner: the search found no VM that knows the flow.
  kSearchFailed = 7,
  // To the owner of the fragment's bucket: a fragment of an IP packet.
  kFragment = 8,
};
inline constexpr EnumName<HopKind> kHopKindNames[] = {
    {HopKind::kFirstPacket, "first"},     {HopKind::kQueryOwner, "ask"},
    {HopKind::kRecordFlow, "record"},     {HopKind::kCorrectTarget, "correct"},
    {HopKind::kDeliver, "deliver"},       {HopKind::kSearch, "walk"},
    {HopKind::kSearchFailed, "walk-end"}, {HopKind::kFragment, "fragment"},
};
constexpr std::span<const EnumName<HopKind>> NamesOf(HopKind) {
  return kHopKindNames;
}

// Bits of HopHeader::flags. Each comment starts with the kind that uses the
// bit.

// kQueryOwner: the origin has an entry for the flow with `target`.
inline constexpr uint8_t kHopOriginHasEntry = 1;
// kRecordFlow: the receiver is the owner and forwards the packet to the
// backup.
inline constexpr uint8_t kHopToOwner = 2;
// kRecordFlow: return the packet to the origin as kDeliver instead of sending
// it to the target, so that the origin learns the decision.
inline constexpr uint8_t kHopReturnToOrigin = 4;
// kRecordFlow: the packet opens a flow whose target has just been chosen.
inline constexpr uint8_t kHopNewFlow = 8;
// kRecordFlow: the packet ends the flow.
inline constexpr uint8_t kHopFlowEnd = 16;
// kSearch: all VMs that are not suspected have been asked. Suspected VMs
// follow.
inline constexpr uint8_t kHopSearchSuspects = 32;
// kDeliver: the origin does not store the decision.
inline constexpr uint8_t kHopDoNotCache = 64;

// Fields are in host byte order; the wire format is little-endian.
struct HopHeader {
  HopKind kind = HopKind::kFirstPacket;
  uint8_t flags = 0;
  uint8_t hops = 0;  // number of hops so far
  ServiceId service = ServiceId::kNone;
  TargetId target = TargetId::kNone;
  Revision revision = 0;        // configuration under which target was chosen
  VmId origin = VmId::kNone;    // VM that received the packet from the fabric
  VmId sender = VmId::kNone;    // VM that sent this datagram
  Incarnation incarnation = 0;  // of the sender
  // Tick of the origin when it forwarded the packet. The origin uses it to
  // discard decisions that arrive too late.
  uint32_t origin_tick = 0;
  // Ports of the flow. IP fragments after the first one do not contain them.
  uint16_t source_port = 0;
  uint16_t destination_port = 0;

  bool operator==(const HopHeader&) const = default;
};

// Size of the header in bytes: magic 2, version 1, kind 1, flags 1, hops 1,
// payload length 2, service 4, target 4, revision 8, origin 8, sender 8,
// incarnation 8, origin tick 4, ports 2 + 2, checksum 8.
inline constexpr size_t kHopHeaderSize = 64;

// Key of the checksum. All VMs of a deployment use the same key.
using HopKey = std::array<uint64_t, 2>;

// Derives the checksum key from the shared secret (SHA-256 with a fixed
// prefix).
HopKey DeriveHopKey(std::string_view shared_key);

enum class HopError {
  kNone,
  kTooShort,
  kMagic,
  kVersion,
  kKind,
  kLength,
  kChecksum,
};
inline constexpr EnumName<HopError> kHopErrorNames[] = {
    {HopError::kNone, "none"},         {HopError::kTooShort, "too-short"},
    {HopError::kMagic, "magic"},       {HopError::kVersion, "version"},
    {HopError::kKind, "kind"},         {HopError::kLength, "length"},
    {HopError::kChecksum, "checksum"},
};
constexpr std::span<const EnumName<HopError>> NamesOf(HopError) {
  return kHopErrorNames;
}

// Writes the header to `out`, which must have room for kHopHeaderSize bytes.
// The checksum (SipHash-2-4) covers the header and the first 64 bytes of
// `packet`. Cost: about 100 ns.
void EncodeHopHeader(const HopHeader& header,
                     const HopKey& key,
                     std::span<const uint8_t> packet,
                     uint8_t* out);

// Verifies a received datagram and decodes its header. The packet starts after
// the first kHopHeaderSize bytes. `header` is unspecified on error.
HopError DecodeHopHeader(std::span<const uint8_t> datagram,
                         const HopKey& key,
                         HopHeader& header);

// SipHash-2-4 (Aumasson and Bernstein 2012), a keyed 64-bit checksum.
uint64_t SipHash24(const HopKey& key, std::span<const uint8_t> data);

}  // namespace marjoramhall::protocol

#endif  // MARJORAMHALL_PROTOCOL_HOP_HEADER_H_
