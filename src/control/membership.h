// SWIM-style membership. Every VM probes peers, directly and through other
// members, piggybacks member updates on these messages, and removes members
// that do not answer. Has no I/O: takes events and sends messages by a
// callback.
#ifndef MARJORAMHALL_CONTROL_MEMBERSHIP_H_
#define MARJORAMHALL_CONTROL_MEMBERSHIP_H_

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string_view>
#include <vector>

#include "src/base/decision.h"
#include "src/control/membership_rumors.h"
#include "src/control/membership_types.h"

namespace marjoramhall::protocol {
class HeldRevisions;
class MembershipMessage;
class MemberUpdate;
}  // namespace marjoramhall::protocol

namespace marjoramhall::control {

// Called with the lineage hash and revision that a peer reports to hold.
using PeerRevisionHook = std::function<
    void(const PeerAddress& peer, uint64_t lineage, Revision revision)>;

// Not thread-safe. Cost: four messages a second in the steady state,
// independent of the number of members, and about 500 bytes of memory for each
// member.
class Membership {
 public:
  // `self` must have its id, name, domain, endpoints and the incarnation at
  // process start. `seed` seeds the random choices.
  Membership(MembershipOptions options,
             config::Member self,
             SendHook send,
             PeerRevisionHook on_peer_revision,
             DecisionHook decide,
             uint64_t seed);

  // Handles an authenticated message. `addressed` is false for a message whose
  // sender did not know this VM's id; only joins are accepted without it.
  void OnMessage(VmId from,
                 bool addressed,
                 std::string_view payload,
                 TimePoint now);

  // Drives probes and timeouts. Call it about every 50 ms. A gap between events
  // of at least `pause_threshold` counts as a pause of this process.
  void OnTick(TimePoint now);

  // Handles an authenticated message with an incarnation below the known one.
  // This happens when a process restarts with an earlier clock. Notifies the
  // sender, so that it raises its incarnation.
  void OnStaleIncarnation(VmId from, TimePoint now);

  // Sets the lineage hash and revision that this VM holds.
  void SetOwnRevision(uint64_t lineage, Revision revision);

  // Announces a planned leave; the VM goes on working.
  void BeginLeave(TimePoint now);
  // Announces that this VM is gone. Call nothing but the destructor afterwards.
  void Leave(TimePoint now);

  // Present members including this VM, sorted by id.
  std::vector<config::Member> Members() const;
  size_t member_count() const { return present_.size(); }
  // Members removed less than 24 h ago and not seen with a later incarnation.
  // They may still run behind a partition.
  std::vector<config::Member> Removed() const;
  // Address of a present member; for other ids, an address with id kNone.
  PeerAddress AddressOf(VmId id) const;
  // Addresses of up to `count` random members other than this VM.
  std::vector<PeerAddress> RandomPeers(size_t count);

  const config::Member& self() const { return Self().member; }
  // True once another member has answered.
  bool joined() const { return joined_; }
  // Rises with every change of members or their states.
  uint64_t version() const { return version_; }
  // Rises with every change of the revision that a member holds.
  uint64_t held_revisions_version() const { return held_revisions_version_; }
  const MembershipStats& stats() const { return stats_; }

 private:
  struct Probe {
    VmId id = VmId::kNone;
    uint64_t nonce = 0;
    TimePoint sent_at;
    // 0: one ping sent, 1: two pings sent, 2: indirect probes requested too.
    int stage = 0;
  };
  // A probe sent on behalf of another member.
  struct Relay {
    PeerAddress requester;
    uint64_t requester_nonce = 0;
    TimePoint expires_at;
  };

  MemberRecord& Self() { return present_.at(self_id_); }
  const MemberRecord& Self() const { return present_.at(self_id_); }

  // membership_probe.cc: probes, suspicion timers, and contact with seeds and
  // removed members.
  void DetectPause(TimePoint now);
  void SendRefutation(TimePoint now);
  VmId NextProbedMember();
  void StartProbe(TimePoint now);
  void SendToRandomPeers(const MemberRecord& record);
  void AttachOwnRecord(protocol::MembershipMessage* message);
  bool IsRecentlyStarted(TimePoint now) const;
  void AdvanceProbes(TimePoint now);
  void SendIndirectProbes(const Probe& probe);
  void CheckSuspects(TimePoint now);
  void ContactRemoved(TimePoint now);
  void ContactSeeds(TimePoint now);
  void NotifyMember(const MemberRecord& record);
  bool SelectRandomly(double expected_senders);

