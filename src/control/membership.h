// SWIM-style membership: every VM probes random peers, directly and through
// helpers, spreads what it learns on the same messages, and removes a member
// that stays silent. Pure: events in, messages out through a hook.
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

// Reports the configuration that a peer says it holds.
using PeerRevisionHook = std::function<
    void(const PeerAddress& peer, uint64_t lineage, Revision revision)>;

// Not thread-safe. Cost: four messages a second in the steady state, whatever
// the number of members; about 500 bytes of memory for each member.
class Membership {
 public:
  // `self` must have id, name, domain, endpoints and the start incarnation.
  Membership(MembershipOptions options,
             config::Member self,
             SendHook send,
             PeerRevisionHook on_peer_revision,
             DecisionHook decide,
             uint64_t seed);

  // Handles an authenticated message. `addressed` is false for a message whose
  // sender did not know this VM's id; only a join is accepted like that.
  void OnMessage(VmId from,
                 bool addressed,
                 std::string_view payload,
                 TimePoint now);

  // Drives probes and timeouts; call it every 50 ms or so. Longer gaps are
  // taken as pauses of this process.
  void OnTick(TimePoint now);

  // A message with a right signature had an incarnation below the known one:
  // a process that was restarted with a wrong clock. Tells it, so that it
  // raises its incarnation.
  void OnStaleIncarnation(VmId from, TimePoint now);

  // States what this VM holds.
  void SetHeld(uint64_t lineage, Revision revision);

  // Announces that this VM is leaving but still works.
  void BeginLeave(TimePoint now);
  // Announces that this VM is gone. Call nothing but destructors afterwards.
  void Leave(TimePoint now);

  // Present members, sorted by id, with this VM.
  std::vector<config::Member> Members() const;
  size_t member_count() const { return present_.size(); }
  // Members removed less than 24 h ago of whom no later incarnation was seen.
  // They may still run behind a partition.
  std::vector<config::Member> Removed() const;
  // Address of a present member, or one with id kNone.
  PeerAddress AddressOf(VmId id) const;
  // Addresses of up to `count` random members without this VM.
  std::vector<PeerAddress> RandomPeers(size_t count);

  const config::Member& self() const { return Self().member; }
  // True once another member has answered.
  bool joined() const { return joined_; }
  // Rises with every change of members or their states.
  uint64_t version() const { return version_; }
  // Rises with every change of a held revision.
  uint64_t held_version() const { return held_version_; }
  const MembershipStats& stats() const { return stats_; }

 private:
  struct Probe {
    VmId id = VmId::kNone;
    uint64_t nonce = 0;
    TimePoint sent;
    int stage = 0;
  };
  // A probe made for another member.
  struct Relay {
    PeerAddress requester;
    uint64_t requester_nonce = 0;
    TimePoint expires;
  };

  MemberRecord& Self() { return present_.at(self_id_); }
  const MemberRecord& Self() const { return present_.at(self_id_); }

  // membership_probe.cc: probes, joins and contact with removed members.
  void CheckPause(TimePoint now);
  void SendRefutation(TimePoint now);
  VmId NextProbed();
  void StartProbe(TimePoint now);
  void Spread(const MemberRecord& record);
  void Introduce(protocol::MembershipMessage* message);
  bool IsYoung(TimePoint now) const;
  void AdvanceProbes(TimePoint now);
  void SendIndirect(const Probe& probe);
  void CheckSuspects(TimePoint now);
  void ContactRemoved(TimePoint now);
  void ContactSeeds(TimePoint now);
  void Notify(const MemberRecord& record);
  bool Chance(double expected_senders);

  // membership_merge.cc: what updates mean.
  void ApplyUpdates(const protocol::MembershipMessage& message,
                    VmId from,
                    TimePoint now,
                    protocol::MembershipMessage* reply);
  void Apply(const protocol::MemberUpdate& update,
             TimePoint now,
             protocol::MembershipMessage* reply);
  void ApplyToSelf(const protocol::MemberUpdate& update, TimePoint now);
  void ApplyUnknown(const protocol::MemberUpdate& update,
                    TimePoint now,
                    protocol::MembershipMessage* reply);
  void ApplyNewer(const protocol::MemberUpdate& update,
                  MemberRecord* record,
                  TimePoint now,
                  protocol::MembershipMessage* reply);
  void ApplyHeld(const protocol::HeldRevisions& held);
  void SetMemberRevision(MemberRecord* record, Revision revision);
  void Suspect(MemberRecord* record, Duration wait, TimePoint now);
  void Remove(VmId id, Standing standing, TimePoint now);
  void Restore(VmId id);
  void Refute(Incarnation above, bool full, TimePoint now);
  void Log(const MemberRecord& record, std::string_view outcome);

  // membership.cc: messages.
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
  void AddHeld(protocol::MembershipMessage* message);
  void AddDigest(protocol::MembershipMessage* message);
  uint64_t DigestOf(uint32_t part, uint32_t parts) const;
  size_t RumorLimit() const;

  const MembershipOptions options_;
  const VmId self_id_;
  SendHook send_;
  PeerRevisionHook on_peer_revision_;
  DecisionHook decide_;
  std::mt19937_64 random_;

  // Always contains this VM.
  std::map<VmId, MemberRecord> present_;
  // Disjoint from present_.
  std::map<VmId, MemberRecord> removed_;
  RumorQueue rumors_;
  RumorQueue held_rumors_;
  std::vector<VmId> probe_order_;
  std::vector<Probe> probes_;
  std::map<uint64_t, Relay> relays_;

  uint64_t lineage_ = 0;
  uint64_t next_nonce_ = 0;
  uint64_t probe_count_ = 0;
  uint32_t next_part_ = 0;
  VmId held_cursor_ = VmId::kNone;
  size_t next_seed_ = 0;
  // False when no member is suspected; saves a look at each one on each tick.
  bool may_have_suspects_ = false;
  bool joined_ = false;
  bool stopped_ = false;
  TimePoint started_{};
  TimePoint last_event_{};
  // Rounds of telling peers that this VM is back after a pause.
  int refutation_rounds_ = 0;
  TimePoint next_refutation_{};
  TimePoint next_probe_{};
  TimePoint next_seed_contact_{};
  TimePoint next_removed_contact_{};
  TimePoint next_sync_{};
  uint64_t version_ = 1;
  uint64_t held_version_ = 1;
  MembershipStats stats_;
};

}  // namespace marjoramhall::control

#endif  // MARJORAMHALL_CONTROL_MEMBERSHIP_H_
