// Inside of Http2Session: the socket, the nghttp2 session and the streams.
// Included only by http2_*.cc.
#ifndef MARJORAMHALL_NET_HTTP2_SESSION_IMPL_H_
#define MARJORAMHALL_NET_HTTP2_SESSION_IMPL_H_

#include <nghttp2/nghttp2.h>

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <limits>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "src/net/http2_session.h"

namespace marjoramhall::net {

// Views into `fields`, which must outlive the result.
std::vector<nghttp2_nv> ToNv(const HeaderFields& fields);

class Http2SessionImpl final
    : public Http2Session,
      public std::enable_shared_from_this<Http2SessionImpl> {
 public:
  using Http2Session::Finish;

  Http2SessionImpl(asio::ip::tcp::socket socket,
                   Http2Role role,
                   const Endpoint& peer,
                   const Http2Limits& limits,
                   std::shared_ptr<Http2Counters> counters,
                   SessionHooks hooks);
  ~Http2SessionImpl() override;

  // Sends the preface and starts to read.
  void Start();

  int32_t Open(const HeaderFields& head,
               bool end_stream,
               StreamHooks hooks) override;
  bool Respond(int32_t stream,
               const HeaderFields& head,
               bool end_stream) override;
  void Write(int32_t stream, std::string_view data) override;
  void Finish(int32_t stream, HeaderFields trailers) override;
  void Consume(int32_t stream, size_t bytes) override;
  void Reset(int32_t stream, uint32_t error_code) override;
  void Shutdown() override;
  void Close() override;
  bool CanOpen() const override;
  bool IsClosed() const override { return closed_; }
  bool IsBlocked() const override { return waiting_writable_; }
  size_t open_streams() const override { return streams_.size(); }
  size_t PendingBytes(int32_t stream) const override;
  bool IsFramed(int32_t stream) const override;
  const Endpoint& peer() const override { return peer_; }

 private:
  static constexpr uint64_t kNoOffset = std::numeric_limits<uint64_t>::max();

  struct Stream {
    StreamHooks hooks;
    MessageHead head;
    size_t head_bytes = 0;
    HeaderFields trailers;
    // The user has been told of the head; before that, the stream does not
    // count as one in use.
    bool head_done = false;
    bool remote_ended = false;
    bool local_ended = false;
    bool reset = false;
    // Output: bytes from out_pos on are waiting.
    std::string out;
    size_t out_pos = 0;
    bool finishing = false;
    HeaderFields out_trailers;
    // Received body bytes that the user has not given back.
    size_t unconsumed = 0;
    // Offset of our HEADERS frame in the byte stream of the connection.
    uint64_t head_offset = kNoOffset;
    TimePoint last_progress;
  };

  // nghttp2 callbacks (http2_callbacks.cc); `user` is the session.
  static int OnBeginHeaders(nghttp2_session*,
                            const nghttp2_frame* frame,
                            void* user);
  static int OnHeader(nghttp2_session*,
                      const nghttp2_frame* frame,
                      const uint8_t* name,
                      size_t name_size,
                      const uint8_t* value,
                      size_t value_size,
                      uint8_t flags,
                      void* user);
  static int OnFrame(nghttp2_session*, const nghttp2_frame* frame, void* user);
  static int OnData(nghttp2_session*,
                    uint8_t flags,
                    int32_t stream,
                    const uint8_t* data,
                    size_t size,
                    void* user);
  static int OnStreamClose(nghttp2_session*,
                           int32_t stream,
                           uint32_t error_code,
                           void* user);
  static int OnBeforeSend(nghttp2_session*,
                          const nghttp2_frame* frame,
                          void* user);
  static int OnFrameSent(nghttp2_session*,
                         const nghttp2_frame* frame,
                         void* user);
  static int OnInvalidFrame(nghttp2_session*,
                            const nghttp2_frame* frame,
                            int error,
                            void* user);
  static ssize_t ReadOutput(nghttp2_session*,
                            int32_t stream,
                            uint8_t* buf,
                            size_t size,
                            uint32_t* flags,
                            nghttp2_data_source* source,
                            void* user);
  static nghttp2_session_callbacks* Callbacks();

  Stream* Find(int32_t stream);
  void HandleHeaders(const nghttp2_frame* frame);
  void HandleEnd(int32_t id);
  void HandleGoaway();
  void SubmitSettings();
  StreamEnd EndOf(const Stream& stream, uint32_t error_code) const;
  void FinishStream(const Stream& stream, StreamEnd end, uint32_t error_code);
  void AddBuffered(size_t bytes);
  void RemoveBuffered(size_t bytes);

  void ScheduleFlush();
  void Flush();
  bool FillOutput();
  // False when the connection failed or the socket is full.
  bool WriteOutput();
  void WaitReadable();
  void OnReadable();
  // Reads what is there. False when the connection has ended.
  bool ReadAvailable();
  void WaitWritable();
  void ArmTimer();
  void OnTimer();
  bool CheckLiveness(TimePoint now);
  void ResetStalledStreams(TimePoint now);
  void SendFinalGoaway();
  bool HasWork() const;
  void CloseIfDone();
  // Ends the session. The streams' ends are reported from the io_context; the
  // socket lingers until the peer closes it, one second at most.
  void Fail();
  void CloseSocket();

  asio::ip::tcp::socket socket_;
  asio::steady_timer timer_;
  const Http2Role role_;
  const Endpoint peer_;
  const Http2Limits limits_;
  std::shared_ptr<Http2Counters> counters_;
  SessionHooks hooks_;
  nghttp2_session* session_ = nullptr;
  std::unordered_map<int32_t, Stream> streams_;

  std::string output_;
  size_t output_pos_ = 0;
  // Bytes that nghttp2 serialized, and bytes that the socket accepted.
  uint64_t produced_ = 0;
  uint64_t accepted_ = 0;

  // (stream, bytes) framed by the current nghttp2 call.
  std::vector<std::pair<int32_t, size_t>> framed_;

  bool flush_posted_ = false;
  // Client: streams were opened since the last flush.
  bool opened_ = false;
  bool waiting_writable_ = false;
  bool draining_ = false;
  bool shutdown_noticed_ = false;
  bool final_goaway_ = false;
  bool close_after_flush_ = false;
  bool closed_ = false;
  TimePoint last_read_;
  TimePoint last_stream_;
  TimePoint ping_sent_;
  TimePoint shutdown_at_;
  bool ping_open_ = false;
};

}  // namespace marjoramhall::net

#endif  // MARJORAMHALL_NET_HTTP2_SESSION_IMPL_H_
