// Composition of `marjoramhall forward`.
//
// The calling thread holds the control state: targets, configuration, signals.
// One thread forwards packets, one follows the platform's store. They exchange
// immutable views and decoded changes, posted to the other thread.
#include "src/app/forward_process.h"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <atomic>
#include <chrono>
#include <csignal>
#include <optional>
#include <random>
#include <string_view>
#include <thread>
#include <utility>

#include "platform/packet_codec.h"
#include "platform/ready_paths.h"
#include "platform/store_api.h"
#include "src/discovery/store_follower.h"
#include "src/discovery/target_registry.h"
#include "src/net/packet_path.h"
#include "src/net/status_server.h"
#include "src/observe/decision_log.h"
#include "src/settings/load.h"

namespace marjoramhall::app {
namespace {

constexpr auto kTickInterval = std::chrono::milliseconds(250);
constexpr auto kLogInterval = std::chrono::seconds(1);
// The fabric asks for readiness twice a second and turns away after two
// misses; the rest is for packets on their way.
constexpr auto kStopDelay = std::chrono::milliseconds(2500);
// Lines that wait for the log's thread, about 400 bytes each.
constexpr size_t kLogLines = 512;

constexpr int kStatusOk = 200;
constexpr int kStatusUnavailable = 503;

uint64_t RandomSeed() {
  std::random_device device;
  return (uint64_t{device()} << 32) | device();
}

observe::DecisionLogOptions LogOptions(const settings::Settings& settings) {
  observe::DecisionLogOptions options;
  options.vm = settings.vm.name;
  options.path = settings.log.path;
  options.standard_output = true;
  options.level = settings.log.level;
  options.decisions = settings.log.decisions;
  options.queue_lines = kLogLines;
  return options;
}

net::PacketPathOptions PathOptions(const settings::Settings& settings) {
  net::PacketPathOptions options;
  options.listen = settings.forward.listen;
  options.client_port = settings.forward.listen.port;
  options.forwarder.seed = RandomSeed();
  return options;
}

discovery::RegistryOptions RegistryOptions(const settings::Settings& settings) {
  discovery::RegistryOptions options;
  options.failure_domain = settings.vm.failure_domain;
  return options;
}

// "http://127.0.0.1:7000" as an endpoint; nothing for another text.
std::optional<Endpoint> StoreEndpoint(std::string_view url) {
  constexpr std::string_view kScheme = "http://";
  if (!url.starts_with(kScheme)) {
    return std::nullopt;
  }
  return Endpoint::Parse(url.substr(kScheme.size()));
}

}  // namespace

struct ForwardProcess::Impl {
  Impl(const settings::Settings& chosen, std::filesystem::path file);
  ~Impl();

  std::string Open();
  int Run();

 private:
  void StartFollower(const Endpoint& store);
  void OnListing(std::vector<discovery::StoreChange> items, uint64_t revision);
  void OnChanges(std::vector<discovery::StoreChange> changes);
  void OnReachable(bool reachable, discovery::ReadStatus status);
  void Publish();
  void WaitForSignal();
  void BeginStop();
  void Reload();
  void Tick();
  void MaintainLog();
  net::StatusPage Readiness() const;

  const settings::Settings settings_;
  const std::filesystem::path file_;
  observe::DecisionLog log_;
  asio::io_context io_;
  asio::signal_set signals_;
  asio::steady_timer tick_timer_;
  asio::steady_timer log_timer_;
  asio::steady_timer stop_timer_;
  discovery::TargetRegistry registry_;
  net::PacketPath path_;
  std::unique_ptr<platform::StoreApi> store_;
  std::unique_ptr<discovery::StoreFollower> follower_;
  net::StatusServer status_;
  std::thread follower_thread_;

