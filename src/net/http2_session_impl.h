// Implementation of Http2Session with Asio and nghttp2. Included only by
// http2_*.cc.
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

// Converts fields for nghttp2. The result refers to `fields`.
std::vector<nghttp2_nv> ToNghttp2Fields(const HeaderFields& fields);

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

  // Sends the connection preface and starts reading.
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
  bool IsWriteBlocked() const override { return waiting_writable_; }
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
    // The header section was passed to the user. Before that, the stream does
    // not keep the session from being idle.
    bool head_delivered = false;
    bool remote_ended = false;
    bool local_ended = false;
    bool reset = false;
    // Output buffer. Bytes from out_offset on have not been framed.
    std::string out;
    size_t out_offset = 0;
    bool finishing = false;
    HeaderFields out_trailers;
    // Received body bytes that the user has not released with Consume().
    size_t unconsumed = 0;
    // Offset of the local HEADERS frame in the connection's output.
    uint64_t head_offset = kNoOffset;
    TimePoint last_progress;
  };

  // nghttp2 callbacks, defined in http2_callbacks.cc. `user` is the session.
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
  static int OnFrameReceived(nghttp2_session*,
                             const nghttp2_frame* frame,
                             void* user);
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
  static int OnInvalidFrameReceived(nghttp2_session*,
                                    const nghttp2_frame* frame,
                                    int error,
                                    void* user);
  static ssize_t ReadBody(nghttp2_session*,
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
  StreamEnd ClassifyEnd(const Stream& stream, uint32_t error_code) const;
  void FinishStream(const Stream& stream, StreamEnd end, uint32_t error_code);
  void AddBuffered(size_t bytes);
  void RemoveBuffered(size_t bytes);

  void ScheduleFlush();
  void Flush();
  bool FillOutput();
  // Returns false if the connection failed or the send buffer is full.
  bool WriteOutput();
  void WaitReadable();
  void OnReadable();
  // Reads the available data. Returns false if the connection has ended.
  bool ReadAvailable();
  void WaitWritable();
  void ArmTimer();
  void OnTimer();
  bool CheckLiveness(TimePoint now);
  void ResetStalledStreams(TimePoint now);
  void SendFinalGoaway();
  bool HasActiveStreams() const;
  void CloseIfDone();
  // Ends the session. The ends of the streams are reported from the io_context.
  // The socket stays open until the peer closes it, for one second at most.
  void EndSession();
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
  size_t output_offset_ = 0;
  // Total bytes serialized by nghttp2, and total bytes accepted by the socket.
  uint64_t serialized_bytes_ = 0;
  uint64_t written_bytes_ = 0;

  // Stream id and number of body bytes framed by the current nghttp2 call.
  std::vector<std::pair<int32_t, size_t>> framed_bodies_;

  bool flush_posted_ = false;
  // Client: streams were opened since the last flush.
  bool opened_since_flush_ = false;
  bool waiting_writable_ = false;
  bool draining_ = false;
  // Server: the first GOAWAY, with the highest stream id, was submitted.
  bool shutdown_notice_sent_ = false;
  bool final_goaway_sent_ = false;
  bool close_after_flush_ = false;
  bool closed_ = false;
  TimePoint last_read_;
  // Time of the last start or end of a stream.
  TimePoint last_stream_change_;
  TimePoint ping_sent_;
  TimePoint shutdown_started_;
  bool ping_outstanding_ = false;
};

}  // namespace marjoramhall::net

#endif  // MARJORAMHALL_NET_HTTP2_SESSION_IMPL_H_
