// The flow plane core of one VM: decides for each packet to which target or to
// which VM it goes. Pure: packets and events with a time in, routes out.
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
  kTarget,  // send the bare packet to `endpoint`
  kPeer,    // send `hop` and the packet to `endpoint`, the hop socket of `peer`
  kHeld,    // a fragment was kept; it comes out of TakeReleasedPackets() or is
            // dropped
  kDrop,    // counted under its reason
};

struct Route {
  RouteKind kind = RouteKind::kDrop;
  Endpoint endpoint;
  TargetId target = TargetId::kNone;
  VmId peer = VmId::kNone;
  protocol::HopHeader hop;
};

// A packet that was held and can now be sent.
struct ReleasedPacket {
  std::vector<uint8_t> bytes;
  Route route;
};

// Who is responsible for a bucket, equal for all services.
struct BucketOwnership {
  Tick owner_changed = 0;  // this VM's time when owner or its start changed
  uint16_t epoch = 0;      // rises when owner or backup changes
};

// Not thread-safe. Every packet leads to exactly one route; at most one
// decision is reported for each new flow over all VMs. Memory: 43 bytes per
// entry of the limit in the worst case plus 100 KB per service.
class FlowRouter {
 public:
  // `decide` may be empty. `seed` randomizes steering only.
  FlowRouter(const FlowOptions& options,
             VmId self,
             Incarnation incarnation,
             SendToPeer send,
             DecisionHook decide,
             uint64_t seed);

  // Adopts a view. A view with a lower revision of the same lineage is ignored.
  void OnView(config::ControlViewPtr view, TimePoint now);

  // A packet from the fabric, starting with its IP header.
  Route OnFabricPacket(std::span<const uint8_t> packet, TimePoint now);

  // Like OnFabricPacket for each of `packets`, appending to `routes`. Loads the
  // entries of all packets at once, so that lookups do not wait for memory.
  void OnFabricBatch(std::span<const std::span<const uint8_t>> packets,
                     TimePoint now,
                     std::vector<Route>& routes);

  // A datagram from the hop socket. `packet` is set to the IP packet in it.
  Route OnHopDatagram(std::span<const uint8_t> datagram,
                      std::span<const uint8_t>& packet,
                      TimePoint now);

  void OnPeerMessage(VmId from, std::string_view payload, TimePoint now);

  // Expiry, leases, replication. Call about every 10 ms.
  void OnTick(TimePoint now);

  // Held packets that can be sent now.
  std::vector<ReleasedPacket> TakeReleasedPackets();

  const FlowCounters& counters() const { return counters_; }
  size_t EntryCount() const { return table_.size(); }
  size_t HalfOpenCount() const { return half_open_.size(); }
  // Exceptions in buckets that this VM owns or backs, and those that still wait
  // for replication.
  size_t ExceptionCount() const;
  size_t QueuedExceptions() const { return peers_.QueuedExceptions(); }
  // Whether every exception has reached the present owner or backup of its
  // bucket. A VM that leaves must not stop before. A sweep over the table takes
  // 1 s, so a recent change of ownership may not have queued all of them yet.
  bool IsHandedOver(TimePoint now) const;
  // Established flows per target in the buckets that this VM owns.
  LoadList OwnLoad() const;
  // Established flows per target over all VMs, as of their last reports (every
  // 2 s).
  LoadList TotalLoad() const;
  // Whether TotalLoad() has the flows of every member.
  bool IsTotalLoadComplete() const { return peers_.AllLoadsReported(); }
  // Number of own buckets that are managed, steered ones not counted.
  size_t ManagedBucketCount() const;
  const FlowView* view() const { return view_.get(); }

 private:
  // One packet on its way through the router.
  struct Packet {
    std::span<const uint8_t> bytes;
    PacketInfo info;
    FlowHash hash;
    uint32_t bucket = 0;
    uint32_t service = 0;  // index in the view
    TimePoint now;
    Tick tick = 0;
    // Set by FindValid: the target of the entry and where the entry is.
    const TargetView* target = nullptr;
    bool half_open = false;
    protocol::HopHeader hop;  // as received; origin fields set for own packets
  };

  // Entry of packets (flow_router.cc).
  void NoticePause(TimePoint now);
  bool Prepare(Packet& packet, Route& dropped);
  bool Identify(Packet& packet);
  // Parses and identifies; true when the packet goes on to RouteEntry.
  bool Admit(Packet& packet, Route& route);
  Route RouteEntry(Packet& packet);
  Route RouteFirst(Packet& packet);
  Route RouteUnknown(Packet& packet);
  Route RouteClose(Packet& packet, FlowEntry& entry);
  Route Confirm(Packet& packet, FlowEntry& entry);
  bool NeedsConfirmation(const Packet& packet, FlowEntry& entry);
  Route OnFragment(Packet& packet);

