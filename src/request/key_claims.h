// Claims of idempotency keys by the VM that received the request (its entry
// VM). A keyed request may run only after the owner of its key range has
// granted the claim. Afterwards the entry VM reports the outcome.
#ifndef MARJORAMHALL_REQUEST_KEY_CLAIMS_H_
#define MARJORAMHALL_REQUEST_KEY_CLAIMS_H_

#include <functional>
#include <unordered_map>

#include "src/base/verdict.h"
#include "src/request/key_range_state.h"
#include "src/request/request_options.h"

namespace marjoramhall::protocol {
class KeyOutcomeAck;
class KeyReply;
}  // namespace marjoramhall::protocol

namespace marjoramhall::request {

enum class ClaimOutcome { kNotRun, kAnswered, kMayHaveRun };

// Called from OnReply() or Tick(). For each claim at most one of `granted`,
// `replay` and `refused` is called.
struct ClaimHooks {
  // The request may start until its deadline.
  std::function<void(RequestId, TimePoint now)> granted;
  std::function<void(RequestId, const StoredAnswer&, TimePoint now)> replay;
  std::function<void(RequestId, const Refusal&, TimePoint now)> refused;
  // No member is known that owns the key's range.
  std::function<void()> owner_unknown;
  // A reply contains a peer's newest record of a range.
  std::function<void(VmId from, const protocol::KeyReply&, TimePoint now)>
      record_learned;
};

class KeyClaims {
 public:
  KeyClaims(const RequestPlaneOptions& options,
            KeyContext& context,
            ClaimHooks hooks);

  // Claims the key for a request. `ttl` is the time until its deadline.
  void Start(RequestId id,
             KeyName name,
             uint64_t fingerprint,
             bool first_attempt,
             Duration ttl,
             TimePoint now);
  void OnReply(VmId from, const protocol::KeyReply& reply, TimePoint now);
  // Ends the claim, granted or not, and reports its outcome to the owner.
  // `answer` may be null.
  void Finish(RequestId id,
              ClaimOutcome outcome,
              const StoredAnswer* answer,
              TimePoint now);
  // The refusal for a request whose claim is not granted in time.
  Refusal TimeoutRefusal(RequestId id) const;
  void OnOutcomeAck(VmId from, const protocol::KeyOutcomeAck& ack);

  // Resends claims and outcomes, and refuses claims that no owner answers.
  void Tick(TimePoint now);
  // True when the owners have acknowledged every outcome.
  bool AllOutcomesAcknowledged() const { return unacked_outcomes_.empty(); }

 private:
  struct Claim {
    KeyName name;
    uint64_t fingerprint = 0;
    bool first_attempt = false;
    uint64_t open_gap = 0;  // as known when the request arrived
    TimePoint started_at{};
    TimePoint expires_at{};
    TimePoint resend_at{};
    Duration resend_interval{0};
    bool granted = false;
    bool key_busy = false;  // another request with the key is running
  };
  struct EndedClaim {
    KeyName name;
    uint64_t fingerprint = 0;
    ClaimOutcome outcome = ClaimOutcome::kNotRun;
    bool has_answer = false;
    StoredAnswer answer;
    TimePoint ended_at{};
    TimePoint resend_at{};
    Duration resend_interval{0};
  };

  VmId OwnerOf(const KeyName& name) const;
  void SendClaim(RequestId id, Claim& claim, TimePoint now);
  void SendOutcome(RequestId id, EndedClaim& ended, TimePoint now);
  void OnGranted(RequestId id,
                 VmId from,
                 const protocol::KeyReply& reply,
                 TimePoint now);

  const RequestPlaneOptions& options_;
  KeyContext& context_;
  ClaimHooks hooks_;
  std::unordered_map<RequestId, Claim> claims_;
  // Outcomes that the owners have not acknowledged.
  std::unordered_map<RequestId, EndedClaim> unacked_outcomes_;
  TimePoint last_resend_check_at_{};
};

}  // namespace marjoramhall::request

#endif  // MARJORAMHALL_REQUEST_KEY_CLAIMS_H_