  // Set by the control thread, read by all.
  std::atomic<bool> ready_{false};
  std::atomic<bool> stopping_{false};
};

ForwardProcess::Impl::Impl(const settings::Settings& chosen,
                           std::filesystem::path file)
    : settings_(chosen),
      file_(std::move(file)),
      log_(LogOptions(chosen)),
      signals_(io_, SIGTERM, SIGINT, SIGHUP),
      tick_timer_(io_),
      log_timer_(io_),
      stop_timer_(io_),
      registry_(RegistryOptions(chosen), log_.Hook()),
      path_(PathOptions(chosen), platform::MakePacketCodec(), log_.Hook()),
      status_(chosen.forward.status,
              {{platform::kReadyPath, [this] { return Readiness(); }}}) {}

ForwardProcess::Impl::~Impl() {
  stopping_ = true;
  if (store_) {
    store_->Stop();
  }
  if (follower_thread_.joinable()) {
    follower_thread_.join();
  }
}

std::string ForwardProcess::Impl::Open() {
  const auto store = StoreEndpoint(settings_.store.url);
  if (!store) {
    return "[store] url: expected http://IP:PORT";
  }
  for (const std::string& error : {log_.Open(), path_.Open(), status_.Open()}) {
    if (!error.empty()) {
      return error;
    }
  }
  log_.Message(LogLevel::kInfo, "started, version " MARJORAMHALL_VERSION);
  StartFollower(*store);
  return "";
}

void ForwardProcess::Impl::StartFollower(const Endpoint& store) {
  platform::StoreApiOptions api;
  api.address = store;
  store_ = std::make_unique<platform::StoreApi>(std::move(api));
  discovery::FollowerOptions options;
  options.seed = RandomSeed();
  discovery::StoreFollower::Hooks hooks;
  hooks.on_listing = [this](std::vector<discovery::StoreChange> items,
                            uint64_t revision) {
    asio::post(io_, [this, items = std::move(items), revision]() mutable {
      OnListing(std::move(items), revision);
    });
  };
  hooks.on_changes = [this](std::vector<discovery::StoreChange> changes) {
    asio::post(io_, [this, changes = std::move(changes)]() mutable {
      OnChanges(std::move(changes));
    });
  };
  hooks.on_reachable = [this](bool reachable, discovery::ReadStatus status) {
    asio::post(io_,
               [this, reachable, status] { OnReachable(reachable, status); });
  };
  hooks.sleep = [](Duration span) { std::this_thread::sleep_for(span); };
  hooks.stopping = [this] { return stopping_.load(); };
  follower_ = std::make_unique<discovery::StoreFollower>(
      options, store_->Reader(), std::move(hooks));
  follower_thread_ = std::thread([this] { follower_->Run(); });
}

void ForwardProcess::Impl::OnListing(std::vector<discovery::StoreChange> items,
                                     uint64_t revision) {
  registry_.ApplyListing(items, revision, SteadyNow());
  Publish();
}

void ForwardProcess::Impl::OnChanges(
    std::vector<discovery::StoreChange> changes) {
  bool changed = false;
  for (const discovery::StoreChange& it : changes) {
    changed |= registry_.Apply(it, SteadyNow());
  }
  if (changed) {
    Publish();
  }
}

void ForwardProcess::Impl::OnReachable(bool reachable,
                                       discovery::ReadStatus status) {
  Decision decision;
  decision.kind = DecisionKind::kMembership;
  decision.revision = registry_.config_version();
  decision.outcome = reachable ? "store-regained" : "store-lost";
  decision.reason = NameOf(status);
  log_.Write(decision);
}

void ForwardProcess::Impl::Publish() {
  path_.PostView(registry_.MakeView());
  if (!ready_ && registry_.config_version() > 0 &&
      registry_.target_count() > 0) {
    ready_ = true;
    log_.Message(LogLevel::kInfo, "ready");
  }
}

net::StatusPage ForwardProcess::Impl::Readiness() const {
  const bool ready = ready_ && !stopping_;
  return {ready ? kStatusOk : kStatusUnavailable,
          ready ? "ready\n" : "not ready\n"};
}

int ForwardProcess::Impl::Run() {
  WaitForSignal();
  Tick();
  MaintainLog();
  io_.run();
  log_.Message(LogLevel::kInfo, "stopped");
  return 0;
}

void ForwardProcess::Impl::WaitForSignal() {
  signals_.async_wait([this](const std::error_code& ec, int signal) {
    if (ec) {
      return;
    }
    if (signal == SIGHUP) {
      Reload();
    } else {
      BeginStop();
    }
    WaitForSignal();
  });
}

void ForwardProcess::Impl::BeginStop() {
  if (stopping_.exchange(true)) {
    return;
  }
  log_.Message(LogLevel::kInfo, "stopping: readiness withdrawn");
  stop_timer_.expires_after(kStopDelay);
  stop_timer_.async_wait([this](const std::error_code&) { io_.stop(); });
}

void ForwardProcess::Impl::Reload() {
  const settings::LoadResult loaded = settings::Load(file_);
  for (const auto& it : loaded.errors) {
    log_.Message(LogLevel::kError, "reload refused: " + it.Text());
  }
  if (loaded.errors.empty()) {
    log_.Message(LogLevel::kInfo, "reloaded: settings take effect at a start");
  }
}

void ForwardProcess::Impl::Tick() {
  if (registry_.Tick(SteadyNow())) {
    Publish();
  }
  tick_timer_.expires_after(kTickInterval);
  tick_timer_.async_wait([this](const std::error_code& ec) {
    if (!ec) {
      Tick();
    }
  });
}

void ForwardProcess::Impl::MaintainLog() {
  log_.Maintain();
  log_timer_.expires_after(kLogInterval);
  log_timer_.async_wait([this](const std::error_code& ec) {
    if (!ec) {
      MaintainLog();
    }
  });
}

ForwardProcess::ForwardProcess(const settings::Settings& settings,
                               std::filesystem::path file)
    : impl_(std::make_unique<Impl>(settings, std::move(file))) {}

ForwardProcess::~ForwardProcess() = default;

std::string ForwardProcess::Open() {
  return impl_->Open();
}

int ForwardProcess::Run() {
  return impl_->Run();
}

}  // namespace marjoramhall::app
