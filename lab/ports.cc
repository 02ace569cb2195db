// Finds free ports by binding to port 0.
#include "lab/ports.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/ip/udp.hpp>
#include <charconv>
#include <cstdio>
#include <list>

namespace marjoramhall::lab {
namespace {

constexpr int kMaxPorts = 1000;

}  // namespace

int RunPorts(std::span<const std::string> args) {
  int count = 0;
  if (args.size() == 1) {
    std::from_chars(args[0].data(), args[0].data() + args[0].size(), count);
  }
  if (count < 1 || count > kMaxPorts) {
    std::fprintf(stderr, "usage: marjoramhall-lab ports N (1 to %d)\n",
                 kMaxPorts);
    return 2;
  }
  asio::io_context io;
  // All sockets stay open until the function returns, so that no port is
  // printed twice.
  std::list<asio::ip::tcp::acceptor> tcp;
  std::list<asio::ip::udp::socket> udp;
  const auto loopback = asio::ip::address_v4::loopback();
  for (int tries = 0; count > 0 && tries < 10 * kMaxPorts; ++tries) {
    tcp.emplace_back(io, asio::ip::tcp::endpoint(loopback, 0));
    const uint16_t port = tcp.back().local_endpoint().port();
    asio::error_code ec;
    udp.emplace_back(io, asio::ip::udp::v4());
    udp.back().bind(asio::ip::udp::endpoint(loopback, port), ec);
    if (!ec) {
      std::printf("%d\n", port);
      --count;
    }
  }
  return count == 0 ? 0 : 1;
}

}  // namespace marjoramhall::lab
