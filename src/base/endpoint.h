// An IP address with a port, as a plain value without a socket library.
#ifndef MARJORAMHALL_BASE_ENDPOINT_H_
#define MARJORAMHALL_BASE_ENDPOINT_H_

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace marjoramhall {

// An IPv4 or IPv6 address. IPv4 is stored in its IPv4-mapped IPv6 form, so the
// sixteen bytes alone identify the address.
struct IpAddress {
  std::array<uint8_t, 16> bytes{};

  // The check takes the generated comparison with 0 for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const IpAddress&) const = default;

  bool IsV4() const;
  // The four IPv4 bytes in network order as a host integer; 0 for IPv6.
  uint32_t ToV4() const;
  std::string ToString() const;

  static IpAddress FromV4(uint32_t host_order);
  // Parses "127.0.0.1" or "::1". Returns nothing for anything else.
  static std::optional<IpAddress> Parse(std::string_view text);
};

// An address and port. Port 0 means that the system chooses.
struct Endpoint {
  IpAddress address;
  uint16_t port = 0;

  // The check takes the generated comparison with 0 for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const Endpoint&) const = default;

  // "127.0.0.1:80" or "[::1]:80".
  std::string ToString() const;
  // Parses the form of ToString(). Returns nothing when the text has no port,
  // a host name, or a port over 65535.
  static std::optional<Endpoint> Parse(std::string_view text);
};

}  // namespace marjoramhall

#endif  // MARJORAMHALL_BASE_ENDPOINT_H_
