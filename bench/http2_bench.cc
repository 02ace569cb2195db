// Requests per second and latency over a direct HTTP/2 connection to a target
// and through RequestPath with the real core. Caller, request path and target
// each run on a thread of their own, as in the process. The argument is the
// number of requests in flight.
#include <benchmark/benchmark.h>

#include <algorithm>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>

#include "src/net/http2_transport.h"
#include "src/net/request_path.h"

namespace marjoramhall::net {
namespace {

constexpr int kBatch = 2000;
const Endpoint kAnyPort{IpAddress::FromV4(0x7f000001), 0};

// An io_context on its own thread. Objects on it are made and destroyed by
// Run().
class Loop {
 public:
  Loop() : guard_(asio::make_work_guard(io_)), thread_([this] { io_.run(); }) {}
  ~Loop() {
    guard_.reset();
    io_.stop();
    thread_.join();
  }
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  template <typename Work>
  void Run(Work work) {
    std::promise<void> done;
    asio::post(io_, [&] {
      work();
      done.set_value();
    });
    done.get_future().wait();
  }
  asio::io_context& io() { return io_; }

 private:
  asio::io_context io_;
  asio::executor_work_guard<asio::io_context::executor_type> guard_;
  std::thread thread_;
};

// A target that answers each request at once with 256 bytes.
class Target {
 public:
  Target() {
    loop_.Run([this] {
      listener_ = std::make_unique<Http2Listener>(
          loop_.io(), Http2Limits{}, 1000, std::make_shared<Http2Counters>(),
          [] {
            SessionHooks hooks;
            hooks.on_request = [](const Http2SessionPtr& session,
                                  int32_t stream, const MessageHead&) {
              session->Respond(stream, {{":status", "200"}}, false);
              session->Write(stream, std::string(256, 'a'));
              session->Finish(stream);
              return StreamHooks{};
            };
            return hooks;
          });
      listener_->Open(kAnyPort);
    });
  }
  ~Target() {
    loop_.Run([this] { listener_.reset(); });
  }
  Target(const Target&) = delete;
  Target& operator=(const Target&) = delete;
  Endpoint local() const { return listener_->local_endpoint(); }

 private:
  Loop loop_;
  std::unique_ptr<Http2Listener> listener_;
};

class Path {
 public:
  explicit Path(const Endpoint& target) {
    RequestPathOptions options;
    options.listen = kAnyPort;
    options.self = VmId{1};
    options.incarnation = 1;
    loop_.Run([&] {
      path_ = std::make_unique<RequestPath>(
          loop_.io(), options, [](VmId, PeerChannel, const std::string&) {},
          [](const Decision&) {});
      path_->Open();
    });
    auto deployment = std::make_shared<config::Deployment>();
    deployment->lineage = "bench";
    deployment->revision = 1;
    config::Service service;
    service.id = ServiceId{1};
    service.host = "bench.test";
    service.kinds = {{}};
    service.kinds[0].idempotent = true;
    config::Target it;
    it.id = TargetId{1};
    it.request_endpoint = target;
    it.slots = 512;
    service.targets = {it};
    deployment->services = {service};
    auto view = std::make_shared<config::ControlView>();
    view->number = 1;
    view->self = VmId{1};
    view->deployment = deployment;
    view->members.emplace_back().id = VmId{1};
    path_->PostView(view);
    for (int i = 0; i < 500 && path_->Snapshot().core.slots_held < 256; ++i) {
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
  }
  ~Path() {
    loop_.Run([this] { path_.reset(); });
  }
  Path(const Path&) = delete;
  Path& operator=(const Path&) = delete;
  Endpoint local() const { return path_->local_endpoint(); }

 private:
  Loop loop_;
  std::unique_ptr<RequestPath> path_;
};

// Keeps `in_flight` requests open on one connection and times each.
class Caller {
 public:
  explicit Caller(const Endpoint& to) {
    ConnectHttp2(io_, to, std::chrono::seconds(5), Http2Limits{},
                 std::make_shared<Http2Counters>(), {},
                 [this](const Http2SessionPtr& it, const std::string&) {
                   session_ = it;
                   connected_ = true;
                 });
    while (!connected_) {
      io_.run_one_for(std::chrono::seconds(5));
    }
  }
  ~Caller() {
    if (session_) {
      session_->Close();
    }
    io_.restart();
    io_.run_for(std::chrono::milliseconds(5));
  }
  Caller(const Caller&) = delete;
  Caller& operator=(const Caller&) = delete;

  // False when a request was not answered with 200.
  bool RunBatch(int in_flight) {
    left_ = kBatch;
    open_ = 0;
    failed_ = session_ == nullptr;
    for (int i = 0; i < in_flight && !failed_; ++i) {
      Send();
    }
    while (open_ > 0 && !failed_) {
      io_.restart();
      failed_ = io_.run_one_for(std::chrono::seconds(5)) == 0 || failed_;
    }
    return !failed_;
  }
  std::vector<double>& microseconds() { return microseconds_; }

 private:
  void Send() {
    if (left_ == 0 || failed_) {
      return;
    }
    left_--;
    open_++;
    const TimePoint start = SteadyNow();
    auto ok = std::make_shared<bool>(false);
    auto id = std::make_shared<int32_t>(0);
    StreamHooks hooks;
    hooks.on_head = [ok](const MessageHead& head) {
      *ok = FieldOf(head.fields, ":status") == "200";
    };
    hooks.on_body = [this, id](std::string_view data) {
      session_->Consume(*id, data.size());
    };
    hooks.on_close = [this, ok, start](StreamEnd end, uint32_t) {
      microseconds_.push_back(
          static_cast<double>((SteadyNow() - start).count()));
      failed_ = failed_ || !*ok || end != StreamEnd::kComplete;
      open_--;
      Send();
    };
    *id = session_->Open({{":method", "GET"},
                          {":scheme", "http"},
                          {":authority", "bench.test"},
                          {":path", "/"}},
                         true, std::move(hooks));
    failed_ = failed_ || *id == 0;
  }

  asio::io_context io_;
  Http2SessionPtr session_;
  bool connected_ = false;
  bool failed_ = false;
  int left_ = 0;
  int open_ = 0;
  std::vector<double> microseconds_;
};

void Measure(benchmark::State& state, const Endpoint& to) {
  Caller caller(to);
  for (auto _ : state) {
    if (!caller.RunBatch(static_cast<int>(state.range(0)))) {
      state.SkipWithError("a request was not answered");
      break;
    }
  }
  auto& us = caller.microseconds();
  if (us.empty()) {
    return;
  }
  std::sort(us.begin(), us.end());
  state.counters["p50_us"] = us[us.size() / 2];
  state.counters["p99_us"] = us[us.size() * 99 / 100];
  state.SetItemsProcessed(state.iterations() * kBatch);
}

void BmDirect(benchmark::State& state) {
  const Target target;
  Measure(state, target.local());
}
BENCHMARK(BmDirect)->Arg(1)->Arg(16)->Arg(64)->UseRealTime();

void BmRequestPath(benchmark::State& state) {
  const Target target;
  const Path path(target.local());
  Measure(state, path.local());
}
BENCHMARK(BmRequestPath)->Arg(1)->Arg(16)->Arg(64)->UseRealTime();

}  // namespace
}  // namespace marjoramhall::net
