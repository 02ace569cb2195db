// Serves what this VM knows to other VMs over HTTP: changes of the store to
// those that follow it (ChangeRelay), and snapshots to those that cannot reach
// the store. Used on the control thread, except where stated.
#ifndef MARJORAMHALL_APP_RELAY_SERVICE_H_
#define MARJORAMHALL_APP_RELAY_SERVICE_H_

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "src/base/decision.h"
#include "src/base/endpoint.h"
#include "src/base/time.h"
#include "src/discovery/change_relay.h"
#include "src/discovery/encoded_changes.h"
#include "src/net/status_server.h"
#include "src/observe/metrics.h"

namespace marjoramhall::app {

class RelayService {
 public:
  struct Hooks {
    std::function<discovery::Listing()> snapshot;
    // The parts of the relay's state that others keep. `confirmed_at` is
    // unused.
    std::function<discovery::ChangeRelay::State()> state;
    DecisionHook log_decision;
  };

  // `bound`: the time within which a change must take effect.
  RelayService(Duration bound, Hooks hooks, observe::MetricsRegistry& metrics);

  void OnListing(StorePosition position) { relay_.OnListing(position); }
  void OnChanges(const std::vector<discovery::StoreChange>& changes,
                 StorePosition position) {
    relay_.OnChanges(changes, position, BootTimeNow());
  }
  // Must be called after the changes that were confirmed have been passed in.
  void OnConfirmed(TimePoint boot_time) { confirmed_at_ = boot_time; }

  net::StatusResponse AnswerPoll(const net::QueryParameter& query);
  net::StatusResponse AnswerSnapshot(const net::QueryParameter& query);

  // Number of other VMs from which on they follow relays.
  size_t min_peers() const { return relay_.options().min_peers; }

  // Whether other VMs depend on this one. Thread-safe.
  bool IsPolled() const;

 private:
  void LogRefusalChange(discovery::RelayRefusal refusal,
                        size_t peers,
                        Duration age);

  const Hooks hooks_;
  discovery::ChangeRelay relay_;
  discovery::EncodedChanges encoded_changes_{relay_};
  std::map<discovery::RelayRefusal, observe::Counter*> answers_;
  TimePoint confirmed_at_;
  discovery::RelayRefusal last_refusal_ = discovery::RelayRefusal::kFewPeers;
  // Until when other VMs depend on this one, in BootTimeNow().
  std::atomic<Duration::rep> polled_until_{0};
  // At snapshot_position_.
  std::shared_ptr<const std::string> encoded_snapshot_;
  StorePosition snapshot_position_;
};

}  // namespace marjoramhall::app

#endif  // MARJORAMHALL_APP_RELAY_SERVICE_H_
