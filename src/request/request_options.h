// Constants of the request plane core that a deployment may set.
#ifndef MARJORAMHALL_REQUEST_REQUEST_OPTIONS_H_
#define MARJORAMHALL_REQUEST_REQUEST_OPTIONS_H_

#include <cstddef>

#include "src/base/time.h"

namespace marjoramhall::request {

struct RequestPlaneOptions {
  // Requests that may wait at this VM, per service and class.
  size_t max_waiting_requests = 4096;
  // Live requests of this VM over all services.
  size_t max_live_requests = 65536;
  // Long work may not take the slots that short work needs on average, nor this
  // share of the others.
  double short_reserve_ratio = 0.155;
  // Retries per first attempt.
  double retries_per_first_attempt = 0.1;

  // Least time between two slot reports or two grants to the same VM.
  Duration slot_report_interval = std::chrono::milliseconds(100);
  // A VM that holds slots repeats its report this often to renew them.
  Duration lease_renew_interval = std::chrono::seconds(2);
  // Longer than the removal of a dead allocator (about 5 s), so that a VM keeps
  // its slots until the successor has rebuilt the table.
  Duration slot_lease = std::chrono::seconds(8);
  Duration slow_start_time = std::chrono::seconds(5);

  // Retention of keys and the length of a history gap.
  Duration key_retention = std::chrono::seconds(600);
  size_t max_keys = 100000;
  size_t max_stored_answer_bytes = size_t{32} << 20;
  // An owner that misses a VM grants no claim when the store has not
  // confirmed its ownership for this long.
  Duration ownership_confirm_timeout = std::chrono::seconds(300);
  Duration max_claim_resend_interval = std::chrono::milliseconds(100);
};

}  // namespace marjoramhall::request

#endif  // MARJORAMHALL_REQUEST_REQUEST_OPTIONS_H_
