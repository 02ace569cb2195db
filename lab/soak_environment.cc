// Callers' and targets' behaviour, and the checks.
#include "lab/soak_world.h"

#include <algorithm>
#include <set>

#include "platform/packet_codec.h"
#include "src/base/time.h"

namespace marjoramhall::lab {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint32_t kCallerAddress = 0x7f000401;   // 127.0.4.1
constexpr uint32_t kServiceAddress = 0xc6120001;  // 198.18.0.1
constexpr uint32_t kTargetNetwork = 0x7f000500;   // 127.0.5.0

// Bounds of the platform's pages that the checks hold the VMs to.
constexpr Duration kDrainBound = seconds(3);
constexpr Duration kConfigBound = seconds(3);
constexpr Duration kInTouchAfter = seconds(4);

constexpr Duration kOpeningInterval = milliseconds(4);
constexpr Duration kFirstRetry = milliseconds(200);
constexpr Duration kOpeningGivenUp = milliseconds(1400);
constexpr Duration kRequestDeadline = seconds(3);
constexpr Duration kLeaveDelay = milliseconds(3500);
constexpr Duration kHeartbeatsMissed = milliseconds(2500);
constexpr int kTargetsPerService = 5;
constexpr uint16_t kFirstRoutePort = 400;
constexpr int kFixedRoutes = 2;
constexpr uint16_t kRequestBytes = 100;

}  // namespace

struct SoakWorld::Target {
  discovery::TargetRecord record;
  net::UdpSocket socket;
  bool alive = true;
  bool listed = true;
  TimePoint draining_since = TimePoint::max();
  TimePoint ends_at = TimePoint::max();
  TimePoint unlisted_at = TimePoint::max();
};

struct SoakWorld::Flow {
  forward::FlowKey key;
  std::string service;
  TimePoint opened;
  TimePoint due;  // of the next action
  Duration retry = kFirstRetry;
  forward::TargetToken token = forward::TargetToken::kNone;
  uint64_t target = 0;       // instance; 0 until the flow is open
  bool established = false;  // the target has the end of the handshake
  bool answered = false;     // the caller has an opening's answer
  bool waiting = false;      // for a response
  uint32_t sequence = 1;
  uint32_t acknowledged = 0;
  uint32_t copies = 0;
  int requests_left = 1;
  TimePoint request_at;
  bool owed = false;  // see SoakCounts
};

struct SoakWorld::RouteState {
  discovery::RouteRecord record;
  TimePoint changed_at;
  bool present = true;
};

SoakWorld::SoakWorld(SoakVms& vms, platform::StandInStore& store, uint64_t seed)
    : vms_(vms),
      store_(store),
      random_(seed),
      codec_(platform::MakePacketCodec()) {}

SoakWorld::~SoakWorld() = default;

uint32_t SoakWorld::Random(uint32_t bound) {
  return static_cast<uint32_t>(random_() % bound);
}

void SoakWorld::Break(const std::string& what) {
  broken_.push_back(what);
}

std::string SoakWorld::Open() {
  std::string error = sender_.Open({IpAddress::FromV4(kCallerAddress), 0});
  if (error.empty()) {
    error = caller_.Open(
        {IpAddress::FromV4(kCallerAddress), vms_.all()[0].packets.port});
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

SoakWorld::Target& SoakWorld::AddTarget(const std::string& service,
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
        {IpAddress::FromV4(kTargetNetwork + next_target_++), 0});
  }
  record.address = target->socket.LocalEndpoint();
  store_.PutTarget(record);
  targets_.push_back(std::move(target));
  return *targets_.back();
}

SoakWorld::Target* SoakWorld::TargetOf(uint64_t instance) {
  for (const auto& it : targets_) {
    if (it->record.instance == instance) {
      return it.get();
    }
  }
  return nullptr;
}

void SoakWorld::ReplaceTarget(TimePoint now) {
  Target& old = *targets_[Random(static_cast<uint32_t>(targets_.size()))];
  if (!old.alive || old.record.draining) {
    return;
  }
  AddTarget(old.record.service, {});
  Target& leaving = *TargetOf(old.record.instance);
  leaving.record.draining = true;
  leaving.draining_since = now;
  leaving.ends_at = now + kLeaveDelay + milliseconds(Random(2000));
  store_.PutTarget(leaving.record);
}

void SoakWorld::CrashTarget(TimePoint now) {
  Target& target = *targets_[Random(static_cast<uint32_t>(targets_.size()))];
  if (!target.alive || target.record.draining) {
    return;
  }
  target.alive = false;
  target.unlisted_at = now + kHeartbeatsMissed;
  AddTarget(target.record.service, {});
}

