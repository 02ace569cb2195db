// What the stand-ins share: time, loopback sockets, text and the record of a
// case.
#ifndef REVIEW_STANDINS_2_SUPPORT_H_
#define REVIEW_STANDINS_2_SUPPORT_H_

#include <cstdint>
#include <cstdio>
#include <string>
#include <string_view>

namespace review {

// SIGTERM and SIGINT set IsStopRequested(), so that a case can end its
// processes.
void HandleStopSignals();
bool IsStopRequested();

// Milliseconds of the steady clock since the process began.
double NowMs();
// The time of day.
int64_t UnixMs();

struct Address {
  uint32_t ip = 0;  // host byte order
  uint16_t port = 0;

  bool operator==(const Address&) const = default;
  std::string ToString() const;
};

// 127.0.SUBNET.HOST.
constexpr uint32_t LoopbackIp(uint32_t subnet, uint32_t host) {
  return 0x7f000000U | (subnet << 8) | host;
}

// Return a non-blocking socket, or -1. Port 0 lets the system choose.
int OpenUdp(const Address& address);
int ListenTcp(const Address& address);
// Begins to connect.
int ConnectTcp(const Address& address);
uint16_t PortOf(int socket_fd);
// Returns a port that is free for TCP and UDP at 127.0.SUBNET.1 to .N, or 0.
uint16_t FreePort(uint32_t subnet, uint32_t n);

void SendUdp(int socket_fd, const Address& to, std::string_view bytes);
// Reads one datagram. Returns false if none waits.
bool ReceiveUdp(int socket_fd, std::string* bytes, Address* from);

// One HTTP call with a time limit for each step. Returns the status, or 0 if
// there is no answer.
int HttpGetStatus(const Address& server, const std::string& path, int limit_ms);

std::string EncodeBase64(std::string_view bytes);
std::string ReadFile(const std::string& path);
bool WriteFile(const std::string& path, const std::string& text);

// Lines with the time since the begin of the case.
class Record {
 public:
  explicit Record(const std::string& path);
  ~Record();
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;

  void Line(const std::string& text);

 private:
  std::FILE* file_;
};

}  // namespace review

#endif  // REVIEW_STANDINS_2_SUPPORT_H_
