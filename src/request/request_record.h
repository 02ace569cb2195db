// State of a live request at the VM that received it (its entry VM).
#ifndef MARJORAMHALL_REQUEST_REQUEST_RECORD_H_
#define MARJORAMHALL_REQUEST_REQUEST_RECORD_H_

#include <optional>

#include "src/base/ids.h"
#include "src/base/time.h"
#include "src/config/deployment.h"
#include "src/request/request_events.h"
#include "src/request/slot_loans.h"

namespace marjoramhall::request {

enum class RequestState {
  kClaiming,    // waiting for the grant of its idempotency key
  kWaiting,     // in the admission queue
  kRunning,     // an attempt is in flight
  kCancelling,  // the attempt is cancelled and has not ended yet
};

struct RequestRecord {
  RequestInfo info;
  config::Priority priority = config::Priority::kShort;
  bool idempotent = false;
  bool keyed = false;
  RequestState state = RequestState::kWaiting;
  TimePoint arrived_at{};
  TimePoint deadline{};
  uint32_t attempts = 0;
  TargetId target = TargetId::kNone;  // of the newest attempt
  TimePoint started_at{};             // of the newest attempt
  // Set when a peer lent the slot of the newest attempt.
  std::optional<Loan> loan;
  // An attempt may have run. Such a request is never refused as "not run".
  bool may_have_run = false;
  bool caller_disconnected = false;
};

}  // namespace marjoramhall::request

#endif  // MARJORAMHALL_REQUEST_REQUEST_RECORD_H_
