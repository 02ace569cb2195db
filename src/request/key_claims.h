// The entry VM's side of the at-most-once protocol: claims a key before its
// request may run and reports how the claim ended.
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

// Called from OnReply() or Tick(), at most one of them per claim.
struct ClaimHooks {
  // The request may start, until its deadline.
  std::function<void(RequestId, TimePoint now)> granted;
  std::function<void(RequestId, const StoredAnswer&, TimePoint now)> replay;
  std::function<void(RequestId, const Refusal&, TimePoint now)> refused;
  // No VM is known that could own the key's range.
  std::function<void()> owner_unknown;
  // A peer named the newest record that it knows of a range.
  std::function<void(VmId from, const protocol::KeyReply&, TimePoint now)>
      record_learned;
};

class KeyClaims {
 public:
  KeyClaims(const RequestPlaneOptions& options,
            KeyContext& context,
            ClaimHooks hooks);

  void Start(RequestId id,
             KeyName name,
             uint64_t fingerprint,
             bool first_attempt,
             Duration ttl,
             TimePoint now);
  void OnReply(VmId from, const protocol::KeyReply& reply, TimePoint now);
  // Ends the claim, granted or not. `answer` may be null.
  void Finish(RequestId id,
              ClaimOutcome outcome,
              const StoredAnswer* answer,
              TimePoint now);
  // Why the request cannot start by its deadline.
  Refusal TimeoutRefusal(RequestId id) const;
  void OnOutcomeAck(VmId from, const protocol::KeyOutcomeAck& ack);

  // Resends claims and outcomes.
  void Tick(TimePoint now);
  // True when every outcome has been acknowledged.
  bool AllOutcomesAcknowledged() const { return unacked_outcomes_.empty(); }

 private:
  struct Claim {
    KeyName name;
    uint64_t fingerprint = 0;
    bool first_attempt = false;
    uint64_t open_gap = 0;  // known when the request arrived
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
  // Outcomes that the owner has not acknowledged.
  std::unordered_map<RequestId, EndedClaim> unacked_outcomes_;
  TimePoint last_resend_check_at_{};
};

}  // namespace marjoramhall::request

#endif  // MARJORAMHALL_REQUEST_KEY_CLAIMS_H_
