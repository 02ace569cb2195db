// Control traffic between the flow planes of the VMs: settled leases, load
// reports, replication of exceptions, and whether a peer is within reach. All
// of it is paced by one byte budget.
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

// What this VM, as owner, tells others about its buckets.
struct ManagedSet {
  uint64_t version = 1;
  // Per service the managed buckets that this VM owns.
  std::vector<std::pair<ServiceId, std::vector<uint32_t>>> buckets;
};

using LoadList = std::vector<std::pair<TargetId, uint32_t>>;

// Called for each flow of a replicated batch.
using ExceptionHook =
    std::function<void(const FlowHash& hash, TargetId target, TimePoint now)>;

class FlowPeers {
 public:
  FlowPeers(const FlowOptions& options,
            VmId self,
            Incarnation incarnation,
            SendToPeer send,
            FlowCounters& counters,
            ExceptionHook on_exception);

  // Must be called before any other member and with each new view. A new
  // revision or new members are told to all peers at once.
  void OnView(std::shared_ptr<const FlowView> view, TimePoint now);

  // Drives renewals, reports and batches; call every 50 to 100 ms. `load` is
  // this VM's own load, sent about every 2 s.
  void OnTick(const LoadList& load, TimePoint now);

  // Returns false for a message that was dropped. `managed` answers a lease
  // request.
  bool OnMessage(VmId from,
                 std::string_view payload,
                 const ManagedSet& managed,
                 TimePoint now);

  // A hop packet arrived from this VM. Returns false when it is of an earlier
  // incarnation than the newest one seen.
  bool OnHopPacket(VmId from, Incarnation incarnation, TimePoint now);

  // This VM was paused: forgets since when answers are missing.
  void OnResume();

  // Whether `bucket` of `service` may be treated as settled under a lease from
  // `owner`.
  bool IsSettled(VmId owner,
                 ServiceId service,
                 uint32_t bucket,
                 TimePoint now) const;

  // False for a peer that left requests unanswered.
  bool IsReachable(VmId peer, TimePoint now) const;

  // Own incarnation as the peers know it.
  Incarnation incarnation() const { return incarnation_; }

  // Whether every member works with at least this VM's revision.
  bool AllReported() const;

  // Queues a flow for replication to a peer; false when the queue is full.
  bool QueueException(VmId peer, const FlowHash& hash, TargetId target);
  size_t QueuedExceptions() const;

  // Load that all peers together report for a target.
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
    // As requester.
    TimePoint next_request{};
    TimePoint unanswered_since{};  // zero: nothing is waiting for an answer
    TimePoint lease_end{};
    Revision lease_revision = 0;
    uint64_t lease_members = 0;
    uint64_t set_version = 0;
    bool all_managed = false;
    std::map<ServiceId, BucketSet> managed;
    // As reporter and replicator.
    TimePoint next_load{};
    LoadList load;
    std::deque<Exception> queue;
    size_t in_flight = 0;
    uint64_t sequence = 0;
    TimePoint resend_at{};
    uint64_t applied = 0;
  };

  Peer* Find(VmId id);
  const Peer* Find(VmId id) const;
  bool Send(VmId to,
            protocol::FlowControl& message,
            double reserve,
            TimePoint now);
  void SendRequest(VmId to, Peer& peer, TimePoint now);
  void SendLoad(VmId to, Peer& peer, const LoadList& load, TimePoint now);
  void SendExceptions(VmId to, Peer& peer, TimePoint now);
  void AnswerLease(VmId to,
                   const protocol::FlowControl& message,
                   const ManagedSet& managed,
                   TimePoint now);
  void AdoptLease(Peer& peer,
                  const protocol::FlowControl& message,
                  TimePoint now);
  void AdoptLoad(Peer& peer, const protocol::FlowControl& message);
  void ApplyExceptions(VmId from,
                       Peer& peer,
                       const protocol::FlowControl& message,
                       TimePoint now);
  void ForgetLoad(Peer& peer);
  void BeginIncarnation(Peer& peer, Incarnation incarnation);

  VmId self_;
  Incarnation incarnation_;
  SendToPeer send_;
  FlowCounters& counters_;
  ExceptionHook on_exception_;
  Gcra budget_;
  std::shared_ptr<const FlowView> view_;
  std::map<VmId, Peer> peers_;
  // Over all peers, so that a peer that left the view and came back never sees
  // a number twice.
  uint64_t last_sequence_ = 0;
  std::map<TargetId, uint32_t> reported_load_;
};

}  // namespace marjoramhall::flow

#endif  // MARJORAMHALL_FLOW_FLOW_PEERS_H_
