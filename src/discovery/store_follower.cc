// List, watch and poll loop.
#include "src/discovery/store_follower.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace marjoramhall::discovery {
namespace {

// Of a store that has never been restored.
constexpr uint64_t kFirstEpoch = 1;

}  // namespace

StoreFollower::StoreFollower(FollowerOptions options,
                             StoreReader reader,
                             Hooks hooks)
    : options_(options),
      reader_(std::move(reader)),
      hooks_(std::move(hooks)),
      may_list_old_(options.first_listing_may_be_old),
      // Spreads the fleet over the relays.
      relay_choice_(options.seed),
      random_state_(options.seed | 1) {}

void StoreFollower::Run() {
  while (!hooks_.stopping()) {
    Step();
  }
}

void StoreFollower::Step() {
  if (MayPollRelay() && (PollRelay() || AwaitNextPoll())) {
    return;
  }
  OnStatus(watched_.revision == 0 ? List() : Watch());
  const Duration delay = std::exchange(batching_delay_, Duration{0});
  if (delay > Duration{0}) {
    hooks_.sleep(delay);
    last_batching_delay_ = delay;
  }
}

ReadStatus StoreFollower::List() {
  const bool is_first = !std::exchange(has_listed_, true);
  const bool use_long_timeout =
      newest_.revision > 0 ||
      (!is_first && NextRandom() % options_.long_timeout_interval == 0);
  const Duration timeout =
      use_long_timeout ? options_.list_timeout : options_.initial_list_timeout;
  // Only a VM that knows nothing may use an old listing: it would take any
  // other back to targets that have left.
  const bool may_be_old = newest_.revision == 0 && may_list_old_;
  const ReadStatus status = ListPages(may_be_old, timeout);
  if (status != ReadStatus::kOk) {
    return status;
  }
  PartialListing complete = std::exchange(partial_, PartialListing{});
  if (may_be_old && complete.position.epoch > kFirstEpoch) {
    // An old page may be from before the store's return, but carry the epoch of
    // now. A watch from there would miss changes.
    may_list_old_ = false;
    return List();
  }
  watched_ = complete.position;
  if (may_be_old) {
    old_listing_ = Listing{std::move(complete.items), watched_};
    return Watch();
  }
  newest_ = std::max(newest_, watched_);
  hooks_.on_listing({std::move(complete.items), watched_},
                    UpdateSource::kListing);
  Confirm(complete.started_at);
  return ReadStatus::kOk;
}

ReadStatus StoreFollower::ListPages(bool may_be_old, Duration timeout) {
  for (;;) {
    if (partial_.position.revision == 0) {
      partial_.started_at = hooks_.now();
    }
    StoreRead page = reader_.list(partial_.after, may_be_old, timeout);
    if (page.status != ReadStatus::kOk) {
      return page.status;
    }
    if (page.position.epoch < watched_.epoch) {
      return ReadStatus::kOutdated;
    }
    const bool is_restored = page.position.epoch > watched_.epoch;
    watched_.epoch = page.position.epoch;
    if (is_restored && partial_.position.revision > 0) {
      // The pages so far show entries that the store may have lost.
      partial_ = PartialListing{};
      continue;
    }
    if (page.has_more && page.last_key <= partial_.after) {
      // The response belongs to another call.
      partial_ = PartialListing{};
      return ReadStatus::kUnreadable;
    }
    std::move(page.changes.begin(), page.changes.end(),
              std::back_inserter(partial_.items));
    // The pages may show different revisions, and a later one may be older if
    // pages may be old. The watch starts at the lowest, so that it returns all
    // changes that a page lacks.
    if (partial_.position.revision == 0 || page.position < partial_.position) {
      partial_.position = page.position;
    }
    if (!page.has_more) {
      return ReadStatus::kOk;
    }
    partial_.after = page.last_key;
  }
}

void StoreFollower::PublishOldListing() {
  if (old_listing_) {
    newest_ = watched_;
    hooks_.on_listing(*std::exchange(old_listing_, std::nullopt),
                      UpdateSource::kListing);
  }
}

