// Requests per second and latency of a direct HTTP/2 connection to a target,
// and through RequestProxy with the request plane. Client, RequestProxy and
// target each run on their own thread. The argument is the number of requests
// in flight.
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
#include "src/net/request_proxy.h"

namespace marjoramhall::net {
namespace {

constexpr int kBatchSize = 2000;
const Endpoint kAnyPort{IpAddress::FromV4(0x7f000001), 0};

// An io_context on its own thread. Objects that use it are created and
// destroyed in Run().
class IoThread {
 public:
  IoThread()
      : guard_(asio::make_work_guard(io_)), thread_([this] { io_.run(); }) {}
  ~IoThread() {
    guard_.reset();
    io_.stop();
    thread_.join();
  }
  IoThread(const IoThread&) = delete;
  IoThread& operator=(const IoThread&) = delete;

  // Runs `work` on the thread and waits for it.
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

// A target that answers each request immediately with 256 bytes.
class Target {
 public:
  Target() {
    io_thread_.Run([this] {
      listener_ = std::make_unique<Http2Listener>(
          io_thread_.io(), Http2Limits{}, 1000,
          std::make_shared<Http2Counters>(), [] {
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
    io_thread_.Run([this] { listener_.reset(); });
  }
  Target(const Target&) = delete;
  Target& operator=(const Target&) = delete;
  Endpoint local_endpoint() const { return listener_->local_endpoint(); }

 private:
  IoThread io_thread_;
  std::unique_ptr<Http2Listener> listener_;
};

// A VM with only the request plane, which knows one target.
class Proxy {
 public:
  explicit Proxy(const Endpoint& target) {
    RequestProxyOptions options;
    options.listen = kAnyPort;
    options.self = VmId{1};
    options.incarnation = 1;
    io_thread_.Run([&] {
      proxy_ = std::make_unique<RequestProxy>(
          io_thread_.io(), options,
          [](VmId, PeerChannel, const std::string&) {}, [](const Decision&) {});
      proxy_->Open();
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
    proxy_->PostView(view);
    for (int i = 0; i < 500 && proxy_->Snapshot().core.slots_held < 256; ++i) {
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
  }
  ~Proxy() {
    io_thread_.Run([this] { proxy_.reset(); });
  }
  Proxy(const Proxy&) = delete;
  Proxy& operator=(const Proxy&) = delete;
  Endpoint local_endpoint() const { return proxy_->local_endpoint(); }

 private:
  IoThread io_thread_;
  std::unique_ptr<RequestProxy> proxy_;
};

// A client that keeps `in_flight` requests open on one connection and measures
// the latency of each.
class Client {
 public:
  explicit Client(const Endpoint& to) {
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
  ~Client() {
    if (session_) {
      session_->Close();
    }
    io_.restart();
    io_.run_for(std::chrono::milliseconds(5));
  }
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  // Sends kBatchSize requests. Returns false if one was not answered with 200.
  bool RunBatch(int in_flight) {
    to_send_ = kBatchSize;
    in_flight_ = 0;
    failed_ = session_ == nullptr;
    for (int i = 0; i < in_flight && !failed_; ++i) {
      Send();
    }
    while (in_flight_ > 0 && !failed_) {
      io_.restart();
      failed_ = io_.run_one_for(std::chrono::seconds(5)) == 0 || failed_;
    }
    return !failed_;
  }
  std::vector<double>& latencies_us() { return latencies_us_; }

 private:
  void Send() {
    if (to_send_ == 0 || failed_) {
      return;
    }
    to_send_--;
    in_flight_++;
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
      latencies_us_.push_back(
          static_cast<double>((SteadyNow() - start).count()));
      failed_ = failed_ || !*ok || end != StreamEnd::kComplete;
      in_flight_--;
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
  int to_send_ = 0;
  int in_flight_ = 0;
  std::vector<double> latencies_us_;
};

void Measure(benchmark::State& state, const Endpoint& to) {
  Client client(to);
  for (auto _ : state) {
    if (!client.RunBatch(static_cast<int>(state.range(0)))) {
      state.SkipWithError("a request was not answered");
      break;
    }
  }
  auto& us = client.latencies_us();
  if (us.empty()) {
    return;
  }
  std::sort(us.begin(), us.end());
  state.counters["p50_us"] = us[us.size() / 2];
  state.counters["p99_us"] = us[us.size() * 99 / 100];
  state.SetItemsProcessed(state.iterations() * kBatchSize);
}

void BmDirect(benchmark::State& state) {
  const Target target;
  Measure(state, target.local_endpoint());
}
BENCHMARK(BmDirect)->Arg(1)->Arg(16)->Arg(64)->UseRealTime();

void BmRequestProxy(benchmark::State& state) {
  const Target target;
  const Proxy proxy(target.local_endpoint());
  Measure(state, proxy.local_endpoint());
}
BENCHMARK(BmRequestProxy)->Arg(1)->Arg(16)->Arg(64)->UseRealTime();

}  // namespace
}  // namespace marjoramhall::net
