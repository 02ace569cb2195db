// One HTTP/2 connection in the server or client role, in cleartext with prior
// knowledge (RFC 9113). Bodies stream in both directions with flow control. The
// end of a stream tells whether the message was complete and, for a client,
// whether the server may have processed the request.
//
// A session must be used only on the thread of its io_context. Hooks are called
// on that thread and may call any session.
#ifndef MARJORAMHALL_NET_HTTP2_SESSION_H_
#define MARJORAMHALL_NET_HTTP2_SESSION_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "src/base/endpoint.h"
#include "src/base/enum_names.h"
#include "src/base/time.h"

namespace marjoramhall::net {

using HeaderFields = std::vector<std::pair<std::string, std::string>>;

// Returns the first value of a field, or an empty view. The view refers to
// `fields`. Cost: linear in the number of fields.
std::string_view FieldOf(const HeaderFields& fields, std::string_view name);

enum class Http2Role { kServer, kClient };

// The error codes of RFC 9113 section 7 that users of a session need.
inline constexpr uint32_t kHttp2NoError = 0x0;
inline constexpr uint32_t kHttp2InternalError = 0x2;
inline constexpr uint32_t kHttp2RefusedStream = 0x7;
inline constexpr uint32_t kHttp2Cancel = 0x8;
inline constexpr uint32_t kHttp2EnhanceYourCalm = 0xb;

enum class StreamEnd {
  // Client: the complete response was received. Server: it was sent.
  kComplete,
  // Client: no byte of the request was written to the socket.
  kNotSent,
  // Client: before any response, the peer sent REFUSED_STREAM or a GOAWAY with
  // a lower last stream id. It has not processed the request.
  kRefused,
  // The stream or connection ended early. Client: the peer may have processed
  // the request.
  kBroken,
};
inline constexpr EnumName<StreamEnd> kStreamEndNames[] = {
    {StreamEnd::kComplete, "complete"},
    {StreamEnd::kNotSent, "not-sent"},
    {StreamEnd::kRefused, "refused"},
    {StreamEnd::kBroken, "broken"},
};
constexpr std::span<const EnumName<StreamEnd>> NamesOf(StreamEnd) {
  return kStreamEndNames;
}

// The header section of a request or response, including pseudo-header fields.
struct MessageHead {
  HeaderFields fields;
  bool end_stream = false;
  // The fields exceed Http2Limits::header_bytes, so `fields` is incomplete.
  bool oversized = false;
};

// Callbacks of a stream. Hooks that are not set are skipped. `on_close` is the
// last call and is made exactly once for every opened stream.
struct StreamHooks {
  // Client: the header section of the final response. Interim (1xx) responses
  // are skipped.
  std::function<void(MessageHead head)> on_head;
  // Body bytes, valid only during the call. They count against the peer's flow
  // control window until the user releases them with Consume().
  std::function<void(std::string_view data)> on_body;
  // The peer's message is complete. All of its body has been delivered.
  std::function<void(HeaderFields trailers)> on_end;
  // Bytes passed to Write() moved from the stream's buffer into frames.
  std::function<void(size_t bytes)> on_sent;
  std::function<void(StreamEnd end, uint32_t error_code)> on_close;
};

struct Http2Limits {
  size_t header_bytes = size_t{16} * 1024;
  uint32_t streams = 256;
  // Flow control windows: unconsumed body bytes that the peer may send per
  // stream and per session. Together with 64 KB of output they limit the memory
  // of a session.
  uint32_t stream_window = 256 * 1024;
  uint32_t session_window = 1024 * 1024;
  // A session without streams is closed after this time.
  Duration idle_timeout = std::chrono::seconds(120);
  // If nothing arrives for this long on a session with streams, a PING is sent.
  // The session is closed if nothing arrives for the same time again.
  Duration ping_after = std::chrono::seconds(4);
  // A stream is reset if its buffered output makes no progress for this long.
  Duration stall_timeout = std::chrono::seconds(30);
};

// Totals over all sessions that share this object. Used only on their thread.
struct Http2Counters {
  uint64_t sessions = 0;
  uint64_t streams_opened = 0;
  uint64_t protocol_errors = 0;
  uint64_t bytes_received = 0;
  uint64_t bytes_sent = 0;
  // Body bytes that were received but not consumed, or written but not framed.
  uint64_t buffered = 0;
  uint64_t peak_buffered = 0;
};

class Http2Session;
using Http2SessionPtr = std::shared_ptr<Http2Session>;

struct SessionHooks {
  // Server: the header section of a request arrived. Returns the hooks of its
  // stream.
  std::function<StreamHooks(const Http2SessionPtr& session,
                            int32_t stream,
                            MessageHead head)>
      on_request;
  // The session accepts no new streams because GOAWAY was received or sent.
  std::function<void()> on_draining;
  // The connection is closed and on_close was called for all streams.
  std::function<void()> on_closed;
};

class Http2Session {
 public:
  Http2Session() = default;
  Http2Session(const Http2Session&) = delete;
  Http2Session& operator=(const Http2Session&) = delete;
  virtual ~Http2Session() = default;

  // Client: opens a stream and returns its id. Returns 0 if the session accepts
  // no new streams; then nothing is sent and no hook is called.
  virtual int32_t Open(const HeaderFields& head,
                       bool end_stream,
                       StreamHooks hooks) = 0;
  // Server: sends the header section of the response. Returns false if the
  // stream has ended.
  virtual bool Respond(int32_t stream,
                       const HeaderFields& head,
                       bool end_stream) = 0;
  // Buffers body bytes for sending. The buffer is unbounded; the user limits it
  // by means of on_sent. Bytes for a stream that has ended are dropped.
  virtual void Write(int32_t stream, std::string_view data) = 0;
  // Ends the local message after the buffered bytes.
  virtual void Finish(int32_t stream, HeaderFields trailers) = 0;
  void Finish(int32_t stream) { Finish(stream, {}); }
  // Releases received body bytes, so that the peer may send as many again.
  virtual void Consume(int32_t stream, size_t bytes) = 0;
  // Sends RST_STREAM. Of the hooks, only on_close is called afterwards.
  virtual void Reset(int32_t stream, uint32_t error_code) = 0;

  // Graceful shutdown: sends GOAWAY and closes when the open streams have
  // ended. Streams that the peer opened before it received the GOAWAY are still
  // served.
  virtual void Shutdown() = 0;
  // Closes the connection immediately. The hooks are called later from the
  // io_context.
  virtual void Close() = 0;

  // Whether Open() would succeed now.
  virtual bool CanOpen() const = 0;
  virtual bool IsClosed() const = 0;
  // Whether the socket's send buffer is full. While it is, a Reset() is not
  // sent and its on_close is delayed.
  virtual bool IsWriteBlocked() const = 0;
  virtual size_t open_streams() const = 0;
  // Bytes passed to Write() that have not been framed yet.
  virtual size_t PendingBytes(int32_t stream) const = 0;
  // Whether the complete local message, including its end, has been framed.
  virtual bool IsFramed(int32_t stream) const = 0;
  virtual const Endpoint& peer() const = 0;
};

}  // namespace marjoramhall::net

#endif  // MARJORAMHALL_NET_HTTP2_SESSION_H_
