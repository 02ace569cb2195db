// One HTTP/2 connection, in the server or the client role, cleartext with prior
// knowledge (RFC 9113). Bodies stream in both directions with backpressure, and
// the end of every stream is reported truthfully: whether the message was whole
// and, on the client side, whether the request may have run.
//
// Sessions live on the thread of their io_context and may be called only there.
// Hooks are called from that thread and may call back into any session.
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

// Returns the first value of a field, or an empty view. Cost: linear.
std::string_view FieldOf(const HeaderFields& fields, std::string_view name);

enum class Http2Role { kServer, kClient };

// RFC 9113 section 7, as far as users of a session name the codes.
inline constexpr uint32_t kHttp2NoError = 0x0;
inline constexpr uint32_t kHttp2InternalError = 0x2;
inline constexpr uint32_t kHttp2RefusedStream = 0x7;
inline constexpr uint32_t kHttp2Cancel = 0x8;
inline constexpr uint32_t kHttp2EnhanceYourCalm = 0xb;

enum class StreamEnd {
  // Client: the whole answer arrived. Server: the whole answer was sent.
  kComplete,
  // Client: no byte of the request reached the socket.
  kNotSent,
  // Client: the peer said REFUSED_STREAM, or GOAWAY with a lower last stream
  // id, before any answer. The request did not run.
  kRefused,
  // The stream or connection ended early. Client: the request may have run.
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

// The head of a request or answer, pseudo header fields included.
struct MessageHead {
  HeaderFields fields;
  bool end_stream = false;
  // The fields exceed Http2Limits::header_bytes; `fields` is incomplete.
  bool oversized = false;
};

// What the user of a stream is told. Absent hooks are skipped. `on_close` is
// the last call, and it comes exactly once for every opened stream.
struct StreamHooks {
  // Client: the final head of the answer (1xx heads are skipped).
  std::function<void(MessageHead head)> on_head;
  // Body bytes, valid during the call. They count against the peer's window
  // until the user gives them back with Consume().
  std::function<void(std::string_view data)> on_body;
  // The peer ended its message properly; every body byte has been delivered.
  std::function<void(HeaderFields trailers)> on_end;
  // Bytes given to Write() left the stream's buffer for the connection.
  std::function<void(size_t bytes)> on_sent;
  std::function<void(StreamEnd end, uint32_t error_code)> on_close;
};

struct Http2Limits {
  size_t header_bytes = size_t{16} * 1024;
  uint32_t streams = 256;
  // Unconsumed body bytes that the peer may send, per stream and session. They
  // bound the memory of a session together with the 64 KB of its output.
  uint32_t stream_window = 256 * 1024;
  uint32_t session_window = 1024 * 1024;
  // A session without streams is closed after this time.
  Duration idle_timeout = std::chrono::seconds(120);
  // A session with streams that is silent this long gets a PING, and is closed
  // when nothing arrives within the same time again.
  Duration ping_after = std::chrono::seconds(4);
  // A stream whose buffered output makes no progress this long is reset.
  Duration stall_timeout = std::chrono::seconds(30);
};

// Sums over all sessions that share it; written on their thread only.
struct Http2Counters {
  uint64_t sessions = 0;
  uint64_t streams_opened = 0;
  uint64_t protocol_errors = 0;
  uint64_t bytes_received = 0;
  uint64_t bytes_sent = 0;
  // Body bytes received but not consumed, and written but not yet framed.
  uint64_t buffered = 0;
  uint64_t peak_buffered = 0;
};

class Http2Session;
using Http2SessionPtr = std::shared_ptr<Http2Session>;

struct SessionHooks {
  // Server: a request's head arrived. Returns the hooks of its stream.
  std::function<StreamHooks(const Http2SessionPtr& session,
                            int32_t stream,
                            MessageHead head)>
      on_request;
  // The session takes no new streams (GOAWAY received or sent).
  std::function<void()> on_draining;
  // The connection is closed; all streams have had their on_close.
  std::function<void()> on_closed;
};

class Http2Session {
 public:
  Http2Session() = default;
  Http2Session(const Http2Session&) = delete;
  Http2Session& operator=(const Http2Session&) = delete;
  virtual ~Http2Session() = default;

  // Client: opens a stream. Returns its id, or 0 when the session takes no new
  // streams; then nothing was sent and no hook is called.
  virtual int32_t Open(const HeaderFields& head,
                       bool end_stream,
                       StreamHooks hooks) = 0;
  // Server: sends the head of the answer. False when the stream is gone.
  virtual bool Respond(int32_t stream,
                       const HeaderFields& head,
                       bool end_stream) = 0;
  // Buffers body bytes. The user bounds them by means of on_sent. Bytes for a
  // stream that is gone are dropped.
  virtual void Write(int32_t stream, std::string_view data) = 0;
  // Ends our message after the buffered bytes.
  virtual void Finish(int32_t stream, HeaderFields trailers) = 0;
  void Finish(int32_t stream) { Finish(stream, {}); }
  // Gives body bytes back, so that the peer may send as many again.
  virtual void Consume(int32_t stream, size_t bytes) = 0;
  // RST_STREAM. on_close follows; no other hook does.
  virtual void Reset(int32_t stream, uint32_t error_code) = 0;

  // Graceful end: GOAWAY, then close once the open streams are done. Streams
  // that the peer opened before it saw the GOAWAY are still served.
  virtual void Shutdown() = 0;
  // Closes the connection at once. Hooks follow from the io_context.
  virtual void Close() = 0;

  // True when Open() would work now.
  virtual bool CanOpen() const = 0;
  virtual bool IsClosed() const = 0;
  // True while the socket takes no more bytes; until then a Reset() is not on
  // its way and its on_close has to wait.
  virtual bool IsBlocked() const = 0;
  virtual size_t open_streams() const = 0;
  // Bytes given to Write() that have not been framed yet.
  virtual size_t PendingBytes(int32_t stream) const = 0;
  // True when all of our message, its end included, has been framed.
  virtual bool IsFramed(int32_t stream) const = 0;
  virtual const Endpoint& peer() const = 0;
};

}  // namespace marjoramhall::net

#endif  // MARJORAMHALL_NET_HTTP2_SESSION_H_