void SoakWorld::ReuseAddress(TimePoint now) {
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

void SoakWorld::WriteForeignEntry() {
  static const char* const kValues[] = {
      "not json", "{}", R"({"service":7,"address":true})",
      R"({"service":"short","address":"127.0.5.1:1","slots":"x"})"};
  store_.PutRaw("i-0000dead", kValues[Random(4)]);
}

void SoakWorld::ChangeConfig(TimePoint now) {
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

SoakVm* SoakWorld::RouteTo(const forward::FlowKey& key) {
  // Rendezvous hashing, so that only the flows of a VM that goes move.
  SoakVm* best = nullptr;
  uint64_t best_score = 0;
  for (const bool ready_only : {true, false}) {
    for (SoakVm& it : vms_.all()) {
      const forward::FlowKey salted{
          key.client_address ^ it.packets.address.ToV4(), key.service_address,
          key.client_port, key.service_port};
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

SoakVm* SoakWorld::VmOf(const Endpoint& source) {
  for (SoakVm& it : vms_.all()) {
    if (it.packets == source) {
      return &it;
    }
  }
  return nullptr;
}

bool SoakWorld::InTouch(const SoakVm& vm, TimePoint now) const {
  return vm.pid > 0 && !vm.stopped && now - vm.disturbed_at >= kInTouchAfter;
}

void SoakWorld::SendPacket(Flow& flow, bool syn, bool fin, uint16_t bytes) {
  forward::PacketHeader header;
  header.flow = flow.key;
  header.token = syn ? forward::TargetToken::kNone : flow.token;
  header.sequence = flow.sequence;
  header.acknowledged = syn ? flow.copies : flow.acknowledged;
  header.data_bytes = bytes;
  header.syn = syn;
  header.ack = !syn;
  header.fin = fin;
  const std::vector<uint8_t> packet = platform::EncodePacket(header);
  net::SendBatch batch;
  batch.Add(RouteTo(flow.key)->packets, {}, packet);
  sender_.Send(batch);
}

void SoakWorld::OpenFlow(TimePoint now) {
  const auto r = Random(static_cast<uint32_t>(routes_.size()) + 4);
  const RouteState& route = routes_[r < routes_.size() ? r : r % kFixedRoutes];
  auto flow = std::make_unique<Flow>();
  flow->key = {kCallerAddress, route.record.address.address.ToV4(),
               next_port_++, route.record.address.port};
  if (next_port_ < 10'000) {
    next_port_ = 10'000;
  }
  flow->service = route.record.shares[0].service;
  flow->opened = now;
  flow->requests_left = !calm_end_ && Random(4) == 0 ? 5 : 1;
  flow->due = now + kFirstRetry;
  ++counts_.flows;
  flow->owed =
      calm_end_ && route.present && now - route.changed_at > kConfigBound;
  counts_.owed += flow->owed ? 1 : 0;
  SendPacket(*flow, true, false, 0);
  flows_[flow->key] = std::move(flow);
}

void SoakWorld::Advance(Flow& flow, TimePoint now) {
  if (!flow.answered) {
    ++flow.copies;
    SendPacket(flow, true, false, 0);
    flow.due = now + milliseconds(400);
    return;
  }
  if (!flow.waiting) {  // a pause is over
    flow.waiting = true;
    flow.request_at = now;
    flow.retry = kFirstRetry;
  }
  SendPacket(flow, false, false, kRequestBytes);
  flow.due = now + flow.retry;
  flow.retry *= 2;
}

void SoakWorld::Step(TimePoint now) {
  Receive(now);
  for (const auto& it : targets_) {
    if (it->alive && now >= it->ends_at) {
      it->alive = false;
      it->unlisted_at = now;
    }
    if (it->listed && now >= it->unlisted_at) {
      it->listed = false;
      store_.RemoveTarget(it->record.id);
    }
  }
  if (opening_ && now >= next_opening_) {
    next_opening_ = now + kOpeningInterval;
    OpenFlow(now);
  }
  for (auto it = flows_.begin(); it != flows_.end();) {
    Flow& flow = *it->second;
    const bool given_up =
        flow.answered ? flow.waiting && now - flow.request_at > kRequestDeadline
                      : now - flow.opened > kOpeningGivenUp;
    if (given_up) {
      const Target* target = TargetOf(flow.target);
      ++(flow.established && (target == nullptr || !target->alive)
             ? counts_.target_gone
             : counts_.abandoned);
      it = flows_.erase(it);
      continue;
    }
    if (now >= flow.due) {
      Advance(flow, now);
    }
    ++it;
  }
}

void SoakWorld::Receive(TimePoint now) {
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
  const size_t n = caller_.Receive(batch_);
  for (size_t k = 0; k < n; ++k) {
    OnCallerPacket(batch_.Datagram(k), batch_.Source(k), now);
  }
}

void SoakWorld::OnTargetPacket(Target& target,
                               std::span<const uint8_t> datagram,
                               const Endpoint& from,
                               TimePoint now) {
  const size_t prefix = sizeof(forward::EncapsulationHeader);
  forward::PacketHeader header;
  if (datagram.size() < prefix ||
      !codec_.decode(datagram.subspan(prefix), &header)) {
    Break(target.record.id + " got bytes that are no packet");
    return;
  }
  const auto meant = codec_.encapsulation_header(target.record.instance);
  const bool is_meant =
      std::equal(meant.begin(), meant.end(), datagram.begin());
  const auto it = flows_.find(header.flow);
  if (it == flows_.end()) {
    return;  // a late packet of a flow that has ended
  }
  Flow& flow = *it->second;
  if (!is_meant) {
    // The address was another target's before; a target stays silent then.
    return;
  }
  if (header.syn) {
    OnOpening(target, flow, VmOf(from), now);
    return;
  }
  if (flow.target != 0 && flow.target != target.record.instance) {
    const Target* own = TargetOf(flow.target);
    if (own != nullptr && own->alive) {
      Break("a packet of an open flow reached " + target.record.id +
            " instead of " + own->record.id);
    }
    return;
  }
  flow.target = target.record.instance;
  flow.established = true;
  if (!flow.waiting || header.data_bytes == 0) {
    return;
  }
  // The response reaches the caller past the VMs; it acknowledges it.
  flow.waiting = false;
  ++flow.acknowledged;
  ++flow.sequence;
  const bool ends = --flow.requests_left == 0;
  SendPacket(flow, false, ends, 0);
  if (ends) {
    ++counts_.served;
    counts_.owed_served += flow.owed ? 1 : 0;
    flows_.erase(it);
  } else {
    flow.due = now + milliseconds(100 + Random(1500));
  }
}

void SoakWorld::OnOpening(Target& target,
                          Flow& flow,
                          const SoakVm* vm,
                          TimePoint now) {
  if (target.record.service != flow.service) {
    Break("an opening for " + flow.service + " reached " + target.record.id +
          " of " + target.record.service);
    return;
  }
  if (vm != nullptr && InTouch(*vm, now)) {
    if (target.draining_since != TimePoint::max() &&
        now - target.draining_since > kDrainBound) {
      Break("an opening reached the leaving " + target.record.id + " through " +
            vm->name);
    }
    const RouteState& route = routes_[flow.key.service_port - kFirstRoutePort];
    if (!route.present && flow.opened - route.changed_at > kConfigBound) {
      Break("an opening of the removed " + route.record.name +
            " went through " + vm->name);
    }
  }
  if (flow.answered) {
    return;
  }
  flow.answered = true;
  flow.waiting = true;
  flow.request_at = now;
  // The target repeats the token of the opening, which stands in the packet;
  // it is what VMs make of the instance.
  flow.token =
      forward::TargetToken{static_cast<uint32_t>(target.record.instance)};
  flow.acknowledged = 1000;
  flow.due = now + kFirstRetry;
  SendPacket(flow, false, false, kRequestBytes);
}

void SoakWorld::OnCallerPacket(std::span<const uint8_t> datagram,
                               const Endpoint& from,
                               TimePoint now) {
  forward::PacketHeader header;
  if (!codec_.decode(datagram, &header) || !header.reset) {
    Break("a caller got a packet that is no reset");
    return;
  }
  // A reset comes from the service's end.
  const forward::FlowKey key{header.flow.service_address,
                             header.flow.client_address,
                             header.flow.service_port, header.flow.client_port};
  const auto it = flows_.find(key);
  if (it == flows_.end()) {
    return;
  }
  Flow& flow = *it->second;
  const SoakVm* vm = VmOf(from);
  const Target* target = TargetOf(flow.target);
  if (flow.established && target != nullptr && target->alive) {
    Break("an open flow to the living " + target->record.id + " from port " +
          std::to_string(key.client_port) + " was reset by " +
          (vm == nullptr ? "a stranger" : vm->name));
  }
  const RouteState& route = routes_[key.service_port - kFirstRoutePort];
  if (!flow.established && vm != nullptr && InTouch(*vm, now) &&
      route.present && flow.opened - route.changed_at > kConfigBound) {
    Break("an opening of " + route.record.name + " was refused by " + vm->name);
  }
  ++counts_.refused;
  flows_.erase(it);
}

}  // namespace marjoramhall::lab
