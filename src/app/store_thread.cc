// Connects the follower to the store client, to relays and to the snapshots of
// other VMs.
#include "src/app/store_thread.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "src/discovery/change_relay.h"
#include "src/discovery/snapshot_codec.h"
#include "src/net/snapshot_client.h"

namespace marjoramhall::app {
namespace {

// The pause between two watch calls is the time within which a change must take
// effect, divided by this. The rest of that time is for the call and one retry.
constexpr int kBatchingDelayDivisor = 3;
constexpr Duration kMaxBatchingDelay = std::chrono::seconds(2);
// Time that a watch call waits for changes, with the delay before it. A silent
// connection is detected, and at once replaced, after this time plus the time
// limit of the answer. The sum must stay below 4 s, for which the platform
// counts a VM with such a connection as disturbed.
constexpr Duration kWatchTimeout = std::chrono::seconds(3);

platform::StoreApiOptions StoreApiOptionsOf(const StoreThreadOptions& options,
                                            const StoreThreadHooks& hooks) {
  platform::StoreApiOptions api;
  api.address = options.store;
  api.on_call = hooks.on_call;
  return api;
}

discovery::FollowerOptions FollowerOptionsOf(
    const StoreThreadOptions& options) {
  discovery::FollowerOptions follower;
  follower.first_listing_may_be_old = true;
  follower.watch_wait = kWatchTimeout;
  follower.batching_delay =
      std::min(options.change_bound / kBatchingDelayDivisor, kMaxBatchingDelay);
  const auto timing = discovery::RelayTimingFor(options.change_bound);
  follower.relay_poll_interval = timing.poll_interval;
  follower.max_relay_age = timing.max_age;
  follower.relay_watch_wait = timing.watch_wait;
  follower.relay_batching_delay = timing.batching_delay;
  follower.seed = options.seed;
  return follower;
}

}  // namespace

StoreThread::StoreThread(StoreThreadOptions options, StoreThreadHooks hooks)
    : options_(options),
      hooks_(std::move(hooks)),
      store_(StoreApiOptionsOf(options_, hooks_)),
      follower_(FollowerOptionsOf(options_), Reader(), FollowerHooks()) {}

StoreThread::~StoreThread() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  stopped_.notify_all();
  store_.Stop();
  if (thread_.joinable()) {
    thread_.join();
  }
}

void StoreThread::Start() {
  thread_ = std::thread([this] { follower_.Run(); });
}

discovery::StoreReader StoreThread::Reader() {
  discovery::StoreReader reader = store_.Reader();
  reader.query_peers = [this](StorePosition newer_than) {
    return QueryPeers(newer_than);
  };
  reader.relay_count = [this] { return Relays().size(); };
  reader.poll_relay = [this](size_t choice, StorePosition after) {
    return PollRelay(choice, after);
  };
  return reader;
}

discovery::StoreFollower::Hooks StoreThread::FollowerHooks() {
  discovery::StoreFollower::Hooks hooks;
  hooks.on_listing = hooks_.on_listing;
  hooks.on_changes = hooks_.on_changes;
  hooks.on_confirmed = hooks_.on_confirmed;
  hooks.on_reachable = hooks_.on_reachable;
  hooks.on_relisting = hooks_.on_relisting;
  hooks.on_source = [this](discovery::ViewSource source, size_t choice,
                           std::optional<Duration> age) {
    const std::vector<Endpoint> relays = Relays();
    hooks_.on_source(
        source, relays.empty() ? Endpoint{} : relays[choice % relays.size()],
        age);
  };
  hooks.on_fleet_load = hooks_.on_fleet_load;
  hooks.is_relay = hooks_.is_relay;
  hooks.sleep = [this](Duration span) { Sleep(span); };
  hooks.now = BootTimeNow;
  hooks.stopping = [this] { return stopping_.load(); };
  return hooks;
}

std::vector<Endpoint> StoreThread::Relays() const {
  std::vector<Endpoint> relays = hooks_.relays();
  std::erase(relays, options_.own_snapshot);
  return relays;
}

std::optional<discovery::ChangeSet> StoreThread::PollRelay(
    size_t choice,
    StorePosition after) {
  const std::vector<Endpoint> relays = Relays();
  if (relays.empty()) {
    return std::nullopt;
  }
  const auto bytes = relay_client_.Poll(relays[choice % relays.size()], after);
  auto set = bytes ? discovery::DecodeChangeSet(*bytes) : std::nullopt;
  auto status = discovery::ReadStatus::kOk;
  if (!set) {
    status = bytes ? discovery::ReadStatus::kUnreadable
                   : discovery::ReadStatus::kNoAnswer;
  }
  hooks_.on_call(net::kPollCall, status);
  return set;
}

std::optional<discovery::Listing> StoreThread::QueryPeers(
    StorePosition newer_than) {
  std::vector<Endpoint> peers = hooks_.peers();
  std::erase(peers, options_.own_snapshot);
  const auto bytes = net::FetchSnapshot(peers, newer_than);
  return bytes ? discovery::DecodeSnapshot(*bytes) : std::nullopt;
}

void StoreThread::Sleep(Duration span) {
  std::unique_lock lock(mutex_);
  stopped_.wait_for(lock, span, [this] { return stopping_.load(); });
}

}  // namespace marjoramhall::app
