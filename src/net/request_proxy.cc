// Connects the listener for callers, the request plane core and the target
// pool.
#include "src/net/request_proxy.h"

#include <deque>
#include <mutex>
#include <unordered_map>
#include <utility>

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include "src/net/http2_transport.h"
#include "src/net/request_proxy_exchange.h"
#include "src/net/request_proxy_match.h"
#include "src/net/request_proxy_pool.h"

namespace marjoramhall::net {

using request::RequestId;

class RequestProxy::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& io,
       RequestProxyOptions options,
       SendToPeer send,
       DecisionHook decide)
      : io_(io),
        options_(std::move(options)),
        decide_(std::move(decide)),
        timer_(io),
        pool_(io,
              options_.target_limits,
              options_.connections_per_target,
              options_.connect_timeout,
              target_counters_) {
    if (!options_.make_core) {
      options_.make_core =
          MakeRequestPlane(options_.core, options_.self, options_.incarnation,
                           std::move(send), decide_, options_.seed);
    }
    core_ = options_.make_core(CoreHooks());
    exchange_context_->pool = &pool_;
    exchange_context_->max_resend_bytes = options_.max_resend_bytes;
    exchange_context_->max_stored_response_bytes =
        options_.max_stored_response_bytes;
    exchange_context_->attempt_ended =
        [this](RequestId id, uint32_t attempt,
               const request::AttemptResult& result) {
          RunCoreEvent(
              [&] { core_.on_attempt_end(id, attempt, result, SteadyNow()); });
        };
    exchange_context_->caller_disconnected = [this](RequestId id) {
      RunCoreEvent([&] { core_.on_caller_disconnected(id, SteadyNow()); });
    };
    exchange_context_->done = [this](RequestId id) { exchanges_.erase(id); };
    exchange_context_->response_aborted = [this] { aborted_responses_++; };
  }

  std::string Open() {
    listener_ = std::make_unique<Http2Listener>(
        io_, options_.caller_limits, options_.max_connections, caller_counters_,
        [this] {
          SessionHooks hooks;
          hooks.on_request = [this](const Http2SessionPtr& session,
                                    int32_t stream, MessageHead head) {
            return OnRequest(session, stream, std::move(head));
          };
          return hooks;
        });
    std::string error = listener_->Open(options_.listen);
    if (error.empty()) {
      Tick();
    }
    return error;
  }

  Endpoint local_endpoint() const {
    return listener_ ? listener_->local_endpoint() : options_.listen;
  }

  void OnView(config::ControlViewPtr view) {
    view_ = std::move(view);
    RunCoreEvent([&] { core_.on_view(view_, SteadyNow()); });
    pool_.RetainTargets(*view_->deployment);
  }

  void OnPeerMessage(VmId from, const std::string& payload) {
    RunCoreEvent([&] { core_.on_peer_message(from, payload, SteadyNow()); });
  }

  void OnRangeStoreReply(bool ok,
                         const std::vector<request::KeyRangeRecord>& records) {
    RunCoreEvent([&] { core_.on_range_store_reply(ok, records, SteadyNow()); });
  }

  void Stop(std::function<void()> done) {
    if (stopping_) {
      return;
    }
    stopping_ = true;
    on_stopped_ = std::move(done);
    stop_deadline_ = SteadyNow() + options_.stop_deadline;
    if (listener_) {
      listener_->Shutdown();
    }
    RunCoreEvent([&] { core_.begin_drain(SteadyNow()); });
    if (!listener_) {
      FinishStop();
    }
  }

  void Close() {
    if (closed_) {
      return;
    }
    timer_.cancel();
    closed_ = true;
    pending_operations_.clear();
    // Streams that end later must not report to this object.
    exchange_context_->pool = nullptr;
    exchange_context_->attempt_ended = nullptr;
    exchange_context_->caller_disconnected = nullptr;
    exchange_context_->done = nullptr;
    exchange_context_->response_aborted = nullptr;
    for (const auto& [id, it] : exchanges_) {
      it->Abort();
    }
    exchanges_.clear();
    if (listener_) {
      listener_->Close();
    }
    pool_.Close();
  }

  RequestStats Snapshot() const {
    const std::lock_guard<std::mutex> lock(stats_mutex_);
    return stats_;
  }

  // Runs `event` on the request thread, unless this object is closed by then.
  template <typename Event>
  void Post(Event event) {
    asio::post(io_, [weak = weak_from_this(), event = std::move(event)] {
      const auto self = weak.lock();
      if (self && !self->closed_) {
        event(*self);
      }
    });
  }

 private:
  // Passes an event to the core, then runs the operations that the core
  // requested through its hooks. The hooks only queue operations, because they
  // must not call the core again.
  template <typename Event>
  void RunCoreEvent(const Event& event) {
    if (closed_) {
      return;
    }
    event();
    if (running_operations_) {
      return;
    }
    running_operations_ = true;
    while (!pending_operations_.empty()) {
      const auto operation = std::move(pending_operations_.front());
      pending_operations_.pop_front();
      operation();
    }
    running_operations_ = false;
  }

  // Queues an operation on an exchange. It is skipped if the exchange has ended
  // by then.
  template <typename Operation>
  void QueueOperation(RequestId id, Operation operation) {
    pending_operations_.emplace_back(
        [this, id, operation = std::move(operation)] {
          const auto it = exchanges_.find(id);
          if (it != exchanges_.end()) {
            const std::shared_ptr<Exchange> exchange = it->second;
            operation(*exchange);
          }
        });
  }

  request::RequestHooks CoreHooks() {
    request::RequestHooks hooks;
    hooks.start_attempt = [this](RequestId id, uint32_t attempt,
                                 const config::Target& target,
                                 Duration deadline) {
      QueueOperation(id, [attempt, target, deadline](Exchange& it) {
        it.StartAttempt(attempt, target, deadline);
      });
    };
    hooks.cancel_attempt = [this](RequestId id, uint32_t attempt) {
      QueueOperation(id,
                     [attempt](Exchange& it) { it.CancelAttempt(attempt); });
    };
    hooks.refuse = [this](RequestId id, const request::Refusal& refusal) {
      QueueOperation(id, [refusal](Exchange& it) { it.Refuse(refusal); });
    };
    hooks.replay = [this](RequestId id, const request::StoredAnswer& answer) {
      QueueOperation(id, [answer](Exchange& it) { it.Replay(answer); });
    };
    hooks.record_ranges = options_.record_ranges;
    hooks.read_ranges = options_.read_ranges;
    if (!hooks.record_ranges) {
      hooks.record_ranges = [](const std::vector<request::KeyRangeRecord>&) {};
    }
    if (!hooks.read_ranges) {
      hooks.read_ranges = [] {};
    }
    return hooks;
  }

  StreamHooks OnRequest(const Http2SessionPtr& session,
                        int32_t stream,
                        MessageHead head) {
    request::Refusal refusal;
    if (head.oversized) {
      session->Respond(stream,
                       {{":status", "431"},
                        {"x-verdict", "not-run"},
                        {"x-refusal-reason", "head-too-large"},
                        {"content-length", "0"}},
                       true);
      refused_before_core_++;
      return {};
    }
    if (closed_ || !view_ || view_->deployment->revision == 0) {
      refusal.reason = request::RefusalReason::kNoConfiguration;
      refusal.retry_after = std::chrono::seconds(1);
      return RefuseBeforeCore(session, stream, refusal);
    }
    if (caller_counters_->buffered + target_counters_->buffered >
        options_.max_buffered_bytes) {
      refusal.retry_after = std::chrono::seconds(1);
      return RefuseBeforeCore(session, stream, refusal);
    }
    auto info = MatchRequest(*view_->deployment, head,
                             session->peer().address.ToString(),
                             options_.max_resend_bytes);
    if (!info) {
      refusal.reason = request::RefusalReason::kUnknownService;
      refusal.status = 404;
      return RefuseBeforeCore(session, stream, refusal);
    }
    info->id = ++last_id_;
    auto exchange = std::make_shared<Exchange>(exchange_context_, info->id,
                                               session, stream, std::move(head),
                                               !info->idempotency_key.empty());
    exchanges_.emplace(info->id, exchange);
    RunCoreEvent([&] { core_.on_request(*info, SteadyNow()); });
    return exchange->CallerHooks();
  }

  StreamHooks RefuseBeforeCore(const Http2SessionPtr& session,
                               int32_t stream,
                               const request::Refusal& refusal) {
    refused_before_core_++;
    session->Respond(stream, MakeRefusalHead(refusal), true);
    if (decide_) {
      Decision decision;
      decision.kind = DecisionKind::kRefuseRequest;
      decision.revision = view_ ? view_->deployment->revision : 0;
      decision.outcome = NameOf(refusal.verdict);
      decision.reason = NameOf(refusal.reason);
      decide_(decision);
    }
    return {};
  }

  void Tick() {
    RunCoreEvent([&] { core_.on_tick(SteadyNow()); });
    PublishStats();
    if (stopping_) {
      const bool drained = core_.is_drained() && exchanges_.empty() &&
                           listener_->sessions() == 0;
      if (drained || SteadyNow() >= stop_deadline_) {
        FinishStop();
        return;
      }
    }
    timer_.expires_after(options_.tick_interval);
    timer_.async_wait([weak = weak_from_this()](std::error_code ec) {
      const auto self = weak.lock();
      if (self && !ec && !self->closed_) {
        self->Tick();
      }
    });
  }

  void FinishStop() {
    Close();
    if (on_stopped_) {
      const auto done = std::move(on_stopped_);
      on_stopped_ = nullptr;
      done();
    }
  }

  void PublishStats() {
    RequestStats stats;
    stats.core = core_.stats();
    stats.callers = *caller_counters_;
    stats.targets = *target_counters_;
    stats.caller_sessions = listener_->sessions();
    stats.rejected_sessions = listener_->rejected();
    stats.open_requests = exchanges_.size();
    stats.refused_before_core = refused_before_core_;
    stats.aborted_responses = aborted_responses_;
    const TimePoint now = SteadyNow();
    const bool count_attempts =
        now - last_attempt_count_ >= kAttemptCountInterval;
    if (count_attempts) {
      last_attempt_count_ = now;
      for (const auto& [id, it] : exchanges_) {
        it->CountAttempts(stats.in_progress);
      }
    }
    const std::lock_guard<std::mutex> lock(stats_mutex_);
    if (!count_attempts) {
      stats.in_progress = std::move(stats_.in_progress);
    }
    stats_ = std::move(stats);
  }

  asio::io_context& io_;
  RequestProxyOptions options_;
  DecisionHook decide_;
  asio::steady_timer timer_;
  std::shared_ptr<Http2Counters> caller_counters_ =
      std::make_shared<Http2Counters>();
  std::shared_ptr<Http2Counters> target_counters_ =
      std::make_shared<Http2Counters>();
  TargetPool pool_;
  std::shared_ptr<ExchangeContext> exchange_context_ =
      std::make_shared<ExchangeContext>();
  RequestCore core_;
  std::unique_ptr<Http2Listener> listener_;
  config::ControlViewPtr view_;
  std::unordered_map<RequestId, std::shared_ptr<Exchange>> exchanges_;
  std::deque<std::function<void()>> pending_operations_;
  bool running_operations_ = false;
  RequestId last_id_ = 0;
  uint64_t refused_before_core_ = 0;
  uint64_t aborted_responses_ = 0;
  // Counting visits all open requests, so it is not done at every tick.
  static constexpr Duration kAttemptCountInterval = std::chrono::seconds(1);
  TimePoint last_attempt_count_;
  bool stopping_ = false;
  bool closed_ = false;
  TimePoint stop_deadline_;
  std::function<void()> on_stopped_;
  // Locked once per tick, never while a request is processed.
  mutable std::mutex stats_mutex_;
  RequestStats stats_;
};

