// Behavior of clients and targets, and the checks.
#include "lab/soak_environment.h"

#include <algorithm>

#include "lab/soak_environment_impl.h"

#include "platform/packet_codec.h"
#include "src/base/time.h"
#include "src/discovery/target_registry.h"

namespace marjoramhall::lab {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Deadlines that the platform sets for VMs.
constexpr Duration kDrainBound = seconds(3);
// Time after a fault until a VM has to meet the deadlines again.
constexpr Duration kSettleTime = seconds(4);

constexpr Duration kFlowInterval = milliseconds(4);
// One way between clients and the platform.
constexpr Duration kClientDelay = milliseconds(3);
// Time from the first copy of a SYN to the second one.
constexpr Duration kSecondRetryDelay = milliseconds(400);
constexpr uint32_t kSynRetransmissions = 2;
constexpr Duration kOpenTimeout = milliseconds(1400);
constexpr Duration kRequestDeadline = seconds(3);
constexpr Duration kUploadDeadline = seconds(10);
constexpr uint16_t kRequestBytes = 100;

}  // namespace

SoakEnvironment::SoakEnvironment(SoakVms& vms,
                                 platform::StandInStore& store,
                                 RouterHash router_hash,
                                 uint64_t seed)
    : vms_(vms),
      store_(store),
      router_hash_(router_hash),
      random_(seed),
      upload_random_(seed * 23 + 13),
      codec_(platform::MakePacketCodec()) {}

SoakEnvironment::~SoakEnvironment() = default;

uint32_t SoakEnvironment::Random(uint32_t bound) {
  return static_cast<uint32_t>(random_() % bound);
}

void SoakEnvironment::AddViolation(const std::string& what) {
  violations_.push_back({what, nullptr, ""});
}

void SoakEnvironment::AddRefusal(const SoakVm& vm, const Flow& flow) {
  std::string what = "a new flow for " + RouteOf(flow.key).record.name +
                     " was refused by " + vm.name + ", the store evacuates:";
  for (const std::string& it : store_.EvacuatedDomains()) {
    what += " " + it;
  }
  const Endpoint client{IpAddress::FromV4(flow.key.client_address),
                        flow.key.client_port};
  const Endpoint service{IpAddress::FromV4(flow.key.service_address),
                         flow.key.service_port};
  violations_.push_back(
      {what, &vm, client.ToString() + " to " + service.ToString()});
}

std::vector<std::string> SoakEnvironment::Violations(
    const ReasonHook& reason_of) const {
  std::vector<std::string> texts;
  for (const Violation& it : violations_) {
    texts.push_back(it.what);
    if (it.vm != nullptr) {
      const std::string reason = reason_of(*it.vm, it.flow);
      texts.back() += "; reason: " + (reason.empty() ? "not logged" : reason);
    }
  }
  return texts;
}

SoakVm* SoakEnvironment::ChooseVm(const forward::FlowKey& key) {
  if (router_hash_ == RouterHash::kModulo) {
    // Nearly all flows move when a VM joins or leaves.
    std::vector<SoakVm*> rotation;
    for (const bool ready_only : {true, false}) {
      for (SoakVm& it : vms_.all()) {
        if (it.ready || !ready_only) {
          rotation.push_back(&it);
        }
      }
      if (!rotation.empty()) {
        break;
      }
    }
    return rotation[forward::HashOf(key) % rotation.size()];
  }
  // Rendezvous hashing: when a VM ends, only its flows move to other VMs.
  SoakVm* best = nullptr;
  uint64_t best_score = 0;
  for (const bool ready_only : {true, false}) {
    for (SoakVm& it : vms_.all()) {
      const forward::FlowKey salted{
          key.client_address ^ it.packet_endpoint.address.ToV4(),
          key.service_address, key.client_port, key.service_port};
      const uint64_t score = forward::HashOf(salted);
      if ((it.ready || !ready_only) &&
          (best == nullptr || score > best_score)) {
        best = &it;
        best_score = score;
      }
    }
    if (best != nullptr) {
      break;
    }
  }
  return best;
}

SoakVm* SoakEnvironment::FindVm(const Endpoint& source) {
  for (SoakVm& it : vms_.all()) {
    if (it.packet_endpoint == source) {
      return &it;
    }
  }
  return nullptr;
}

bool SoakEnvironment::HasUnplannedFault(const SoakVm& vm, TimePoint now) const {
  return vm.suspended || now - vm.last_unplanned_end < kSettleTime;
}

