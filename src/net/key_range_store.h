// Stores the ownership of idempotency key ranges in the platform's store. The
// table is one value that is changed by compare-and-swap.
#ifndef MARJORAMHALL_NET_KEY_RANGE_STORE_H_
#define MARJORAMHALL_NET_KEY_RANGE_STORE_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "src/control/store_client.h"
#include "src/request/request_events.h"

namespace marjoramhall::net {

// Called exactly once per call, on the control thread. Record(): `ok` means
// that all proposed records are in the store. Read(): `ok` means that `records`
// is the complete table. On failure, `records` is the table as last read, or
// empty if it could not be read.
using KeyRangesDone =
    std::function<void(bool ok, std::vector<request::KeyRangeRecord> records)>;

// Must be used on the control thread. Calls may overlap.
class KeyRangeStore {
 public:
  // `key` is the key of the table in the store.
  KeyRangeStore(control::StoreClient store, std::string key);

  // Adds or replaces records. A record is accepted if the table contains its
  // predecessor (same range, epoch - 1; none for epoch 1) or the record itself.
  // The latter lets a retry succeed after the result of a write was lost.
  // Either all records are accepted or none. Cost: usually one read and one
  // write, at most kMaxTries of each plus one read.
  void Record(std::vector<request::KeyRangeRecord> records, KeyRangesDone done);

  // Reads the whole table. Cost: one read.
  void Read(KeyRangesDone done);

 private:
  // Limits the store calls of one Record() while many VMs write concurrently.
  static constexpr int kMaxTries = 5;

  void TryRecord(std::vector<request::KeyRangeRecord> records,
                 int tries_left,
                 KeyRangesDone done);

  const control::StoreClient store_;
  const std::string key_;
};

}  // namespace marjoramhall::net

#endif  // MARJORAMHALL_NET_KEY_RANGE_STORE_H_
