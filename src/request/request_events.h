// The interface between the request plane core and the adapter that does its
// I/O: the events that the adapter reports and the hooks that the core calls.
// The core is request::RequestPlane (request_plane.h), the adapter is
// net::RequestProxy.
#ifndef MARJORAMHALL_REQUEST_REQUEST_EVENTS_H_
#define MARJORAMHALL_REQUEST_REQUEST_EVENTS_H_

#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "src/base/enum_names.h"
#include "src/base/ids.h"
#include "src/base/time.h"
#include "src/base/verdict.h"
#include "src/config/deployment.h"

namespace marjoramhall::request {

// Unique within one process of a VM.
using RequestId = uint64_t;

// A request whose headers have arrived from a caller.
struct RequestInfo {
  RequestId id = 0;
  ServiceId service = ServiceId::kNone;
  // Index into the service's kinds.
  size_t kind = 0;
  // Identifies the caller for per-caller limits: header "x-caller-id", or the
  // peer's IP address without it.
  std::string caller;
  // Value of "idempotency-key"; empty when absent.
  std::string idempotency_key;
  // Hash of method, path and body digest header. A key that is reused for
  // another request is refused.
  uint64_t fingerprint = 0;
  // True when the request has the header "idempotency-attempt: 1".
  bool declared_first_attempt = false;
  // Time left until the caller's deadline. The kind's deadline is an upper
  // bound.
  Duration deadline{0};
  // True while the adapter holds the whole body, so that a retry can send it
  // again.
  bool body_resendable = true;
};

// An answer that is small enough to store for resubmissions.
struct StoredAnswer {
  int status = 0;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
};

// How one attempt at a target ended.
enum class AttemptOutcome {
  // The whole answer was sent to the caller.
  kAnswered,
  // Nothing of the request was sent (no connection), or the target stated that
  // it did not run the request (REFUSED_STREAM, or GOAWAY with a lower id).
  kNotRun,
  // The target shed the request: status 503 with header "x-not-run: 1".
  kShed,
  // The connection or stream failed after at least a part of the request was
  // sent.
  kMayHaveRun,
  // Cancelled by the core; may have run.
  kCancelled,
};
inline constexpr EnumName<AttemptOutcome> kAttemptOutcomeNames[] = {
    {AttemptOutcome::kAnswered, "answered"},
    {AttemptOutcome::kNotRun, "not-run"},
    {AttemptOutcome::kShed, "shed"},
    {AttemptOutcome::kMayHaveRun, "may-have-run"},
    {AttemptOutcome::kCancelled, "cancelled"},
};
constexpr std::span<const EnumName<AttemptOutcome>> NamesOf(AttemptOutcome) {
  return kAttemptOutcomeNames;
}

struct AttemptResult {
  AttemptOutcome outcome = AttemptOutcome::kNotRun;
  int status = 0;
  // Set if `answer_stored`: for answers of keyed requests of at most 16 KB.
  StoredAnswer answer;
  bool answer_stored = false;
  // True when answer headers were already sent to the caller, so the request
  // cannot be retried.
  bool headers_sent = false;
};

enum class RefusalReason {
  kUnknownService,
  kNoTarget,
  kOverload,
  kDeadline,
  kLimit,
  kDraining,
  kKeyInUse,
  kKeyMismatch,
  kKeyHistoryLost,
  kKeyOwnerUnreachable,
  kTargetFailed,
  kNoConfiguration,
};
inline constexpr EnumName<RefusalReason> kRefusalReasonNames[] = {
    {RefusalReason::kUnknownService, "unknown-service"},
    {RefusalReason::kNoTarget, "no-target"},
    {RefusalReason::kOverload, "overload"},
    {RefusalReason::kDeadline, "deadline"},
    {RefusalReason::kLimit, "limit"},
    {RefusalReason::kDraining, "draining"},
    {RefusalReason::kKeyInUse, "key-in-use"},
    {RefusalReason::kKeyMismatch, "key-mismatch"},
    {RefusalReason::kKeyHistoryLost, "key-history-lost"},
    {RefusalReason::kKeyOwnerUnreachable, "key-owner-unreachable"},
    {RefusalReason::kTargetFailed, "target-failed"},
    {RefusalReason::kNoConfiguration, "no-configuration"},
};
constexpr std::span<const EnumName<RefusalReason>> NamesOf(RefusalReason) {
  return kRefusalReasonNames;
}

struct Refusal {
  RefusalReason reason = RefusalReason::kOverload;
  Verdict verdict = Verdict::kNotRun;
  int status = 503;
  Duration retry_after{0};  // 0: no "retry-after" header
};

// Ownership of a range of idempotency keys, as recorded in the store.
struct KeyRangeRecord {
  uint32_t range = 0;
  uint64_t epoch = 0;
  VmId owner = VmId::kNone;
  VmId backup = VmId::kNone;

  bool operator==(const KeyRangeRecord&) const = default;
};

// Calls from the core to the adapter. Hooks must not call back into the core
// before the current event has returned.
struct RequestHooks {
  // Sends the request to a target. Exactly one OnAttemptEnd() with the same id
  // and attempt number must follow.
  std::function<void(RequestId id,
                     uint32_t attempt,
                     const config::Target& target,
                     Duration deadline)>
      start_attempt;
  // Cancels an attempt (RST_STREAM). OnAttemptEnd() still follows.
  std::function<void(RequestId id, uint32_t attempt)> cancel_attempt;
  // Ends a request without an answer from a target. The id is invalid
  // afterwards.
  std::function<void(RequestId id, const Refusal& refusal)> refuse;
  // Ends a request with the stored answer to the first submission of its key.
  std::function<void(RequestId id, const StoredAnswer& answer)> replay;
  // Records range ownership in the store by compare-and-swap: the stored
  // predecessor of every record must have epoch - 1. OnRangeStoreReply() must
  // follow.
  std::function<void(std::vector<KeyRangeRecord> records)> record_ranges;
  // Reads the range table from the store. OnRangeStoreReply() must follow.
  std::function<void()> read_ranges;
};

}  // namespace marjoramhall::request

#endif  // MARJORAMHALL_REQUEST_REQUEST_EVENTS_H_