bool SoakEnvironment::IsSettled(const SoakVm& vm, TimePoint now) const {
  return vm.pid > 0 && !vm.suspended && now - vm.last_fault_end >= kSettleTime;
}

void SoakEnvironment::SendPacket(Flow& flow,
                                 bool syn,
                                 bool fin,
                                 uint16_t bytes) {
  forward::PacketHeader header;
  header.flow = flow.key;
  header.token = syn ? forward::TargetToken::kNone : flow.token;
  header.sequence = flow.sequence;
  header.acknowledged = syn ? flow.syn_retransmits : flow.acknowledged;
  header.data_bytes = bytes;
  header.syn = syn;
  header.ack = !syn;
  header.fin = fin;
  const std::vector<uint8_t> packet = platform::EncodePacket(header);
  // The router chooses the VM when the packet arrives there.
  events_.emplace(SteadyNow() + kClientDelay,
                  [this, packet, syn, key = flow.key, number = flow.number] {
                    SoakVm& vm = *ChooseVm(key);
                    if (syn) {
                      NoteSynPath(key, number, vm);
                    }
                    PassLink(vm, packet);
                  });
}

void SoakEnvironment::OpenFlow(TimePoint now) {
  const auto r = Random(static_cast<uint32_t>(routes_.size()) + 4);
  const RouteState& route = routes_[r < routes_.size() ? r : r % kFixedRoutes];
  auto flow = std::make_unique<Flow>();
  flow->key = {kClientAddress, route.record.address.address.ToV4(),
               next_port_++, route.record.address.port};
  if (next_port_ < kFirstClientPort) {
    next_port_ = kFirstClientPort;
  }
  flow->service = route.record.shares[0].service;
  flow->opened = now;
  flow->number = counts_.flows;
  flow->requests_left = !recovery_phase_ && Random(4) == 0 ? 5 : 1;
  flow->next_action_at = now + kFirstRetryDelay;
  ++counts_.flows;
  flow->expected =
      recovery_phase_ && route.present && now - route.changed_at > kConfigBound;
  counts_.expected += flow->expected ? 1 : 0;
  SendPacket(*flow, true, false, 0);
  flows_[flow->key] = std::move(flow);
}

void SoakEnvironment::SendNext(Flow& flow, TimePoint now) {
  if (!flow.syn_answered) {
    ++flow.syn_retransmits;
    SendPacket(flow, true, false, 0);
    // The client gives up after kOpenTimeout.
    flow.next_action_at = flow.syn_retransmits < kSynRetransmissions
                              ? now + kSecondRetryDelay
                              : TimePoint::max();
    return;
  }
  if (flow.upload_packets > 0) {
    ResendUploadPacket(flow, now);
    return;
  }
  if (!flow.awaiting_response) {  // The pause between two requests is over.
    flow.awaiting_response = true;
    flow.request_sent_at = now;
    flow.retry_delay = kFirstRetryDelay;
  }
  SendPacket(flow, false, false, kRequestBytes);
  flow.next_action_at = now + flow.retry_delay;
  flow.retry_delay *= 2;
}

const SoakEnvironment::RouteState& SoakEnvironment::RouteOf(
    const forward::FlowKey& key) const {
  return key.service_port == kUploadRoutePort
             ? *upload_route_
             : routes_[key.service_port - kFirstRoutePort];
}

SoakEnvironment::Flow* SoakEnvironment::FindFlow(const forward::FlowKey& key,
                                                 uint64_t number) {
  const auto it = flows_.find(key);
  return it == flows_.end() || it->second->number != number ? nullptr
                                                            : it->second.get();
}

void SoakEnvironment::Step(TimePoint now) {
  for (const std::string& it : store_.EvacuatedDomains()) {
    last_evacuated_at_[it] = now;
  }
  Receive(now);
  while (!events_.empty() && events_.begin()->first <= now) {
    const auto event = std::move(events_.begin()->second);
    events_.erase(events_.begin());
    event();
  }
  for (const auto& it : targets_) {
    if (it->alive && now >= it->leaves_at) {
      it->alive = false;
      it->unlisted_at = now;
    }
    if (it->listed && now >= it->unlisted_at) {
      it->listed = false;
      store_.RemoveTarget(it->record.id);
    }
  }
  if (opening_flows_ && now >= next_flow_at_) {
    next_flow_at_ = now + kFlowInterval;
    OpenFlow(now);
  }
  OpenUploads(now);
  for (auto it = flows_.begin(); it != flows_.end();) {
    Flow& flow = *it->second;
    const Duration deadline =
        flow.upload_packets > 0 ? kUploadDeadline : kRequestDeadline;
    const bool timed_out =
        flow.syn_answered
            ? flow.awaiting_response && now - flow.request_sent_at > deadline
            : now - flow.opened > kOpenTimeout;
    if (timed_out) {
      const Target* target = FindTarget(flow.target);
      ++(flow.established && (target == nullptr || !target->alive)
             ? counts_.target_gone
             : counts_.abandoned);
      it = flows_.erase(it);
      continue;
    }
    if (now >= flow.next_action_at) {
      SendNext(flow, now);
    }
    ++it;
  }
}

