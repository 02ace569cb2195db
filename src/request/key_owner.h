// The owner's and the backup's side of the at-most-once protocol: claims,
// outcomes and replication of keys. Who owns what is decided by RangeOwnership.
//
// Safety rests on two rules. A claimed key is granted again only after its
// holder reported "not run". A backup that may take over without a history gap
// has acknowledged every claim before it was granted.
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
                 Incarnation process,
                 const protocol::KeyReplica& replica,
                 TimePoint now);
  void OnReplicaAck(VmId from,
                    const protocol::KeyReplicaAck& ack,
                    TimePoint now);
  void OnSynced(VmId from,
                Incarnation process,
                const protocol::RangesSynced& synced,
                TimePoint now);

  // Starts to copy the range's keys to the backup of its record.
  void StartCopy(uint32_t range, TimePoint now);
  // The range has no backup: answers everything that waits for one.
  void RunWithoutBackup(uint32_t range);
  // A new process of a peer has been seen.
  void OnPeerRestart(VmId peer, TimePoint now);
  void EraseRange(uint32_t range);
  // Adds what this VM knows of the range to an announcement.
  void AddRangeTo(protocol::RangesAnnounce& announce,
                  uint32_t range,
                  TimePoint now) const;
  void Announce(VmId to, uint32_t range, TimePoint now);

  // Resends what is not acknowledged; expires keys.
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
  // Whether an unknown key may be claimed; replies when not.
  bool IsClaimableInGap(const KeyName& name,
                        const ClaimId& claim,
                        const protocol::KeyClaim& message,
                        TimePoint now);
  // Answers a claim on a key that exists.
  void ReplyExisting(const KeyName& name,
                     const ClaimId& claim,
                     uint64_t fingerprint,
                     KeyEntry& entry);
  bool NeedsAck(const RangeState& range) const;
  // Gives the entry its next version and sends it to the backup.
  void Replicate(const KeyName& name, KeyEntry& entry, TimePoint now);
  void SendReplica(const KeyName& name, const KeyEntry& entry, TimePoint now);
  // The backup holds the entry, or none is needed. May erase it.
  void CompletePending(const KeyName& name, KeyEntry& entry);
  void JoinAsBackup(RangeState& range, VmId from, Incarnation process);
  // Keys that expired no longer count as unacknowledged.
  void RecountUnacked();
  void SendSyncedIfCopied(uint32_t range, TimePoint now);

  KeyContext& context_;
  KeyTable table_;
  std::deque<UnackedReplica> unacked_replicas_;  // by due time
  TimePoint last_expired_at_{};
};

}  // namespace marjoramhall::request

#endif  // MARJORAMHALL_REQUEST_KEY_OWNER_H_
