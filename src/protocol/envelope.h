// Authenticated envelope of all messages between VMs. An HMAC-SHA256 covers the
// sender, its incarnation, the recipient, the sequence number, the channel, the
// deployment name and the payload.
#ifndef MARJORAMHALL_PROTOCOL_ENVELOPE_H_
#define MARJORAMHALL_PROTOCOL_ENVELOPE_H_

#include <bitset>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>

#include "src/base/enum_names.h"
#include "src/base/ids.h"
#include "src/base/peer_channel.h"

namespace marjoramhall::protocol {

// Maximum size of a sealed envelope. Configuration is sent in chunks of 32 KB;
// the largest other message is a page of stored responses of 16 KB each.
inline constexpr size_t kMaxEnvelopeBytes = size_t{256} * 1024;

enum class EnvelopeError {
  kNone,
  kOversized,
  kMalformed,
  kBadMac,
  kOtherDeployment,
  kOtherRecipient,
  // Addressed to an earlier process of this VM.
  kOldRecipient,
  // Sent by an earlier process of the sender.
  kOldIncarnation,
  kReplay,
};
inline constexpr EnumName<EnvelopeError> kEnvelopeErrorNames[] = {
    {EnvelopeError::kNone, "none"},
    {EnvelopeError::kOversized, "oversized"},
    {EnvelopeError::kMalformed, "malformed"},
    {EnvelopeError::kBadMac, "bad-mac"},
    {EnvelopeError::kOtherDeployment, "other-deployment"},
    {EnvelopeError::kOtherRecipient, "other-recipient"},
    {EnvelopeError::kOldRecipient, "old-recipient"},
    {EnvelopeError::kOldIncarnation, "old-incarnation"},
    {EnvelopeError::kReplay, "replay"},
};
inline constexpr size_t kEnvelopeErrorCount = std::size(kEnvelopeErrorNames);
constexpr std::span<const EnumName<EnvelopeError>> NamesOf(EnvelopeError) {
  return kEnvelopeErrorNames;
}

struct OpenedEnvelope {
  EnvelopeError error = EnvelopeError::kNone;
  // The fields below except `payload` are valid once the MAC and the deployment
  // name have been verified, which includes kOldIncarnation and kReplay.
  VmId sender = VmId::kNone;
  Incarnation incarnation = 0;
  // False if the sender did not know the recipient's id, which is allowed only
  // for join messages.
  bool addressed = false;
  PeerChannel channel = PeerChannel::kMembership;
  // Empty unless `error` is kNone.
  std::string payload;
};

// Seals and opens envelopes for one process. Not thread-safe. Cost: one HMAC of
// the message per call, and 160 bytes of memory per known sender.
class EnvelopeCodec {
 public:
  EnvelopeCodec(std::string deployment,
                std::string key,
                VmId self,
                Incarnation start);

  // Seals a message from this process. `incarnation` is its current
  // incarnation, which may have been raised since the start. Each call uses the
  // next sequence number.
  std::string Seal(Incarnation incarnation,
                   VmId recipient,
                   Incarnation recipient_incarnation,
                   PeerChannel channel,
                   std::string payload);

  // Verifies and opens a message. A message is accepted at most once; further
  // copies give kReplay.
  OpenedEnvelope Open(std::string_view wire);

  // Number of messages that Open() rejected with this error.
  uint64_t RejectedCount(EnvelopeError error) const;

 private:
  // Size of the replay window in sequence numbers. A message that arrives later
  // than this many newer ones is rejected.
  static constexpr size_t kReplayWindow = 1024;

  struct Sender {
    Incarnation incarnation = 0;
    uint64_t highest_sequence = 0;
    // Bit i: sequence number `highest_sequence - i` was received.
    std::bitset<kReplayWindow> received;
  };

  EnvelopeError Verify(std::string_view wire, OpenedEnvelope* out);
  EnvelopeError CheckReplay(VmId id,
                            Incarnation incarnation,
                            uint64_t sequence);
  std::string Mac(std::string_view text) const;

  std::string deployment_;
  std::string key_;
  VmId self_;
  Incarnation start_;
  uint64_t sequence_ = 0;
  std::unordered_map<VmId, Sender> senders_;
  uint64_t rejected_[kEnvelopeErrorCount] = {};
};

}  // namespace marjoramhall::protocol

#endif  // MARJORAMHALL_PROTOCOL_ENVELOPE_H_