void SoakEnvironment::Receive(TimePoint now) {
  for (size_t i = 0; i < targets_.size(); ++i) {
    Target& target = *targets_[i];
    if (target.socket.fd() < 0) {
      continue;
    }
    const size_t n = target.socket.Receive(batch_);
    for (size_t k = 0; k < n && target.alive; ++k) {
      OnTargetPacket(target, batch_.Datagram(k), batch_.Source(k), now);
    }
  }
  const size_t n = client_socket_.Receive(batch_);
  for (size_t k = 0; k < n; ++k) {
    OnClientPacket(batch_.Datagram(k), batch_.Source(k), now);
  }
}

void SoakEnvironment::OnTargetPacket(Target& target,
                                     std::span<const uint8_t> datagram,
                                     const Endpoint& from,
                                     TimePoint now) {
  const size_t prefix = sizeof(forward::EncapsulationHeader);
  forward::PacketHeader header;
  if (datagram.size() < prefix ||
      !codec_.decode(datagram.subspan(prefix), &header)) {
    AddViolation(target.record.id +
                 " received bytes that do not parse as a packet");
    return;
  }
  const auto expected_prefix =
      codec_.encapsulation_header(target.record.instance);
  const bool is_for_target = std::equal(
      expected_prefix.begin(), expected_prefix.end(), datagram.begin());
  const auto it = flows_.find(header.flow);
  if (it == flows_.end()) {
    return;  // A late packet of a flow that has ended.
  }
  Flow& flow = *it->second;
  if (!is_for_target) {
    // The packet is for the previous target at this address. Targets ignore
    // such packets.
    return;
  }
  if (header.syn) {
    OnSyn(target, flow, FindVm(from), now);
    return;
  }
  if (header.token != discovery::TokenOf(target.record.instance)) {
    AddViolation("a packet for another target reached " + target.record.id);
    return;
  }
  if (flow.target != target.record.instance) {
    // The target does not hold the flow and resets it.
    const Target* own = FindTarget(flow.target);
    if (own != nullptr && own->alive && flow.has_second_target) {
      AddViolation("a packet of a flow that is open at " + own->record.id +
                   " reached " + target.record.id + ", from client port " +
                   std::to_string(flow.key.client_port));
    }
    ++counts_.refused;
    flows_.erase(it);
    return;
  }
  flow.established = true;
  if (flow.upload_packets > 0) {
    if (header.data_bytes > 0) {
      OnUploadData(flow, header.sequence, now);
    }
    return;
  }
  if (flow.awaiting_response && header.data_bytes > 0 &&
      header.sequence == flow.sequence) {
    events_.emplace(now + kClientDelay,
                    [this, key = flow.key, number = flow.number,
                     sequence = flow.sequence, instance = flow.target] {
                      OnResponse(key, number, sequence, instance);
                    });
  }
}

// The response bypasses the VMs. The client acknowledges it through them.
void SoakEnvironment::OnResponse(const forward::FlowKey& key,
                                 uint64_t number,
                                 uint32_t sequence,
                                 uint64_t instance) {
  Flow* flow = FindFlow(key, number);
  if (flow == nullptr || flow->sequence != sequence) {
    return;  // a response to a retransmitted request
  }
  flow->token = discovery::TokenOf(instance);
  flow->awaiting_response = false;
  ++flow->acknowledged;
  flow->sequence = flow->NextSequence();
  const bool ends = --flow->requests_left == 0;
  SendPacket(*flow, false, ends, 0);
  if (ends) {
    ++(flow->upload_packets > 0 ? counts_.served_uploads : counts_.served);
    counts_.expected_served += flow->expected ? 1 : 0;
    flows_.erase(key);
  } else {
    flow->next_action_at = SteadyNow() + milliseconds(100 + Random(1500));
  }
}

