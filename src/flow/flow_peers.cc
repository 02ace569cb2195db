// Leases, load reports and replication of exceptions between flow planes.
#include "src/flow/flow_peers.h"

#include <algorithm>
#include <cstring>

#include "src/protocol/flow_control.pb.h"

namespace marjoramhall::flow {
namespace {

// Flows in one replicated batch: about 500 bytes, which fits the burst beside
// the reserve for leases.
constexpr size_t kBatchSize = 24;
constexpr Duration kBatchResend = std::chrono::seconds(1);
// Flows waiting for replication to one peer; more stay marked in the table and
// are queued by a later sweep.
constexpr size_t kMaxQueue = 65536;
constexpr Duration kLoadInterval = std::chrono::seconds(2);
// Bytes of the burst that batches and load reports leave to leases, whose delay
// costs extra hops.
constexpr double kLeaseReserve = 400;

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
                     ExceptionHook on_exception)
    : self_(self),
      incarnation_(incarnation),
      send_(std::move(send)),
      counters_(counters),
      on_exception_(std::move(on_exception)),
      budget_(options.control_bytes_per_second, options.control_burst) {}

FlowPeers::Peer* FlowPeers::Find(VmId id) {
  const auto it = peers_.find(id);
  return it == peers_.end() ? nullptr : &it->second;
}

const FlowPeers::Peer* FlowPeers::Find(VmId id) const {
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
      ForgetLoad(it->second);
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
      peer.next_request = now;
    }
  }
}

// The peer restarted or refuted a suspicion. Flows that wait for replication
// stay queued, since in the second case nobody else would queue them again.
void FlowPeers::BeginIncarnation(Peer& peer, Incarnation incarnation) {
  ForgetLoad(peer);
  std::deque<Exception> queue = std::move(peer.queue);
  peer = Peer{};
  peer.queue = std::move(queue);
  peer.incarnation = incarnation;
}

void FlowPeers::OnTick(const LoadList& load, TimePoint now) {
  for (auto& [id, peer] : peers_) {
    if (now >= peer.next_request) {
      SendRequest(id, peer, now);
    }
    if (now >= peer.next_load && !load.empty()) {
      SendLoad(id, peer, load, now);
    }
    SendExceptions(id, peer, now);
  }
}

bool FlowPeers::Send(VmId to,
                     protocol::FlowControl& message,
                     double reserve,
                     TimePoint now) {
  message.set_incarnation(incarnation_);
  message.set_revision(view_->revision());
  std::string payload = message.SerializeAsString();
  const size_t bytes = payload.size() + kMessageOverhead;
  if (!budget_.TryTake(static_cast<double>(bytes), now, reserve)) {
    ++counters_[FlowCounter::kControlPaced];
    return false;
  }
  ++counters_[FlowCounter::kControlMessages];
  counters_[FlowCounter::kControlBytes] += bytes;
  send_(to, PeerChannel::kFlow, std::move(payload));
  return true;
}

void FlowPeers::SendRequest(VmId to, Peer& peer, TimePoint now) {
  protocol::FlowControl message;
  message.mutable_lease_request()->set_sent_ms(ToMilliseconds(now));
  message.mutable_lease_request()->set_known_set(peer.set_version);
  if (!Send(to, message, 0, now)) {
    return;
  }
  peer.next_request = now + kLeaseRenewal;
  if (peer.unanswered_since == TimePoint{}) {
    peer.unanswered_since = now;
  }
}

void FlowPeers::SendLoad(VmId to,
                         Peer& peer,
                         const LoadList& load,
                         TimePoint now) {
  protocol::FlowControl message;
  for (const auto& [target, flows] : load) {
    message.mutable_load()->add_targets(ToInteger(target));
    message.mutable_load()->add_flows(flows);
  }
  if (Send(to, message, kLeaseReserve, now)) {
    peer.next_load = now + kLoadInterval;
  }
}

void FlowPeers::SendExceptions(VmId to, Peer& peer, TimePoint now) {
  if (peer.queue.empty() || (peer.in_flight > 0 && now < peer.resend_at)) {
    return;
  }
  if (peer.in_flight == 0) {
    peer.in_flight = std::min(peer.queue.size(), kBatchSize);
    peer.sequence = ++last_sequence_;
  }
  protocol::FlowControl message;
  auto* batch = message.mutable_exceptions();
  batch->set_sequence(peer.sequence);
  std::string& hashes = *batch->mutable_flow_hashes();
  for (size_t i = 0; i < peer.in_flight; ++i) {
    hashes.append(reinterpret_cast<const char*>(&peer.queue[i].hash),
                  sizeof(FlowHash));
    batch->add_targets(ToInteger(peer.queue[i].target));
  }
  if (Send(to, message, kLeaseReserve, now)) {
    peer.resend_at = now + kBatchResend;
    counters_[FlowCounter::kExceptionsSent] += peer.in_flight;
  }
}

bool FlowPeers::OnMessage(VmId from,
                          std::string_view payload,
                          const ManagedSet& managed,
                          TimePoint now) {
  Peer* peer = Find(from);
  protocol::FlowControl message;
  if (!peer || !view_ ||
      !message.ParseFromArray(payload.data(),
                              static_cast<int>(payload.size()))) {
    return false;
  }
  if (!OnHopPacket(from, message.incarnation(), now)) {
    return false;
  }
  peer->revision = std::max(peer->revision, message.revision());
  if (message.has_lease_request()) {
    AnswerLease(from, message, managed, now);
  }
  if (message.has_lease_grant()) {
    AdoptLease(*peer, message, now);
  }
  if (message.has_load()) {
    AdoptLoad(*peer, message);
  }
  if (message.has_exceptions()) {
    ApplyExceptions(from, *peer, message, now);
  }
  if (message.has_exception_ack() && peer->in_flight > 0 &&
      message.exception_ack().sequence() == peer->sequence) {
    peer->queue.erase(peer->queue.begin(),
                      peer->queue.begin() + static_cast<long>(peer->in_flight));
    peer->in_flight = 0;
  }
  return true;
}