  // membership_merge.cc: applying member updates.
  void ApplyUpdates(const protocol::MembershipMessage& message,
                    VmId from,
                    TimePoint now,
                    protocol::MembershipMessage* reply);
  void Apply(const protocol::MemberUpdate& update,
             TimePoint now,
             protocol::MembershipMessage* reply);
  void ApplyToSelf(const protocol::MemberUpdate& update, TimePoint now);
  void ApplyToUnknownMember(const protocol::MemberUpdate& update,
                            TimePoint now,
                            protocol::MembershipMessage* reply);
  void ApplyNewerUpdate(const protocol::MemberUpdate& update,
                        MemberRecord* record,
                        TimePoint now,
                        protocol::MembershipMessage* reply);
  void ApplyHeldRevisions(const protocol::HeldRevisions& held);
  void SetMemberRevision(MemberRecord* record, Revision revision);
  void Suspect(MemberRecord* record, Duration wait, TimePoint now);
  void Remove(VmId id, ProtocolState state, TimePoint now);
  void Restore(VmId id);
  void Refute(Incarnation above, bool full, TimePoint now);
  void Log(const MemberRecord& record, std::string_view outcome);

  // membership.cc: handling and filling messages.
  void HandleJoin(const protocol::MembershipMessage& message,
                  const protocol::MembershipMessage& reply);
  void HandlePingRequest(const protocol::MembershipMessage& message,
                         const PeerAddress& from,
                         TimePoint now);
  void HandleAck(const protocol::MembershipMessage& message, TimePoint now);
  void CompareDigest(const protocol::MembershipMessage& message,
                     const PeerAddress& from,
                     TimePoint now);
  void SendSync(const PeerAddress& to, uint32_t part, uint32_t parts);
  void Send(const PeerAddress& to, protocol::MembershipMessage* message);
  void AddRumors(protocol::MembershipMessage* message);
  void AddHeldRevisions(protocol::MembershipMessage* message);
  void AddDigest(protocol::MembershipMessage* message);
  uint64_t DigestOf(uint32_t part, uint32_t parts) const;
  size_t MaxTransmissions() const;

  const MembershipOptions options_;
  const VmId self_id_;
  SendHook send_;
  PeerRevisionHook on_peer_revision_;
  DecisionHook decide_;
  std::mt19937_64 random_;

  // Always contains this VM.
  std::map<VmId, MemberRecord> present_;
  // Members that were removed or left. Disjoint from present_.
  std::map<VmId, MemberRecord> removed_;
  // Member updates and held revisions to piggyback.
  RumorQueue rumors_;
  RumorQueue revision_rumors_;
  // Members still to be probed in this round.
  std::vector<VmId> probe_order_;
  std::vector<Probe> probes_;
  // By nonce of the relayed ping.
  std::map<uint64_t, Relay> relays_;

  uint64_t lineage_ = 0;
  uint64_t next_nonce_ = 0;
  uint64_t probe_count_ = 0;
  // Counts pings; selects the part of the id space that a ping compares.
  uint32_t next_part_ = 0;
  // Member whose revision was last sent in turn.
  VmId revision_cursor_ = VmId::kNone;
  size_t next_seed_ = 0;
  // False when no member is suspected; spares a scan of all members each tick.
  bool may_have_suspects_ = false;
  bool joined_ = false;
  bool stopped_ = false;
  TimePoint started_{};
  TimePoint last_event_{};
  // Refutations still to be sent after a pause.
  int refutation_rounds_left_ = 0;
  TimePoint next_refutation_{};
  TimePoint next_probe_{};
  TimePoint next_seed_contact_{};
  TimePoint next_removed_contact_{};
  TimePoint next_sync_{};
  uint64_t version_ = 1;
  uint64_t held_revisions_version_ = 1;
  MembershipStats stats_;
};

}  // namespace marjoramhall::control

#endif  // MARJORAMHALL_CONTROL_MEMBERSHIP_H_
