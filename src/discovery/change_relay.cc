// History of changes and conditions for passing it on.
#include "src/discovery/change_relay.h"

#include <algorithm>
#include <utility>

namespace marjoramhall::discovery {
namespace {

// Other keys are of no use to a follower.
bool IsOfUse(const StoreChange& change) {
  return change.is_target || change.config || !change.evacuated_domain.empty();
}

// Memory that a change takes, as far as it depends on the bytes of its entry.
size_t BytesOf(const StoreChange& change) {
  size_t bytes = sizeof(change) + change.key.size() + change.error.size() +
                 change.evacuated_domain.size();
  if (change.target) {
    bytes += change.target->id.size() + change.target->service.size() +
             change.target->failure_domain.size();
  }
  if (change.config) {
    for (const RouteRecord& route : change.config->routes) {
      bytes += sizeof(route) + route.name.size();
      for (const ShareRecord& it : route.shares) {
        bytes += sizeof(it) + it.service.size();
      }
    }
    for (const ServiceRecord& it : change.config->services) {
      bytes += sizeof(it) + it.name.size();
    }
  }
  return bytes;
}

}  // namespace

ChangeRelay::ChangeRelay(ChangeRelayOptions options,
                         std::function<Listing()> snapshot)
    : options_(options), snapshot_(std::move(snapshot)) {}

void ChangeRelay::OnListing(StorePosition position) {
  history_.clear();
  history_bytes_ = 0;
  position_ = std::max(position_, position);
  floor_ = position_;
}

void ChangeRelay::OnChanges(const std::vector<StoreChange>& changes,
                            StorePosition position,
                            TimePoint now) {
  for (const StoreChange& it : changes) {
    if (it.position > position_ && IsOfUse(it)) {
      AddToHistory(it, now);
    }
  }
  position_ = std::max(position_, position);
  const size_t limit =
      IsPolled(now) ? options_.max_polled_history : options_.max_history;
  while (history_.size() > limit ||
         history_bytes_ > options_.max_history_bytes) {
    floor_ = history_.front().change.position;
    history_bytes_ -= history_.front().bytes;
    history_.pop_front();
  }
}

void ChangeRelay::AddToHistory(const StoreChange& change, TimePoint now) {
  if (change.config) {
    RemoveReplacedConfigs(change.config->version);
  }
  const size_t bytes = BytesOf(change);
  history_.push_back({change, now, bytes});
  history_bytes_ += bytes;
}

void ChangeRelay::RemoveReplacedConfigs(uint64_t version) {
  std::erase_if(history_, [&](const HistoryEntry& it) {
    const bool is_replaced =
        it.change.config && it.change.config->version <= version;
    history_bytes_ -= is_replaced ? it.bytes : 0;
    return is_replaced;
  });
}

ChangeRelay::Answer ChangeRelay::Poll(StorePosition after,
                                      const State& state,
                                      TimePoint now) {
  Answer answer = Accept(after, state, now);
  if (answer.set) {
    AddChanges(after, now, &*answer.set);
  }
  return answer;
}

ChangeRelay::Answer ChangeRelay::Accept(StorePosition after,
                                        const State& state,
                                        TimePoint now) {
  if (state.stopping) {
    return {RelayRefusal::kStopping, std::nullopt};
  }
  if (state.PeerCount() < options_.min_peers) {
    return {RelayRefusal::kFewPeers, std::nullopt};
  }
  last_poll_at_ = now;
  if (!state.has_view) {
    return {RelayRefusal::kNoView, std::nullopt};
  }
  if (after.epoch > position_.epoch) {
    return {RelayRefusal::kOlderEpoch, std::nullopt};
  }
  ChangeSet set;
  set.age = std::max(now - state.confirmed_at, Duration{0});
  if (set.age > options_.max_age) {
    return {RelayRefusal::kUnconfirmed, std::nullopt};
  }
  set.position = position_;
  set.fleet = state.fleet;
  set.complete = after < floor_;
  return {RelayRefusal::kNone, std::move(set)};
}

void ChangeRelay::AddChanges(StorePosition after,
                             TimePoint now,
                             ChangeSet* set) const {
  if (set->complete) {
    Listing all = snapshot_();
    set->position = all.position;
    set->changes = std::move(all.items);
    return;
  }
  auto it = std::partition_point(history_.begin(), history_.end(),
                                 [after](const HistoryEntry& entry) {
                                   return entry.change.position <= after;
                                 });
  for (; it != history_.end(); ++it) {
    set->changes.push_back(it->change);
    if (auto& target = set->changes.back().target) {
      target->warm_up_left =
          std::max(target->warm_up_left - (now - it->received_at), Duration{0});
    }
  }
}

bool ChangeRelay::IsPolled(TimePoint now) const {
  return last_poll_at_ && now - *last_poll_at_ < options_.idle_after;
}

}  // namespace marjoramhall::discovery
