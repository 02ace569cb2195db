// Options of the request plane core.
#ifndef MARJORAMHALL_REQUEST_REQUEST_OPTIONS_H_
#define MARJORAMHALL_REQUEST_REQUEST_OPTIONS_H_

#include <cstddef>

#include "src/base/time.h"

namespace marjoramhall::request {

struct RequestPlaneOptions {
  // Limit of waiting requests at this VM, per service and priority class.
  size_t max_waiting_requests = 4096;
  // Limit of live requests at this VM over all services.
  size_t max_live_requests = 65536;
  // Long requests may not use the slots that short requests need on average,
  // nor this ratio of the remaining slots.
  double short_reserve_ratio = 0.155;
  double retries_per_first_attempt = 0.1;

  // Minimum time between two slot reports, or between two grants to one VM.
  Duration slot_report_interval = std::chrono::milliseconds(100);
  // How often a VM repeats its slot report to renew its leases.
  Duration lease_renew_interval = std::chrono::seconds(2);
  // How long a lease is valid without renewal. Longer than it takes to remove a
  // dead allocator from the membership (about 5 s), so that a VM keeps its
  // slots until the new allocator has rebuilt the table.
  Duration slot_lease = std::chrono::seconds(8);
  // How long the slots of a new target ramp up.
  Duration slow_start_time = std::chrono::seconds(5);

  // Retention of idempotency keys, and the length of a history gap.
  Duration key_retention = std::chrono::seconds(600);
  size_t max_keys = 100000;
  size_t max_stored_answer_bytes = size_t{32} << 20;
  // When a VM is missing, a range owner grants no claim if the store has not
  // confirmed its ownership for this long.
  Duration ownership_confirm_timeout = std::chrono::seconds(300);
  Duration max_claim_resend_interval = std::chrono::milliseconds(100);
};

}  // namespace marjoramhall::request

#endif  // MARJORAMHALL_REQUEST_REQUEST_OPTIONS_H_
