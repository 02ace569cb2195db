// Composition of `marjoramhall forward`.
//
// The calling thread holds the control state: targets, configuration, signals,
// and answers readiness checks, metrics and snapshots. One thread forwards
// packets, one follows the platform's store. They exchange immutable views and
// decoded changes, posted to the other thread.
#include "src/app/forward_process.h"

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <atomic>
#include <charconv>
#include <chrono>
#include <csignal>
#include <mutex>
#include <optional>
#include <random>
#include <string_view>
#include <utility>

#include "platform/packet_codec.h"
#include "platform/readiness_path.h"
#include "src/app/forward_metrics.h"
#include "src/app/stop_condition.h"
#include "src/app/store_thread.h"
#include "src/discovery/snapshot_codec.h"
#include "src/discovery/target_registry.h"
#include "src/net/packet_path.h"
#include "src/net/peer_announcer.h"
#include "src/net/snapshot_client.h"
#include "src/net/status_server.h"
#include "src/observe/decision_log.h"
#include "src/observe/log_budget.h"
#include "src/observe/metrics.h"
#include "src/settings/load.h"

namespace marjoramhall::app {
namespace {

constexpr auto kTickInterval = std::chrono::milliseconds(250);
// Also bounds how often left-out lines are reported.
constexpr auto kLogInterval = std::chrono::seconds(2);
constexpr auto kStopInterval = std::chrono::milliseconds(20);
// Lines that wait for the log's thread, about 400 bytes each.
constexpr size_t kLogLines = 512;

constexpr char kMetricsPath[] = "/metrics";

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

net::PeerAnnouncerOptions PeerAnnouncerOptions(
    const settings::Settings& settings) {
  net::PeerAnnouncerOptions options;
  options.listen = settings.forward.announce;
  options.snapshot_port = settings.forward.peers.port;
  options.seeds = settings.forward.seeds;
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

  std::string Open();
  int Run();

 private:
  StoreThreadHooks StoreHooks();
  std::vector<Endpoint> Peers() const;
  void OnListing(const discovery::Listing& listing);
  void OnChanges(const std::vector<discovery::StoreChange>& changes,
                 uint64_t revision);
  void OnReachable(bool reachable, discovery::ReadStatus status);
  void Publish();
  void WaitForSignal();
  void BeginStop();
  void EndWhenQuiet();
  void Reload();
  void Tick();
  void MaintainLog();
  DecisionHook TargetHook();
  net::PacketPath::Hooks PathHooks();
  ForwardGauges Gauges();
  std::vector<net::StatusRoute> PeerPages();
  net::StatusResponse Readiness();
  net::StatusResponse SnapshotPage(const net::QueryParameter& query);

  // Control thread only, except where stated.
  const settings::Settings settings_;
  const std::filesystem::path file_;
  observe::DecisionLog log_;  // any thread
  asio::io_context io_;
  asio::signal_set signals_;
  asio::steady_timer tick_timer_;
  asio::steady_timer log_timer_;
  asio::steady_timer stop_timer_;
  observe::LogBudget target_lines_{{}};
  discovery::TargetRegistry registry_;
  observe::MetricsRegistry metrics_;
  net::PacketPath path_;
  net::StatusServer status_;
  net::StatusServer peers_;
  net::PeerAnnouncer announcer_;
  bool ready_ = false;
  std::optional<StopCondition> stop_;  // set: readiness is withdrawn
  uint64_t unlogged_reported_ = 0;
  std::string snapshot_;  // of the registry at snapshot_revision_
  uint64_t snapshot_revision_ = 0;
  std::atomic<Duration::rep> confirmed_at_{0};  // of SteadyNow(), any thread

  mutable std::mutex mutex_;
  std::vector<Endpoint> seeds_;  // of the settings read last; guarded by mutex_

  std::optional<StoreThread> store_;  // ends first: it uses what is above
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
      registry_(RegistryOptions(chosen), TargetHook()),
      path_(PathOptions(chosen), platform::MakePacketCodec(), PathHooks()),
      status_(io_,
              chosen.forward.status,
              {{platform::kReadyPath,
                [this](const net::QueryParameter&) { return Readiness(); }}}),
      peers_(io_, chosen.forward.peers, PeerPages()),
      announcer_(io_,
                 PeerAnnouncerOptions(chosen),
                 [this] { return registry_.revision(); }),
      seeds_(chosen.forward.seeds) {
  AddForwardMetrics(
      metrics_, [this] { return path_.Snapshot(); }, Gauges());
}

std::vector<net::StatusRoute> ForwardProcess::Impl::PeerPages() {
  return {{net::kSnapshotPath,
           [this](const net::QueryParameter& query) {
             return SnapshotPage(query);
           }},
          {kMetricsPath, [this](const net::QueryParameter&) {
             return net::StatusResponse{kStatusOk, metrics_.Render()};
           }}};
}

// All targets change at once when a VM starts or a service is released.
DecisionHook ForwardProcess::Impl::TargetHook() {
  return [this, write = log_.Hook()](const Decision& it) {
    const bool joined = it.outcome == NameOf(forward::TargetState::kActive);
    if (it.kind != DecisionKind::kTargetHealth ||
        target_lines_.Admit(!joined, SteadyNow())) {
      write(it);
    }
  };
}

net::PacketPath::Hooks ForwardProcess::Impl::PathHooks() {
  observe::Histogram& responses = metrics_.AddHistogram(
      "marjoramhall_forward_response_seconds",
      "Time from a request to the begin of its response.",
      {0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0});
  return {log_.Hook(), [&responses](Duration span) {
            responses.Record(std::chrono::duration<double>(span).count());
          }};
}

ForwardGauges ForwardProcess::Impl::Gauges() {
  return {[this] { return static_cast<double>(registry_.config_version()); },
          [this] {
            const Duration age =
                SteadyNow().time_since_epoch() - Duration(confirmed_at_.load());
            return std::chrono::duration<double>(age).count();
          },
          [this] { return static_cast<double>(registry_.target_count()); },
          [this] { return ready_ && !stop_ ? 1.0 : 0.0; }};
}

std::string ForwardProcess::Impl::Open() {
  const auto store = StoreEndpoint(settings_.store.url);
  if (!store) {
    return "[store] url: expected http://IP:PORT";
  }
  for (const std::string& error : {log_.Open(), path_.Open(), status_.Open(),
                                   peers_.Open(), announcer_.Open()}) {
    if (!error.empty()) {
      return error;
    }
  }
  log_.WriteMessage(LogLevel::kInfo, "started, version " MARJORAMHALL_VERSION);
  StoreThreadOptions options;
  options.store = *store;
  options.own_snapshot = settings_.forward.peers;
  options.change_bound = settings_.forward.TightestBound();
  options.seed = RandomSeed();
  store_.emplace(options, StoreHooks());
  store_->Start();
  return "";
}

StoreThreadHooks ForwardProcess::Impl::StoreHooks() {
  StoreThreadHooks hooks;
  hooks.on_listing = [this](discovery::Listing listing) {
    asio::post(io_,
               [this, listing = std::move(listing)] { OnListing(listing); });
  };
  hooks.on_changes = [this](std::vector<discovery::StoreChange> changes,
                            uint64_t revision) {
    asio::post(io_, [this, changes = std::move(changes), revision] {
      OnChanges(changes, revision);
    });
  };
  hooks.on_confirmed = [this](TimePoint at) {
    confirmed_at_ = at.time_since_epoch().count();
    path_.PostViewConfirmed(at);
  };
  hooks.on_reachable = [this](bool reachable, discovery::ReadStatus status) {
    asio::post(io_,
               [this, reachable, status] { OnReachable(reachable, status); });
  };
  hooks.on_call = AddStoreMetrics(metrics_);
  hooks.peers = [this] { return Peers(); };
  return hooks;
}

std::vector<Endpoint> ForwardProcess::Impl::Peers() const {
  std::vector<Endpoint> peers = announcer_.RecentPeers();
  const std::lock_guard lock(mutex_);
  peers.insert(peers.end(), seeds_.begin(), seeds_.end());
  return peers;
}

void ForwardProcess::Impl::OnListing(const discovery::Listing& listing) {
  registry_.ApplyListing(listing, SteadyNow());
  Publish();
}

void ForwardProcess::Impl::OnChanges(
    const std::vector<discovery::StoreChange>& changes,
    uint64_t revision) {
  if (registry_.ApplyChanges(changes, revision, SteadyNow())) {
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
    log_.WriteMessage(LogLevel::kInfo, "ready");
  }
}

net::StatusResponse ForwardProcess::Impl::Readiness() {
  if (stop_) {
    stop_->OnRefusal();
  }
  return ready_ && !stop_
             ? net::StatusResponse{kStatusOk, "ready\n"}
             : net::StatusResponse{kStatusUnavailable, "not ready\n"};
}

net::StatusResponse ForwardProcess::Impl::SnapshotPage(
    const net::QueryParameter& query) {
  const std::string text = query(net::kNewerThanParameter);
  uint64_t newer_than = 0;
  std::from_chars(text.data(), text.data() + text.size(), newer_than);
  if (registry_.config_version() == 0) {
    return {kStatusUnavailable, ""};
  }
  if (registry_.revision() <= newer_than) {
    return {kStatusOk, ""};
  }
  if (snapshot_revision_ != registry_.revision()) {
    snapshot_ = discovery::EncodeSnapshot(registry_.Snapshot());
    snapshot_revision_ = registry_.revision();
  }
  return {kStatusOk, snapshot_};
}

int ForwardProcess::Impl::Run() {
  WaitForSignal();
  Tick();
  MaintainLog();
  io_.run();
  log_.WriteMessage(LogLevel::kInfo, "stopped");
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
  if (stop_) {
    return;
  }
  log_.WriteMessage(LogLevel::kInfo, "stopping: readiness withdrawn");
  stop_.emplace(StopOptions{}, path_.Snapshot().counters.packets, SteadyNow());
  EndWhenQuiet();
}

void ForwardProcess::Impl::EndWhenQuiet() {
  if (stop_->MayEnd(path_.Snapshot().counters.packets, SteadyNow())) {
    io_.stop();
    return;
  }
  stop_timer_.expires_after(kStopInterval);
  stop_timer_.async_wait([this](const std::error_code&) { EndWhenQuiet(); });
}

void ForwardProcess::Impl::Reload() {
  const settings::LoadResult loaded = settings::Load(file_);
  for (const auto& it : loaded.errors) {
    log_.WriteMessage(LogLevel::kError, "reload refused: " + it.Text());
  }
  if (!loaded.errors.empty()) {
    return;
  }
  announcer_.SetSeeds(loaded.settings.forward.seeds);
  log_.WriteMessage(
      LogLevel::kInfo,
      "reloaded: " + std::to_string(loaded.settings.forward.seeds.size()) +
          " seeds in force, other settings from the next start on");
  const std::lock_guard lock(mutex_);
  seeds_ = loaded.settings.forward.seeds;
}

void ForwardProcess::Impl::Tick() {
  store_->EndOverdueCall();
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
  const uint64_t unlogged_decisions = path_.Snapshot().unlogged_decisions;
  const uint64_t missing =
      unlogged_decisions - unlogged_reported_ + target_lines_.TakeDenied();
  unlogged_reported_ = unlogged_decisions;
  if (missing > 0) {
    log_.WriteMessage(LogLevel::kInfo,
                      std::to_string(missing) +
                          " decisions were not logged, to bound the volume");
  }
  log_.ReportDropsAndFlush();
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
