// The operations of a session and the classification of stream ends.
#include "src/net/http2_session.h"

#include <algorithm>
#include <utility>

#include <asio/post.hpp>

#include "src/net/http2_session_impl.h"

namespace marjoramhall::net {

std::string_view FieldOf(const HeaderFields& fields, std::string_view name) {
  for (const auto& it : fields) {
    if (it.first == name) {
      return it.second;
    }
  }
  return {};
}

std::vector<nghttp2_nv> ToNghttp2Fields(const HeaderFields& fields) {
  std::vector<nghttp2_nv> nv;
  nv.reserve(fields.size());
  // nghttp2 copies names and values and does not modify them.
  const auto bytes = [](const std::string& it) {
    return reinterpret_cast<uint8_t*>(const_cast<char*>(it.data()));
  };
  for (const auto& [name, value] : fields) {
    nv.push_back({bytes(name), bytes(value), name.size(), value.size(),
                  NGHTTP2_NV_FLAG_NONE});
  }
  return nv;
}

Http2SessionImpl::Http2SessionImpl(asio::ip::tcp::socket socket,
                                   Http2Role role,
                                   const Endpoint& peer,
                                   const Http2Limits& limits,
                                   std::shared_ptr<Http2Counters> counters,
                                   SessionHooks hooks)
    : socket_(std::move(socket)),
      timer_(socket_.get_executor()),
      role_(role),
      peer_(peer),
      limits_(limits),
      counters_(std::move(counters)),
      hooks_(std::move(hooks)),
      last_read_(SteadyNow()),
      last_stream_change_(last_read_),
      ping_sent_(last_read_),
      shutdown_started_(last_read_) {
  counters_->sessions++;
  nghttp2_option* option = nullptr;
  nghttp2_option_new(&option);
  // Consume() triggers the window updates.
  nghttp2_option_set_no_auto_window_update(option, 1);
  nghttp2_option_set_no_closed_streams(option, 1);
  // Rate limit of streams that a client resets: a burst of 5000 and 500 per
  // second. nghttp2's defaults of 1000 and 33 end the connection of a caller
  // that multiplexes many requests and cancels those past their deadline during
  // an overload.
  nghttp2_option_set_stream_reset_rate_limit(option, 5000, 500);
  nghttp2_session_callbacks* callbacks = Callbacks();
  if (role_ == Http2Role::kServer) {
    nghttp2_session_server_new2(&session_, callbacks, this, option);
  } else {
    nghttp2_session_client_new2(&session_, callbacks, this, option);
  }
  nghttp2_session_callbacks_del(callbacks);
  nghttp2_option_del(option);
}

Http2SessionImpl::~Http2SessionImpl() {
  nghttp2_session_del(session_);
  counters_->sessions--;
}

void Http2SessionImpl::SubmitSettings() {
  std::vector<nghttp2_settings_entry> settings = {
      {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, limits_.stream_window},
      {NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE,
       static_cast<uint32_t>(limits_.header_bytes)},
  };
  if (role_ == Http2Role::kServer) {
    settings.push_back(
        {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, limits_.streams});
  } else {
    settings.push_back({NGHTTP2_SETTINGS_ENABLE_PUSH, 0});
  }
  nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, settings.data(),
                          settings.size());
  nghttp2_session_set_local_window_size(
      session_, NGHTTP2_FLAG_NONE, 0,
      static_cast<int32_t>(limits_.session_window));
}

int32_t Http2SessionImpl::Open(const HeaderFields& head,
                               bool end_stream,
                               StreamHooks hooks) {
  if (!CanOpen()) {
    return 0;
  }
  const auto nv = ToNghttp2Fields(head);
  nghttp2_data_provider provider{};
  provider.read_callback = ReadBody;
  const int32_t id =
      nghttp2_submit_request(session_, nullptr, nv.data(), nv.size(),
                             end_stream ? nullptr : &provider, nullptr);
  if (id <= 0) {
    return 0;
  }
  Stream& stream = streams_[id];
  stream.hooks = std::move(hooks);
  stream.local_ended = end_stream;
  stream.last_progress = SteadyNow();
  last_stream_change_ = stream.last_progress;
  counters_->streams_opened++;
  opened_since_flush_ = true;
  ScheduleFlush();
  return id;
}

bool Http2SessionImpl::Respond(int32_t id,
                               const HeaderFields& head,
                               bool end_stream) {
  Stream* stream = Find(id);
  if (stream == nullptr || stream->reset) {
    return false;
  }
  const auto nv = ToNghttp2Fields(head);
  nghttp2_data_provider provider{};
  provider.read_callback = ReadBody;
  stream->local_ended = end_stream;
  const int rv = nghttp2_submit_response(session_, id, nv.data(), nv.size(),
                                         end_stream ? nullptr : &provider);
  ScheduleFlush();
  return rv == 0;
}

