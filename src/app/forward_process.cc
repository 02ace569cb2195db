// Connects the parts of `marjoramhall forward`.
//
// The calling thread (control thread) owns the targets and the configuration,
// handles signals, and answers requests for readiness, metrics, snapshots and
// changes. A second thread forwards packets, and a third follows the platform's
// store. The threads exchange immutable views and decoded changes by posting
// them.
#include "src/app/forward_process.h"

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <csignal>
#include <mutex>
#include <optional>
#include <utility>

#include "platform/packet_codec.h"
#include "platform/readiness_path.h"
#include "src/app/discovery_log.h"
#include "src/app/forward_metrics.h"
#include "src/app/forward_options.h"
#include "src/app/relay_service.h"
#include "src/app/stop_condition.h"
#include "src/app/store_thread.h"
#include "src/discovery/target_registry.h"
#include "src/forward/traffic_share.h"
#include "src/net/packet_path.h"
#include "src/net/peer_announcer.h"
#include "src/net/relay_client.h"
#include "src/net/snapshot_client.h"
#include "src/net/status_server.h"
#include "src/observe/decision_log.h"
#include "src/observe/log_rate_limiter.h"
#include "src/observe/metrics.h"
#include "src/settings/load.h"

namespace marjoramhall::app {
namespace {

constexpr auto kTickInterval = std::chrono::milliseconds(250);
// Also the interval between two reports of unlogged decisions.
constexpr auto kLogInterval = std::chrono::seconds(2);
constexpr auto kStopPollInterval = std::chrono::milliseconds(20);

// Followers of a relay: a third of the largest fleet (760 VMs), and twice that
// while another of the three seeds is down.
constexpr size_t kMaxPeerConnections = 600;
// Longer than the interval at which a follower polls.
constexpr auto kPeerKeepAlive = std::chrono::seconds(5);

constexpr char kMetricsPath[] = "/metrics";

constexpr int kHttpOk = 200;
constexpr int kHttpUnavailable = 503;

}  // namespace

struct ForwardProcess::Impl {
  Impl(const settings::Settings& settings, std::filesystem::path file);

  std::string Open();
  int Run();

 private:
  StoreThreadHooks MakeStoreHooks();
  std::vector<Endpoint> SnapshotPeers() const;
  std::vector<Endpoint> Seeds() const;
  void OnListing(const discovery::Listing& listing,
                 discovery::UpdateSource source);
  void OnChanges(const std::vector<discovery::StoreChange>& changes,
                 StorePosition position,
                 discovery::UpdateSource source);
  // Logs by which call this VM learnt of the changes that follow in the log.
  void LogUpdate(discovery::UpdateSource source,
                 StorePosition position,
                 size_t entries) const;
  void OnConfirmed(TimePoint boot_time);
  void PublishView();
  void WaitForSignal();
  void BeginStop();
  void ExitWhenQuiet();
  void ReloadSettings();
  void Tick();
  // Adds the load of this VM to that of its peers.
  FleetLoad WithThisVm(FleetLoad peers) const;
  void UpdateTrafficShare();
  void MaintainLog();
  DecisionHook MakeTargetHook();
  net::PacketPath::Hooks MakePathHooks();
  ForwardGauges MakeGauges();
  RelayService::Hooks MakeRelayHooks();
  std::vector<net::StatusRoute> MakePeerRoutes();
  net::StatusResponse AnswerReadiness();

  // Used on the control thread only, unless stated otherwise.
  const settings::Settings settings_;
  const std::filesystem::path file_;
  observe::DecisionLog log_;  // thread-safe
  const DecisionHook log_hook_ = log_.Hook();
  asio::io_context io_;
  asio::signal_set signals_;
  asio::steady_timer tick_timer_;
  asio::steady_timer log_timer_;
  asio::steady_timer stop_timer_;
  observe::LogRateLimiter target_log_limiter_{{}};
  discovery::TargetRegistry registry_;
  observe::MetricsRegistry metrics_;
  RelayService relay_;
  forward::TrafficShare traffic_share_{{}};
  net::PacketPath path_;
  net::StatusServer status_server_;
  net::StatusServer peer_server_;
  net::PeerAnnouncer announcer_;
  const uint64_t seed_choice_ = RandomSeed();
  bool ready_ = false;
  std::optional<StopCondition> stop_condition_;  // set while stopping
  uint64_t reported_unlogged_decisions_ = 0;
  // When the store last confirmed the view, in SteadyNow().
  TimePoint confirmed_at_;