void StoreFollower::DiscardOldListing() {
  if (old_listing_) {
    old_listing_.reset();
    watched_.revision = 0;
    may_list_old_ = false;
  }
}

ReadStatus StoreFollower::Watch() {
  const bool is_relay = IsRelay();
  const Duration last_delay = std::exchange(last_batching_delay_, Duration{0});
  Duration wait = options_.probe_wait;
  if (is_store_current_) {
    // The connection may have gone silent at the begin of the delay. A relay's
    // view is checked by its age.
    wait = is_relay ? options_.relay_watch_wait
                    : std::max(options_.watch_wait - last_delay,
                               options_.probe_wait);
  }
  const TimePoint started_at = hooks_.now();
  StoreRead read = reader_.watch(watched_.revision, wait);
  if (read.status == ReadStatus::kOk) {
    // The revisions of the events say nothing of those that are watched if the
    // store has been restored: it may have given them out again.
    if (read.position.epoch > watched_.epoch) {
      read.status = ReadStatus::kRestored;
    } else if (read.position.epoch < watched_.epoch) {
      read.status = ReadStatus::kOutdated;
    }
  }
  if (read.status != ReadStatus::kOk) {
    DiscardOldListing();
    if (read.status == ReadStatus::kRestored ||
        read.status == ReadStatus::kHistoryGone ||
        read.status == ReadStatus::kIncomplete) {
      StartOver(read.status);
      watched_.epoch = std::max(watched_.epoch, read.position.epoch);
    }
    return read.status;
  }
  PublishOldListing();
  watched_ = std::max(watched_, read.position);
  newest_ = std::max(newest_, watched_);
  const bool has_changes = !read.changes.empty();
  if (has_changes) {
    hooks_.on_changes(std::move(read.changes), watched_, UpdateSource::kWatch);
  }
  const TimePoint ended_at = hooks_.now();
  Confirm(ended_at - started_at > wait + options_.max_response_time ? started_at
                                                                    : ended_at);
  if (has_changes) {
    batching_delay_ =
        is_relay ? options_.relay_batching_delay : options_.batching_delay;
  }
  return ReadStatus::kOk;
}

void StoreFollower::StartOver(ReadStatus status) {
  hooks_.on_relisting(watched_, status);
  watched_.revision = 0;
  partial_ = PartialListing{};
}

void StoreFollower::OnStatus(ReadStatus status) {
  const bool ok = status == ReadStatus::kOk ||
                  status == ReadStatus::kHistoryGone ||
                  status == ReadStatus::kRestored;
  const bool is_change = ok != reachable_;
  if (is_change) {
    reachable_ = ok;
    hooks_.on_reachable(ok, status);
  }
  is_store_current_ = ok;
  if (ok) {
    retry_delay_ = Duration{0};
    return;
  }
  if (newest_.revision == 0 || !is_change) {
    QueryPeers();
  }
  hooks_.sleep(NextDelay(&retry_delay_, options_.min_retry_delay,
                         newest_.revision > 0
                             ? options_.max_retry_delay
                             : options_.max_initial_retry_delay));
}

bool StoreFollower::MayPollRelay() const {
  // A relay reads the store itself, so that no two VMs follow each other.
  return reader_.poll_relay && watched_.revision > 0 && !IsRelay() &&
         hooks_.now() >= next_relay_poll_at_ && reader_.relay_count() > 0;
}

bool StoreFollower::PollRelay() {
  for (;;) {
    const TimePoint started_at = hooks_.now();
    auto set = reader_.poll_relay(relay_choice_, watched_);
    if (!set) {
      OnRelayRefused(std::nullopt);
    } else if (AcceptRelay(*std::move(set), started_at)) {
      return true;
    }
    const TimePoint now = hooks_.now();
    if (now - started_at > options_.quick_refusal ||
        now < next_relay_poll_at_) {
      return false;
    }
  }
}

