#include "src/net/request_path.h"

#include <deque>
#include <mutex>
#include <unordered_map>
#include <utility>

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include "src/net/http2_transport.h"
#include "src/net/request_path_exchange.h"
#include "src/net/request_path_match.h"
#include "src/net/request_path_pool.h"

namespace marjoramhall::net {

using request::RequestId;

class RequestPath::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& io,
       RequestPathOptions options,
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
    environment_->pool = &pool_;
    environment_->replay_bytes = options_.replay_bytes;
    environment_->stored_answer_bytes = options_.stored_answer_bytes;
    environment_->attempt_ended = [this](RequestId id, uint32_t attempt,
                                         const request::AttemptResult& result) {
      Core([&] { core_.on_attempt_end(id, attempt, result, SteadyNow()); });
    };
    environment_->caller_gone = [this](RequestId id) {
      Core([&] { core_.on_caller_gone(id, SteadyNow()); });
    };
    environment_->done = [this](RequestId id) { exchanges_.erase(id); };
    environment_->answer_cut = [this] { answers_cut_++; };
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
    Core([&] { core_.on_view(view_, SteadyNow()); });
    pool_.Retain(*view_->deployment);
  }

  void OnPeerMessage(VmId from, const std::string& payload) {
    Core([&] { core_.on_peer_message(from, payload, SteadyNow()); });
  }

  void OnRangeStoreReply(bool ok,
                         const std::vector<request::KeyRangeRecord>& records) {
    Core([&] { core_.on_ranges_recorded(ok, records, SteadyNow()); });
  }

  void Stop(std::function<void()> done) {
    if (stopping_) {
      return;
    }
    stopping_ = true;
    stop_done_ = std::move(done);
    stop_at_ = SteadyNow() + options_.stop_deadline;
    if (listener_) {
      listener_->Shutdown();
    }
    Core([&] { core_.begin_drain(SteadyNow()); });
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
    ops_.clear();
    // Streams that end later find nothing to report to.
    environment_->pool = nullptr;
    environment_->attempt_ended = nullptr;
    environment_->caller_gone = nullptr;
    environment_->done = nullptr;
    environment_->answer_cut = nullptr;
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

  // Runs `event` on the request thread, unless the path is gone by then.
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
  // Runs an event of the core and then what the core asked for meanwhile. The
  // core must not be entered again from its own hooks, so hooks only queue.
  template <typename Event>
  void Core(const Event& event) {
    if (closed_) {
      return;
    }
    event();
    if (running_ops_) {
      return;
    }
    running_ops_ = true;
    while (!ops_.empty()) {
      const auto op = std::move(ops_.front());
      ops_.pop_front();
      op();
    }
    running_ops_ = false;
  }

  // Queues an operation on the exchange, if it still exists then.
  template <typename Op>
  void Queue(RequestId id, Op op) {
    ops_.emplace_back([this, id, op = std::move(op)] {
      const auto it = exchanges_.find(id);
      if (it != exchanges_.end()) {
        const std::shared_ptr<Exchange> exchange = it->second;
        op(*exchange);
      }
    });
  }

  request::RequestHooks CoreHooks() {
    request::RequestHooks hooks;
    hooks.start_attempt = [this](RequestId id, uint32_t attempt,
                                 const config::Target& target,
                                 Duration deadline) {
      Queue(id, [attempt, target, deadline](Exchange& it) {
        it.StartAttempt(attempt, target, deadline);
      });
    };
    hooks.cancel_attempt = [this](RequestId id, uint32_t attempt) {
      Queue(id, [attempt](Exchange& it) { it.CancelAttempt(attempt); });
    };
    hooks.refuse = [this](RequestId id, const request::Refusal& refusal) {
      Queue(id, [refusal](Exchange& it) { it.Refuse(refusal); });
    };
    hooks.replay = [this](RequestId id, const request::StoredAnswer& answer) {
      Queue(id, [answer](Exchange& it) { it.Replay(answer); });
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
      refused_early_++;
      return {};
    }
    if (closed_ || !view_ || view_->deployment->revision == 0) {
      refusal.reason = request::RefusalReason::kNoConfiguration;
      refusal.retry_after = std::chrono::seconds(1);
      return RefuseEarly(session, stream, refusal);
    }
    if (caller_counters_->buffered + target_counters_->buffered >
        options_.max_buffered_bytes) {
      refusal.retry_after = std::chrono::seconds(1);
      return RefuseEarly(session, stream, refusal);
    }
    auto info =
        MatchRequest(*view_->deployment, head,
                     session->peer().address.ToString(), options_.replay_bytes);
    if (!info) {
      refusal.reason = request::RefusalReason::kUnknownService;
      refusal.status = 404;
      return RefuseEarly(session, stream, refusal);
    }
    info->id = ++last_id_;
    auto exchange = std::make_shared<Exchange>(environment_, info->id, session,
                                               stream, std::move(head),
                                               !info->idempotency_key.empty());
    exchanges_.emplace(info->id, exchange);
    Core([&] { core_.on_request(*info, SteadyNow()); });
    return exchange->CallerHooks();
  }

  StreamHooks RefuseEarly(const Http2SessionPtr& session,
                          int32_t stream,
                          const request::Refusal& refusal) {
    refused_early_++;
    session->Respond(stream, RefusalHead(refusal), true);
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
    Core([&] { core_.on_tick(SteadyNow()); });
    PublishStats();
    if (stopping_) {
      const bool drained = core_.is_drained() && exchanges_.empty() &&
                           listener_->sessions() == 0;
      if (drained || SteadyNow() >= stop_at_) {
        FinishStop();
        return;
      }
    }
    timer_.expires_after(options_.tick);
    timer_.async_wait([weak = weak_from_this()](std::error_code ec) {
      const auto self = weak.lock();
      if (self && !ec && !self->closed_) {
        self->Tick();
      }
    });
  }

  void FinishStop() {
    Close();
    if (stop_done_) {
      const auto done = std::move(stop_done_);
      stop_done_ = nullptr;
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
    stats.refused_early = refused_early_;
    stats.answers_cut = answers_cut_;
    const TimePoint now = SteadyNow();
    const bool count = now - counted_at_ >= kCountInterval;
    if (count) {
      counted_at_ = now;
      for (const auto& [id, it] : exchanges_) {
        it->CountAttempts(stats.in_progress);
      }
    }
    const std::lock_guard<std::mutex> lock(stats_mutex_);
    if (!count) {
      stats.in_progress = std::move(stats_.in_progress);
    }
    stats_ = std::move(stats);
  }

  asio::io_context& io_;
  RequestPathOptions options_;
  DecisionHook decide_;
  asio::steady_timer timer_;
  std::shared_ptr<Http2Counters> caller_counters_ =
      std::make_shared<Http2Counters>();
  std::shared_ptr<Http2Counters> target_counters_ =
      std::make_shared<Http2Counters>();
  TargetPool pool_;
  std::shared_ptr<ExchangeEnvironment> environment_ =
      std::make_shared<ExchangeEnvironment>();
  RequestCore core_;
  std::unique_ptr<Http2Listener> listener_;
  config::ControlViewPtr view_;
  std::unordered_map<RequestId, std::shared_ptr<Exchange>> exchanges_;
  std::deque<std::function<void()>> ops_;
  bool running_ops_ = false;
  RequestId last_id_ = 0;
  uint64_t refused_early_ = 0;
  uint64_t answers_cut_ = 0;
  // Counting visits every open request, so it is not done each tick.
  static constexpr Duration kCountInterval = std::chrono::seconds(1);
  TimePoint counted_at_;
  bool stopping_ = false;
  bool closed_ = false;
  TimePoint stop_at_;
  std::function<void()> stop_done_;
  // Held once a tick; never on the path of a request.
  mutable std::mutex stats_mutex_;
  RequestStats stats_;
};

RequestPath::RequestPath(asio::io_context& io,
                         RequestPathOptions options,
                         SendToPeer send,
                         DecisionHook decide)
    : impl_(std::make_shared<Impl>(io,
                                   std::move(options),
                                   std::move(send),
                                   std::move(decide))) {}

RequestPath::~RequestPath() {
  impl_->Close();
}

std::string RequestPath::Open() {
  return impl_->Open();
}

Endpoint RequestPath::local_endpoint() const {
  return impl_->local_endpoint();
}

void RequestPath::PostView(config::ControlViewPtr view) {
  impl_->Post([view = std::move(view)](Impl& it) { it.OnView(view); });
}

void RequestPath::PostPeerMessage(VmId from, std::string payload) {
  impl_->Post([from, payload = std::move(payload)](Impl& it) {
    it.OnPeerMessage(from, payload);
  });
}

void RequestPath::PostRangesRecorded(
    bool ok,
    std::vector<request::KeyRangeRecord> records) {
  impl_->Post([ok, records = std::move(records)](Impl& it) {
    it.OnRangeStoreReply(ok, records);
  });
}

void RequestPath::PostStop(std::function<void()> done) {
  impl_->Post([done = std::move(done)](Impl& it) { it.Stop(done); });
}

RequestStats RequestPath::Snapshot() const {
  return impl_->Snapshot();
}

}  // namespace marjoramhall::net
