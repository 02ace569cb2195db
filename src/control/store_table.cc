// In-memory key-value store.
#include "src/control/store_table.h"

#include <algorithm>
#include <iterator>

namespace marjoramhall::control {

StoreValue StoreTable::Read(const std::string& key) const {
  const auto it = values_.find(key);
  return it == values_.end() ? StoreValue() : it->second;
}

std::pair<StoreStatus, uint64_t> StoreTable::CompareAndSwap(
    const std::string& key,
    uint64_t expected,
    std::string value) {
  if (value.size() > kMaxStoreValueBytes) {
    return {StoreStatus::kUnavailable, 0};
  }
  const auto it = values_.find(key);
  const uint64_t version = it == values_.end() ? 0 : it->second.version;
  if (version != expected) {
    return {StoreStatus::kConflict, version};
  }
  values_[key] = {std::move(value), ++last_version_};
  WakeWatches();
  return {StoreStatus::kOk, last_version_};
}

std::pair<StoreStatus, StoreLease> StoreTable::AcquireLease(
    const std::string& name,
    const std::string& holder,
    Duration ttl,
    TimePoint now) {
  Lease& lease = leases_[name];
  const bool held = lease.fencing_token != 0 && now < lease.expires;
  if (held && lease.holder != holder) {
    return {StoreStatus::kConflict, StoreLease()};
  }
  // An expired lease gets a new fencing token even for its last holder, because
  // another process may have acted on the expiry.
  if (!held) {
    lease.holder = holder;
    lease.fencing_token = ++last_version_;
  }
  lease.expires = now + ttl;
  return {StoreStatus::kOk, {lease.fencing_token, ttl}};
}

void StoreTable::Watch(const std::string& key,
                       uint64_t known,
                       TimePoint deadline,
                       WatchDone done) {
  StoreValue value = Read(key);
  if (value.version != known) {
    done(std::move(value));
    return;
  }
  watches_.push_back({key, known, deadline, std::move(done)});
}

void StoreTable::ExpireWatches(TimePoint now) {
  const auto due = std::stable_partition(
      watches_.begin(), watches_.end(),
      [&](const PendingWatch& it) { return now < it.deadline; });
  std::vector<PendingWatch> ended(std::make_move_iterator(due),
                                  std::make_move_iterator(watches_.end()));
  watches_.erase(due, watches_.end());
  for (const PendingWatch& it : ended) {
    it.done(Read(it.key));
  }
}

void StoreTable::WakeWatches() {
  const auto changed = std::stable_partition(
      watches_.begin(), watches_.end(),
      [&](const PendingWatch& it) { return Read(it.key).version == it.known; });
  std::vector<PendingWatch> ended(std::make_move_iterator(changed),
                                  std::make_move_iterator(watches_.end()));
  watches_.erase(changed, watches_.end());
  for (const PendingWatch& it : ended) {
    it.done(Read(it.key));
  }
}

void StoreTable::Restore(const std::map<std::string, std::string>& content) {
  values_.clear();
  for (const auto& [key, value] : content) {
    values_[key] = {value, ++last_version_};
  }
  WakeWatches();
}

std::map<std::string, std::string> StoreTable::Content() const {
  std::map<std::string, std::string> result;
  for (const auto& [key, value] : values_) {
    result[key] = value.value;
  }
  return result;
}

}  // namespace marjoramhall::control