  mutable std::mutex mutex_;
  // From the settings that were read last; guarded by mutex_.
  std::vector<Endpoint> seeds_;

  // Declared last, because its thread uses the members above.
  std::optional<StoreThread> store_thread_;
};

ForwardProcess::Impl::Impl(const settings::Settings& settings,
                           std::filesystem::path file)
    : settings_(settings),
      file_(std::move(file)),
      log_(LogOptionsFor(settings)),
      signals_(io_, SIGTERM, SIGINT, SIGHUP),
      tick_timer_(io_),
      log_timer_(io_),
      stop_timer_(io_),
      registry_(RegistryOptionsFor(settings), MakeTargetHook()),
      relay_(settings.forward.TightestBound(), MakeRelayHooks(), metrics_),
      path_(PathOptionsFor(settings),
            platform::MakePacketCodec(),
            MakePathHooks()),
      status_server_(
          io_,
          settings.forward.status,
          {{platform::kReadyPath,
            [this](const net::QueryParameter&) { return AnswerReadiness(); }}}),
      peer_server_(io_,
                   settings.forward.peers,
                   MakePeerRoutes(),
                   {kMaxPeerConnections, kPeerKeepAlive}),
      announcer_(
          io_,
          PeerAnnouncerOptionsFor(settings),
          [this] { return registry_.position().revision; },
          [this] { return traffic_share_.request_rate(); }),
      seeds_(settings.forward.seeds) {
  AddForwardMetrics(
      metrics_, [this] { return path_.Snapshot(); }, MakeGauges());
}

std::vector<net::StatusRoute> ForwardProcess::Impl::MakePeerRoutes() {
  return {{net::kSnapshotPath,
           [this](const net::QueryParameter& query) {
             return relay_.AnswerSnapshot(query);
           }},
          {net::kChangesPath,
           [this](const net::QueryParameter& query) {
             return relay_.AnswerPoll(query);
           }},
          {kMetricsPath, [this](const net::QueryParameter&) {
             return net::StatusResponse{kHttpOk, metrics_.Render()};
           }}};
}

RelayService::Hooks ForwardProcess::Impl::MakeRelayHooks() {
  return {[this] { return registry_.Snapshot(); },
          [this] {
            discovery::ChangeRelay::State state;
            state.stopping = stop_condition_.has_value();
            state.has_view = registry_.config_version() > 0;
            state.fleet = WithThisVm(announcer_.LoadOfRecentPeers(SteadyNow()));
            return state;
          },
          log_hook_};
}

// Limits the lines about targets, because all targets change at once when a VM
// starts or a service is released.
DecisionHook ForwardProcess::Impl::MakeTargetHook() {
  return [this](const Decision& it) {
    const bool joined = it.outcome == NameOf(forward::TargetState::kActive);
    const bool is_limited = it.kind == DecisionKind::kTargetHealth ||
                            it.outcome == discovery::kEntryIgnored;
    if (!is_limited || target_log_limiter_.Allow(!joined, SteadyNow())) {
      log_hook_(it);
    }
  };
}

net::PacketPath::Hooks ForwardProcess::Impl::MakePathHooks() {
  observe::Histogram& responses = metrics_.AddHistogram(
      "marjoramhall_forward_response_seconds",
      "Time from a request to the begin of its response.",
      {0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0});
  return {log_hook_, [&responses](Duration span) {
            responses.Record(std::chrono::duration<double>(span).count());
          }};
}

ForwardGauges ForwardProcess::Impl::MakeGauges() {
  return {
      [this] { return static_cast<double>(registry_.config_version()); },
      [this] {
        return std::chrono::duration<double>(SteadyNow() - confirmed_at_)
            .count();
      },
      [this] { return static_cast<double>(registry_.target_count()); },
      [this] {
        return static_cast<double>(registry_.evacuated_domain_count());
      },
      [this] { return static_cast<double>(traffic_share_.fleet().vm_count); },
      [this] { return traffic_share_.Share(); },
      [this] { return ready_ && !stop_condition_ ? 1.0 : 0.0; }};
}

std::string ForwardProcess::Impl::Open() {
  const auto store = ParseStoreUrl(settings_.store.url);
  if (!store) {
    return "[store] url: expected http://IP:PORT";
  }
  for (const std::string& error :
       {log_.Open(), path_.Open(), status_server_.Open(), peer_server_.Open(),
        announcer_.Open()}) {
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
  store_thread_.emplace(options, MakeStoreHooks());
  store_thread_->Start();
  return "";
}

StoreThreadHooks ForwardProcess::Impl::MakeStoreHooks() {
  StoreThreadHooks hooks;
  hooks.on_listing = [this](discovery::Listing listing,
                            discovery::UpdateSource source) {
    asio::post(io_, [this, listing = std::move(listing), source] {
      OnListing(listing, source);
    });
  };
  hooks.on_changes = [this](std::vector<discovery::StoreChange> changes,
                            StorePosition position,
                            discovery::UpdateSource source) {
    asio::post(io_, [this, changes = std::move(changes), position, source] {
      OnChanges(changes, position, source);
    });
  };
  hooks.on_confirmed = [this](TimePoint boot_time) {
    // Posted, so that the entries that were confirmed arrive first.
    asio::post(io_, [this, boot_time] { OnConfirmed(boot_time); });
  };
  hooks.on_reachable = [this](bool reachable, discovery::ReadStatus status) {
    asio::post(io_, [this, reachable, status] {
      LogStoreReachable(log_hook_, reachable, status,
                        registry_.config_version());
    });
  };
  hooks.on_relisting = [this](StorePosition from,
                              discovery::ReadStatus status) {
    asio::post(io_,
               [this, from, status] { LogRelisting(log_hook_, from, status); });
  };
  hooks.on_source = [this](discovery::ViewSource source, const Endpoint& relay,
                           std::optional<Duration> age) {
    asio::post(io_, [this, source, relay, age] {
      LogViewSource(log_hook_, source, registry_.position(), relay, age);
    });
  };
  hooks.on_call = AddStoreMetrics(metrics_);
  hooks.on_fleet_load = [this](const FleetLoad& fleet) {
    asio::post(io_, [this, fleet] { traffic_share_.OnFleetLoad(fleet); });
  };
  hooks.peers = [this] { return SnapshotPeers(); };
  hooks.relays = [this] { return Seeds(); };
  hooks.is_relay = [this] { return relay_.IsPolled(); };
  return hooks;
}

std::vector<Endpoint> ForwardProcess::Impl::Seeds() const {
  const std::lock_guard lock(mutex_);
  return seeds_;
}

std::vector<Endpoint> ForwardProcess::Impl::SnapshotPeers() const {
  return net::SnapshotOrder(announcer_.RecentPeers(), Seeds(), seed_choice_);
}

void ForwardProcess::Impl::OnListing(const discovery::Listing& listing,
                                     discovery::UpdateSource source) {
  LogUpdate(source, listing.position, listing.items.size());
  registry_.ApplyListing(listing, SteadyNow());
  relay_.OnListing(registry_.position());
  PublishView();
}

void ForwardProcess::Impl::OnChanges(
    const std::vector<discovery::StoreChange>& changes,
    StorePosition position,
    discovery::UpdateSource source) {
  if (!changes.empty()) {
    LogUpdate(source, position, changes.size());
  }
  relay_.OnChanges(changes, position);
  if (registry_.ApplyChanges(changes, position, SteadyNow())) {
    PublishView();
  }
}

void ForwardProcess::Impl::LogUpdate(discovery::UpdateSource source,
                                     StorePosition position,
                                     size_t entries) const {
  std::optional<Duration> age;
  if (registry_.position().revision > 0) {
    age = SteadyNow() - confirmed_at_;
  }
  LogViewUpdate(log_hook_, source, position, entries, age);
}

void ForwardProcess::Impl::OnConfirmed(TimePoint boot_time) {
  relay_.OnConfirmed(boot_time);
  const TimePoint at = SteadyNow() - (BootTimeNow() - boot_time);
  confirmed_at_ = at;
  path_.PostViewConfirmed(at);
}

void ForwardProcess::Impl::PublishView() {
  path_.PostView(registry_.MakeView());
  if (!ready_ && registry_.config_version() > 0 &&
      registry_.target_count() > 0) {
    ready_ = true;
    log_.WriteMessage(LogLevel::kInfo, "ready");
  }
}

net::StatusResponse ForwardProcess::Impl::AnswerReadiness() {
  if (stop_condition_) {
    stop_condition_->OnFailedCheck();
  }
  return ready_ && !stop_condition_
             ? net::StatusResponse{kHttpOk, "ready\n"}
             : net::StatusResponse{kHttpUnavailable, "not ready\n"};
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
      ReloadSettings();
    } else {
      BeginStop();
    }
    WaitForSignal();
  });
}