bool StoreFollower::AwaitNextPoll() {
  const TimePoint now = hooks_.now();
  if (next_relay_poll_at_ <= now ||
      next_relay_poll_at_ - confirmed_at_ > options_.relay_poll_interval) {
    return false;
  }
  hooks_.sleep(next_relay_poll_at_ - now);
  return true;
}

bool StoreFollower::AcceptRelay(ChangeSet set, TimePoint started_at) {
  // The relay may have been suspended after it measured the age.
  const TimePoint confirmed_at = started_at - set.age;
  const Duration age = hooks_.now() - confirmed_at;
  const bool is_comparable =
      set.position.epoch == watched_.epoch ||
      (set.position.epoch > watched_.epoch && set.complete);
  if (age > options_.max_relay_age || !is_comparable) {
    OnRelayRefused(age);
    return false;
  }
  is_store_current_ = false;
  refusals_ = 0;
  relay_retry_delay_ = Duration{0};
  SetSource(ViewSource::kRelay, age);
  if (hooks_.on_fleet_load && set.fleet.vm_count > 0) {
    hooks_.on_fleet_load(set.fleet);
  }
  // A relay that lags behind this VM has nothing new.
  if (set.position > watched_) {
    watched_ = set.position;
    newest_ = std::max(newest_, watched_);
    if (set.complete) {
      hooks_.on_listing({std::move(set.changes), set.position},
                        UpdateSource::kRelay);
    } else {
      hooks_.on_changes(std::move(set.changes), set.position,
                        UpdateSource::kRelay);
    }
  }
  Confirm(confirmed_at);
  hooks_.sleep(options_.relay_poll_interval);
  return true;
}

void StoreFollower::OnRelayRefused(std::optional<Duration> age) {
  if (hooks_.now() - confirmed_at_ > options_.relay_poll_interval) {
    is_store_current_ = false;
  }
  SetSource(ViewSource::kStore, age);
  ++relay_choice_;
  if (++refusals_ % std::max(reader_.relay_count(), size_t{1}) == 0) {
    next_relay_poll_at_ =
        hooks_.now() + NextDelay(&relay_retry_delay_,
                                 options_.min_relay_retry_delay,
                                 options_.max_relay_retry_delay);
  }
}

void StoreFollower::Confirm(TimePoint at) {
  confirmed_at_ = at;
  hooks_.on_confirmed(at);
}

void StoreFollower::SetSource(ViewSource source, std::optional<Duration> age) {
  if (source != source_) {
    source_ = source;
    hooks_.on_source(source, relay_choice_, age);
  }
}

void StoreFollower::QueryPeers() {
  const TimePoint now = hooks_.now();
  if (!reader_.query_peers ||
      (newest_.revision > 0 &&
       now - last_peer_query_ < options_.peer_query_interval)) {
    return;
  }
  last_peer_query_ = now;
  // The store may have shown a later epoch than the view's.
  const StorePosition known =
      std::max(newest_, StorePosition{watched_.epoch, 0});
  auto listing = reader_.query_peers(known);
  if (listing && listing->position > known) {
    // Watches from the peer's revision without listing the store: hundreds of
    // VMs that start together request more pages than the store can return.
    newest_ = listing->position;
    watched_ = listing->position;
    partial_ = PartialListing{};
    hooks_.on_listing(*std::move(listing), UpdateSource::kSnapshot);
  }
}

Duration StoreFollower::NextDelay(Duration* delay, Duration min, Duration max) {
  *delay = std::clamp(*delay * 2, min, max);
  const auto half = static_cast<uint64_t>(delay->count() / 2);
  return *delay - Duration{static_cast<int64_t>(NextRandom() % (half + 1))};
}

uint64_t StoreFollower::NextRandom() {
  random_state_ ^= random_state_ << 13;
  random_state_ ^= random_state_ >> 7;
  random_state_ ^= random_state_ << 17;
  return random_state_ >> 16;
}

}  // namespace marjoramhall::discovery
