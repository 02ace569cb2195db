// The loop of listing and watching.
#include "src/discovery/store_follower.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace marjoramhall::discovery {

StoreFollower::StoreFollower(FollowerOptions options,
                             StoreReader reader,
                             Hooks hooks)
    : options_(options),
      reader_(std::move(reader)),
      hooks_(std::move(hooks)),
      random_(options.seed | 1) {}

void StoreFollower::Run() {
  while (!hooks_.stopping()) {
    Step();
  }
}

void StoreFollower::Step() {
  OnStatus(revision_ == 0 ? List() : Watch());
}

ReadStatus StoreFollower::List() {
  const bool is_first = !std::exchange(tried_, true);
  const bool is_patient =
      known_ > 0 || (!is_first && NextRandom() % options_.patient_try == 0);
  const Duration limit =
      is_patient ? options_.list_limit : options_.first_list_limit;
  for (;;) {
    StoreRead page = reader_.list(pages_.after, limit);
    if (page.status != ReadStatus::kOk) {
      return page.status;
    }
    std::move(page.changes.begin(), page.changes.end(),
              std::back_inserter(pages_.items));
    // Pages are no snapshot: what changed since the first is watched again.
    if (pages_.first_revision == 0) {
      pages_.first_revision = page.revision;
    }
    if (!page.has_more || page.last_key <= pages_.after) {
      break;
    }
    pages_.after = page.last_key;
  }
  Pages pages = std::exchange(pages_, Pages{});
  revision_ = pages.first_revision;
  known_ = std::max(known_, revision_);
  hooks_.on_listing({std::move(pages.items), revision_});
  return ReadStatus::kOk;
}

ReadStatus StoreFollower::Watch() {
  StoreRead read = reader_.watch(
      revision_, reachable_ ? options_.watch_wait : options_.probe_wait);
  if (read.status == ReadStatus::kHistoryGone) {
    revision_ = 0;
    return ReadStatus::kOk;
  }
  if (read.status != ReadStatus::kOk) {
    return read.status;
  }
  revision_ = std::max(revision_, read.revision);
  known_ = std::max(known_, revision_);
  if (!read.changes.empty()) {
    hooks_.on_changes(std::move(read.changes), revision_);
    hooks_.sleep(options_.batching_delay);
  }
  return ReadStatus::kOk;
}

void StoreFollower::OnStatus(ReadStatus status) {
  const bool ok = status == ReadStatus::kOk;
  const bool is_change = ok != reachable_;
  if (is_change) {
    reachable_ = ok;
    hooks_.on_reachable(ok, status);
  }
  if (ok) {
    hooks_.on_confirmed(hooks_.now());
    pause_ = Duration{0};
    return;
  }
  if (known_ == 0 || !is_change) {
    AskPeers();
  }
  hooks_.sleep(NextPause());
}

void StoreFollower::AskPeers() {
  const TimePoint now = hooks_.now();
  if (!reader_.query_peers ||
      (known_ > 0 && now - peers_asked_ < options_.peer_interval)) {
    return;
  }
  peers_asked_ = now;
  auto listing = reader_.query_peers(known_);
  if (listing && listing->revision > known_) {
    // Watched from there on, without a listing of the store: hundreds of VMs
    // that start together ask for more pages than it gives.
    known_ = listing->revision;
    revision_ = listing->revision;
    pages_ = Pages{};
    hooks_.on_listing(*std::move(listing));
  }
}

Duration StoreFollower::NextPause() {
  pause_ = std::clamp(
      pause_ * 2, options_.first_pause,
      known_ > 0 ? options_.largest_pause : options_.largest_first_pause);
  const auto half = static_cast<uint64_t>(pause_.count() / 2);
  return pause_ - Duration{static_cast<int64_t>(NextRandom() % (half + 1))};
}

uint64_t StoreFollower::NextRandom() {
  random_ ^= random_ << 13;
  random_ ^= random_ >> 7;
  random_ ^= random_ << 17;
  return random_ >> 16;
}

}  // namespace marjoramhall::discovery
