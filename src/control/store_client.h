// The platform's key-value store as the control plane sees it. A StoreClient is
// a set of hooks, so that the HTTP client, the in-process store and a test fake
// are the same type. Every call counts against the store's rates.
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
  // Compare-and-swap found another version; nothing was written.
  kConflict,
  // The store did not get the call, or said that it refused it; nothing was
  // written.
  kUnavailable,
  // The answer was lost; a write may have taken effect.
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

// A value with the version that the store gave it. Version 0: no such key.
struct StoreValue {
  std::string value;
  uint64_t version = 0;
};

// A lease as granted. `fencing` rises with every grant of the same name.
struct StoreLease {
  uint64_t fencing_token = 0;
  Duration ttl{0};
};

using ReadCallback = std::function<void(StoreStatus, StoreValue)>;
using WriteCallback = std::function<void(StoreStatus, uint64_t version)>;
using LeaseCallback = std::function<void(StoreStatus, StoreLease)>;

// Hooks are called on the control thread and answer there, later and exactly
// once. Values are at most 1 MB.
struct StoreClient {
  // Reads a key; kOk with version 0 when it does not exist.
  std::function<void(const std::string& key, ReadCallback done)> read;
  // Writes when the key's version equals `expected` (0: must not exist).
  std::function<void(const std::string& key,
                     uint64_t expected,
                     std::string value,
                     WriteCallback done)>
      compare_and_swap;
  // Takes or renews a lease for `holder`; kConflict while another holds it.
  std::function<void(const std::string& name,
                     const std::string& holder,
                     Duration ttl,
                     LeaseCallback done)>
      acquire_lease;
  // Answers as soon as the key's version differs from `known`, or with the
  // unchanged value when `timeout` has passed.
  std::function<void(const std::string& key,
                     uint64_t known,
                     Duration timeout,
                     ReadCallback done)>
      watch;
};

}  // namespace marjoramhall::control

#endif  // MARJORAMHALL_CONTROL_STORE_CLIENT_H_
