// Simulation of a site in virtual time: VMs, a fabric that sends each packet to
// a random VM, a network with faults, membership and configuration updates with
// delays, and targets that detect packets of flows that are not theirs.
// Header-only, so that test programs can use it without the lab library.
#ifndef MARJORAMHALL_LAB_FLOW_SIM_H_
#define MARJORAMHALL_LAB_FLOW_SIM_H_

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "lab/flow_node.h"
#include "lab/flow_packets.h"
#include "lab/flow_sim_model.h"
#include "src/protocol/hop_header.h"

namespace marjoramhall::lab {

class FlowSim {
 public:
  FlowSim(const FlowSimOptions& options, FlowNodeFactory factory)
      : options_(options), factory_(std::move(factory)), random_(options.seed) {
    deployment_ = MakeSimDeployment(options.seed, options.targets);
    for (size_t i = 0; i < options.vms; ++i) {
      Join();
    }
    // Runs until every VM knows all others.
    RunFor(std::chrono::seconds(3));
  }

  TimePoint now() const { return now_; }
  const SimViolations& violations() const { return violations_; }
  std::vector<SimFlow>& flows() { return flows_; }
  const config::Deployment& deployment() const { return deployment_; }
  size_t VmCount() const { return vms_.size(); }
  bool IsUp(size_t vm) const { return vms_[vm].node != nullptr; }
  FlowNode* Node(size_t vm) { return vms_[vm].node.get(); }
  uint64_t dropped() const { return dropped_; }
  // Called for each packet that reaches a target.
  std::function<void(const SimFlow&, TargetId)> on_delivery;
  // Called for each routed packet. `hop` is true if it came from another VM.
  std::function<void(size_t vm,
                     std::span<const uint8_t> packet,
                     bool hop,
                     const flow::Route& route)>
      on_route;

  // --- flows ---

  // Opens a flow and returns its index.
  size_t StartFlow(uint32_t service) {
    const auto n = static_cast<uint32_t>(flows_.size());
    const SimFlow flow =
        MakeSimFlow(n, service, deployment_.services[service], now_);
    flows_.push_back(flow);
    flow_by_hash_[flow::HashFlow(flow.key, 0)] = n;
    SendSyn(n);
    return n;
  }

  // Sends the next packet of an established flow, or the SYN again after 1 s.
  void SendData(size_t flow) {
    SimFlow& it = flows_[flow];
    if (it.closed) {
      return;
    }
    if (it.established) {
      SendPacket(flow, kTcpAck, 32);
    } else if (it.target == TargetId::kNone &&
               now_ - it.last_syn >= std::chrono::seconds(1)) {
      SendSyn(flow);
    }
  }

  void CloseFlow(size_t flow) {
    if (flows_[flow].established && !flows_[flow].closed) {
      SendPacket(flow, kTcpAck | kTcpFin, 0);
      flows_[flow].closed = true;
    }
  }

  // --- VMs ---

  // Adds and starts a VM. Returns its index.
  size_t Join() {
    const size_t i = vms_.size();
    vms_.emplace_back();
    vms_[i].name = "vm-" + std::to_string(i);
    vms_[i].id = config::VmIdOf(vms_[i].name);
    Start(i);
    return i;
  }

  // Starts a VM that was killed or has left.
  void Start(size_t vm) {
    Vm& it = vms_[vm];
    it.incarnation = ++last_incarnation_;
    it.leaving = false;
    it.paused_until = now_;
    const uint64_t incarnation = it.incarnation;
    it.node = factory_(
        it.id, it.incarnation,
        [this, vm, incarnation](VmId to, PeerChannel, const std::string& data) {
          if (IsCurrentProcess(vm, incarnation)) {
            SendControl(vm, to, data);
          }
        });
    it.known_members.clear();
    for (size_t other = 0; other < vms_.size(); ++other) {
      if (vms_[other].node && IsConnected(vm, other)) {
        it.known_members[other] = MemberOf(other);
        LearnMemberState(other, vm, options_.view_delay / 2);
      }
    }
    it.deployment = std::make_shared<config::Deployment>(deployment_);
    PublishView(vm);
    Tick(vm, incarnation);
  }

