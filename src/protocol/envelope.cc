// Sealing and verification of envelopes, and the replay window per sender.
#include "src/protocol/envelope.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>
#include <utility>

#include "src/protocol/envelope.pb.h"

namespace marjoramhall::protocol {
namespace {

constexpr size_t kMacBytes = 16;

// Limits the memory of the replay windows to 2.6 MB. A fleet of 760 VMs with
// 300 replacements per day reaches the limit after weeks. Then the sender with
// the oldest incarnation is evicted.
constexpr size_t kMaxSenders = 16384;

}  // namespace

EnvelopeCodec::EnvelopeCodec(std::string deployment,
                             std::string key,
                             VmId self,
                             Incarnation start)
    : deployment_(std::move(deployment)),
      key_(std::move(key)),
      self_(self),
      start_(start) {}

std::string EnvelopeCodec::Mac(std::string_view text) const {
  std::array<unsigned char, EVP_MAX_MD_SIZE> buf;
  unsigned int n = 0;
  HMAC(EVP_sha256(), key_.data(), static_cast<int>(key_.size()),
       reinterpret_cast<const unsigned char*>(text.data()), text.size(),
       buf.data(), &n);
  return {reinterpret_cast<const char*>(buf.data()), kMacBytes};
}

std::string EnvelopeCodec::Seal(Incarnation incarnation,
                                VmId recipient,
                                Incarnation recipient_incarnation,
                                PeerChannel channel,
                                std::string payload) {
  Envelope envelope;
  envelope.set_deployment(deployment_);
  envelope.set_sender(ToInteger(self_));
  envelope.set_sender_incarnation(incarnation);
  envelope.set_recipient(ToInteger(recipient));
  envelope.set_recipient_incarnation(recipient_incarnation);
  envelope.set_sequence(++sequence_);
  envelope.set_channel(static_cast<uint32_t>(channel));
  envelope.set_payload(std::move(payload));
  SealedEnvelope sealed;
  envelope.SerializeToString(sealed.mutable_envelope());
  sealed.set_mac(Mac(sealed.envelope()));
  return sealed.SerializeAsString();
}

OpenedEnvelope EnvelopeCodec::Open(std::string_view wire) {
  OpenedEnvelope result;
  result.error = Verify(wire, &result);
  if (result.error != EnvelopeError::kNone) {
    ++rejected_[static_cast<size_t>(result.error)];
    result.payload.clear();
  }
  return result;
}

EnvelopeError EnvelopeCodec::Verify(std::string_view wire,
                                    OpenedEnvelope* out) {
  if (wire.size() > kMaxEnvelopeBytes) {
    return EnvelopeError::kOversized;
  }
  SealedEnvelope sealed;
  if (!sealed.ParseFromArray(wire.data(), static_cast<int>(wire.size()))) {
    return EnvelopeError::kMalformed;
  }
  const std::string mac = Mac(sealed.envelope());
  if (sealed.mac().size() != mac.size() ||
      CRYPTO_memcmp(sealed.mac().data(), mac.data(), mac.size()) != 0) {
    return EnvelopeError::kBadMac;
  }
  Envelope envelope;
  if (!envelope.ParseFromString(sealed.envelope()) || envelope.sender() == 0 ||
      envelope.channel() < static_cast<uint32_t>(PeerChannel::kMembership) ||
      envelope.channel() > static_cast<uint32_t>(PeerChannel::kRequest)) {
    return EnvelopeError::kMalformed;
  }
  if (envelope.deployment() != deployment_) {
    return EnvelopeError::kOtherDeployment;
  }
  out->sender = static_cast<VmId>(envelope.sender());
  out->incarnation = envelope.sender_incarnation();
  out->channel = static_cast<PeerChannel>(envelope.channel());
  out->addressed = envelope.recipient() != 0;
  const bool from_self = out->sender == self_;
  const bool to_other =
      out->addressed && static_cast<VmId>(envelope.recipient()) != self_;
  if (from_self || to_other) {
    return EnvelopeError::kOtherRecipient;
  }
  if (out->addressed && envelope.recipient_incarnation() < start_) {
    return EnvelopeError::kOldRecipient;
  }
  const EnvelopeError replay_error =
      CheckReplay(out->sender, out->incarnation, envelope.sequence());
  if (replay_error == EnvelopeError::kNone) {
    out->payload = std::move(*envelope.mutable_payload());
  }
  return replay_error;
}

EnvelopeError EnvelopeCodec::CheckReplay(VmId id,
                                         Incarnation incarnation,
                                         uint64_t sequence) {
  if (senders_.size() >= kMaxSenders && !senders_.contains(id)) {
    auto oldest = senders_.begin();
    for (auto it = senders_.begin(); it != senders_.end(); ++it) {
      if (it->second.incarnation < oldest->second.incarnation) {
        oldest = it;
      }
    }
    senders_.erase(oldest);
  }
  Sender& sender = senders_[id];
  if (incarnation < sender.incarnation) {
    return EnvelopeError::kOldIncarnation;
  }
  if (incarnation > sender.incarnation) {
    sender = Sender();
    sender.incarnation = incarnation;
  }
  if (sequence > sender.highest_sequence) {
    const uint64_t step = sequence - sender.highest_sequence;
    sender.received = step < kReplayWindow ? sender.received << step
                                           : std::bitset<kReplayWindow>();
    sender.received.set(0);
    sender.highest_sequence = sequence;
    return EnvelopeError::kNone;
  }
  const uint64_t age = sender.highest_sequence - sequence;
  if (age >= kReplayWindow || sender.received.test(age)) {
    return EnvelopeError::kReplay;
  }
  sender.received.set(age);
  return EnvelopeError::kNone;
}

uint64_t EnvelopeCodec::RejectedCount(EnvelopeError error) const {
  return rejected_[static_cast<size_t>(error)];
}

}  // namespace marjoramhall::protocol
