// Parser of the IP packets that the network fabric delivers. Finds the flow of
// a packet and rejects malformed input with a reason. Never reads past the
// input.
#ifndef MARJORAMHALL_FLOW_PACKET_H_
#define MARJORAMHALL_FLOW_PACKET_H_

#include <cstdint>
#include <span>

#include "src/base/endpoint.h"
#include "src/base/enum_names.h"
#include "src/config/deployment.h"

namespace marjoramhall::flow {

enum class ParseError {
  kNone,
  kTruncated,        // shorter than its header or length fields require
  kBadVersion,       // neither IPv4 nor IPv6
  kBadHeaderLength,  // header length field below the minimum
  kBadLength,        // total length below the headers
  kBadChecksum,      // IPv4 header checksum
  kBadExtension,     // IPv6 extension headers too many or malformed
  kBadProtocol,      // neither TCP nor UDP nor ICMP
  kNotAnError,       // ICMP message that is not an error
};
inline constexpr EnumName<ParseError> kParseErrorNames[] = {
    {ParseError::kNone, "none"},
    {ParseError::kTruncated, "truncated"},
    {ParseError::kBadVersion, "bad-version"},
    {ParseError::kBadHeaderLength, "bad-header-length"},
    {ParseError::kBadLength, "bad-length"},
    {ParseError::kBadChecksum, "bad-checksum"},
    {ParseError::kBadExtension, "bad-extension"},
    {ParseError::kBadProtocol, "bad-protocol"},
    {ParseError::kNotAnError, "not-an-error"},
};
constexpr std::span<const EnumName<ParseError>> NamesOf(ParseError) {
  return kParseErrorNames;
}

// The 5-tuple of a flow, in the direction from the caller to the service.
struct FlowKey {
  IpAddress source;
  IpAddress destination;
  uint16_t source_port = 0;
  uint16_t destination_port = 0;
  config::FlowProtocol protocol = config::FlowProtocol::kTcp;

  bool operator==(const FlowKey&) const = default;
};

struct PacketInfo {
  // Ports are 0 in fragments after the first.
  FlowKey key;
  bool tcp_syn = false;  // SYN without ACK: opens a flow
  bool tcp_fin = false;
  bool tcp_rst = false;
  // The packet is an ICMP error and `key` is of the flow that it is about.
  bool icmp_error = false;
  bool fragment = false;
  bool first_fragment = false;
  uint32_t fragment_id = 0;
  uint8_t ip_protocol = 0;
  // Bytes after the transport header; 0 for a bare TCP acknowledgement.
  uint32_t payload_size = 0;

  bool IsTcp() const { return key.protocol == config::FlowProtocol::kTcp; }
};

// Parses a packet that starts with its IPv4 or IPv6 header. Bytes after the IP
// length are ignored. `info` is unspecified on error. Cost: about 10 ns.
ParseError ParsePacket(std::span<const uint8_t> packet, PacketInfo& info);

// Returns the Internet checksum (RFC 1071) of `data`, including the stored
// checksum field. The result is 0 when the stored checksum is correct.
uint16_t InternetChecksum(std::span<const uint8_t> data);

}  // namespace marjoramhall::flow

#endif  // MARJORAMHALL_FLOW_PACKET_H_