  void Kill(size_t vm) {
    vms_[vm].node.reset();
    for (size_t other = 0; other < vms_.size(); ++other) {
      if (IsUp(other)) {
        // The other VMs suspect it first and remove it later.
        UpdateMember(other, vm, options_.removal_delay / 4,
                     [](config::Member& it) {
                       it.state = config::MemberState::kSuspect;
                     });
        RemoveMember(other, vm, options_.removal_delay);
      }
    }
  }

  // Planned stop: the VM is leaving, and stops no earlier than after `grace`.
  void Leave(size_t vm, Duration grace) {
    vms_[vm].leaving = true;
    for (size_t other = 0; other < vms_.size(); ++other) {
      if (IsUp(other)) {
        LearnMemberState(other, vm, options_.view_delay);
      }
    }
    const uint64_t incarnation = vms_[vm].incarnation;
    At(now_ + grace, [this, vm, incarnation] { FinishLeave(vm, incarnation); });
  }

  // Stops a leaving VM once it has handed over its state.
  void FinishLeave(size_t vm, uint64_t incarnation) {
    if (!IsCurrentProcess(vm, incarnation)) {
      return;
    }
    if (!vms_[vm].node->IsHandedOver(now_)) {
      At(now_ + std::chrono::milliseconds(100),
         [this, vm, incarnation] { FinishLeave(vm, incarnation); });
      return;
    }
    vms_[vm].node.reset();
    for (size_t other = 0; other < vms_.size(); ++other) {
      RemoveMember(other, vm, options_.view_delay);
    }
  }

  // Suspends a VM for `length`. Packets and messages to it are delivered
  // afterwards.
  void Pause(size_t vm, Duration length) {
    vms_[vm].paused_until = now_ + length;
  }

  // Partitions the site: only VMs with the same value in `sides` reach each
  // other. Configuration changes reach side 0 only. VMs of one side remove
  // those of the others after a delay.
  void Partition(const std::vector<int>& sides) {
    for (size_t i = 0; i < vms_.size(); ++i) {
      vms_[i].side = sides[i % sides.size()];
    }
    for (size_t a = 0; a < vms_.size(); ++a) {
      for (size_t b = 0; b < vms_.size(); ++b) {
        if (IsUp(a) && IsUp(b) && !IsConnected(a, b)) {
          RemoveMember(a, b, std::chrono::seconds(4) + options_.removal_delay);
        }
      }
    }
  }

  // Ends a partition.
  void Heal() {
    for (Vm& it : vms_) {
      it.side = 0;
    }
    for (size_t a = 0; a < vms_.size(); ++a) {
      for (size_t b = 0; b < vms_.size(); ++b) {
        if (IsUp(a) && IsUp(b)) {
          LearnMemberState(a, b, options_.view_delay);
        }
      }
    }
    PublishDeployment();
  }

  // --- configuration ---

  // Publishes a changed configuration as the next revision.
  void Change(const std::function<void(config::Deployment&)>& edit) {
    edit(deployment_);
    ++deployment_.revision;
    for (const auto& service : deployment_.services) {
      for (const auto& target : service.targets) {
        if (target.state != config::TargetState::kDraining) {
          draining_since_.erase(target.id);
        } else {
          draining_since_.try_emplace(target.id, now_);
        }
      }
    }
    PublishDeployment();
  }

  // --- time ---

  void RunFor(Duration span) {
    const TimePoint end = now_ + span;
    while (events_.HasDue(end)) {
      SimEvents::Event event = events_.PopFirst();
      now_ = std::max(now_, event.at);
      event.action();
    }
    now_ = end;
  }

  uint64_t Random(uint64_t bound) { return random_() % bound; }
  bool Chance(double p) {
    return p > 0 && static_cast<double>(random_() >> 11) * 0x1p-53 < p;
  }

 private:
  using Vm = SimVm;
  void At(TimePoint at, std::function<void()> action) {
    events_.Add(at, std::move(action));
  }
  Duration RandomUpTo(Duration bound) {
    return Duration(
        static_cast<int64_t>(Random(static_cast<uint64_t>(bound.count()) + 1)));
  }
  bool IsCurrentProcess(size_t vm, uint64_t incarnation) const {
    return IsUp(vm) && vms_[vm].incarnation == incarnation;
  }
  bool IsConnected(size_t a, size_t b) const {
    return vms_[a].side == vms_[b].side;
  }

  // --- membership ---

