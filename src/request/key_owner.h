// Idempotency keys at the owner and the backup of their ranges: claims,
// outcomes and replication. RangeOwnership decides which VM has which role.
//
// At-most-once execution depends on two rules:
// 1. A claimed key is granted again only after its claimant reported "not run".
// 2. A backup that may take over without a history gap has acknowledged every
// claim before the claim is granted.
#ifndef MARJORAMHALL_REQUEST_KEY_OWNER_H_
#define MARJORAMHALL_REQUEST_KEY_OWNER_H_

#include <cstdint>
#include <deque>

#include "src/request/key_range_state.h"
#include "src/request/key_table.h"

namespace marjoramhall::protocol {
class KeyClaim;
class KeyOutcome;
class KeyReplica;
class KeyReplicaAck;
class RangesAnnounce;
class RangesSynced;
}  // namespace marjoramhall::protocol

namespace marjoramhall::request {

class KeyOwner {
 public:
  KeyOwner(const RequestPlaneOptions& options, KeyContext& context);

  void OnClaim(VmId from, const protocol::KeyClaim& claim, TimePoint now);
  void OnOutcome(VmId from, const protocol::KeyOutcome& outcome, TimePoint now);
  void OnReplica(VmId from,
                 Incarnation incarnation,
                 const protocol::KeyReplica& replica,
                 TimePoint now);
  void OnReplicaAck(VmId from,
                    const protocol::KeyReplicaAck& ack,
                    TimePoint now);
  void OnSynced(VmId from,
                Incarnation incarnation,
                const protocol::RangesSynced& synced,
                TimePoint now);

  // Starts to copy the range's keys to the backup in its record.
  void StartCopy(uint32_t range, TimePoint now);
  // The range has no backup: sends every grant and acknowledgement that waits
  // for one.
  void RunWithoutBackup(uint32_t range);
  // Handles the first message of a new process of a peer.
  void OnPeerRestart(VmId peer, TimePoint now);
  void EraseRange(uint32_t range);
  // Adds this VM's record and role of the range to an announcement.
  void AddRangeTo(protocol::RangesAnnounce& announce,
                  uint32_t range,
                  TimePoint now) const;
  // Sends an announcement of one range.
  void Announce(VmId to, uint32_t range, TimePoint now);

  // Resends unacknowledged replicas, expires keys.
  void Tick(TimePoint now);

  const KeyTable& table() const { return table_; }

 private:
  struct UnackedReplica {
    TimePoint due;
    KeyName name;
    uint64_t version;
  };

  void Reply(const KeyName& name,
             const ClaimId& claim,
             int result,
             const KeyEntry* entry);
  // True when an unknown key may be claimed despite a history gap of its range.
  // Otherwise refuses the claim.
  bool IsClaimableInGap(const KeyName& name,
                        const ClaimId& claim,
                        const protocol::KeyClaim& message,
                        TimePoint now);
  // Answers a claim of a key that has an entry.
  void ReplyExisting(const KeyName& name,
                     const ClaimId& claim,
                     uint64_t fingerprint,
                     KeyEntry& entry);
  // True when the backup must acknowledge a claim before it is granted.
  bool NeedsAck(const RangeState& range) const;
  // Increments the entry's version and sends it to the backup.
  void Replicate(const KeyName& name, KeyEntry& entry, TimePoint now);
  void SendReplica(const KeyName& name, const KeyEntry& entry, TimePoint now);
  // Sends the pending grant or acknowledgement: the backup holds the entry, or
  // there is no backup. May erase the entry.
  void CompletePending(const KeyName& name, KeyEntry& entry);
  // Makes this VM the backup if the owner's message shows that it should be.
  void JoinAsBackup(RangeState& range, VmId from, Incarnation incarnation);
  // Updates the counts of unacknowledged entries after keys have expired.
  void RecountUnacked();
  // Tells the backup that it holds every key once all are acknowledged.
  void SendSyncedIfCopied(uint32_t range, TimePoint now);

  KeyContext& context_;
  KeyTable table_;
  std::deque<UnackedReplica> unacked_replicas_;  // by due time
  TimePoint last_expired_at_{};
};

}  // namespace marjoramhall::request

#endif  // MARJORAMHALL_REQUEST_KEY_OWNER_H_