RequestProxy::RequestProxy(asio::io_context& io,
                           RequestProxyOptions options,
                           SendToPeer send,
                           DecisionHook decide)
    : impl_(std::make_shared<Impl>(io,
                                   std::move(options),
                                   std::move(send),
                                   std::move(decide))) {}

RequestProxy::~RequestProxy() {
  impl_->Close();
}

std::string RequestProxy::Open() {
  return impl_->Open();
}

Endpoint RequestProxy::local_endpoint() const {
  return impl_->local_endpoint();
}

void RequestProxy::PostView(config::ControlViewPtr view) {
  impl_->Post([view = std::move(view)](Impl& it) { it.OnView(view); });
}

void RequestProxy::PostPeerMessage(VmId from, std::string payload) {
  impl_->Post([from, payload = std::move(payload)](Impl& it) {
    it.OnPeerMessage(from, payload);
  });
}

void RequestProxy::PostRangeStoreReply(
    bool ok,
    std::vector<request::KeyRangeRecord> records) {
  impl_->Post([ok, records = std::move(records)](Impl& it) {
    it.OnRangeStoreReply(ok, records);
  });
}

void RequestProxy::PostStop(std::function<void()> done) {
  impl_->Post([done = std::move(done)](Impl& it) { it.Stop(done); });
}

RequestStats RequestProxy::Snapshot() const {
  return impl_->Snapshot();
}

}  // namespace marjoramhall::net
