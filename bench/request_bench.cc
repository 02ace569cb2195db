// CPU time of RequestPlane per request and per tick, without I/O.
#include <benchmark/benchmark.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "src/request/request_plane.h"

namespace marjoramhall::request {
namespace {

config::ControlViewPtr MakeView(size_t services) {
  auto deployment = std::make_shared<config::Deployment>();
  deployment->revision = 1;
  uint32_t next_target = 1;
  for (size_t i = 0; i < services; ++i) {
    config::Service service;
    service.id = static_cast<ServiceId>(i + 1);
    service.kinds.resize(2);
    service.kinds[0].idempotent = true;
    for (int j = 0; j < 14; ++j) {
      config::Target target;
      target.id = static_cast<TargetId>(next_target++);
      target.slots = 3;
      target.domain = "d0";
      service.targets.push_back(target);
    }
    deployment->services.push_back(service);
  }
  auto view = std::make_shared<config::ControlView>();
  view->self = static_cast<VmId>(1);
  view->deployment = deployment;
  view->members.resize(1);
  view->members[0].id = view->self;
  view->members[0].domain = "d0";
  return view;
}

// A single VM, which holds all slots of all services and owns all key ranges.
class OneVm {
 public:
  explicit OneVm(size_t services) {
    plane_ = std::make_unique<RequestPlane>(
        RequestPlaneOptions{}, static_cast<VmId>(1), 1, MakeHooks(),
        [](VmId, PeerChannel, const std::string&) {}, [](const Decision&) {},
        1);
    plane_->OnView(MakeView(services), now_);
    for (int i = 0; i < 300; ++i) {
      now_ += std::chrono::milliseconds(10);
      plane_->OnTick(now_);
      if (std::exchange(store_called_, false)) {
        plane_->OnRangeStoreReply(true, std::exchange(recorded_ranges_, {}),
                                  now_);
      }
    }
  }

  // Handles one request from its header to its answer.
  void Request(const std::string& key) {
    RequestInfo info;
    info.id = ++last_id_;
    info.service = static_cast<ServiceId>(1);
    info.kind = key.empty() ? 0 : 1;
    info.caller = "127.0.0.1";
    info.idempotency_key = key;
    plane_->OnRequest(info, now_);
    if (started_request_ == info.id) {
      AttemptResult result;
      result.outcome = AttemptOutcome::kAnswered;
      result.status = 200;
      plane_->OnAttemptEnd(info.id, 1, result, now_);
    }
    now_ += std::chrono::microseconds(20);
  }

  RequestPlane& plane() { return *plane_; }

 private:
  RequestHooks MakeHooks() {
    RequestHooks hooks;
    hooks.start_attempt = [this](RequestId id, uint32_t, const config::Target&,
                                 Duration) { started_request_ = id; };
    hooks.cancel_attempt = [](RequestId, uint32_t) {};
    hooks.refuse = [](RequestId, const Refusal&) {};
    hooks.replay = [](RequestId, const StoredAnswer&) {};
    hooks.record_ranges = [this](std::vector<KeyRangeRecord> records) {
      recorded_ranges_ = std::move(records);
      store_called_ = true;
    };
    hooks.read_ranges = [this] { store_called_ = true; };
    return hooks;
  }

  TimePoint now_{std::chrono::seconds(1000)};
  std::unique_ptr<RequestPlane> plane_;
  std::vector<KeyRangeRecord> recorded_ranges_;
  bool store_called_ = false;
  RequestId last_id_ = 0;
  RequestId started_request_ = 0;
};

void BmIdempotentRequest(benchmark::State& state) {
  OneVm vm(static_cast<size_t>(state.range(0)));
  for ([[maybe_unused]] auto _ : state) {
    vm.Request("");
  }
  if (vm.plane().Stats().refused_not_run > 0) {
    state.SkipWithError("requests were refused");
  }
}
BENCHMARK(BmIdempotentRequest)->Arg(2)->Arg(100);

void BmKeyedRequest(benchmark::State& state) {
  OneVm vm(2);
  size_t n = 0;
  for ([[maybe_unused]] auto _ : state) {
    vm.Request("key-" + std::to_string(++n));
  }
  if (vm.plane().Stats().answered < n) {
    state.SkipWithError("requests were refused");
  }
}
// Below the limit on stored keys, so that no request is refused.
BENCHMARK(BmKeyedRequest)->Iterations(50000);

void BmTick(benchmark::State& state) {
  OneVm vm(static_cast<size_t>(state.range(0)));
  TimePoint now{std::chrono::seconds(2000)};
  for ([[maybe_unused]] auto _ : state) {
    now += std::chrono::milliseconds(10);
    vm.plane().OnTick(now);
  }
}
BENCHMARK(BmTick)->Arg(2)->Arg(100)->Arg(1000);

}  // namespace
}  // namespace marjoramhall::request
