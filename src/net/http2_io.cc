// The socket I/O, the timers and the closing of a session.
#include <algorithm>
#include <array>
#include <utility>

#include <asio/buffer.hpp>
#include <asio/post.hpp>

#include "src/net/http2_session_impl.h"

namespace marjoramhall::net {
namespace {

// Maximum size of the serialized output of a session.
constexpr size_t kMaxOutputBytes = size_t{64} * 1024;
// A session yields to others after this much output or this many reads.
constexpr size_t kMaxBytesPerFlush = size_t{512} * 1024;
constexpr int kMaxReadsPerWakeup = 4;
// How long a closed session waits until the peer closes the connection. Closing
// earlier could discard data that the peer has not read yet.
constexpr Duration kLingerTimeout = std::chrono::seconds(1);
// The final GOAWAY is sent after this time if the PING is not acknowledged.
constexpr Duration kShutdownPingTimeout = std::chrono::milliseconds(500);

// Shared by all sessions of a thread, since nghttp2 processes the bytes before
// the next read.
thread_local std::array<uint8_t, kMaxOutputBytes> read_buffer;

}  // namespace

void Http2SessionImpl::Start() {
  std::error_code ec;
  socket_.non_blocking(true, ec);
  socket_.set_option(asio::ip::tcp::no_delay(true), ec);
  SubmitSettings();
  ScheduleFlush();
  ArmTimer();
  WaitReadable();
}

void Http2SessionImpl::ScheduleFlush() {
  if (closed_ || flush_posted_ || waiting_writable_) {
    return;
  }
  flush_posted_ = true;
  asio::post(socket_.get_executor(), [self = shared_from_this()] {
    self->flush_posted_ = false;
    self->Flush();
  });
}

void Http2SessionImpl::Flush() {
  if (closed_ || waiting_writable_) {
    return;
  }
  // Reads first, to detect that the peer has closed an idle connection before a
  // new request is written to it. Such a request is known not to have run.
  if (opened_since_flush_) {
    opened_since_flush_ = false;
    if (!ReadAvailable() || closed_ || waiting_writable_) {
      return;
    }
  }
  const uint64_t stop = serialized_bytes_ + kMaxBytesPerFlush;
  while (FillOutput() && output_offset_ < output_.size()) {
    if (!WriteOutput()) {
      return;
    }
    if (serialized_bytes_ >= stop) {
      ScheduleFlush();
      return;
    }
  }
  if (closed_) {
    return;
  }
  if (close_after_flush_) {
    EndSession();
    return;
  }
  CloseIfDone();
}

bool Http2SessionImpl::FillOutput() {
  while (!closed_ && output_.size() - output_offset_ < kMaxOutputBytes) {
    const uint8_t* data = nullptr;
    const ssize_t n = nghttp2_session_mem_send(session_, &data);
    if (n < 0) {
      EndSession();
      return false;
    }
    if (n == 0) {
      break;
    }
    output_.append(reinterpret_cast<const char*>(data), static_cast<size_t>(n));
    serialized_bytes_ += static_cast<uint64_t>(n);
    // The hooks may call into nghttp2, so they run outside of its calls.
    for (size_t i = 0; i < framed_bodies_.size(); ++i) {
      const auto [id, bytes] = framed_bodies_[i];
      Stream* stream = Find(id);
      if (stream != nullptr && stream->hooks.on_sent) {
        stream->hooks.on_sent(bytes);
      }
    }
    framed_bodies_.clear();
  }
  return !closed_;
}

bool Http2SessionImpl::WriteOutput() {
  while (output_offset_ < output_.size()) {
    std::error_code ec;
    const size_t n =
        socket_.write_some(asio::buffer(output_.data() + output_offset_,
                                        output_.size() - output_offset_),
                           ec);
    output_offset_ += n;
    written_bytes_ += n;
    counters_->bytes_sent += n;
    if (ec == asio::error::would_block || ec == asio::error::try_again) {
      WaitWritable();
      return false;
    }
    if (ec) {
      EndSession();
      return false;
    }
  }
  output_.clear();
  output_offset_ = 0;
  if (streams_.empty()) {
    output_.shrink_to_fit();
  }
  return true;
}

void Http2SessionImpl::WaitWritable() {
  waiting_writable_ = true;
  socket_.async_wait(asio::ip::tcp::socket::wait_write,
                     [self = shared_from_this()](std::error_code ec) {
                       self->waiting_writable_ = false;
                       if (self->closed_ || ec) {
                         return;
                       }
                       if (self->WriteOutput()) {
                         self->Flush();
                       }
                     });
}

void Http2SessionImpl::WaitReadable() {
  socket_.async_wait(asio::ip::tcp::socket::wait_read,
                     [self = shared_from_this()](std::error_code ec) {
                       if (!ec) {
                         self->OnReadable();
                       }
                     });
}

void Http2SessionImpl::OnReadable() {
  if (!ReadAvailable()) {
    return;
  }
  Flush();
  if (socket_.is_open()) {
    WaitReadable();
  }
}

bool Http2SessionImpl::ReadAvailable() {
  for (int i = 0; i < kMaxReadsPerWakeup; ++i) {
    std::error_code ec;
    const size_t n = socket_.read_some(asio::buffer(read_buffer), ec);
    if (ec == asio::error::would_block || ec == asio::error::try_again) {
      break;
    }
    if (ec || n == 0) {
      EndSession();
      CloseSocket();
      return false;
    }
    if (closed_) {
      continue;  // discards data until the peer closes the connection
    }
    last_read_ = SteadyNow();
    ping_outstanding_ = false;
    counters_->bytes_received += n;
    const ssize_t used =
        nghttp2_session_mem_recv(session_, read_buffer.data(), n);
    if (used < 0 && !closed_) {
      counters_->protocol_errors++;
      EndSession();
      break;
    }
  }
  return true;
}

void Http2SessionImpl::ArmTimer() {
  const Duration interval = std::clamp<Duration>(
      std::min(limits_.idle_timeout, limits_.ping_after) / 4,
      std::chrono::milliseconds(20), std::chrono::seconds(1));
  timer_.expires_after(interval);
  timer_.async_wait([weak = weak_from_this()](std::error_code ec) {
    const auto self = weak.lock();
    if (self && !ec && !self->closed_) {
      self->OnTimer();
    }
  });
}

void Http2SessionImpl::OnTimer() {
  const TimePoint now = SteadyNow();
  if (shutdown_notice_sent_ && now - shutdown_started_ > kShutdownPingTimeout) {
    SendFinalGoaway();
  }
  if (!CheckLiveness(now)) {
    EndSession();
    return;
  }
  ResetStalledStreams(now);
  Flush();
  if (!closed_) {
    ArmTimer();
  }
}

bool Http2SessionImpl::HasActiveStreams() const {
  // A server stream with an incomplete header section does not count: a peer
  // that sends the section byte by byte is treated as idle.
  return std::any_of(streams_.begin(), streams_.end(), [this](const auto& it) {
    return role_ == Http2Role::kClient || it.second.head_delivered;
  });
}

bool Http2SessionImpl::CheckLiveness(TimePoint now) {
  if (!HasActiveStreams()) {
    if (now - last_stream_change_ > limits_.idle_timeout * 2) {
      return false;
    }
    if (now - last_stream_change_ > limits_.idle_timeout) {
      Shutdown();
    }
    return true;
  }
  if (ping_outstanding_) {
    return now - ping_sent_ <= limits_.ping_after;
  }
  if (now - last_read_ > limits_.ping_after) {
    ping_outstanding_ = true;
    ping_sent_ = now;
    nghttp2_submit_ping(session_, NGHTTP2_FLAG_NONE, nullptr);
  }
  return true;
}

void Http2SessionImpl::ResetStalledStreams(TimePoint now) {
  std::vector<int32_t> stalled;
  for (const auto& [id, it] : streams_) {
    if (it.out_offset < it.out.size() &&
        now - it.last_progress > limits_.stall_timeout) {
      stalled.push_back(id);
    }
  }
  for (const int32_t id : stalled) {
    Reset(id, kHttp2Cancel);
  }
}

void Http2SessionImpl::CloseIfDone() {
  const bool ending =
      final_goaway_sent_ || (draining_ && !shutdown_notice_sent_);
  if (!closed_ && ending && !HasActiveStreams() &&
      output_offset_ == output_.size() &&
      nghttp2_session_want_write(session_) == 0) {
    EndSession();
  }
}

void Http2SessionImpl::CloseSocket() {
  std::error_code ec;
  socket_.close(ec);
  timer_.cancel();
}

void Http2SessionImpl::EndSession() {
  if (closed_) {
    return;
  }
  closed_ = true;
  std::error_code ec;
  // Shuts down only the sending side, so that data already written still
  // reaches the peer. Closing a socket with unread input would discard it.
  socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ec);
  timer_.expires_after(kLingerTimeout);
  timer_.async_wait(
      [self = shared_from_this()](std::error_code) { self->CloseSocket(); });
  auto streams = std::make_shared<std::unordered_map<int32_t, Stream>>();
  streams->swap(streams_);
  asio::post(socket_.get_executor(), [self = shared_from_this(), streams] {
    for (auto& [id, stream] : *streams) {
      const StreamEnd end = self->ClassifyEnd(stream, kHttp2InternalError);
      self->FinishStream(stream, end, kHttp2InternalError);
    }
    if (self->hooks_.on_closed) {
      const auto on_closed = std::move(self->hooks_.on_closed);
      on_closed();
    }
    self->hooks_ = {};
  });
}

}  // namespace marjoramhall::net
