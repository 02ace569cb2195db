// Implements the shared parts with POSIX calls.
#include "support.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <iterator>

namespace review {
namespace {

sockaddr_in ToSockaddr(const Address& address) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_addr.s_addr = htonl(address.ip);
  out.sin_port = htons(address.port);
  return out;
}

int OpenSocket(int type, const Address& address) {
  const int fd = socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) {
    return -1;
  }
  const int one = 1;
  if (type == SOCK_STREAM) {
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
  }
  const sockaddr_in local = ToSockaddr(address);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&local), sizeof(local)) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

bool IsFree(int type, const Address& address) {
  const int fd = OpenSocket(type, address);
  if (fd >= 0) {
    close(fd);
  }
  return fd >= 0;
}

volatile std::sig_atomic_t stop_requested = 0;

void OnStopSignal(int) {
  stop_requested = 1;
}

bool WaitFor(int fd, int16_t events, int limit_ms) {
  pollfd request{fd, events, 0};
  return poll(&request, 1, limit_ms) > 0;
}

}  // namespace

void HandleStopSignals() {
  std::signal(SIGTERM, OnStopSignal);
  std::signal(SIGINT, OnStopSignal);
}

bool IsStopRequested() {
  return stop_requested != 0;
}

double NowMs() {
  using Clock = std::chrono::steady_clock;
  static const Clock::time_point kStart = Clock::now();
  return std::chrono::duration<double, std::milli>(Clock::now() - kStart)
      .count();
}

int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string Address::ToString() const {
  std::array<char, INET_ADDRSTRLEN> text{};
  const in_addr network{htonl(ip)};
  inet_ntop(AF_INET, &network, text.data(), text.size());
  return std::string(text.data()) + ":" + std::to_string(port);
}

int OpenUdp(const Address& address) {
  const int fd = OpenSocket(SOCK_DGRAM, address);
  const int bytes = 1 << 21;
  if (fd >= 0) {
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
  }
  return fd;
}

int ListenTcp(const Address& address) {
  const int fd = OpenSocket(SOCK_STREAM, address);
  if (fd >= 0 && listen(fd, SOMAXCONN) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

int ConnectTcp(const Address& address) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const sockaddr_in remote = ToSockaddr(address);
  if (fd >= 0 &&
      connect(fd, reinterpret_cast<const sockaddr*>(&remote), sizeof(remote)) !=
          0 &&
      errno != EINPROGRESS) {
    close(fd);
    return -1;
  }
  return fd;
}

uint16_t PortOf(int socket_fd) {
  sockaddr_in local{};
  socklen_t length = sizeof(local);
  getsockname(socket_fd, reinterpret_cast<sockaddr*>(&local), &length);
  return ntohs(local.sin_port);
}

uint16_t FreePort(uint32_t subnet, uint32_t n) {
  constexpr int kAttempts = 100;
  for (int i = 0; i < kAttempts; ++i) {
    const int fd = OpenSocket(SOCK_DGRAM, {LoopbackIp(subnet, 1), 0});
    const uint16_t port = fd < 0 ? uint16_t{0} : PortOf(fd);
    if (fd >= 0) {
      close(fd);
    }
    bool is_free = port != 0;
    for (uint32_t host = 1; host <= n && is_free; ++host) {
      const Address address{LoopbackIp(subnet, host), port};
      is_free = IsFree(SOCK_DGRAM, address) && IsFree(SOCK_STREAM, address);
    }
    if (is_free) {
      return port;
    }
  }
  return 0;
}

void SendUdp(int socket_fd, const Address& to, std::string_view bytes) {
  const sockaddr_in address = ToSockaddr(to);
  sendto(socket_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL,
         reinterpret_cast<const sockaddr*>(&address), sizeof(address));
}

bool ReceiveUdp(int socket_fd, std::string* bytes, Address* from) {
  std::array<char, 2048> buf{};
  sockaddr_in source{};
  socklen_t length = sizeof(source);
  const ssize_t n = recvfrom(socket_fd, buf.data(), buf.size(), 0,
                             reinterpret_cast<sockaddr*>(&source), &length);
  if (n < 0) {
    return false;
  }
  bytes->assign(buf.data(), static_cast<size_t>(n));
  *from = {ntohl(source.sin_addr.s_addr), ntohs(source.sin_port)};
  return true;
}

int HttpGetStatus(const Address& server,
                  const std::string& path,
                  int limit_ms) {
  const int fd = ConnectTcp(server);
  if (fd < 0) {
    return 0;
  }
  const std::string request =
      "GET " + path + " HTTP/1.1\r\nHost: " + server.ToString() + "\r\n\r\n";
  std::array<char, 256> buf{};
  ssize_t n = -1;
  if (WaitFor(fd, POLLOUT, limit_ms) &&
      send(fd, request.data(), request.size(), MSG_NOSIGNAL) > 0 &&
      WaitFor(fd, POLLIN, limit_ms)) {
    n = recv(fd, buf.data(), buf.size() - 1, 0);
  }
  close(fd);
  constexpr std::string_view kProtocol = "HTTP/1.1 ";
  const std::string_view answer(buf.data(), n > 0 ? static_cast<size_t>(n) : 0);
  return answer.starts_with(kProtocol)
             ? std::atoi(buf.data() + kProtocol.size())
             : 0;
}

std::string EncodeBase64(std::string_view bytes) {
  constexpr std::string_view kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  text.reserve((bytes.size() + 2) / 3 * 4);
  for (size_t i = 0; i < bytes.size(); i += 3) {
    uint32_t group = 0;
    for (size_t k = 0; k < 3; ++k) {
      group <<= 8;
      group |= i + k < bytes.size() ? static_cast<uint8_t>(bytes[i + k]) : 0U;
    }
    for (size_t k = 0; k < 4; ++k) {
      const bool is_padding = i + k > bytes.size();
      text += is_padding ? '=' : kDigits[(group >> (18 - 6 * k)) & 63U];
    }
  }
  return text;
}

std::string ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(file), {}};
}

bool WriteFile(const std::string& path, const std::string& text) {
  std::ofstream file(path, std::ios::binary);
  file << text;
  return file.good();
}

Record::Record(const std::string& path)
    : file_(std::fopen(path.c_str(), "we")) {}

Record::~Record() {
  if (file_ != nullptr) {
    std::fclose(file_);
  }
}

void Record::Line(const std::string& text) {
  if (file_ != nullptr) {
    std::fprintf(file_, "%9.3f %s\n", NowMs() / 1000, text.c_str());
    std::fflush(file_);
  }
}

}  // namespace review