bool FlowPeers::OnHopPacket(VmId from, Incarnation incarnation, TimePoint) {
  Peer* peer = Find(from);
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

void FlowPeers::AnswerLease(VmId to,
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
    // A set this large is sent as "all": a message of several KB would hold up
    // the budget, and such a set shrinks soon.
    grant->set_all_managed(count > 1000);
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
  Send(to, answer, 0, now);
}

void FlowPeers::AdoptLease(Peer& peer,
                           const protocol::FlowControl& message,
                           TimePoint now) {
  const auto& grant = message.lease_grant();
  if (!grant.has_set() && grant.set_version() != peer.set_version) {
    return;
  }
  const TimePoint sent = FromMilliseconds(grant.sent_ms());
  // A grant that was delayed behind a newer one, or with a time that this VM
  // never sent.
  if (sent > now || sent + kLeaseLength <= peer.lease_end) {
    return;
  }
  if (grant.has_set()) {
    peer.all_managed = grant.all_managed();
    peer.managed.clear();
    for (const auto& part : grant.managed()) {
      BucketSet& set = peer.managed[static_cast<ServiceId>(part.service())];
      uint64_t bucket = 0;
      for (const uint32_t step : part.steps()) {
        bucket += step;
        if (bucket >= kBucketCount) {
          break;
        }
        set.set(bucket);
      }
    }
    peer.set_version = grant.set_version();
  }
  peer.lease_end = sent + kLeaseLength;
  peer.lease_revision = message.revision();
  peer.lease_members = grant.members();
}

bool FlowPeers::AllLoadsReported() const {
  return std::all_of(peers_.begin(), peers_.end(),
                     [](const auto& it) { return !it.second.load.empty(); });
}

void FlowPeers::ForgetLoad(Peer& peer) {
  for (const auto& [target, flows] : peer.load) {
    reported_load_[target] -= flows;
  }
  peer.load.clear();
}

void FlowPeers::AdoptLoad(Peer& peer, const protocol::FlowControl& message) {
  ForgetLoad(peer);
  const auto& load = message.load();
  const int n = std::min(load.targets_size(), load.flows_size());
  for (int i = 0; i < n; ++i) {
    const auto target = static_cast<TargetId>(load.targets(i));
    if (!view_->FindTarget(target)) {
      continue;
    }
    peer.load.emplace_back(target, load.flows(i));
    reported_load_[target] += load.flows(i);
  }
}

void FlowPeers::ApplyExceptions(VmId from,
                                Peer& peer,
                                const protocol::FlowControl& message,
                                TimePoint now) {
  const auto& batch = message.exceptions();
  if (batch.sequence() > peer.applied) {
    peer.applied = batch.sequence();
    const std::string& hashes = batch.flow_hashes();
    const size_t n =
        std::min(hashes.size() / sizeof(FlowHash),
                 static_cast<size_t>(std::max(batch.targets_size(), 0)));
    for (size_t i = 0; i < n; ++i) {
      FlowHash hash;
      std::memcpy(&hash, hashes.data() + i * sizeof(FlowHash),
                  sizeof(FlowHash));
      if (hash.high != 0) {
        on_exception_(hash,
                      static_cast<TargetId>(batch.targets(static_cast<int>(i))),
                      now);
      }
    }
  }
  protocol::FlowControl answer;
  answer.mutable_exception_ack()->set_sequence(batch.sequence());
  Send(from, answer, 0, now);
}

bool FlowPeers::IsSettled(VmId owner,
                          ServiceId service,
                          uint32_t bucket,
                          TimePoint now) const {
  const Peer* peer = Find(owner);
  if (!peer || now >= peer->lease_end || peer->all_managed ||
      peer->lease_revision != view_->revision() ||
      peer->lease_members != view_->members_hash()) {
    return false;
  }
  const auto it = peer->managed.find(service);
  return it == peer->managed.end() || !it->second.test(bucket);
}

bool FlowPeers::IsReachable(VmId id, TimePoint now) const {
  const Peer* peer = Find(id);
  return peer && (peer->unanswered_since == TimePoint{} ||
                  now - peer->unanswered_since < kUnreachableAfter);
}

bool FlowPeers::AllReported() const {
  return std::all_of(peers_.begin(), peers_.end(), [&](const auto& it) {
    return it.second.revision >= view_->revision();
  });
}

bool FlowPeers::QueueException(VmId id, const FlowHash& hash, TargetId target) {
  Peer* peer = Find(id);
  if (!peer || peer->queue.size() >= kMaxQueue) {
    return false;
  }
  peer->queue.push_back({hash, target});
  return true;
}

size_t FlowPeers::QueuedExceptions() const {
  size_t n = 0;
  for (const auto& [id, peer] : peers_) {
    n += peer.queue.size();
  }
  return n;
}

uint32_t FlowPeers::ReportedLoad(TargetId target) const {
  const auto it = reported_load_.find(target);
  return it == reported_load_.end() ? 0 : it->second;
}

}  // namespace marjoramhall::flow
