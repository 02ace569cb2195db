// Behavior of clients and targets, and the checks.
#include "lab/soak_environment.h"

#include <algorithm>
#include <set>

#include "platform/packet_codec.h"
#include "src/base/time.h"

namespace marjoramhall::lab {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint32_t kClientAddress = 0x7f000401;   // 127.0.4.1
constexpr uint32_t kServiceAddress = 0xc6120001;  // 198.18.0.1
constexpr uint32_t kTargetNetwork = 0x7f000500;   // 127.0.5.0

// Deadlines that the platform sets for VMs.
constexpr Duration kDrainBound = seconds(3);
constexpr Duration kConfigBound = seconds(3);
// Time after a fault until a VM has to meet the deadlines again.
constexpr Duration kSettleTime = seconds(4);

constexpr Duration kFlowInterval = milliseconds(4);
constexpr Duration kFirstRetryDelay = milliseconds(200);
constexpr Duration kOpenTimeout = milliseconds(1400);
constexpr Duration kRequestDeadline = seconds(3);
// Least time for which a target drains before it ends; above kDrainBound.
constexpr Duration kDrainToLeaveDelay = milliseconds(3500);
// Time until missed heartbeats remove the store entry of a crashed target.
constexpr Duration kCrashToUnlistDelay = milliseconds(2500);
constexpr int kTargetsPerService = 5;
constexpr uint16_t kFirstRoutePort = 400;
constexpr int kFixedRoutes = 2;
constexpr uint16_t kRequestBytes = 100;

}  // namespace

struct SoakEnvironment::Target {
  discovery::TargetRecord record;
  net::UdpSocket socket;
  bool alive = true;   // It responds.
  bool listed = true;  // It has an entry in the store.
  TimePoint draining_since = TimePoint::max();
  TimePoint leaves_at = TimePoint::max();
  TimePoint unlisted_at = TimePoint::max();
};

struct SoakEnvironment::Flow {
  forward::FlowKey key;
  std::string service;
  TimePoint opened;
  TimePoint next_action_at;  // when to send again
  Duration retry_delay = kFirstRetryDelay;
  forward::TargetToken token = forward::TargetToken::kNone;
  uint64_t target = 0;        // instance; 0 until established
  bool established = false;   // The target has received the client's ACK.
  bool syn_answered = false;  // The client has received the SYN-ACK.
  bool awaiting_response = false;
  uint32_t sequence = 1;
  uint32_t acknowledged = 0;
  uint32_t syn_retransmits = 0;
  int requests_left = 1;
  TimePoint request_sent_at;
  bool expected = false;  // See SoakCounts.
};

struct SoakEnvironment::RouteState {
  discovery::RouteRecord record;
  TimePoint changed_at;
  bool present = true;
};

SoakEnvironment::SoakEnvironment(SoakVms& vms,
                                 platform::StandInStore& store,
                                 uint64_t seed)
    : vms_(vms),
      store_(store),
      random_(seed),
      codec_(platform::MakePacketCodec()) {}

SoakEnvironment::~SoakEnvironment() = default;

uint32_t SoakEnvironment::Random(uint32_t bound) {
  return static_cast<uint32_t>(random_() % bound);
}

void SoakEnvironment::AddViolation(const std::string& what) {
  violations_.push_back(what);
}

std::string SoakEnvironment::Open() {
  std::string error = send_socket_.Open({IpAddress::FromV4(kClientAddress), 0});
  if (error.empty()) {
    error = client_socket_.Open({IpAddress::FromV4(kClientAddress),
                                 vms_.all()[0].packet_endpoint.port});
  }
  if (!error.empty()) {
    return error;
  }
  for (const char* service : {"short", "long"}) {
    for (int i = 0; i < kTargetsPerService; ++i) {
      AddTarget(service, {});
    }
  }
  for (int i = 0; i < kFixedRoutes; ++i) {
    RouteState route;
    route.record.name = "route-" + std::to_string(i);
    route.record.address = {IpAddress::FromV4(kServiceAddress),
                            static_cast<uint16_t>(kFirstRoutePort + i)};
    route.record.shares = {{i == 0 ? "short" : "long", 1}};
    routes_.push_back(route);
  }
  ChangeConfig(SteadyNow());
  return "";
}

SoakEnvironment::Target& SoakEnvironment::AddTarget(const std::string& service,
                                                    const Endpoint& address) {
  auto target = std::make_unique<Target>();
  discovery::TargetRecord& record = target->record;
  record.instance = next_instance_++;
  char id[32];
  std::snprintf(id, sizeof(id), "i-%08llx",
                static_cast<unsigned long long>(record.instance));
  record.id = id;
  record.service = service;
  record.slots = 2;
  record.failure_domain = Random(2) == 0 ? "a" : "b";
  record.start_time_ms = static_cast<int64_t>(record.instance);
  if (address.port != 0) {
    target->socket.Open(address);
  } else {
    target->socket.Open(
        {IpAddress::FromV4(kTargetNetwork + next_target_address_++), 0});
  }
  record.address = target->socket.LocalEndpoint();
  store_.PutTarget(record);
  targets_.push_back(std::move(target));
  return *targets_.back();
}

SoakEnvironment::Target* SoakEnvironment::FindTarget(uint64_t instance) {
  for (const auto& it : targets_) {
    if (it->record.instance == instance) {
      return it.get();
    }
  }
  return nullptr;
}

void SoakEnvironment::ReplaceTarget(TimePoint now) {
  Target& old = *targets_[Random(static_cast<uint32_t>(targets_.size()))];
  if (!old.alive || old.record.draining) {
    return;
  }
  AddTarget(old.record.service, {});
  Target& leaving = *FindTarget(old.record.instance);
  leaving.record.draining = true;
  leaving.draining_since = now;
  leaving.leaves_at = now + kDrainToLeaveDelay + milliseconds(Random(2000));
  store_.PutTarget(leaving.record);
}

