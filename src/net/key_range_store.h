// Keeps the ownership of idempotency key ranges in the platform's store, as one
// value that is changed by compare-and-swap.
#ifndef MARJORAMHALL_NET_KEY_RANGE_STORE_H_
#define MARJORAMHALL_NET_KEY_RANGE_STORE_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "src/control/store_client.h"
#include "src/request/request_events.h"

namespace marjoramhall::net {

// Called once per call, on the control thread. `ok` for Record: every proposed
// record is in the store. `ok` for Read: `records` is the whole table. When not
// ok, `records` is the table as last read, or empty when it could not be read.
using KeyRangesDone =
    std::function<void(bool ok, std::vector<request::KeyRangeRecord> records)>;

// Control thread only. Calls of the same VM may overlap.
class KeyRangeStore {
 public:
  // `key` is the store's key of the table.
  KeyRangeStore(control::StoreClient store, std::string key);

  // Adds or replaces records. A record is accepted when the table holds its
  // predecessor (same range, epoch - 1; none for epoch 1) or the record itself,
  // so that a write whose answer was lost settles when it is tried again. All
  // records are accepted or none. Cost: at least one read and one write; at
  // most kMaxTries of both.
  void Record(std::vector<request::KeyRangeRecord> records, KeyRangesDone done);

  // Reads the whole table. Cost: one read.
  void Read(KeyRangesDone done);

 private:
  // Bounds the store calls of one Record when many VMs write at once.
  static constexpr int kMaxTries = 5;

  void TryRecord(std::vector<request::KeyRangeRecord> records,
                 int tries_left,
                 KeyRangesDone done);

  const control::StoreClient store_;
  const std::string key_;
};

}  // namespace marjoramhall::net

#endif  // MARJORAMHALL_NET_KEY_RANGE_STORE_H_