  // Packets from peers and the owner's decisions (flow_router_hops.cc).
  Route Dispatch(Packet& packet);
  Route OnFirst(Packet& packet);
  Route OnAsk(Packet& packet);
  Route OnRecord(Packet& packet);
  TargetId CorrectedTarget(const Packet& packet, const FlowEntry* entry);
  Route OnCorrect(Packet& packet);
  Route OnDeliver(Packet& packet);
  Route OnWalk(Packet& packet);
  Route OnWalkEnd(Packet& packet);
  Route StartWalk(Packet& packet);
  Route ContinueWalk(Packet& packet);
  // Records a decision here as owner, passes it to the backup and on.
  Route RecordAndPass(Packet& packet, TargetId target, uint8_t flags);
  // Sends a found answer to the bucket's owner for recording.
  Route RecordAtOwner(Packet& packet, TargetId target, uint8_t flags);
  Route Answer(Packet& packet, TargetId target, uint8_t flags);

  Route ToTarget(const Packet& packet, TargetId target);
  Route ToTarget(const TargetView& target);
  Route ToPeer(Packet& packet,
               MemberIndex peer,
               protocol::HopKind kind,
               uint8_t flags,
               TargetId target);
  Route Drop(FlowCounter reason);

  // Entries (flow_router_entries.cc).
  FlowEntry* Find(const FlowHash& hash, bool& half_open);
  // An entry whose target belongs to the packet's service, or null.
  FlowEntry* FindValid(Packet& packet);
  FlowEntry* Promote(FlowEntry* entry);
  FlowEntry* Keep(const Packet& packet,
                  TargetId target,
                  bool half_open,
                  uint16_t flags);
  void Forget(const FlowHash& hash);
  void Account(FlowEntry& entry);
  void Unaccount(FlowEntry& entry);
  void Recount();
  bool SweepEntry(FlowEntry& entry, bool half_open, Tick tick);
  void Replicate(FlowEntry& entry);
  void OnException(const FlowHash& hash, TargetId target, TimePoint now);

  // Ownership and placement (flow_router_entries.cc).
  bool IsUsable(MemberIndex member, TimePoint now) const;
  MemberIndex ActingOwner(uint32_t bucket, TimePoint now) const;
  std::optional<MemberIndex> Backup(uint32_t bucket, TimePoint now) const;
  bool IsOwnedHere(uint32_t bucket) const;
  bool IsManaged(uint32_t service, uint32_t bucket, Tick tick) const;
  TargetId ChooseTarget(const Packet& packet, std::string_view& reason);
  TargetId ChooseByLoad(const Packet& packet, TargetId natural);
  TargetId PlacementTarget(const Packet& packet) const;
  void UpdateOwnership(const FlowView* previous, Tick tick);
  void UpdateManagedSet(Tick tick);
  void Decide(const Packet& packet, TargetId target, std::string_view reason);

  ServiceBuckets& Buckets(uint32_t service) { return *buckets_[service]; }
  const ServiceBuckets& Buckets(uint32_t service) const {
    return *buckets_[service];
  }

  FlowOptions options_;
  VmId self_;
  DecisionHook decide_;
  uint64_t seed_;
  protocol::HopKey hop_key_;
  Tick idle_ticks_;
  // Time in which a changed bucket stays managed: the idle timeout and the
  // settling of leases and views before it.
  Tick settle_ticks_;
  Tick confirm_ticks_;
  FlowCounters counters_;
  FlowTable table_;
  FlowTable half_open_;
  FlowPeers peers_;
  FragmentCache fragments_;
  Gcra walk_budget_;
  std::shared_ptr<const FlowView> view_;
  std::map<ServiceId, std::unique_ptr<ServiceBuckets>> services_;
  std::vector<ServiceBuckets*> buckets_;  // by service index of the view
  std::vector<BucketOwnership> ownership_;
  // By target index of the view: established flows in own buckets.
  std::vector<uint32_t> load_;
  Tick ownership_changed_ = 0;
  ManagedSet managed_;
  std::vector<ReleasedPacket> released_;
  std::vector<Packet> batch_;  // reused by OnFabricBatch
  TimePoint last_tick_{};
  TimePoint next_control_{};
  TimePoint next_managed_{};
};

}  // namespace marjoramhall::flow

#endif  // MARJORAMHALL_FLOW_FLOW_ROUTER_H_
