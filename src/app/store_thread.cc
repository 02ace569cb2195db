// Joins the follower with the store's client and the snapshots of other VMs.
#include "src/app/store_thread.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "src/discovery/snapshot_codec.h"
#include "src/net/snapshot_client.h"

namespace marjoramhall::app {
namespace {

// Part of the bound of changes that a watch may rest between two calls; the
// rest is for the call, and for one that has to be repeated.
constexpr int kGatherPart = 3;
constexpr Duration kLongestGather = std::chrono::seconds(2);
// How long a watch waits for changes. A connection that fell silent is noticed
// after this and the answer's time limit, and replaced at once; together that
// stays below the time for which the platform counts a VM with such a
// connection as disturbed (4 s).
constexpr Duration kWatchWait = std::chrono::seconds(3);

platform::StoreApiOptions ApiOptions(const StoreThreadOptions& options,
                                     const StoreThreadHooks& hooks) {
  platform::StoreApiOptions api;
  api.address = options.store;
  api.on_call = hooks.on_call;
  return api;
}

discovery::FollowerOptions FollowerOptionsOf(
    const StoreThreadOptions& options) {
  discovery::FollowerOptions follower;
  follower.watch_wait = kWatchWait;
  follower.batching_delay =
      std::min(options.change_bound / kGatherPart, kLongestGather);
  follower.seed = options.seed;
  return follower;
}

}  // namespace

StoreThread::StoreThread(StoreThreadOptions options, StoreThreadHooks hooks)
    : options_(options),
      hooks_(std::move(hooks)),
      store_(ApiOptions(options_, hooks_)),
      follower_(FollowerOptionsOf(options_), Reader(), FollowerHooks()) {}

StoreThread::~StoreThread() {
  {
    const std::lock_guard lock(mutex_);
    ending_ = true;
  }
  end_.notify_all();
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
  reader.query_peers = [this](uint64_t newer_than) {
    return AskPeers(newer_than);
  };
  return reader;
}

discovery::StoreFollower::Hooks StoreThread::FollowerHooks() {
  return {hooks_.on_listing,
          hooks_.on_changes,
          hooks_.on_confirmed,
          hooks_.on_reachable,
          [this](Duration span) { Sleep(span); },
          SteadyNow,
          [this] { return ending_.load(); }};
}

std::optional<discovery::Listing> StoreThread::AskPeers(uint64_t newer_than) {
  std::vector<Endpoint> peers = hooks_.peers();
  std::erase(peers, options_.own_snapshot);
  const auto bytes = net::FetchSnapshot(peers, newer_than);
  return bytes ? discovery::DecodeSnapshot(*bytes) : std::nullopt;
}

void StoreThread::Sleep(Duration span) {
  std::unique_lock lock(mutex_);
  end_.wait_for(lock, span, [this] { return ending_.load(); });
}

}  // namespace marjoramhall::app
