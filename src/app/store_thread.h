// Runs a thread that follows the platform's store, directly or through a relay.
// While neither can be reached, the thread asks other VMs for their snapshots.
#ifndef MARJORAMHALL_APP_STORE_THREAD_H_
#define MARJORAMHALL_APP_STORE_THREAD_H_

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

#include "platform/store_api.h"
#include "src/base/endpoint.h"
#include "src/base/time.h"
#include "src/discovery/store_follower.h"
#include "src/net/relay_client.h"

namespace marjoramhall::app {

struct StoreThreadOptions {
  Endpoint store;
  // Of this VM; excluded from the peers and relays that are asked.
  Endpoint own_snapshot;
  Duration change_bound;  // time within which a change must take effect
  uint64_t seed = 1;
};

// Called on the store thread.
struct StoreThreadHooks {
  std::function<void(discovery::Listing, discovery::UpdateSource)> on_listing;
  std::function<void(std::vector<discovery::StoreChange>,
                     StorePosition position,
                     discovery::UpdateSource)>
      on_changes;
  std::function<void(TimePoint boot_time)> on_confirmed;
  std::function<void(bool reachable, discovery::ReadStatus)> on_reachable;
  // The store has to be listed again (StoreFollower::Hooks::on_relisting).
  std::function<void(StorePosition from, discovery::ReadStatus)> on_relisting;
  // The view comes from the store or from a relay from now on. `age` is that of
  // the relay's view if the relay answered.
  std::function<void(discovery::ViewSource,
                     const Endpoint& relay,
                     std::optional<Duration> age)>
      on_source;
  // Called when a call to the store or a poll of a relay has ended.
  std::function<void(std::string_view call, discovery::ReadStatus)> on_call;
  // What all VMs carry, as a relay counts it.
  std::function<void(const FleetLoad&)> on_fleet_load;
  // Returns the snapshot addresses of other VMs, those most likely to answer
  // first.
  std::function<std::vector<Endpoint>()> peers;
  // Returns the addresses of the VMs that may relay changes.
  std::function<std::vector<Endpoint>()> relays;
  // Returns whether other VMs follow this one.
  std::function<bool()> is_relay;
};

class StoreThread {
 public:
  StoreThread(StoreThreadOptions options, StoreThreadHooks hooks);
  // Cancels the running call and waits for the thread.
  ~StoreThread();
  StoreThread(const StoreThread&) = delete;
  StoreThread& operator=(const StoreThread&) = delete;

  void Start();

  // Cancels the running call if its time limit has passed by a clock that also
  // counts the time in which the process is suspended. Call this periodically
  // on another thread.
  void EndOverdueCall() { store_.EndOverdueCall(); }

 private:
  discovery::StoreReader Reader();
  discovery::StoreFollower::Hooks FollowerHooks();
  std::optional<discovery::Listing> QueryPeers(StorePosition newer_than);
  // The VMs that may relay changes to this one.
  std::vector<Endpoint> Relays() const;
  std::optional<discovery::ChangeSet> PollRelay(size_t choice,
                                                StorePosition after);
  void Sleep(Duration span);

  const StoreThreadOptions options_;
  const StoreThreadHooks hooks_;
  platform::StoreApi store_;
  net::RelayClient relay_client_;
  discovery::StoreFollower follower_;
  std::atomic<bool> stopping_{false};
  std::mutex mutex_;
  std::condition_variable stopped_;  // signalled when stopping_ is set
  std::thread thread_;
};

}  // namespace marjoramhall::app

#endif  // MARJORAMHALL_APP_STORE_THREAD_H_
