// Parsing and formatting of addresses.
#include "src/base/endpoint.h"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>

namespace marjoramhall {
namespace {

constexpr std::array<uint8_t, 12> kMappedPrefix = {0, 0, 0, 0, 0,    0,
                                                   0, 0, 0, 0, 0xff, 0xff};

std::optional<uint16_t> ParsePort(std::string_view text) {
  uint16_t port = 0;
  const char* end = text.data() + text.size();
  auto [it, ec] = std::from_chars(text.data(), end, port);
  if (text.empty() || ec != std::errc{} || it != end) {
    return std::nullopt;
  }
  return port;
}

}  // namespace

bool IpAddress::IsV4() const {
  return std::equal(kMappedPrefix.begin(), kMappedPrefix.end(), bytes.begin());
}

uint32_t IpAddress::ToV4() const {
  if (!IsV4()) {
    return 0;
  }
  return (uint32_t{bytes[12]} << 24) | (uint32_t{bytes[13]} << 16) |
         (uint32_t{bytes[14]} << 8) | uint32_t{bytes[15]};
}

std::string IpAddress::ToString() const {
  char buf[INET6_ADDRSTRLEN];
  if (IsV4()) {
    inet_ntop(AF_INET, bytes.data() + kMappedPrefix.size(), buf, sizeof(buf));
  } else {
    inet_ntop(AF_INET6, bytes.data(), buf, sizeof(buf));
  }
  return buf;
}

IpAddress IpAddress::FromV4(uint32_t host_order) {
  IpAddress result;
  std::copy(kMappedPrefix.begin(), kMappedPrefix.end(), result.bytes.begin());
  for (int i = 0; i < 4; ++i) {
    result.bytes[12 + i] = static_cast<uint8_t>(host_order >> (24 - 8 * i));
  }
  return result;
}

std::optional<IpAddress> IpAddress::Parse(std::string_view text) {
  const std::string terminated(text);
  IpAddress result;
  in_addr v4{};
  if (inet_pton(AF_INET, terminated.c_str(), &v4) == 1) {
    return FromV4(ntohl(v4.s_addr));
  }
  if (inet_pton(AF_INET6, terminated.c_str(), result.bytes.data()) == 1) {
    return result;
  }
  return std::nullopt;
}

std::string Endpoint::ToString() const {
  const std::string host = address.ToString();
  if (address.IsV4()) {
    return host + ":" + std::to_string(port);
  }
  return "[" + host + "]:" + std::to_string(port);
}

std::optional<Endpoint> Endpoint::Parse(std::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  std::string_view host = text.substr(0, colon);
  const bool bracketed =
      host.size() >= 2 && host.front() == '[' && host.back() == ']';
  if (bracketed) {
    host = host.substr(1, host.size() - 2);
  } else if (host.find(':') != std::string_view::npos) {
    return std::nullopt;
  }
  const auto address = IpAddress::Parse(host);
  const auto port = ParsePort(text.substr(colon + 1));
  if (!address || !port) {
    return std::nullopt;
  }
  return Endpoint{*address, *port};
}

}  // namespace marjoramhall