  config::Member MemberOf(size_t vm) const {
    config::Member member;
    member.id = vms_[vm].id;
    member.name = vms_[vm].name;
    member.incarnation = vms_[vm].incarnation;
    member.state = vms_[vm].leaving ? config::MemberState::kLeaving
                                    : config::MemberState::kAlive;
    member.hop_endpoint = {IpAddress::FromV4(0x7f010000 + vm), 6081};
    return member;
  }

  void UpdateMember(size_t observer,
                    size_t subject,
                    Duration bound,
                    const std::function<void(config::Member&)>& edit) {
    At(now_ + RandomUpTo(bound), [this, observer, subject, edit] {
      const auto it = vms_[observer].known_members.find(subject);
      if (IsUp(observer) && it != vms_[observer].known_members.end()) {
        edit(it->second);
        PublishView(observer);
      }
    });
  }

  // The observer learns the current state of a running VM.
  void LearnMemberState(size_t observer, size_t subject, Duration bound) {
    At(now_ + RandomUpTo(bound), [this, observer, subject] {
      if (IsUp(observer) && IsUp(subject) && IsConnected(observer, subject)) {
        vms_[observer].known_members[subject] = MemberOf(subject);
        PublishView(observer);
      }
    });
  }

  void RemoveMember(size_t observer, size_t subject, Duration bound) {
    At(now_ + bound / 2 + RandomUpTo(bound / 2), [this, observer, subject] {
      if (IsUp(observer) && observer != subject &&
          (!IsUp(subject) || !IsConnected(observer, subject)) &&
          vms_[observer].known_members.erase(subject) > 0) {
        PublishView(observer);
      }
    });
  }

  void PublishDeployment() {
    auto deployment = std::make_shared<config::Deployment>(deployment_);
    for (size_t vm = 0; vm < vms_.size(); ++vm) {
      if (!IsUp(vm) || vms_[vm].side != 0) {
        continue;
      }
      At(now_ + RandomUpTo(options_.view_delay), [this, vm, deployment] {
        if (IsUp(vm) && vms_[vm].deployment->revision < deployment->revision) {
          vms_[vm].deployment = deployment;
          PublishView(vm);
        }
      });
    }
  }

  void PublishView(size_t vm) {
    Vm& it = vms_[vm];
    if (now_ < it.paused_until) {
      At(it.paused_until, [this, vm] {
        if (IsUp(vm)) {
          PublishView(vm);
        }
      });
      return;
    }
    auto view = std::make_shared<config::ControlView>();
    view->number = ++it.view_number;
    view->self = it.id;
    view->deployment = it.deployment;
    it.known_members[vm] = MemberOf(vm);
    for (const auto& [subject, member] : it.known_members) {
      view->members.push_back(member);
    }
    std::sort(view->members.begin(), view->members.end(),
              [](auto& a, auto& b) { return a.id < b.id; });
    it.node->OnView(std::move(view), now_);
  }

  void Tick(size_t vm, uint64_t incarnation) {
    if (!IsCurrentProcess(vm, incarnation)) {
      return;
    }
    if (now_ >= vms_[vm].paused_until) {
      vms_[vm].node->OnTick(now_);
    }
    At(now_ + options_.tick,
       [this, vm, incarnation] { Tick(vm, incarnation); });
  }

  // --- network ---

  size_t FindVm(VmId id) const {
    size_t i = 0;
    while (i < vms_.size() && vms_[i].id != id) {
      ++i;
    }
    return i;
  }

  void SendControl(size_t from, VmId to_id, const std::string& data) {
    const size_t to = FindVm(to_id);
    if (to == vms_.size() || Chance(options_.control_loss_probability)) {
      return;
    }
    const int copies = Chance(options_.control_duplicate_probability) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      At(now_ + options_.hop_delay + RandomUpTo(options_.control_delay),
         [this, from, to, data] { DeliverControl(from, to, data); });
    }
  }

  void DeliverControl(size_t from, size_t to, const std::string& data) {
    if (!IsUp(to) || !IsConnected(from, to)) {
      return;
    }
    if (now_ < vms_[to].paused_until) {
      At(vms_[to].paused_until,
         [this, from, to, data] { DeliverControl(from, to, data); });
      return;
    }
    vms_[to].node->OnPeerMessage(vms_[from].id, data, now_);
  }

