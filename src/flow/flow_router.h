// The flow plane of one VM: decides to which target or to which other VM each
// packet is sent. Does no I/O and reads no clock: callers pass packets, events
// and the time.
//
// Flows are spread over buckets. The VM with the highest rank for a bucket owns
// it and chooses the targets of its new flows; the next one is the backup and
// has a copy of the entries. A VM that gets a packet of an unknown flow queries
// the owner.
#ifndef MARJORAMHALL_FLOW_FLOW_ROUTER_H_
#define MARJORAMHALL_FLOW_FLOW_ROUTER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "src/base/decision.h"
#include "src/base/peer_channel.h"
#include "src/flow/flow_counters.h"
#include "src/flow/flow_options.h"
#include "src/flow/flow_peers.h"
#include "src/flow/flow_table.h"
#include "src/flow/flow_view.h"
#include "src/flow/fragments.h"
#include "src/flow/service_buckets.h"
#include "src/protocol/hop_header.h"

namespace marjoramhall::flow {

enum class RouteKind : uint8_t {
  kTarget,  // send the packet without a hop header to `endpoint`
  kPeer,    // send `hop` and the packet to `endpoint`, the hop socket of `peer`
  kHeld,  // a held fragment; TakeReleasedPackets() returns it later, unless it
          // times out
  kDrop,  // drop the packet; the reason is counted
};

struct Route {
  RouteKind kind = RouteKind::kDrop;
  Endpoint endpoint;                  // for kTarget and kPeer
  TargetId target = TargetId::kNone;  // for kTarget and kPeer
  VmId peer = VmId::kNone;            // for kPeer
  protocol::HopHeader hop;            // for kPeer
};

// A held fragment that can be sent now.
struct ReleasedPacket {
  std::vector<uint8_t> bytes;
  Route route;
};

// Changes of the owner and backup of a bucket, for all services.
struct BucketOwnership {
  Tick owner_changed_at = 0;  // last change of owner or of its incarnation
  uint16_t epoch = 0;         // incremented when owner or backup changes
};

// Not thread-safe. Returns exactly one route for each packet. Over all VMs, at
// most one decision is reported for each new flow. Memory: at most 43 bytes for
// each entry of the limit, plus 100 KB for each service.
class FlowRouter {
 public:
  // `decide` is called for each new flow and may be empty. `seed` randomizes
  // only the choice of targets in steered buckets.
  FlowRouter(const FlowOptions& options,
             VmId self,
             Incarnation incarnation,
             SendToPeer send,
             DecisionHook decide,
             uint64_t seed);

  // Applies a control view. Ignores a view with a lower revision of the same
  // lineage.
  void OnView(config::ControlViewPtr view, TimePoint now);

  // Routes a packet from the network fabric. `packet` starts with the IP
  // header.
  Route OnFabricPacket(std::span<const uint8_t> packet, TimePoint now);

  // Routes each of `packets` like OnFabricPacket and appends to `routes`.
  // Prefetches the entries of all packets, so that their cache misses overlap.
  void OnFabricBatch(std::span<const std::span<const uint8_t>> packets,
                     TimePoint now,
                     std::vector<Route>& routes);

  // Routes a datagram from the hop socket. Sets `packet` to the IP packet in
  // it.
  Route OnHopDatagram(std::span<const uint8_t> datagram,
                      std::span<const uint8_t>& packet,
                      TimePoint now);

  // Handles a control message from another VM.
  void OnPeerMessage(VmId from, std::string_view payload, TimePoint now);

  // Removes expired entries and sends control messages. Call every 10 ms.
  void OnTick(TimePoint now);

  // Returns and removes the held fragments that can be sent now.
  std::vector<ReleasedPacket> TakeReleasedPackets();

  const FlowCounters& counters() const { return counters_; }
  size_t EntryCount() const { return table_.size(); }
  size_t HalfOpenCount() const { return half_open_.size(); }
  // Number of exceptions in the buckets that this VM owns or is the backup of:
  // an exception is a flow whose target differs from the placement.
  size_t ExceptionCount() const;
  // Number of exceptions that wait for replication.
  size_t QueuedExceptions() const { return peers_.QueuedExceptions(); }
  // Whether every exception has been replicated to the owner or backup of its
  // bucket. A leaving VM must not stop before. Returns false for 1.5 s after a
  // change of ownership, because exceptions are queued by a sweep over the
  // table, which takes 1 s.
  bool IsHandedOver(TimePoint now) const;
  // Established flows on each target in the buckets that this VM owns.
  TargetFlowCounts OwnLoad() const;
  // Established flows on each target over all VMs. The numbers of other VMs are
  // those of their last report; they report every 2 s.
  TargetFlowCounts TotalLoad() const;
  // Whether TotalLoad() includes a report of every member.
  bool IsTotalLoadComplete() const { return peers_.AllLoadsReported(); }
  // Number of managed buckets that this VM owns, without steered ones.
  size_t ManagedBucketCount() const;
  const FlowView* view() const { return view_.get(); }

 private:
  // A packet while it is being routed.
  struct Packet {
    std::span<const uint8_t> bytes;
    PacketInfo info;
    FlowHash hash;
    uint32_t bucket = 0;
    uint32_t service = 0;  // index into FlowView::services()
    TimePoint now;
    Tick tick = 0;
    // Set by FindValidEntry(): the target of the entry, and whether the entry
    // is in the half-open table.
    const TargetView* target = nullptr;
    bool half_open = false;
    // As received. For packets from the fabric only the origin fields are set.
    protocol::HopHeader hop;
  };

