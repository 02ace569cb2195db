// An in-memory key-value store with versions, compare-and-swap, leases and
// watches. Has no I/O and no clock; the in-process store, the store server of
// the lab and the simulations are built on it.
#ifndef MARJORAMHALL_CONTROL_STORE_TABLE_H_
#define MARJORAMHALL_CONTROL_STORE_TABLE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "src/control/store_client.h"

namespace marjoramhall::control {

// Largest value that the store accepts.
inline constexpr size_t kMaxStoreValueBytes = size_t{1024} * 1024;

// Not thread-safe.
class StoreTable {
 public:
  using WatchDone = std::function<void(StoreValue)>;

  StoreValue Read(const std::string& key) const;

  // Writes when the key's version equals `expected`; 0 means that the key must
  // not exist. Returns kUnavailable for a value that is too large. Completes
  // watches of the key. Returns the new version, or the present one on a
  // conflict.
  std::pair<StoreStatus, uint64_t> CompareAndSwap(const std::string& key,
                                                  uint64_t expected,
                                                  std::string value);

  // Acquires or renews a lease. Returns kConflict while another holder has it.
  std::pair<StoreStatus, StoreLease> AcquireLease(const std::string& name,
                                                  const std::string& holder,
                                                  Duration ttl,
                                                  TimePoint now);

  // Calls `done` as soon as the key's version differs from `known`. This may
  // be before Watch() returns. After the deadline ExpireWatches() calls it with
  // the unchanged value.
  void Watch(const std::string& key,
             uint64_t known,
             TimePoint deadline,
             WatchDone done);
  void ExpireWatches(TimePoint now);
  // Discards all pending watches without calling them.
  void DropWatches() { watches_.clear(); }
  size_t waiting_watches() const { return watches_.size(); }

  // Replaces the whole content, as a restore from a backup does. The restored
  // keys get new, higher versions.
  void Restore(const std::map<std::string, std::string>& content);
  std::map<std::string, std::string> Content() const;

 private:
  struct Lease {
    std::string holder;
    uint64_t fencing_token = 0;
    TimePoint expires;
  };
  struct PendingWatch {
    std::string key;
    uint64_t known = 0;
    TimePoint deadline;
    WatchDone done;
  };

  void WakeWatches();

  std::map<std::string, StoreValue> values_;
  std::map<std::string, Lease> leases_;
  std::vector<PendingWatch> watches_;
  uint64_t last_version_ = 0;
};

}  // namespace marjoramhall::control

#endif  // MARJORAMHALL_CONTROL_STORE_TABLE_H_