  void SendSyn(size_t flow) {
    flows_[flow].last_syn = now_;
    SendPacket(flow, kTcpSyn, 0);
  }

  void SendPacket(size_t flow, uint8_t flags, size_t size) {
    const auto packet = MakePacket(flows_[flow].key, flags, size);
    const int copies = Chance(options_.fabric_duplicate_probability) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      const Duration delay =
          options_.hop_delay +
          (i == 0 ? Duration(0) : RandomUpTo(std::chrono::milliseconds(50)));
      At(now_ + delay, [this, packet] {
        size_t vm = Random(vms_.size());
        // The fabric skips stopped VMs, but not suspended ones.
        for (size_t n = 0; n < vms_.size() && !IsUp(vm); ++n) {
          vm = (vm + 1) % vms_.size();
        }
        RoutePacket(vm, packet, false);
      });
    }
  }

  void RoutePacket(size_t vm, const std::vector<uint8_t>& data, bool hop) {
    if (!IsUp(vm)) {
      ++dropped_;
      return;
    }
    if (now_ < vms_[vm].paused_until) {
      At(vms_[vm].paused_until,
         [this, vm, data, hop] { RoutePacket(vm, data, hop); });
      return;
    }
    std::span<const uint8_t> packet = data;
    const flow::Route route =
        hop ? vms_[vm].node->OnHopDatagram(data, packet, now_)
            : vms_[vm].node->OnFabricPacket(data, now_);
    if (on_route) {
      on_route(vm, packet, hop, route);
    }
    if (route.kind == flow::RouteKind::kTarget) {
      Deliver(packet, route.target);
    } else if (route.kind == flow::RouteKind::kPeer) {
      std::vector<uint8_t> datagram(protocol::kHopHeaderSize);
      protocol::EncodeHopHeader(route.hop,
                                protocol::DeriveHopKey(options_.shared_key),
                                packet, datagram.data());
      datagram.insert(datagram.end(), packet.begin(), packet.end());
      const size_t to = FindVm(route.peer);
      if (!IsConnected(vm, to) || Chance(options_.hop_loss_probability)) {
        ++dropped_;
        return;
      }
      At(now_ + options_.hop_delay, [this, to, datagram = std::move(datagram)] {
        RoutePacket(to, datagram, true);
      });
    } else {
      ++dropped_;
    }
  }

  // --- targets ---

  void Deliver(std::span<const uint8_t> packet, TargetId target) {
    flow::PacketInfo info;
    flow::ParsePacket(packet, info);
    const size_t n = flow_by_hash_.at(flow::HashFlow(info.key, 0));
    SimFlow& it = flows_[n];
    const auto& targets = deployment_.services[it.service].targets;
    if (std::none_of(targets.begin(), targets.end(),
                     [&](const auto& t) { return t.id == target; })) {
      ++violations_.misrouted;
    }
    if (on_delivery) {
      on_delivery(it, target);
    }
    if (info.tcp_syn) {
      OnSyn(n, target);
    } else if (it.established && target != it.target && !it.broken) {
      it.broken = true;
      ++violations_.broken;
    }
  }

  void OnSyn(size_t n, TargetId target) {
    SimFlow& it = flows_[n];
    if (it.target != TargetId::kNone) {
      return;
    }
    it.target = target;
    const auto drained = draining_since_.find(target);
    if (drained != draining_since_.end() &&
        it.started > drained->second + std::chrono::seconds(3)) {
      ++violations_.new_on_draining;
    }
    At(now_ + options_.hop_delay, [this, n] {
      flows_[n].established = true;
      SendPacket(n, kTcpAck, 0);
    });
  }

  FlowSimOptions options_;
  FlowNodeFactory factory_;
  std::mt19937_64 random_;
  TimePoint now_{std::chrono::seconds(1000)};
  config::Deployment deployment_;
  std::vector<Vm> vms_;
  std::vector<SimFlow> flows_;
  std::unordered_map<flow::FlowHash, size_t, flow::FlowHashHasher>
      flow_by_hash_;
  SimEvents events_;
  uint64_t last_incarnation_ = 1;
  std::map<TargetId, TimePoint> draining_since_;
  SimViolations violations_;
  uint64_t dropped_ = 0;
};

}  // namespace marjoramhall::lab

#endif  // MARJORAMHALL_LAB_FLOW_SIM_H_