void ForwardProcess::Impl::BeginStop() {
  if (stop_condition_) {
    return;
  }
  log_.WriteMessage(LogLevel::kInfo, "stopping: readiness withdrawn");
  stop_condition_.emplace(StopOptions{}, path_.Snapshot().counters.packets,
                          SteadyNow());
  ExitWhenQuiet();
}

void ForwardProcess::Impl::ExitWhenQuiet() {
  if (stop_condition_->MayExit(path_.Snapshot().counters.packets,
                               SteadyNow())) {
    io_.stop();
    return;
  }
  stop_timer_.expires_after(kStopPollInterval);
  stop_timer_.async_wait([this](const std::error_code&) { ExitWhenQuiet(); });
}

void ForwardProcess::Impl::ReloadSettings() {
  const settings::LoadResult loaded = settings::Load(file_);
  for (const auto& it : loaded.errors) {
    log_.WriteMessage(LogLevel::kError, "settings not reloaded: " + it.Text());
  }
  if (!loaded.errors.empty()) {
    return;
  }
  announcer_.SetSeeds(loaded.settings.forward.seeds);
  log_.WriteMessage(LogLevel::kInfo,
                    "settings reloaded: using " +
                        std::to_string(loaded.settings.forward.seeds.size()) +
                        " seeds; other changes take effect at the next start");
  const std::lock_guard lock(mutex_);
  seeds_ = loaded.settings.forward.seeds;
}

