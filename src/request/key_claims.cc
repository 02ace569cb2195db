// Claims, their outcomes and resends at the entry VM.
#include "src/request/key_claims.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "src/protocol/request_control.pb.h"

namespace marjoramhall::request {
namespace {

using protocol::KeyReply;
using std::chrono::milliseconds;

constexpr Duration kResendCheckInterval = milliseconds(20);
// An answer takes four network hops of about 0.5 ms. Messages are lost most
// often on a new connection to a peer, so the first resend comes early.
constexpr Duration kMinClaimResendInterval = milliseconds(20);
constexpr Duration kMinOutcomeResendInterval = milliseconds(100);
constexpr Duration kMaxOutcomeResendInterval = std::chrono::seconds(2);
// A claim without an answer is refused after this time or at the request's
// deadline. Longer than a store round trip during a take-over.
constexpr Duration kOwnerReplyTimeout = std::chrono::seconds(3);

// 503: this submission has not run.
Refusal NotRun(RefusalReason reason) {
  return {reason, Verdict::kNotRun, 503, std::chrono::seconds(1)};
}

// 409: an earlier submission with the same key has run or may have run.
Refusal MayHaveRun(RefusalReason reason) {
  return {reason, Verdict::kMayHaveRun, 409, Duration{0}};
}

}  // namespace

KeyClaims::KeyClaims(const RequestPlaneOptions& options,
                     KeyContext& context,
                     ClaimHooks hooks)
    : options_(options), context_(context), hooks_(std::move(hooks)) {}

VmId KeyClaims::OwnerOf(const KeyName& name) const {
  const KeyRangeRecord& record = context_.ranges[RangeOf(name)].record;
  if (record.owner == context_.self ||
      context_.MemberOf(record.owner) != nullptr) {
    return record.owner;
  }
  return context_.MemberOf(record.backup) != nullptr ? record.backup
                                                     : VmId::kNone;
}

void KeyClaims::SendClaim(RequestId id, Claim& claim, TimePoint now) {
  claim.resend_interval =
      std::clamp(claim.resend_interval * 2, kMinClaimResendInterval,
                 options_.max_claim_resend_interval);
  claim.resend_at = now + claim.resend_interval;
  const VmId owner = OwnerOf(claim.name);
  if (owner == VmId::kNone) {
    hooks_.owner_unknown();
    return;
  }
  protocol::RequestMessage message;
  protocol::KeyClaim* out = message.mutable_key_claim();
  ToProto(claim.name, out->mutable_name());
  ToProto(ClaimId{context_.self, context_.incarnation, id},
          out->mutable_claim());
  out->set_fingerprint(claim.fingerprint);
  out->set_first_attempt(claim.first_attempt);
  out->set_open_gap(claim.open_gap);
  context_.send(owner, message);
}

void KeyClaims::Start(RequestId id,
                      KeyName name,
                      uint64_t fingerprint,
                      bool first_attempt,
                      Duration ttl,
                      TimePoint now) {
  Claim& claim = claims_[id];
  claim.name = std::move(name);
  claim.fingerprint = fingerprint;
  claim.first_attempt = first_attempt;
  claim.open_gap = context_.ranges[RangeOf(claim.name)].known_open_gap;
  claim.started_at = now;
  claim.expires_at = now + ttl;
  SendClaim(id, claim, now);
}

void KeyClaims::OnGranted(RequestId id,
                          VmId from,
                          const protocol::KeyReply& reply,
                          TimePoint now) {
  const auto it = claims_.find(id);
  if (it != claims_.end()) {
    if (!it->second.granted && now < it->second.expires_at) {
      it->second.granted = true;
      hooks_.granted(id, now);
    }
    return;
  }
  const auto ended = unacked_outcomes_.find(id);
  if (ended != unacked_outcomes_.end()) {
    SendOutcome(id, ended->second, now);
    return;
  }
  // The claim has ended and its outcome was acknowledged. If the request had
  // run, that outcome has ended the claim at the owner for good, and the owner
  // ignores this release.
  protocol::RequestMessage message;
  protocol::KeyOutcome* out = message.mutable_key_outcome();
  *out->mutable_name() = reply.name();
  *out->mutable_claim() = reply.claim();
  out->set_outcome(protocol::KeyOutcome::NOT_RUN);
  context_.send(from, message);
}

void KeyClaims::OnReply(VmId from,
                        const protocol::KeyReply& reply,
                        TimePoint now) {
  const ClaimId claim_id = FromProto(reply.claim());
  if (claim_id.vm != context_.self ||
      claim_id.incarnation != context_.incarnation) {
    return;
  }
  const RequestId id = claim_id.request;
  if (reply.open_gap() != 0) {
    context_.ranges[RangeOf(FromProto(reply.name()))].known_open_gap =
        reply.open_gap();
  }
  if (reply.has_record()) {
    hooks_.record_learned(from, reply, now);
  }
  if (reply.result() == KeyReply::GRANTED) {
    OnGranted(id, from, reply, now);
    return;
  }
  const auto it = claims_.find(id);
  if (it == claims_.end() || it->second.granted) {
    return;
  }
  switch (reply.result()) {
    case KeyReply::NOT_OWNER:
      // Soon asks the owner in the reply's record. The delay prevents a busy
      // loop.
      it->second.resend_at =
          std::min(it->second.resend_at, now + kResendCheckInterval);
      break;
    case KeyReply::BUSY:
      it->second.key_busy = true;
      break;
    case KeyReply::MAY_HAVE_RUN:
      hooks_.refused(id, MayHaveRun(RefusalReason::kKeyInUse), now);
      break;
    case KeyReply::ANSWERED:
      hooks_.replay(id, FromProto(reply.answer()), now);
      break;
    case KeyReply::MISMATCH:
      hooks_.refused(
          id, {RefusalReason::kKeyMismatch, Verdict::kNotRun, 409, Duration{0}},
          now);
      break;
    case KeyReply::HISTORY_LOST:
      hooks_.refused(id, MayHaveRun(RefusalReason::kKeyHistoryLost), now);
      break;
    case KeyReply::FULL:
      hooks_.refused(id, NotRun(RefusalReason::kOverload), now);
      break;
    default:
      break;
  }
}

Refusal KeyClaims::TimeoutRefusal(RequestId id) const {
  const auto it = claims_.find(id);
  if (it != claims_.end() && it->second.key_busy) {
    return MayHaveRun(RefusalReason::kKeyInUse);
  }
  Refusal refusal = NotRun(RefusalReason::kKeyOwnerUnreachable);
  if (it != claims_.end() && !it->second.first_attempt) {
    // The state of earlier submissions is unknown.
    refusal.verdict = Verdict::kMayHaveRun;
  }
  return refusal;
}

void KeyClaims::Finish(RequestId id,
                       ClaimOutcome outcome,
                       const StoredAnswer* answer,
                       TimePoint now) {
  const auto it = claims_.find(id);
  if (it == claims_.end()) {
    return;
  }
  EndedClaim ended;
  ended.name = std::move(it->second.name);
  ended.fingerprint = it->second.fingerprint;
  ended.outcome = outcome;
  ended.has_answer = answer != nullptr;
  if (answer != nullptr) {
    ended.answer = *answer;
  }
  ended.ended_at = now;
  ended.resend_interval = kMinOutcomeResendInterval;
  claims_.erase(it);
  SendOutcome(id, unacked_outcomes_[id] = std::move(ended), now);
}

void KeyClaims::SendOutcome(RequestId id, EndedClaim& ended, TimePoint now) {
  ended.resend_at = now + ended.resend_interval;
  ended.resend_interval =
      std::min(ended.resend_interval * 2, kMaxOutcomeResendInterval);
  const VmId owner = OwnerOf(ended.name);
  if (owner == VmId::kNone) {
    hooks_.owner_unknown();
    return;
  }
  protocol::RequestMessage message;
  protocol::KeyOutcome* out = message.mutable_key_outcome();
  ToProto(ended.name, out->mutable_name());
  ToProto(ClaimId{context_.self, context_.incarnation, id},
          out->mutable_claim());
  out->set_fingerprint(ended.fingerprint);
  switch (ended.outcome) {
    case ClaimOutcome::kNotRun:
      out->set_outcome(protocol::KeyOutcome::NOT_RUN);
      break;
    case ClaimOutcome::kAnswered:
      out->set_outcome(protocol::KeyOutcome::ANSWERED);
      break;
    case ClaimOutcome::kMayHaveRun:
      out->set_outcome(protocol::KeyOutcome::MAY_HAVE_RUN);
      break;
  }
  if (ended.has_answer) {
    ToProto(ended.answer, out->mutable_answer());
  }
  context_.send(owner, message);
}

void KeyClaims::OnOutcomeAck(VmId, const protocol::KeyOutcomeAck& ack) {
  const ClaimId claim = FromProto(ack.claim());
  if (claim.vm == context_.self && claim.incarnation == context_.incarnation) {
    unacked_outcomes_.erase(claim.request);
  }
}

void KeyClaims::Tick(TimePoint now) {
  if (now - last_resend_check_at_ < kResendCheckInterval) {
    return;
  }
  last_resend_check_at_ = now;
  std::vector<RequestId> unreachable;
  for (auto& [id, claim] : claims_) {
    if (claim.granted) {
      continue;
    }
    if (!claim.key_busy && now - claim.started_at >= kOwnerReplyTimeout) {
      unreachable.push_back(id);
    } else if (now >= claim.resend_at) {
      SendClaim(id, claim, now);
    }
  }
  std::sort(unreachable.begin(), unreachable.end());
  for (const RequestId it : unreachable) {
    hooks_.refused(it, TimeoutRefusal(it), now);
  }
  for (auto& [id, ended] : unacked_outcomes_) {
    if (now >= ended.resend_at) {
      SendOutcome(id, ended, now);
    }
  }
  std::erase_if(unacked_outcomes_, [&](const auto& it) {
    return now - it.second.ended_at >= options_.key_retention;
  });
}

}  // namespace marjoramhall::request
