// Batched receive and send on UDP sockets.
#include "src/net/flow_path_socket.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>

namespace marjoramhall::net {
namespace {

constexpr size_t kMaxPrefixBytes = 64;
// Holds about 20 ms of traffic at the full packet rate. The system may limit it
// to less.
constexpr int kSocketBufferBytes = 4 << 20;

socklen_t ToSockaddr(const Endpoint& endpoint, sockaddr_in6& out) {
  if (endpoint.address.IsV4()) {
    sockaddr_in v4{};
    v4.sin_family = AF_INET;
    v4.sin_port = htons(endpoint.port);
    std::memcpy(&v4.sin_addr, endpoint.address.bytes.data() + 12, 4);
    std::memcpy(&out, &v4, sizeof(v4));
    return sizeof(v4);
  }
  out = sockaddr_in6{};
  out.sin6_family = AF_INET6;
  out.sin6_port = htons(endpoint.port);
  std::memcpy(&out.sin6_addr, endpoint.address.bytes.data(), 16);
  return sizeof(out);
}

Endpoint FromSockaddr(const sockaddr_in6& in) {
  Endpoint endpoint;
  if (in.sin6_family == AF_INET) {
    sockaddr_in v4{};
    std::memcpy(&v4, &in, sizeof(v4));
    endpoint.address = IpAddress::FromV4(ntohl(v4.sin_addr.s_addr));
    endpoint.port = ntohs(v4.sin_port);
  } else {
    std::memcpy(endpoint.address.bytes.data(), &in.sin6_addr, 16);
    endpoint.port = ntohs(in.sin6_port);
  }
  return endpoint;
}

}  // namespace

ReceiveBatch::ReceiveBatch()
    : buffers_(kUdpBatchSize * kMaxDatagramBytes),
      headers_(kUdpBatchSize),
      vectors_(kUdpBatchSize),
      sources_(kUdpBatchSize) {
  for (size_t i = 0; i < kUdpBatchSize; ++i) {
    vectors_[i] = {buffers_.data() + i * kMaxDatagramBytes, kMaxDatagramBytes};
    headers_[i].msg_hdr = {};
    headers_[i].msg_hdr.msg_iov = &vectors_[i];
    headers_[i].msg_hdr.msg_iovlen = 1;
    headers_[i].msg_hdr.msg_name = &sources_[i];
  }
}

void ReceiveBatch::Prepare() {
  for (mmsghdr& it : headers_) {
    it.msg_hdr.msg_namelen = sizeof(sockaddr_in6);
    it.msg_hdr.msg_flags = 0;
  }
}

Endpoint ReceiveBatch::Source(size_t i) const {
  return FromSockaddr(sources_[i]);
}

SendBatch::SendBatch()
    : prefixes_(kUdpBatchSize * kMaxPrefixBytes),
      headers_(kUdpBatchSize),
      vectors_(kUdpBatchSize * 2),
      destinations_(kUdpBatchSize) {}

void SendBatch::Add(const Endpoint& to,
                    std::span<const uint8_t> header,
                    std::span<const uint8_t> payload) {
  const size_t i = size_++;
  const size_t n = std::min(header.size(), kMaxPrefixBytes);
  uint8_t* prefix = prefixes_.data() + i * kMaxPrefixBytes;
  if (n > 0) {
    std::memcpy(prefix, header.data(), n);
  }
  iovec* vectors = &vectors_[i * 2];
  vectors[0] = {prefix, n};
  vectors[1] = {const_cast<uint8_t*>(payload.data()), payload.size()};
  msghdr& message = headers_[i].msg_hdr;
  message = {};
  message.msg_name = &destinations_[i];
  message.msg_namelen = ToSockaddr(to, destinations_[i]);
  message.msg_iov = n > 0 ? vectors : vectors + 1;
  message.msg_iovlen = n > 0 ? 2 : 1;
}

UdpSocket::~UdpSocket() {
  Close();
}

std::string UdpSocket::Open(const Endpoint& local) {
  sockaddr_in6 address{};
  const socklen_t length = ToSockaddr(local, address);
  fd_ =
      socket(address.sin6_family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd_ >= 0) {
    setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &kSocketBufferBytes,
               sizeof(kSocketBufferBytes));
    setsockopt(fd_, SOL_SOCKET, SO_SNDBUF, &kSocketBufferBytes,
               sizeof(kSocketBufferBytes));
    if (bind(fd_, reinterpret_cast<sockaddr*>(&address), length) == 0) {
      return {};
    }
  }
  const std::string error = std::strerror(errno);
  Close();
  return "cannot open UDP socket " + local.ToString() + ": " + error;
}

bool UdpSocket::Connect(const Endpoint& peer) {
  sockaddr_in6 address{};
  const socklen_t length = ToSockaddr(peer, address);
  return connect(fd_, reinterpret_cast<sockaddr*>(&address), length) == 0;
}

void UdpSocket::Close() {
  if (fd_ >= 0) {
    close(std::exchange(fd_, -1));
  }
}

Endpoint UdpSocket::LocalEndpoint() const {
  sockaddr_in6 address{};
  socklen_t length = sizeof(address);
  if (fd_ < 0 ||
      getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &length) != 0) {
    return {};
  }
  return FromSockaddr(address);
}

size_t UdpSocket::Receive(ReceiveBatch& batch) {
  batch.Prepare();
  const int n = recvmmsg(fd_, batch.headers_.data(), kUdpBatchSize,
                         MSG_DONTWAIT, nullptr);
  return n > 0 ? static_cast<size_t>(n) : 0;
}

bool UdpSocket::WaitReadable(std::chrono::milliseconds timeout) const {
  pollfd request{fd_, POLLIN, 0};
  return poll(&request, 1, static_cast<int>(timeout.count())) > 0;
}

size_t UdpSocket::Send(SendBatch& batch) {
  size_t sent = 0;
  size_t failed = 0;
  while (sent + failed < batch.size_) {
    const size_t at = sent + failed;
    const int n =
        sendmmsg(fd_, batch.headers_.data() + at,
                 static_cast<unsigned>(batch.size_ - at), MSG_DONTWAIT);
    if (n > 0) {
      sent += static_cast<size_t>(n);
    } else if (errno == EAGAIN || errno == EWOULDBLOCK) {
      // The socket buffer is full. Waiting would stall the other socket, so the
      // rest is dropped.
      failed = batch.size_ - sent;
    } else if (errno != EINTR) {
      // The error applies to the first datagram; the others may still be sent.
      ++failed;
    }
  }
  batch.size_ = 0;
  return failed;
}

}  // namespace marjoramhall::net
