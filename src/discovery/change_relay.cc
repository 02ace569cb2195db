// History of changes and conditions for passing it on.
#include "src/discovery/change_relay.h"

#include <algorithm>
#include <utility>

namespace marjoramhall::discovery {

ChangeRelay::ChangeRelay(ChangeRelayOptions options,
                         std::function<Listing()> snapshot)
    : options_(options), snapshot_(std::move(snapshot)) {}

void ChangeRelay::OnListing(uint64_t revision) {
  history_.clear();
  revision_ = std::max(revision_, revision);
  floor_ = revision_;
}

void ChangeRelay::OnChanges(const std::vector<StoreChange>& changes,
                            uint64_t revision,
                            TimePoint now) {
  for (const StoreChange& it : changes) {
    // Other keys are of no use to a follower.
    if (it.revision > revision_ && (it.is_target || it.config)) {
      history_.push_back({it, now});
    }
  }
  revision_ = std::max(revision_, revision);
  while (history_.size() > options_.max_history) {
    floor_ = history_.front().change.revision;
    history_.pop_front();
  }
}

ChangeRelay::Answer ChangeRelay::Poll(uint64_t after,
                                      const State& state,
                                      TimePoint now) {
  if (state.stopping) {
    return {RelayRefusal::kStopping, std::nullopt};
  }
  if (state.peers < options_.min_peers) {
    return {RelayRefusal::kFewPeers, std::nullopt};
  }
  last_poll_at_ = now;
  if (!state.has_view) {
    return {RelayRefusal::kNoView, std::nullopt};
  }
  ChangeSet set;
  set.age = std::max(now - state.confirmed_at, Duration{0});
  if (set.age > options_.max_age) {
    return {RelayRefusal::kUnconfirmed, std::nullopt};
  }
  set.revision = revision_;
  if (after < floor_) {
    Listing all = snapshot_();
    set.complete = true;
    set.revision = all.revision;
    set.changes = std::move(all.items);
    return {RelayRefusal::kNone, std::move(set)};
  }
  for (const HistoryEntry& it : history_) {
    if (it.change.revision <= after) {
      continue;
    }
    set.changes.push_back(it.change);
    if (auto& target = set.changes.back().target) {
      target->warm_up_left =
          std::max(target->warm_up_left - (now - it.received_at), Duration{0});
    }
  }
  return {RelayRefusal::kNone, std::move(set)};
}

bool ChangeRelay::IsPolled(TimePoint now) const {
  return last_poll_at_ && now - *last_poll_at_ < options_.idle_after;
}

}  // namespace marjoramhall::discovery
