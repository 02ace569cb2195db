// Authenticated envelope of all messages between VMs: sender, incarnation,
// sequence number, channel and deployment name under HMAC-SHA256.
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

// Largest envelope on the wire. Configuration goes in chunks of 32 KB; the
// largest other message is a page of stored answers of 16 KB each.
inline constexpr size_t kMaxEnvelopeBytes = size_t{256} * 1024;

enum class EnvelopeError {
  kNone,
  kOversized,
  kMalformed,
  kBadMac,
  kOtherDeployment,
  kOtherRecipient,
  // Meant for an earlier process of this VM.
  kOldRecipient,
  // From an earlier process of the sender.
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
  // Valid when the MAC was right, that is also for kOldIncarnation and kReplay.
  VmId sender = VmId::kNone;
  Incarnation incarnation = 0;
  // False when the sender did not know the recipient: only a join message may
  // be sent like that.
  bool addressed = false;
  PeerChannel channel = PeerChannel::kMembership;
  std::string payload;
};

// Seals and opens envelopes for one process. Not thread-safe. Cost: one HMAC of
// the message each way; 160 bytes of memory for each sender heard of.
class EnvelopeCodec {
 public:
  EnvelopeCodec(std::string deployment,
                std::string key,
                VmId self,
                Incarnation start);

  // Seals a message from this process, which has raised its incarnation to
  // `incarnation`. Each call takes the next sequence number.
  std::string Seal(Incarnation incarnation,
                   VmId recipient,
                   Incarnation recipient_incarnation,
                   PeerChannel channel,
                   std::string payload);

  // Checks and opens a message. Each message is opened at most once; its later
  // copies are replays.
  OpenedEnvelope Open(std::string_view wire);

  // Number of messages refused for this reason.
  uint64_t Refused(EnvelopeError error) const;

 private:
  // Messages of one sender may overtake each other by this many.
  static constexpr size_t kWindow = 1024;

  struct Sender {
    Incarnation incarnation = 0;
    uint64_t highest = 0;
    // Bit i: sequence number `highest - i` was seen.
    std::bitset<kWindow> seen;
  };

  EnvelopeError Check(std::string_view wire, OpenedEnvelope* out);
  EnvelopeError CheckFresh(VmId id, Incarnation incarnation, uint64_t sequence);
  std::string Mac(std::string_view text) const;

  std::string deployment_;
  std::string key_;
  VmId self_;
  Incarnation start_;
  uint64_t sequence_ = 0;
  std::unordered_map<VmId, Sender> senders_;
  uint64_t refused_[kEnvelopeErrorCount] = {};
};

}  // namespace marjoramhall::protocol

#endif  // MARJORAMHALL_PROTOCOL_ENVELOPE_H_