void Http2SessionImpl::Write(int32_t id, std::string_view data) {
  Stream* stream = Find(id);
  if (stream == nullptr || stream->reset || stream->finishing ||
      stream->local_ended) {
    return;
  }
  stream->out.append(data);
  AddBuffered(data.size());
  nghttp2_session_resume_data(session_, id);
  ScheduleFlush();
}

void Http2SessionImpl::Finish(int32_t id, HeaderFields trailers) {
  Stream* stream = Find(id);
  if (stream == nullptr || stream->reset || stream->finishing ||
      stream->local_ended) {
    return;
  }
  stream->finishing = true;
  stream->out_trailers = std::move(trailers);
  nghttp2_session_resume_data(session_, id);
  ScheduleFlush();
}

void Http2SessionImpl::Consume(int32_t id, size_t bytes) {
  Stream* stream = Find(id);
  if (stream == nullptr) {
    return;
  }
  const size_t n = std::min(bytes, stream->unconsumed);
  stream->unconsumed -= n;
  RemoveBuffered(n);
  nghttp2_session_consume(session_, id, n);
  ScheduleFlush();
}

void Http2SessionImpl::Reset(int32_t id, uint32_t error_code) {
  Stream* stream = Find(id);
  if (stream == nullptr || stream->reset) {
    return;
  }
  stream->reset = true;
  nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, id, error_code);
  ScheduleFlush();
}

void Http2SessionImpl::Shutdown() {
  if (closed_ || shutdown_notice_sent_ || final_goaway_sent_) {
    return;
  }
  if (role_ == Http2Role::kClient) {
    nghttp2_submit_goaway(session_, NGHTTP2_FLAG_NONE, 0, NGHTTP2_NO_ERROR,
                          nullptr, 0);
    final_goaway_sent_ = true;
    draining_ = true;
  } else {
    // RFC 9113 section 6.8: the first GOAWAY has the highest stream id, so that
    // requests in flight are not lost. The final GOAWAY with the actual id
    // follows one round trip later.
    shutdown_notice_sent_ = true;
    shutdown_started_ = SteadyNow();
    nghttp2_submit_shutdown_notice(session_);
    nghttp2_submit_ping(session_, NGHTTP2_FLAG_NONE, nullptr);
  }
  ScheduleFlush();
}

void Http2SessionImpl::SendFinalGoaway() {
  if (closed_ || final_goaway_sent_) {
    return;
  }
  final_goaway_sent_ = true;
  nghttp2_submit_goaway(session_, NGHTTP2_FLAG_NONE,
                        nghttp2_session_get_last_proc_stream_id(session_),
                        NGHTTP2_NO_ERROR, nullptr, 0);
  ScheduleFlush();
}

void Http2SessionImpl::Close() {
  EndSession();
}

bool Http2SessionImpl::CanOpen() const {
  return role_ == Http2Role::kClient && !closed_ && !draining_ &&
         streams_.size() < limits_.streams &&
         streams_.size() <
             nghttp2_session_get_remote_settings(
                 session_, NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS) &&
         nghttp2_session_check_request_allowed(session_) != 0;
}

size_t Http2SessionImpl::PendingBytes(int32_t id) const {
  const auto it = streams_.find(id);
  return it == streams_.end() ? 0
                              : it->second.out.size() - it->second.out_offset;
}

bool Http2SessionImpl::IsFramed(int32_t id) const {
  const auto it = streams_.find(id);
  return it == streams_.end() || it->second.local_ended;
}

Http2SessionImpl::Stream* Http2SessionImpl::Find(int32_t id) {
  const auto it = streams_.find(id);
  return it == streams_.end() ? nullptr : &it->second;
}

StreamEnd Http2SessionImpl::ClassifyEnd(const Stream& stream,
                                        uint32_t error_code) const {
  if (role_ == Http2Role::kServer) {
    return stream.local_ended && error_code == kHttp2NoError
               ? StreamEnd::kComplete
               : StreamEnd::kBroken;
  }
  if (stream.remote_ended) {
    return StreamEnd::kComplete;
  }
  // On an open connection, a serialized header section will still be sent.
  if (stream.head_offset == kNoOffset ||
      (closed_ && stream.head_offset >= written_bytes_)) {
    return StreamEnd::kNotSent;
  }
  const bool refused = error_code == kHttp2RefusedStream && !stream.reset &&
                       !stream.head_delivered;
  return refused ? StreamEnd::kRefused : StreamEnd::kBroken;
}

void Http2SessionImpl::FinishStream(const Stream& stream,
                                    StreamEnd end,
                                    uint32_t error_code) {
  RemoveBuffered(stream.unconsumed + stream.out.size() - stream.out_offset);
  if (stream.hooks.on_close) {
    stream.hooks.on_close(end, error_code);
  }
}

void Http2SessionImpl::AddBuffered(size_t bytes) {
  counters_->buffered += bytes;
  counters_->peak_buffered =
      std::max(counters_->peak_buffered, counters_->buffered);
}

void Http2SessionImpl::RemoveBuffered(size_t bytes) {
  counters_->buffered -= bytes;
}

}  // namespace marjoramhall::net
