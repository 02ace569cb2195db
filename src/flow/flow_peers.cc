// Leases, load reports and replication of exceptions between flow planes.
#include "src/flow/flow_peers.h"

#include <algorithm>
#include <cstring>

#include "src/protocol/flow_control.pb.h"

namespace marjoramhall::flow {
namespace {

// Flows in one batch. A batch has about 500 bytes, so that it fits into the
// burst without the reserve for leases.
constexpr size_t kMaxBatchFlows = 24;
constexpr Duration kBatchResendInterval = std::chrono::seconds(1);
// Flows queued for replication to one peer. Further flows are queued by a later
// sweep over the flow table.
constexpr size_t kMaxQueuedExceptions = 65536;
constexpr Duration kLoadReportInterval = std::chrono::seconds(2);
// Bytes of the burst that load reports and exception batches leave to lease
// messages. A late lease costs extra hops for packets of unknown flows.
constexpr double kLeaseReserveBytes = 400;

uint64_t ToMilliseconds(TimePoint now) {
  return static_cast<uint64_t>(now.time_since_epoch() /
                               std::chrono::milliseconds(1));
}

TimePoint FromMilliseconds(uint64_t ms) {
  return TimePoint(std::chrono::milliseconds(ms));
}

}  // namespace

FlowPeers::FlowPeers(const FlowOptions& options,
                     VmId self,
                     Incarnation incarnation,
                     SendToPeer send,
                     FlowCounters& counters,
                     ExceptionHook exception_hook)
    : self_(self),
      incarnation_(incarnation),
      send_(std::move(send)),
      counters_(counters),
      exception_hook_(std::move(exception_hook)),
      byte_budget_(options.control_bytes_per_second,
                   options.control_burst_bytes) {}

FlowPeers::Peer* FlowPeers::FindPeer(VmId id) {
  const auto it = peers_.find(id);
  return it == peers_.end() ? nullptr : &it->second;
}

const FlowPeers::Peer* FlowPeers::FindPeer(VmId id) const {
  const auto it = peers_.find(id);
  return it == peers_.end() ? nullptr : &it->second;
}

void FlowPeers::OnView(std::shared_ptr<const FlowView> view, TimePoint now) {
  const bool changed = !view_ || view_->revision() != view->revision() ||
                       view_->members_hash() != view->members_hash();
  view_ = std::move(view);
  incarnation_ =
      std::max(incarnation_, view_->members()[view_->self()].incarnation);
  for (auto it = peers_.begin(); it != peers_.end();) {
    if (!view_->FindMember(it->first)) {
      ClearReportedLoad(it->second);
      it = peers_.erase(it);
    } else {
      ++it;
    }
  }
  for (const auto& member : view_->members()) {
    if (member.id == self_) {
      continue;
    }
    Peer& peer = peers_[member.id];
    if (member.incarnation > peer.incarnation) {
      BeginIncarnation(peer, member.incarnation);
    }
    if (changed) {
      peer.next_lease_request = now;
    }
  }
}

// Resets the state of a peer that restarted or refuted a suspicion. Its queued
// exceptions are kept: after a refuted suspicion the sweep would not queue them
// again.
void FlowPeers::BeginIncarnation(Peer& peer, Incarnation incarnation) {
  ClearReportedLoad(peer);
  std::deque<Exception> queue = std::move(peer.exception_queue);
  peer = Peer{};
  peer.exception_queue = std::move(queue);
  peer.incarnation = incarnation;
}

void FlowPeers::OnTick(const TargetFlowCounts& load, TimePoint now) {
  for (auto& [id, peer] : peers_) {
    if (now >= peer.next_lease_request) {
      SendLeaseRequest(id, peer, now);
    }
    if (now >= peer.next_load_report && !load.empty()) {
      SendLoad(id, peer, load, now);
    }
    SendExceptions(id, peer, now);
  }
}

bool FlowPeers::TrySend(VmId to,
                        protocol::FlowControl& message,
                        double reserve,
                        TimePoint now) {
  message.set_incarnation(incarnation_);
  message.set_revision(view_->revision());
  std::string payload = message.SerializeAsString();
  const size_t bytes = payload.size() + kMessageOverheadBytes;
  if (!byte_budget_.TryTake(static_cast<double>(bytes), now, reserve)) {
    ++counters_[FlowCounter::kControlDeferred];
    return false;
  }
  ++counters_[FlowCounter::kControlMessages];
  counters_[FlowCounter::kControlBytes] += bytes;
  send_(to, PeerChannel::kFlow, std::move(payload));
  return true;
}

void FlowPeers::SendLeaseRequest(VmId to, Peer& peer, TimePoint now) {
  protocol::FlowControl message;
  message.mutable_lease_request()->set_sent_ms(ToMilliseconds(now));
  message.mutable_lease_request()->set_known_set(peer.managed_version);
  if (!TrySend(to, message, 0, now)) {
    return;
  }
  peer.next_lease_request = now + kLeaseRenewInterval;
  if (peer.unanswered_since == TimePoint{}) {
    peer.unanswered_since = now;
  }
}

void FlowPeers::SendLoad(VmId to,
                         Peer& peer,
                         const TargetFlowCounts& load,
                         TimePoint now) {
  protocol::FlowControl message;
  for (const auto& [target, flows] : load) {
    message.mutable_load()->add_targets(ToInteger(target));
    message.mutable_load()->add_flows(flows);
  }
  if (TrySend(to, message, kLeaseReserveBytes, now)) {
    peer.next_load_report = now + kLoadReportInterval;
  }
}

void FlowPeers::SendExceptions(VmId to, Peer& peer, TimePoint now) {
  if (peer.exception_queue.empty() ||
      (peer.batch_flow_count > 0 && now < peer.batch_resend_at)) {
    return;
  }
  if (peer.batch_flow_count == 0) {
    peer.batch_flow_count =
        std::min(peer.exception_queue.size(), kMaxBatchFlows);
    peer.batch_sequence = ++last_sequence_;
  }
  protocol::FlowControl message;
  auto* batch = message.mutable_exceptions();
  batch->set_sequence(peer.batch_sequence);
  std::string& hashes = *batch->mutable_flow_hashes();
  for (size_t i = 0; i < peer.batch_flow_count; ++i) {
    hashes.append(reinterpret_cast<const char*>(&peer.exception_queue[i].hash),
                  sizeof(FlowHash));
    batch->add_targets(ToInteger(peer.exception_queue[i].target));
  }
  if (TrySend(to, message, kLeaseReserveBytes, now)) {
    peer.batch_resend_at = now + kBatchResendInterval;
    counters_[FlowCounter::kExceptionsSent] += peer.batch_flow_count;
  }
}

bool FlowPeers::OnMessage(VmId from,
                          std::string_view payload,
                          const ManagedSet& managed,
                          TimePoint now) {
  Peer* peer = FindPeer(from);
  protocol::FlowControl message;
  if (!peer || !view_ ||
      !message.ParseFromArray(payload.data(),
                              static_cast<int>(payload.size()))) {
    return false;
  }
  if (!OnPeerContact(from, message.incarnation(), now)) {
    return false;
  }
  peer->revision = std::max(peer->revision, message.revision());
  if (message.has_lease_request()) {
    SendLeaseGrant(from, message, managed, now);
  }
  if (message.has_lease_grant()) {
    ApplyLeaseGrant(*peer, message, now);
  }
  if (message.has_load()) {
    ApplyLoadReport(*peer, message);
  }
  if (message.has_exceptions()) {
    ApplyExceptions(from, *peer, message, now);
  }
  if (message.has_exception_ack() && peer->batch_flow_count > 0 &&
      message.exception_ack().sequence() == peer->batch_sequence) {
    peer->exception_queue.erase(peer->exception_queue.begin(),
                                peer->exception_queue.begin() +
                                    static_cast<long>(peer->batch_flow_count));
    peer->batch_flow_count = 0;
  }
  return true;
}

bool FlowPeers::OnPeerContact(VmId from, Incarnation incarnation, TimePoint) {
  Peer* peer = FindPeer(from);
  if (!peer || incarnation < peer->incarnation) {
    return false;
  }
  if (incarnation > peer->incarnation) {
    BeginIncarnation(*peer, incarnation);
  }
  peer->unanswered_since = TimePoint{};
  return true;
}

void FlowPeers::OnResume() {
  for (auto& [id, peer] : peers_) {
    peer.unanswered_since = TimePoint{};
  }
}

void FlowPeers::SendLeaseGrant(VmId to,
                               const protocol::FlowControl& message,
                               const ManagedSet& managed,
                               TimePoint now) {
  protocol::FlowControl answer;
  auto* grant = answer.mutable_lease_grant();
  grant->set_sent_ms(message.lease_request().sent_ms());
  grant->set_members(view_->members_hash());
  grant->set_set_version(managed.version);
  if (message.lease_request().known_set() != managed.version) {
    grant->set_has_set(true);
    size_t count = 0;
    for (const auto& [service, buckets] : managed.buckets) {
      count += buckets.size();
    }
    // A larger set is sent as "all buckets". Its list would take several KB and
    // delay other messages, and large sets shrink soon.
    constexpr size_t kMaxListedBuckets = 1000;
    grant->set_all_managed(count > kMaxListedBuckets);
    for (const auto& [service, buckets] : managed.buckets) {
      if (grant->all_managed() || buckets.empty()) {
        continue;
      }
      auto* part = grant->add_managed();
      part->set_service(ToInteger(service));
      uint32_t last = 0;
      for (const uint32_t bucket : buckets) {
        part->add_steps(bucket - last);
        last = bucket;
      }
    }
  }
  TrySend(to, answer, 0, now);
}

void FlowPeers::ApplyLeaseGrant(Peer& peer,
                                const protocol::FlowControl& message,
                                TimePoint now) {
  const auto& grant = message.lease_grant();
  if (!grant.has_set() && grant.set_version() != peer.managed_version) {
    return;
  }
  const TimePoint sent = FromMilliseconds(grant.sent_ms());
  // Ignores a grant that arrives after a newer one, or whose time is not from a
  // request of this VM.
  if (sent > now || sent + kLeaseDuration <= peer.lease_end) {
    return;
  }
  if (grant.has_set()) {
    peer.all_managed = grant.all_managed();
    peer.managed_buckets.clear();
    for (const auto& part : grant.managed()) {
      BucketSet& set =
          peer.managed_buckets[static_cast<ServiceId>(part.service())];
      uint64_t bucket = 0;
      for (const uint32_t step : part.steps()) {
        bucket += step;
        if (bucket >= kBucketCount) {
          break;
        }
        set.set(bucket);
      }
    }
    peer.managed_version = grant.set_version();
  }
  peer.lease_end = sent + kLeaseDuration;
  peer.lease_revision = message.revision();
  peer.lease_members_hash = grant.members();
}

bool FlowPeers::AllLoadsReported() const {
  return std::all_of(peers_.begin(), peers_.end(), [](const auto& it) {
    return !it.second.reported_load.empty();
  });
}

void FlowPeers::ClearReportedLoad(Peer& peer) {
  for (const auto& [target, flows] : peer.reported_load) {
    reported_load_[target] -= flows;
  }
  peer.reported_load.clear();
}

void FlowPeers::ApplyLoadReport(Peer& peer,
                                const protocol::FlowControl& message) {
  ClearReportedLoad(peer);
  const auto& load = message.load();
  const int n = std::min(load.targets_size(), load.flows_size());
  for (int i = 0; i < n; ++i) {
    const auto target = static_cast<TargetId>(load.targets(i));
    if (!view_->FindTarget(target)) {
      continue;
    }
    peer.reported_load.emplace_back(target, load.flows(i));
    reported_load_[target] += load.flows(i);
  }
}

void FlowPeers::ApplyExceptions(VmId from,
                                Peer& peer,
                                const protocol::FlowControl& message,
                                TimePoint now) {
  const auto& batch = message.exceptions();
  if (batch.sequence() > peer.applied_sequence) {
    peer.applied_sequence = batch.sequence();
    const std::string& hashes = batch.flow_hashes();
    const size_t n =
        std::min(hashes.size() / sizeof(FlowHash),
                 static_cast<size_t>(std::max(batch.targets_size(), 0)));
    for (size_t i = 0; i < n; ++i) {
      FlowHash hash;
      std::memcpy(&hash, hashes.data() + i * sizeof(FlowHash),
                  sizeof(FlowHash));
      if (hash.high != 0) {
        exception_hook_(
            hash, static_cast<TargetId>(batch.targets(static_cast<int>(i))),
            now);
      }
    }
  }
  protocol::FlowControl answer;
  answer.mutable_exception_ack()->set_sequence(batch.sequence());
  TrySend(from, answer, 0, now);
}

bool FlowPeers::IsSettled(VmId owner,
                          ServiceId service,
                          uint32_t bucket,
                          TimePoint now) const {
  const Peer* peer = FindPeer(owner);
  if (!peer || now >= peer->lease_end || peer->all_managed ||
      peer->lease_revision != view_->revision() ||
      peer->lease_members_hash != view_->members_hash()) {
    return false;
  }
  const auto it = peer->managed_buckets.find(service);
  return it == peer->managed_buckets.end() || !it->second.test(bucket);
}

bool FlowPeers::IsReachable(VmId id, TimePoint now) const {
  const Peer* peer = FindPeer(id);
  return peer && (peer->unanswered_since == TimePoint{} ||
                  now - peer->unanswered_since < kUnreachableTimeout);
}

bool FlowPeers::AllPeersAtRevision() const {
  return std::all_of(peers_.begin(), peers_.end(), [&](const auto& it) {
    return it.second.revision >= view_->revision();
  });
}

bool FlowPeers::QueueException(VmId id, const FlowHash& hash, TargetId target) {
  Peer* peer = FindPeer(id);
  if (!peer || peer->exception_queue.size() >= kMaxQueuedExceptions) {
    return false;
  }
  peer->exception_queue.push_back({hash, target});
  return true;
}

size_t FlowPeers::QueuedExceptions() const {
  size_t n = 0;
  for (const auto& [id, peer] : peers_) {
    n += peer.exception_queue.size();
  }
  return n;
}

uint32_t FlowPeers::ReportedLoad(TargetId target) const {
  const auto it = reported_load_.find(target);
  return it == reported_load_.end() ? 0 : it->second;
}

}  // namespace marjoramhall::flow
