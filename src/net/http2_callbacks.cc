// The nghttp2 callbacks of a session, which convert frames to stream events.
#include <algorithm>
#include <utility>

#include "src/net/http2_session_impl.h"

namespace marjoramhall::net {
namespace {

// A stream's output buffer is compacted when at least this many bytes at its
// front have been framed.
constexpr size_t kCompactBytes = size_t{64} * 1024;

Http2SessionImpl* Self(void* user) {
  return static_cast<Http2SessionImpl*>(user);
}

}  // namespace

nghttp2_session_callbacks* Http2SessionImpl::Callbacks() {
  nghttp2_session_callbacks* it = nullptr;
  nghttp2_session_callbacks_new(&it);
  nghttp2_session_callbacks_set_on_begin_headers_callback(it, OnBeginHeaders);
  nghttp2_session_callbacks_set_on_header_callback(it, OnHeader);
  nghttp2_session_callbacks_set_on_frame_recv_callback(it, OnFrameReceived);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(it, OnData);
  nghttp2_session_callbacks_set_on_stream_close_callback(it, OnStreamClose);
  nghttp2_session_callbacks_set_before_frame_send_callback(it, OnBeforeSend);
  nghttp2_session_callbacks_set_on_frame_send_callback(it, OnFrameSent);
  nghttp2_session_callbacks_set_on_invalid_frame_recv_callback(
      it, OnInvalidFrameReceived);
  return it;
}

int Http2SessionImpl::OnBeginHeaders(nghttp2_session*,
                                     const nghttp2_frame* frame,
                                     void* user) {
  Http2SessionImpl* self = Self(user);
  if (self->role_ == Http2Role::kServer &&
      frame->headers.cat == NGHTTP2_HCAT_REQUEST && !self->closed_) {
    Stream& stream = self->streams_[frame->hd.stream_id];
    stream.last_progress = SteadyNow();
    self->counters_->streams_opened++;
  }
  return 0;
}

int Http2SessionImpl::OnHeader(nghttp2_session*,
                               const nghttp2_frame* frame,
                               const uint8_t* name,
                               size_t name_size,
                               const uint8_t* value,
                               size_t value_size,
                               uint8_t,
                               void* user) {
  Http2SessionImpl* self = Self(user);
  Stream* stream = self->Find(frame->hd.stream_id);
  if (stream == nullptr) {
    return 0;
  }
  // The size of a field according to RFC 9113 section 10.5.1.
  stream->head_bytes += name_size + value_size + 32;
  if (stream->head_bytes > self->limits_.header_bytes) {
    stream->head.oversized = true;
    return 0;
  }
  HeaderFields& fields =
      stream->head_delivered ? stream->trailers : stream->head.fields;
  fields.emplace_back(
      std::string(reinterpret_cast<const char*>(name), name_size),
      std::string(reinterpret_cast<const char*>(value), value_size));
  return 0;
}

int Http2SessionImpl::OnFrameReceived(nghttp2_session*,
                                      const nghttp2_frame* frame,
                                      void* user) {
  Http2SessionImpl* self = Self(user);
  const bool end = (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
  switch (frame->hd.type) {
    case NGHTTP2_HEADERS:
      self->HandleHeaders(frame);
      if (end) {
        self->HandleEnd(frame->hd.stream_id);
      }
      break;
    case NGHTTP2_DATA:
      if (end) {
        self->HandleEnd(frame->hd.stream_id);
      }
      break;
    case NGHTTP2_PING:
      // The PING was sent after the shutdown notice, so the peer has received
      // the notice.
      if ((frame->hd.flags & NGHTTP2_FLAG_ACK) != 0 &&
          self->shutdown_notice_sent_) {
        self->SendFinalGoaway();
      }
      break;
    case NGHTTP2_GOAWAY:
      self->HandleGoaway();
      break;
    default:
      break;
  }
  return 0;
}

void Http2SessionImpl::HandleHeaders(const nghttp2_frame* frame) {
  const int32_t id = frame->hd.stream_id;
  Stream* stream = Find(id);
  if (stream == nullptr || stream->head_delivered || stream->reset) {
    return;
  }
  if (role_ == Http2Role::kClient &&
      FieldOf(stream->head.fields, ":status").starts_with('1')) {
    stream->head = MessageHead{};
    stream->head_bytes = 0;
    return;
  }
  stream->head_delivered = true;
  stream->head.end_stream = (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
  if (role_ == Http2Role::kClient) {
    if (stream->hooks.on_head) {
      stream->hooks.on_head(std::move(stream->head));
    }
    return;
  }
  last_stream_change_ = SteadyNow();
  StreamHooks hooks;
  if (hooks_.on_request) {
    hooks = hooks_.on_request(shared_from_this(), id, std::move(stream->head));
  }
  stream = Find(id);
  if (stream != nullptr) {
    stream->hooks = std::move(hooks);
  } else if (hooks.on_close) {
    hooks.on_close(StreamEnd::kBroken, kHttp2InternalError);
  }
}

void Http2SessionImpl::HandleEnd(int32_t id) {
  Stream* stream = Find(id);
  if (stream == nullptr || !stream->head_delivered) {
    return;
  }
  stream->remote_ended = true;
  if (stream->hooks.on_end && !stream->reset) {
    stream->hooks.on_end(std::move(stream->trailers));
  }
}

void Http2SessionImpl::HandleGoaway() {
  if (!draining_) {
    draining_ = true;
    if (hooks_.on_draining) {
      hooks_.on_draining();
    }
  }
}

int Http2SessionImpl::OnData(nghttp2_session*,
                             uint8_t,
                             int32_t id,
                             const uint8_t* data,
                             size_t size,
                             void* user) {
  Http2SessionImpl* self = Self(user);
  Stream* stream = self->Find(id);
  if (stream == nullptr || stream->reset || !stream->hooks.on_body) {
    nghttp2_session_consume(self->session_, id, size);
    return 0;
  }
  stream->unconsumed += size;
  stream->last_progress = SteadyNow();
  self->AddBuffered(size);
  stream->hooks.on_body(
      std::string_view(reinterpret_cast<const char*>(data), size));
  return 0;
}

int Http2SessionImpl::OnStreamClose(nghttp2_session*,
                                    int32_t id,
                                    uint32_t error_code,
                                    void* user) {
  Http2SessionImpl* self = Self(user);
  auto it = self->streams_.find(id);
  if (it == self->streams_.end()) {
    return 0;
  }
  Stream stream = std::move(it->second);
  self->streams_.erase(it);
  self->last_stream_change_ = SteadyNow();
  // Releases the stream's part of the session window.
  if (stream.unconsumed > 0) {
    nghttp2_session_consume_connection(self->session_, stream.unconsumed);
  }
  self->FinishStream(stream, self->ClassifyEnd(stream, error_code), error_code);
  return 0;
}

int Http2SessionImpl::OnBeforeSend(nghttp2_session*,
                                   const nghttp2_frame* frame,
                                   void* user) {
  Http2SessionImpl* self = Self(user);
  if (frame->hd.type == NGHTTP2_HEADERS) {
    Stream* stream = self->Find(frame->hd.stream_id);
    if (stream != nullptr && stream->head_offset == kNoOffset) {
      stream->head_offset = self->serialized_bytes_;
    }
  }
  return 0;
}

int Http2SessionImpl::OnFrameSent(nghttp2_session*,
                                  const nghttp2_frame* frame,
                                  void* user) {
  Http2SessionImpl* self = Self(user);
  // nghttp2 sends GOAWAY after a connection error, as the last frame.
  if (frame->hd.type == NGHTTP2_GOAWAY &&
      frame->goaway.error_code != NGHTTP2_NO_ERROR) {
    self->counters_->protocol_errors++;
    self->close_after_flush_ = true;
  }
  // RFC 9113 section 8.1: after a complete response, a server asks the client
  // to stop sending the rest of the request.
  const bool end = (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
  if (self->role_ == Http2Role::kServer && end &&
      (frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS)) {
    Stream* stream = self->Find(frame->hd.stream_id);
    if (stream != nullptr && !stream->remote_ended && !stream->reset) {
      stream->reset = true;
      nghttp2_submit_rst_stream(self->session_, NGHTTP2_FLAG_NONE,
                                frame->hd.stream_id, NGHTTP2_NO_ERROR);
    }
  }
  return 0;
}

int Http2SessionImpl::OnInvalidFrameReceived(nghttp2_session*,
                                             const nghttp2_frame*,
                                             int,
                                             void* user) {
  Self(user)->counters_->protocol_errors++;
  return 0;
}

ssize_t Http2SessionImpl::ReadBody(nghttp2_session* session,
                                   int32_t id,
                                   uint8_t* buf,
                                   size_t size,
                                   uint32_t* flags,
                                   nghttp2_data_source*,
                                   void* user) {
  Http2SessionImpl* self = Self(user);
  Stream* stream = self->Find(id);
  if (stream == nullptr) {
    return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
  }
  const size_t n = std::min(size, stream->out.size() - stream->out_offset);
  if (n == 0 && !stream->finishing) {
    return NGHTTP2_ERR_DEFERRED;
  }
  if (n > 0) {
    std::copy_n(stream->out.data() + stream->out_offset, n, buf);
    stream->out_offset += n;
    stream->last_progress = SteadyNow();
    self->RemoveBuffered(n);
    self->framed_bodies_.emplace_back(id, n);
  }
  if (stream->out_offset == stream->out.size()) {
    stream->out.clear();
    stream->out_offset = 0;
    if (stream->finishing) {
      stream->local_ended = true;
      *flags |= NGHTTP2_DATA_FLAG_EOF;
      if (!stream->out_trailers.empty()) {
        *flags |= NGHTTP2_DATA_FLAG_NO_END_STREAM;
        const auto nv = ToNghttp2Fields(stream->out_trailers);
        nghttp2_submit_trailer(session, id, nv.data(), nv.size());
      }
    }
  } else if (stream->out_offset >= kCompactBytes) {
    stream->out.erase(0, stream->out_offset);
    stream->out_offset = 0;
  }
  return static_cast<ssize_t>(n);
}

}  // namespace marjoramhall::net
