// Interface of the platform's key-value store. A StoreClient is a set of
// functions that the HTTP client, the in-process store and test fakes provide.
// Every call counts against the rate limits of the store.
#ifndef MARJORAMHALL_CONTROL_STORE_CLIENT_H_
#define MARJORAMHALL_CONTROL_STORE_CLIENT_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>

#include "src/base/enum_names.h"
#include "src/base/time.h"

namespace marjoramhall::control {

enum class StoreStatus {
  kOk,
  // Compare-and-swap found a different version, or the lease is held by another
  // holder; nothing was written.
  kConflict,
  // The store did not receive the call or rejected it; nothing was written.
  kUnavailable,
  // The response was lost; a write may have taken effect.
  kUnknown,
};
inline constexpr EnumName<StoreStatus> kStoreStatusNames[] = {
    {StoreStatus::kOk, "ok"},
    {StoreStatus::kConflict, "conflict"},
    {StoreStatus::kUnavailable, "unavailable"},
    {StoreStatus::kUnknown, "unknown"},
};
constexpr std::span<const EnumName<StoreStatus>> NamesOf(StoreStatus) {
  return kStoreStatusNames;
}

// A value with the version that the store gave it. Version 0 means that the key
// does not exist.
struct StoreValue {
  std::string value;
  uint64_t version = 0;
};

// A granted lease. The fencing token rises with every grant of the same name;
// renewals keep it.
struct StoreLease {
  uint64_t fencing_token = 0;
  Duration ttl{0};
};

using ReadCallback = std::function<void(StoreStatus, StoreValue)>;
using WriteCallback = std::function<void(StoreStatus, uint64_t version)>;
using LeaseCallback = std::function<void(StoreStatus, StoreLease)>;

// The functions are called on the control thread. Each calls `done` there
// exactly once, after it has returned. Values have at most 1 MB.
struct StoreClient {
  // Reads a key. A key that does not exist is read as kOk with version 0.
  std::function<void(const std::string& key, ReadCallback done)> read;
  // Writes when the key's version equals `expected`; 0 means that the key must
  // not exist.
  std::function<void(const std::string& key,
                     uint64_t expected,
                     std::string value,
                     WriteCallback done)>
      compare_and_swap;
  // Acquires or renews a lease for `holder`. Gives kConflict while another
  // holder has it.
  std::function<void(const std::string& name,
                     const std::string& holder,
                     Duration ttl,
                     LeaseCallback done)>
      acquire_lease;
  // Long poll: gives the value as soon as the key's version differs from
  // `known`, or the unchanged value after `timeout`.
  std::function<void(const std::string& key,
                     uint64_t known,
                     Duration timeout,
                     ReadCallback done)>
      watch;
};

}  // namespace marjoramhall::control

#endif  // MARJORAMHALL_CONTROL_STORE_CLIENT_H_
