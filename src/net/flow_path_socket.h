// A UDP socket that receives and sends datagrams in batches (recvmmsg,
// sendmmsg).
#ifndef MARJORAMHALL_NET_FLOW_PATH_SOCKET_H_
#define MARJORAMHALL_NET_FLOW_PATH_SOCKET_H_

#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/uio.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "src/base/endpoint.h"

namespace marjoramhall::net {

// Maximum number of datagrams per system call. 64 amortizes the cost of a call;
// larger batches add delay without a measurable gain.
inline constexpr size_t kUdpBatchSize = 64;
// Maximum size of a received datagram: a jumbo frame and the hop header.
inline constexpr size_t kMaxDatagramBytes = 9216;

// The datagrams of one receive call. The buffers are allocated once and reused.
class ReceiveBatch {
 public:
  ReceiveBatch();

  std::span<const uint8_t> Datagram(size_t i) const {
    return {buffers_.data() + i * kMaxDatagramBytes, headers_[i].msg_len};
  }
  // Returns the same bytes for modification in place before forwarding.
  std::span<uint8_t> MutableDatagram(size_t i) {
    return {buffers_.data() + i * kMaxDatagramBytes, headers_[i].msg_len};
  }
  bool IsTruncated(size_t i) const {
    return (headers_[i].msg_hdr.msg_flags & MSG_TRUNC) != 0;
  }
  Endpoint Source(size_t i) const;

 private:
  friend class UdpSocket;
  void Prepare();

  std::vector<uint8_t> buffers_;
  std::vector<mmsghdr> headers_;
  std::vector<iovec> vectors_;
  std::vector<sockaddr_in6> sources_;
};

// The datagrams of one send call. Payloads are not copied and must stay valid
// until the batch has been sent.
class SendBatch {
 public:
  SendBatch();

  bool IsFull() const { return size_ == kUdpBatchSize; }
  size_t size() const { return size_; }

  // Adds a datagram that consists of `header` and `payload`. The header is
  // copied and may have up to 64 bytes. The batch must not be full.
  void Add(const Endpoint& to,
           std::span<const uint8_t> header,
           std::span<const uint8_t> payload);

 private:
  friend class UdpSocket;

  size_t size_ = 0;
  std::vector<uint8_t> prefixes_;  // copies of the `header` arguments
  std::vector<mmsghdr> headers_;
  std::vector<iovec> vectors_;  // two per datagram
  std::vector<sockaddr_in6> destinations_;
};

// Not thread-safe. An IPv4 socket can send only to IPv4 endpoints.
class UdpSocket {
 public:
  UdpSocket() = default;
  ~UdpSocket();
  UdpSocket(const UdpSocket&) = delete;
  UdpSocket& operator=(const UdpSocket&) = delete;

  // Binds a non-blocking socket. Returns an error that names the address, or an
  // empty string.
  std::string Open(const Endpoint& local);
  // Connects the socket to a peer, so that a later send reports an error if
  // nothing listens there. Returns false if the system rejects the address.
  bool Connect(const Endpoint& peer);
  void Close();

  int fd() const { return fd_; }
  // Returns the bound address, including a port chosen by the system.
  Endpoint LocalEndpoint() const;

  // Receives up to kUdpBatchSize datagrams without waiting; returns their
  // number.
  size_t Receive(ReceiveBatch& batch);

  // Blocks up to `timeout` for a datagram. Returns whether one is available.
  bool WaitReadable(std::chrono::milliseconds timeout) const;

  // Sends and clears the batch without blocking. Returns the number of
  // datagrams that could not be sent.
  size_t Send(SendBatch& batch);

 private:
  int fd_ = -1;
};

}  // namespace marjoramhall::net

#endif  // MARJORAMHALL_NET_FLOW_PATH_SOCKET_H_
