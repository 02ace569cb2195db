// A UDP socket with batched input and output (recvmmsg, sendmmsg).
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

// Datagrams per system call. 64 spreads the cost of a call thinly; larger
// batches add delay without a measurable gain.
inline constexpr size_t kUdpBatchSize = 64;
// Largest datagram taken in: a jumbo frame and the hop header.
inline constexpr size_t kMaxDatagram = 9216;

// Datagrams of one receive call. Allocated once and reused.
class ReceiveBatch {
 public:
  ReceiveBatch();

  std::span<const uint8_t> Datagram(size_t i) const {
    return {buffers_.data() + i * kMaxDatagram, headers_[i].msg_len};
  }
  // The same bytes, to be changed in place before they are sent on.
  std::span<uint8_t> Mutable(size_t i) {
    return {buffers_.data() + i * kMaxDatagram, headers_[i].msg_len};
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

// Datagrams of one send call. Payloads are not copied and must live until the
// batch has been sent.
class SendBatch {
 public:
  SendBatch();

  bool IsFull() const { return size_ == kUdpBatchSize; }
  size_t size() const { return size_; }

  // Adds a datagram that consists of `header` (copied, at most 64 bytes, may be
  // empty) and `payload`.
  void Add(const Endpoint& to,
           std::span<const uint8_t> header,
           std::span<const uint8_t> payload);

 private:
  friend class UdpSocket;

  size_t size_ = 0;
  std::vector<uint8_t> prefixes_;
  std::vector<mmsghdr> headers_;
  std::vector<iovec> vectors_;  // two per datagram
  std::vector<sockaddr_in6> destinations_;
};

// Not thread-safe. IPv4 sockets send to IPv4 endpoints only.
class UdpSocket {
 public:
  UdpSocket() = default;
  ~UdpSocket();
  UdpSocket(const UdpSocket&) = delete;
  UdpSocket& operator=(const UdpSocket&) = delete;

  // Binds a non-blocking socket. Returns an error that names the address, or an
  // empty string.
  std::string Open(const Endpoint& local);
  // Fixes the peer, so that a send reports when nothing listens there. False
  // when the system refuses the address.
  bool Connect(const Endpoint& peer);
  void Close();

  int fd() const { return fd_; }
  // The bound address with the port that the system chose.
  Endpoint LocalEndpoint() const;

  // Receives up to kUdpBatchSize datagrams without waiting; returns their
  // number.
  size_t Receive(ReceiveBatch& batch);

  // Waits up to `limit` for a datagram. Returns whether there is one.
  bool WaitReadable(std::chrono::milliseconds limit) const;

  // Sends and empties the batch. Returns how many datagrams the system refused.
  size_t Send(SendBatch& batch);

 private:
  int fd_ = -1;
};

}  // namespace marjoramhall::net

#endif  // MARJORAMHALL_NET_FLOW_PATH_SOCKET_H_
