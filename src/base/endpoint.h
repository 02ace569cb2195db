// IP addresses and endpoints as plain values, independent of a socket library.
#ifndef MARJORAMHALL_BASE_ENDPOINT_H_
#define MARJORAMHALL_BASE_ENDPOINT_H_

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace marjoramhall {

// An IPv4 or IPv6 address. IPv4 addresses are stored in IPv4-mapped IPv6
// form, so the sixteen bytes alone identify the address.
struct IpAddress {
  std::array<uint8_t, 16> bytes{};

  // clang-tidy mistakes the 0 in the generated comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const IpAddress&) const = default;

  bool IsV4() const;
  // Returns the IPv4 address as an integer in host byte order, or 0 for an IPv6
  // address.
  uint32_t ToV4() const;
  std::string ToString() const;

  static IpAddress FromV4(uint32_t host_order);
  // Parses an IPv4 or IPv6 address such as "127.0.0.1" or "::1". Returns
  // std::nullopt for anything else.
  static std::optional<IpAddress> Parse(std::string_view text);
};

// An address and a port. Port 0 lets the system choose when binding.
struct Endpoint {
  IpAddress address;
  uint16_t port = 0;

  // clang-tidy mistakes the 0 in the generated comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const Endpoint&) const = default;

  // Formats as "127.0.0.1:80" or "[::1]:80".
  std::string ToString() const;
  // Parses the format of ToString(). Returns std::nullopt for a missing port, a
  // port above 65535 or a host name.
  static std::optional<Endpoint> Parse(std::string_view text);
};

}  // namespace marjoramhall

#endif  // MARJORAMHALL_BASE_ENDPOINT_H_
