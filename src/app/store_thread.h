// The thread that follows the platform's store, and asks other VMs while the
// store cannot be reached.
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

namespace marjoramhall::app {

struct StoreThreadOptions {
  Endpoint store;
  Endpoint own_snapshot;  // is not asked
  Duration change_bound;  // in which a change has to be in force
  uint64_t seed = 1;
};

// Called on the thread.
struct StoreThreadHooks {
  std::function<void(discovery::Listing)> on_listing;
  std::function<void(std::vector<discovery::StoreChange>, uint64_t revision)>
      on_changes;
  std::function<void(TimePoint)> on_confirmed;
  std::function<void(bool reachable, discovery::ReadStatus)> on_reachable;
  // A call of the store has ended.
  std::function<void(std::string_view call, discovery::ReadStatus)> on_call;
  // Snapshot addresses of the VMs that may be asked, the likeliest first.
  std::function<std::vector<Endpoint>()> peers;
};

class StoreThread {
 public:
  StoreThread(StoreThreadOptions options, StoreThreadHooks hooks);
  // Ends the running call and waits for the thread.
  ~StoreThread();
  StoreThread(const StoreThread&) = delete;
  StoreThread& operator=(const StoreThread&) = delete;

  void Start();

  // Ends a call that is overdue by a clock that counts suspension; to be called
  // from time to time on another thread.
  void EndOverdueCall() { store_.EndOverdueCall(); }

 private:
  discovery::StoreReader Reader();
  discovery::StoreFollower::Hooks FollowerHooks();
  std::optional<discovery::Listing> AskPeers(uint64_t newer_than);
  void Sleep(Duration span);

  const StoreThreadOptions options_;
  const StoreThreadHooks hooks_;
  platform::StoreApi store_;
  discovery::StoreFollower follower_;
  std::atomic<bool> ending_{false};
  std::mutex mutex_;
  std::condition_variable end_;  // of a sleep, when ending_ is set
  std::thread thread_;
};

}  // namespace marjoramhall::app

#endif  // MARJORAMHALL_APP_STORE_THREAD_H_