void ForwardProcess::Impl::Tick() {
  store_thread_->EndOverdueCall();
  UpdateTrafficShare();
  if (registry_.Tick(SteadyNow())) {
    PublishView();
  }
  tick_timer_.expires_after(kTickInterval);
  tick_timer_.async_wait([this](const std::error_code& ec) {
    if (!ec) {
      Tick();
    }
  });
}

FleetLoad ForwardProcess::Impl::WithThisVm(FleetLoad peers) const {
  ++peers.vm_count;
  peers.request_rate += traffic_share_.request_rate();
  return peers;
}

void ForwardProcess::Impl::UpdateTrafficShare() {
  const TimePoint now = SteadyNow();
  traffic_share_.Sample(path_.Snapshot().counters.requests, now);
  // Only a VM that others announce themselves to can count them.
  const FleetLoad peers = announcer_.LoadOfRecentPeers(now);
  if (peers.vm_count >= relay_.min_peers()) {
    traffic_share_.OnFleetLoad(WithThisVm(peers));
  }
  path_.PostTrafficShare(traffic_share_.Share());
}

void ForwardProcess::Impl::MaintainLog() {
  const uint64_t unlogged_decisions = path_.Snapshot().unlogged_decisions;
  const uint64_t unreported = unlogged_decisions -
                              reported_unlogged_decisions_ +
                              target_log_limiter_.TakeDeniedLines();
  reported_unlogged_decisions_ = unlogged_decisions;
  if (unreported > 0) {
    log_.WriteMessage(
        LogLevel::kInfo,
        std::to_string(unreported) +
            " decisions were not logged because of the rate limit");
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
