// List and watch loop.
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
      random_state_(options.seed | 1) {}

void StoreFollower::Run() {
  while (!hooks_.stopping()) {
    Step();
  }
}

void StoreFollower::Step() {
  OnStatus(watch_revision_ == 0 ? List() : Watch());
}

ReadStatus StoreFollower::List() {
  const bool is_first = !std::exchange(has_listed_, true);
  const bool use_long_timeout =
      newest_revision_ > 0 ||
      (!is_first && NextRandom() % options_.long_timeout_interval == 0);
  const Duration timeout =
      use_long_timeout ? options_.list_timeout : options_.initial_list_timeout;
  for (;;) {
    StoreRead page = reader_.list(partial_.after, timeout);
    if (page.status != ReadStatus::kOk) {
      return page.status;
    }
    std::move(page.changes.begin(), page.changes.end(),
              std::back_inserter(partial_.items));
    // The pages may show different revisions. The watch starts at the first, so
    // that it returns all changes made between pages.
    if (partial_.first_revision == 0) {
      partial_.first_revision = page.revision;
    }
    if (!page.has_more || page.last_key <= partial_.after) {
      break;
    }
    partial_.after = page.last_key;
  }
  PartialListing complete = std::exchange(partial_, PartialListing{});
  watch_revision_ = complete.first_revision;
  newest_revision_ = std::max(newest_revision_, watch_revision_);
  hooks_.on_listing({std::move(complete.items), watch_revision_});
  return ReadStatus::kOk;
}

ReadStatus StoreFollower::Watch() {
  StoreRead read = reader_.watch(
      watch_revision_, reachable_ ? options_.watch_wait : options_.probe_wait);
  if (read.status == ReadStatus::kHistoryGone) {
    watch_revision_ = 0;
    return ReadStatus::kOk;
  }
  if (read.status != ReadStatus::kOk) {
    return read.status;
  }
  watch_revision_ = std::max(watch_revision_, read.revision);
  newest_revision_ = std::max(newest_revision_, watch_revision_);
  if (!read.changes.empty()) {
    hooks_.on_changes(std::move(read.changes), watch_revision_);
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
    retry_delay_ = Duration{0};
    return;
  }
  if (newest_revision_ == 0 || !is_change) {
    QueryPeers();
  }
  hooks_.sleep(NextRetryDelay());
}

void StoreFollower::QueryPeers() {
  const TimePoint now = hooks_.now();
  if (!reader_.query_peers ||
      (newest_revision_ > 0 &&
       now - last_peer_query_ < options_.peer_query_interval)) {
    return;
  }
  last_peer_query_ = now;
  auto listing = reader_.query_peers(newest_revision_);
  if (listing && listing->revision > newest_revision_) {
    // Watches from the peer's revision without listing the store: hundreds of
    // VMs that start together request more pages than the store can return.
    newest_revision_ = listing->revision;
    watch_revision_ = listing->revision;
    partial_ = PartialListing{};
    hooks_.on_listing(*std::move(listing));
  }
}

Duration StoreFollower::NextRetryDelay() {
  retry_delay_ =
      std::clamp(retry_delay_ * 2, options_.min_retry_delay,
                 newest_revision_ > 0 ? options_.max_retry_delay
                                      : options_.max_initial_retry_delay);
  const auto half = static_cast<uint64_t>(retry_delay_.count() / 2);
  return retry_delay_ -
         Duration{static_cast<int64_t>(NextRandom() % (half + 1))};
}

uint64_t StoreFollower::NextRandom() {
  random_state_ ^= random_state_ << 13;
  random_state_ ^= random_state_ >> 7;
  random_state_ ^= random_state_ << 17;
  return random_state_ >> 16;
}

}  // namespace marjoramhall::discovery
