// Counts the calls of a store client by kind and result.
#ifndef MARJORAMHALL_CONTROL_STORE_COUNTER_H_
#define MARJORAMHALL_CONTROL_STORE_COUNTER_H_

#include <cstdint>
#include <memory>

#include "src/control/store_client.h"

namespace marjoramhall::control {

struct StoreCallCounts {
  uint64_t reads = 0;
  uint64_t writes = 0;
  uint64_t leases = 0;
  uint64_t watches = 0;
  // Results, indexed by StoreStatus.
  uint64_t results[4] = {};
};

// Returns a client that forwards all calls to `inner` and counts them and their
// results in `counts`.
StoreClient CountCalls(StoreClient inner,
                       const std::shared_ptr<StoreCallCounts>& counts);

}  // namespace marjoramhall::control

#endif  // MARJORAMHALL_CONTROL_STORE_COUNTER_H_
