// Control traffic between the flow planes of the VMs: leases on settled
// buckets, load reports, replication of exceptions and detection of unreachable
// peers. One byte budget limits the rate of all messages.
//
// An exception is a flow whose target differs from the placement of its bucket.
// A bucket is settled when it has no exceptions and neither its placement nor
// its owner changed recently; otherwise it is managed. While a VM holds a lease
// from an owner, it routes flows of the owner's settled buckets by placement
// and does not query the owner.
#ifndef MARJORAMHALL_FLOW_FLOW_PEERS_H_
#define MARJORAMHALL_FLOW_FLOW_PEERS_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string_view>
#include <utility>
#include <vector>

#include "src/base/peer_channel.h"
#include "src/flow/flow_counters.h"
#include "src/flow/flow_options.h"
#include "src/flow/flow_view.h"
#include "src/flow/gcra.h"
#include "src/flow/service_buckets.h"

namespace marjoramhall::protocol {
class FlowControl;
class LeaseGrant;
}  // namespace marjoramhall::protocol

namespace marjoramhall::flow {

// The managed buckets that this VM owns. Sent with lease grants.
struct ManagedSet {
  uint64_t version = 1;  // rises with each change
  // Bucket numbers in rising order for each service.
  std::vector<std::pair<ServiceId, std::vector<uint32_t>>> buckets;
};

// Number of established flows on each target.
using TargetFlowCounts = std::vector<std::pair<TargetId, uint32_t>>;

// Called for each exception that a peer replicates to this VM.
using ExceptionHook =
    std::function<void(const FlowHash& hash, TargetId target, TimePoint now)>;

// Not thread-safe.
class FlowPeers {
 public:
  FlowPeers(const FlowOptions& options,
            VmId self,
            Incarnation incarnation,
            SendToPeer send,
            FlowCounters& counters,
            ExceptionHook exception_hook);

  // Must be called before any other member and with each new view. When the
  // revision or the members change, the next OnTick() sends a lease request
  // with the new revision to all peers.
  void OnView(std::shared_ptr<const FlowView> view, TimePoint now);

  // Sends due lease requests, load reports and exception batches. Call every 50
  // to 100 ms. `load` counts the flows in buckets that this VM owns and is sent
  // about every 2 s.
  void OnTick(const TargetFlowCounts& load, TimePoint now);

  // Handles a control message. Returns false when it was dropped. Lease
  // requests are answered with `managed`.
  bool OnMessage(VmId from,
                 std::string_view payload,
                 const ManagedSet& managed,
                 TimePoint now);

  // Records that a hop packet or message arrived from a peer, which proves that
  // it is reachable. Returns false when `from` is not a member or `incarnation`
  // is older than the newest one seen.
  bool OnPeerContact(VmId from, Incarnation incarnation, TimePoint now);

  // Call after this VM was paused. Answers that arrived meanwhile are not
  // counted as missing, so that no peer is taken for unreachable.
  void OnResume();

  // Whether this VM holds a valid lease from `owner` under which `bucket` of
  // `service` is settled.
  bool IsSettled(VmId owner,
                 ServiceId service,
                 uint32_t bucket,
                 TimePoint now) const;

  // Returns false for a VM that is not a member, and for a peer that has left
  // requests unanswered for kUnreachableTimeout.
  bool IsReachable(VmId peer, TimePoint now) const;

  // Incarnation of this VM, which rises when it refutes a suspicion.
  Incarnation incarnation() const { return incarnation_; }

  // Whether every peer has reported at least this VM's revision.
  bool AllPeersAtRevision() const;

  // Queues a flow for replication to a peer. Returns false when the VM is not a
  // member or its queue is full.
  bool QueueException(VmId peer, const FlowHash& hash, TargetId target);
  // Number of exceptions that the peers have not acknowledged yet.
  size_t QueuedExceptions() const;

  // Number of flows that all peers together report for a target.
  uint32_t ReportedLoad(TargetId target) const;
  // Whether each peer has reported its load since it joined or restarted.
  bool AllLoadsReported() const;

 private:
  struct Exception {
    FlowHash hash;
    TargetId target;
  };
  struct Peer {
    Incarnation incarnation = 0;
    Revision revision = 0;
    // Lease that this VM requests from the peer.
    TimePoint next_lease_request{};
    // Time of the first request that was not answered; zero without one.
    TimePoint unanswered_since{};
    TimePoint lease_end{};
    Revision lease_revision = 0;
    uint64_t lease_members_hash = 0;
    // Content of the grant: the managed buckets that the peer owns.
    uint64_t managed_version = 0;
    bool all_managed = false;
    std::map<ServiceId, BucketSet> managed_buckets;
    // Load reports to and from the peer.
    TimePoint next_load_report{};
    TargetFlowCounts reported_load;
    // Replication to the peer. The first `batch_flow_count` elements of the
    // queue are sent and not acknowledged.
    std::deque<Exception> exception_queue;
    size_t batch_flow_count = 0;
    uint64_t batch_sequence = 0;
    TimePoint batch_resend_at{};
    uint64_t applied_sequence = 0;  // last batch applied from the peer
  };

  Peer* FindPeer(VmId id);
  const Peer* FindPeer(VmId id) const;
  // Returns false when the byte budget does not allow the message now.
  // `reserve` is the part of the burst to leave unused, in bytes.
  bool TrySend(VmId to,
               protocol::FlowControl& message,
               double reserve,
               TimePoint now);
  void SendLeaseRequest(VmId to, Peer& peer, TimePoint now);
  void SendLoad(VmId to,
                Peer& peer,
                const TargetFlowCounts& load,
                TimePoint now);
  void SendExceptions(VmId to, Peer& peer, TimePoint now);
  void SendLeaseGrant(VmId to,
                      const protocol::FlowControl& message,
                      const ManagedSet& managed,
                      TimePoint now);
  void ApplyLeaseGrant(Peer& peer,
                       const protocol::FlowControl& message,
                       TimePoint now);
  void ApplyLoadReport(Peer& peer, const protocol::FlowControl& message);
  void ApplyExceptions(VmId from,
                       Peer& peer,
                       const protocol::FlowControl& message,
                       TimePoint now);
  void ClearReportedLoad(Peer& peer);
  void BeginIncarnation(Peer& peer, Incarnation incarnation);

  VmId self_;
  Incarnation incarnation_;
  SendToPeer send_;
  FlowCounters& counters_;
  ExceptionHook exception_hook_;
  Gcra byte_budget_;
  std::shared_ptr<const FlowView> view_;
  std::map<VmId, Peer> peers_;
  // Last batch number. Shared by all peers, so that a peer that leaves the view
  // and comes back never gets the same number twice.
  uint64_t last_sequence_ = 0;
  std::map<TargetId, uint32_t> reported_load_;  // sum over all peers
};

}  // namespace marjoramhall::flow

#endif  // MARJORAMHALL_FLOW_FLOW_PEERS_H_