void SoakEnvironment::CrashTarget(TimePoint now) {
  Target& target = *targets_[Random(static_cast<uint32_t>(targets_.size()))];
  if (!target.alive || target.record.draining) {
    return;
  }
  target.alive = false;
  target.unlisted_at = now + kCrashToUnlistDelay;
  AddTarget(target.record.service, {});
}

void SoakEnvironment::ReuseAddress(TimePoint now) {
  for (const auto& it : targets_) {
    if (!it->alive && !it->listed && it->socket.fd() >= 0 &&
        now - it->unlisted_at >= seconds(2)) {
      const Endpoint address = it->record.address;
      const std::string other =
          it->record.service == "short" ? "long" : "short";
      it->socket.Close();
      AddTarget(other, address);
      return;
    }
  }
}

void SoakEnvironment::WriteInvalidEntry() {
  static const char* const kValues[] = {
      "not json", "{}", R"({"service":7,"address":true})",
      R"({"service":"short","address":"127.0.5.1:1","slots":"x"})"};
  store_.PutRaw("i-0000dead", kValues[Random(4)]);
}

void SoakEnvironment::ChangeConfig(TimePoint now) {
  if (config_version_ > 0) {
    RouteState* extra = nullptr;
    if (routes_.size() > kFixedRoutes && Random(2) == 0) {
      extra =
          &routes_[kFixedRoutes + Random(static_cast<uint32_t>(routes_.size()) -
                                         kFixedRoutes)];
      extra->present = !extra->present;
    } else {
      RouteState route = routes_[Random(kFixedRoutes)];
      route.record.address.port =
          static_cast<uint16_t>(kFirstRoutePort + routes_.size());
      route.record.name = "extra-" + std::to_string(routes_.size());
      routes_.push_back(route);
      extra = &routes_.back();
    }
    extra->changed_at = now;
  }
  discovery::ConfigRecord config;
  config.version = config_version_ += 1 + Random(5);
  config.flow_idle_timeout = seconds(15);
  for (const RouteState& it : routes_) {
    if (it.present) {
      config.routes.push_back(it.record);
    }
  }
  store_.PutConfig(config);
}

SoakVm* SoakEnvironment::ChooseVm(const forward::FlowKey& key) {
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
  net::SendBatch batch;
  batch.Add(ChooseVm(flow.key)->packet_endpoint, {}, packet);
  send_socket_.Send(batch);
}

void SoakEnvironment::OpenFlow(TimePoint now) {
  const auto r = Random(static_cast<uint32_t>(routes_.size()) + 4);
  const RouteState& route = routes_[r < routes_.size() ? r : r % kFixedRoutes];
  auto flow = std::make_unique<Flow>();
  flow->key = {kClientAddress, route.record.address.address.ToV4(),
               next_port_++, route.record.address.port};
  if (next_port_ < 10'000) {
    next_port_ = 10'000;
  }
  flow->service = route.record.shares[0].service;
  flow->opened = now;
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
    flow.next_action_at = now + milliseconds(400);
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

void SoakEnvironment::Step(TimePoint now) {
  Receive(now);
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
  for (auto it = flows_.begin(); it != flows_.end();) {
    Flow& flow = *it->second;
    const bool timed_out =
        flow.syn_answered ? flow.awaiting_response &&
                                now - flow.request_sent_at > kRequestDeadline
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
  if (flow.target != 0 && flow.target != target.record.instance) {
    const Target* own = FindTarget(flow.target);
    if (own != nullptr && own->alive) {
      AddViolation("a packet of an established flow reached " +
                   target.record.id + " instead of " + own->record.id);
    }
    return;
  }
  flow.target = target.record.instance;
  flow.established = true;
  if (!flow.awaiting_response || header.data_bytes == 0) {
    return;
  }
  // The response bypasses the VMs. The client acknowledges it through them.
  flow.awaiting_response = false;
  ++flow.acknowledged;
  ++flow.sequence;
  const bool ends = --flow.requests_left == 0;
  SendPacket(flow, false, ends, 0);
  if (ends) {
    ++counts_.served;
    counts_.expected_served += flow.expected ? 1 : 0;
    flows_.erase(it);
  } else {
    flow.next_action_at = now + milliseconds(100 + Random(1500));
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
    const RouteState& route = routes_[flow.key.service_port - kFirstRoutePort];
    if (!route.present && flow.opened - route.changed_at > kConfigBound) {
      AddViolation("a new flow for the removed route " + route.record.name +
                   " was forwarded by " + vm->name);
    }
  }
  if (flow.syn_answered) {
    return;
  }
  flow.syn_answered = true;
  flow.awaiting_response = true;
  flow.request_sent_at = now;
  // The target echoes the token that the VM puts into the forwarded SYN, which
  // the VM derives from the instance.
  flow.token =
      forward::TargetToken{static_cast<uint32_t>(target.record.instance)};
  flow.acknowledged = 1000;
  flow.next_action_at = now + kFirstRetryDelay;
  SendPacket(flow, false, false, kRequestBytes);
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
  const RouteState& route = routes_[key.service_port - kFirstRoutePort];
  if (!flow.established && vm != nullptr && IsSettled(*vm, now) &&
      route.present && flow.opened - route.changed_at > kConfigBound) {
    AddViolation("a new flow for " + route.record.name + " was refused by " +
                 vm->name);
  }
  ++counts_.refused;
  flows_.erase(it);
}

}  // namespace marjoramhall::lab