  // Packets from the fabric (flow_router.cc).
  void DetectPause(TimePoint now);
  // Returns false and sets `dropped` when the packet cannot be routed.
  bool ParseAndCount(Packet& packet, Route& dropped);
  // Sets service, hash and bucket. Returns false when no service has the
  // destination of the packet.
  bool ResolveFlow(Packet& packet);
  // Returns true when RouteFlowPacket() has to route the packet, else sets
  // `route`.
  bool PrepareFabricPacket(Packet& packet, Route& route);
  Route RouteFlowPacket(Packet& packet);
  Route RouteFirstPacket(Packet& packet);
  Route RouteUnknownFlow(Packet& packet);
  Route RouteClosingPacket(Packet& packet, FlowEntry& entry);
  Route ConfirmWithOwner(Packet& packet, FlowEntry& entry);
  bool NeedsConfirmation(const Packet& packet, FlowEntry& entry);
  Route OnFragment(Packet& packet);

  // Packets from other VMs and decisions of the owner (flow_router_hops.cc).
  Route HandleHopPacket(Packet& packet);
  Route OnFirstPacket(Packet& packet);
  Route OnQueryOwner(Packet& packet);
  Route OnRecordFlow(Packet& packet);
  // The target that the backup uses for a packet whose owner chose
  // `hop.target`. `entry` is the entry of the backup or null.
  TargetId CorrectedTarget(const Packet& packet, const FlowEntry* entry);
  Route OnCorrectTarget(Packet& packet);
  Route OnDeliver(Packet& packet);
  Route OnSearch(Packet& packet);
  Route OnSearchFailed(Packet& packet);
  Route StartSearch(Packet& packet);
  Route ContinueSearch(Packet& packet);
  // Records a decision as owner and forwards the packet to the backup, or
  // without one to its destination.
  Route RecordAndForward(Packet& packet, TargetId target, uint8_t flags);
  // Forwards the packet to the bucket's owner, which records `target`.
  Route RecordAtOwner(Packet& packet, TargetId target, uint8_t flags);
  // Sends the packet to the target. Sends it back to the origin when `flags`
  // ask for it or this VM does not know the target.
  Route DeliverDecision(Packet& packet, TargetId target, uint8_t flags);

  Route RouteToTarget(const Packet& packet, TargetId target);
  Route RouteToTarget(const TargetView& target);
  Route RouteToPeer(Packet& packet,
                    MemberIndex peer,
                    protocol::HopKind kind,
                    uint8_t flags,
                    TargetId target);
  Route Drop(FlowCounter reason);

  // Flow entries (flow_router_entries.cc).
  FlowEntry* FindEntry(const FlowHash& hash, bool& half_open);
  // Returns null when there is no entry or its target is not of the packet's
  // service.
  FlowEntry* FindValidEntry(Packet& packet);
  FlowEntry* PromoteEntry(FlowEntry* entry);
  FlowEntry* UpsertEntry(const Packet& packet,
                         TargetId target,
                         bool half_open,
                         uint16_t flags);
  void EraseEntry(const FlowHash& hash);
  void AddToCounts(FlowEntry& entry);
  void RemoveFromCounts(FlowEntry& entry);
  void RebuildCounts();
  // Returns whether the entry stays.
  bool SweepEntry(FlowEntry& entry, bool half_open, Tick tick);
  void ReplicateException(FlowEntry& entry);
  void OnException(const FlowHash& hash, TargetId target, TimePoint now);

  // Ownership and placement (flow_router_entries.cc).
  bool IsAvailable(MemberIndex member, TimePoint now) const;
  MemberIndex ActingOwner(uint32_t bucket, TimePoint now) const;
  std::optional<MemberIndex> ActingBackup(uint32_t bucket, TimePoint now) const;
  bool IsOwnedHere(uint32_t bucket) const;
  bool IsManaged(uint32_t service, uint32_t bucket, Tick tick) const;
  TargetId ChooseTarget(const Packet& packet, std::string_view& reason);
  TargetId ChooseByLoad(const Packet& packet, TargetId fallback);
  TargetId PlacementTarget(const Packet& packet) const;
  void UpdateOwnership(const FlowView* previous, Tick tick);
  void UpdateManagedSet(Tick tick);
  void ReportDecision(const Packet& packet,
                      TargetId target,
                      std::string_view reason);

  ServiceBuckets& Buckets(uint32_t service) { return *buckets_[service]; }
  const ServiceBuckets& Buckets(uint32_t service) const {
    return *buckets_[service];
  }

  FlowOptions options_;
  VmId self_;
  DecisionHook decide_;
  uint64_t seed_;
  protocol::HopKey hop_key_;
  Tick idle_timeout_ticks_;
  // Time for which a bucket stays managed after a change: the idle timeout plus
  // the time until all VMs have the view and old leases have expired.
  Tick recent_change_ticks_;
  Tick confirm_interval_ticks_;
  FlowCounters counters_;
  FlowTable table_;  // established flows
  FlowTable half_open_;
  FlowPeers peers_;
  FragmentCache fragments_;
  Gcra search_budget_;
  std::shared_ptr<const FlowView> view_;
  std::map<ServiceId, std::unique_ptr<ServiceBuckets>> services_;
  std::vector<ServiceBuckets*> buckets_;  // by service index of the view
  std::vector<BucketOwnership> ownership_;
  // Established flows in the buckets that this VM owns, by target index.
  std::vector<uint32_t> owned_load_;
  Tick ownership_changed_at_ = 0;
  ManagedSet managed_;
  std::vector<ReleasedPacket> released_;
  std::vector<Packet> batch_;  // reused by OnFabricBatch
  TimePoint last_tick_{};
  TimePoint next_control_tick_{};
  TimePoint next_managed_update_{};
};

}  // namespace marjoramhall::flow

#endif  // MARJORAMHALL_FLOW_FLOW_ROUTER_H_