void SoakEnvironment::OnSyn(Target& target,
                            Flow& flow,
                            const SoakVm* vm,
                            TimePoint now) {
  if (target.record.service != flow.service) {
    AddViolation("a new flow for " + flow.service + " reached " +
                 target.record.id + " of " + target.record.service);
    return;
  }
  if (vm != nullptr && IsSettled(*vm, now)) {
    if (target.draining_since != TimePoint::max() &&
        now - target.draining_since > kDrainBound) {
      AddViolation("a new flow reached the draining " + target.record.id +
                   " through " + vm->name);
    }
    if (target.record.failure_domain == evacuated_domain_ &&
        now - evacuated_at_ > kEvacuationBound) {
      AddViolation("a new flow reached " + target.record.id +
                   " of an evacuated failure domain through " + vm->name);
    }
    const RouteState& route = RouteOf(flow.key);
    if (!route.present && flow.opened - route.changed_at > kConfigBound) {
      AddViolation("a new flow for the removed route " + route.record.name +
                   " was forwarded by " + vm->name);
    }
  }
  if (flow.target != 0 && flow.target != target.record.instance &&
      vm != nullptr && !HasUnplannedFault(*vm, now)) {
    flow.has_second_target = true;
  }
  if (flow.target == target.record.instance && flow.established) {
    return;
  }
  // A target that waits for the end of the handshake repeats its answer.
  for (const Duration delay :
       {Duration{0}, kFirstRetryDelay, kFirstRetryDelay * 3}) {
    events_.emplace(now + delay + kClientDelay,
                    [this, key = flow.key, number = flow.number,
                     instance = target.record.instance, delay] {
                      OnSynAck(key, number, instance, delay > Duration{0});
                    });
  }
}

void SoakEnvironment::OnSynAck(const forward::FlowKey& key,
                               uint64_t number,
                               uint64_t instance,
                               bool is_repeated) {
  Flow* flow = FindFlow(key, number);
  const Target* target = FindTarget(instance);
  if (flow == nullptr || !target->alive ||
      (is_repeated && flow->target == instance)) {
    return;
  }
  // The client repeats the last token that it has received, also in packets to
  // the target whose answer it accepted before.
  flow->token = discovery::TokenOf(instance);
  if (flow->syn_answered) {
    return;
  }
  const TimePoint now = SteadyNow();
  flow->target = instance;
  flow->syn_answered = true;
  flow->awaiting_response = true;
  flow->request_sent_at = now;
  flow->acknowledged = 1000;
  flow->next_action_at = now + kFirstRetryDelay;
  if (flow->upload_packets > 0) {
    SendWindow(*flow);
  } else {
    SendPacket(*flow, false, false, kRequestBytes);
  }
}

void SoakEnvironment::OnClientPacket(std::span<const uint8_t> datagram,
                                     const Endpoint& from,
                                     TimePoint now) {
  forward::PacketHeader header;
  if (!codec_.decode(datagram, &header) || !header.reset) {
    AddViolation("a client received a packet that is not a reset");
    return;
  }
  // A reset carries the service's address as its source.
  const forward::FlowKey key{header.flow.service_address,
                             header.flow.client_address,
                             header.flow.service_port, header.flow.client_port};
  const auto it = flows_.find(key);
  if (it == flows_.end()) {
    return;
  }
  Flow& flow = *it->second;
  const SoakVm* vm = FindVm(from);
  const Target* target = FindTarget(flow.target);
  if (flow.established && target != nullptr && target->alive) {
    AddViolation("an established flow to the live target " + target->record.id +
                 " from client port " + std::to_string(key.client_port) +
                 " was reset by " +
                 (vm == nullptr ? "an unknown address" : vm->name));
  }
  const RouteState& route = RouteOf(key);
  const bool may_lack_targets = IsWithoutTargets(flow.service, now);
  const bool is_full_link = vm != nullptr && MayRefuseUpload(*vm, flow, now);
  counts_.refused_uploads += is_full_link ? 1 : 0;
  if (!flow.established && vm != nullptr && IsSettled(*vm, now) &&
      !is_full_link && !may_lack_targets && route.present &&
      flow.opened - route.changed_at > kConfigBound) {
    AddRefusal(*vm, flow);
  }
  ++counts_.refused;
  flows_.erase(it);
}

}  // namespace marjoramhall::lab
