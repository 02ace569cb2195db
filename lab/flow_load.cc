// Opens flows, sends their packets and checks where they arrive.
#include "lab/flow_load.h"

#include <sys/socket.h>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <thread>

#include "lab/flow_packets.h"

namespace marjoramhall::lab {
namespace {

constexpr size_t kMaxFlows = 2'000'000;
constexpr uint32_t kPortsPerAddress = 50000;
constexpr uint32_t kFirstPort = 1024;
constexpr uint32_t kFirstAddress = 0x0a000000;  // 10.0.0.0
// Time until the next packet to a VM that did not listen.
constexpr Duration kVmRetryDelay = std::chrono::milliseconds(200);
// Time at the end for packets in flight to arrive.
constexpr Duration kFinalReceiveTime = std::chrono::milliseconds(300);

}  // namespace

FlowLoad::FlowLoad(FlowLoadOptions options)
    : options_(std::move(options)), random_(options_.seed) {}

std::string FlowLoad::Open() {
  for (size_t s = 0; s < options_.services.size(); ++s) {
    for (const Endpoint& it : options_.services[s].targets) {
      auto target = std::make_unique<Target>();
      std::string error = target->socket.Open(it);
      if (!error.empty()) {
        return error;
      }
      target->result.endpoint = target->socket.LocalEndpoint();
      target->result.service = s;
      targets_.push_back(std::move(target));
    }
  }
  return {};
}

std::vector<Endpoint> FlowLoad::TargetEndpoints(size_t service) const {
  std::vector<Endpoint> endpoints;
  for (const auto& it : targets_) {
    if (it->result.service == service) {
      endpoints.push_back(it->result.endpoint);
    }
  }
  return endpoints;
}

FlowLoadResult FlowLoad::Run(const volatile bool& stop) {
  for (const Endpoint& it : options_.vms) {
    AddVm(it);
  }
  ReadVmList();
  started_ = SteadyNow();
  const TimePoint end = started_ + options_.duration;
  if (vms_.empty() || vms_.size() < options_.vms.size()) {
    return Finish(SteadyNow());
  }
  const auto is_over = [&](TimePoint now) { return stop || now >= end; };
  TimePoint now = started_;
  for (; !is_over(now); now = SteadyNow()) {
    if (!options_.vm_list.empty() && now - vm_list_read_at_ >= kListInterval) {
      vm_list_read_at_ = now;
      ReadVmList();
    }
    const double elapsed =
        std::chrono::duration<double>(now - started_).count();
    const auto wanted =
        static_cast<size_t>(elapsed * options_.flows_per_second);
    // Bounded, so that a delay is not followed by a burst.
    for (int n = 0; n < 256 && flows_.size() < std::min(wanted, kMaxFlows);
         ++n) {
      StartFlow(now);
    }
    for (int n = 0; n < 1024 && !scheduled_sends_.empty() &&
                    scheduled_sends_.top().at <= now;
         ++n) {
      const uint32_t flow = scheduled_sends_.top().flow;
      scheduled_sends_.pop();
      SendNext(flow, now);
    }
    for (auto& vm : vms_) {
      Flush(*vm, now);
    }
    Receive(now);
    std::this_thread::sleep_for(std::chrono::microseconds(200));
  }
  while (SteadyNow() < now + kFinalReceiveTime) {
    Receive(SteadyNow());
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  return Finish(now);
}

bool FlowLoad::AddVm(const Endpoint& endpoint) {
  auto vm = std::make_unique<Vm>();
  vm->endpoint = endpoint;
  Endpoint local = endpoint;
  local.port = 0;
  if (!vm->socket.Open(local).empty() || !vm->socket.Connect(endpoint)) {
    return false;
  }
  vms_.push_back(std::move(vm));
  return true;
}

void FlowLoad::ReadVmList() {
  std::ifstream file(options_.vm_list);
  if (!file) {
    return;
  }
  for (auto& it : vms_) {
    it->listed = false;
  }
  std::string line;
  while (std::getline(file, line)) {
    const auto endpoint = Endpoint::Parse(line);
    if (!endpoint) {
      continue;
    }
    const auto known =
        std::find_if(vms_.begin(), vms_.end(),
                     [&](const auto& it) { return it->endpoint == *endpoint; });
    if (known != vms_.end()) {
      (*known)->listed = true;
    } else {
      AddVm(*endpoint);
    }
  }
}

bool FlowLoad::IsUsable(const Vm& vm, TimePoint now) const {
  return vm.listed && vm.retry_at <= now;
}

void FlowLoad::StartFlow(TimePoint now) {
  const auto n = static_cast<uint32_t>(flows_.size());
  // Services get flows in proportion to their numbers of targets.
  const size_t target = random_() % targets_.size();
  Flow it;
  it.service = static_cast<uint32_t>(targets_[target]->result.service);
  const Endpoint& to = options_.services[it.service].flow_address;
  it.key = {IpAddress::FromV4(kFirstAddress + n / kPortsPerAddress), to.address,
            static_cast<uint16_t>(kFirstPort + n % kPortsPerAddress), to.port,
            config::FlowProtocol::kTcp};
  it.started = now;
  flows_.push_back(it);
  ++result_.started;
  Send(n, kTcpSyn, 0, now);
  scheduled_sends_.push({now + std::chrono::seconds(1), n});
}

void FlowLoad::SendNext(uint32_t flow, TimePoint now) {
  Flow& it = flows_[flow];
  if (it.closed) {
    return;
  }
  if (!it.established) {
    Send(flow, kTcpSyn, 0, now);
    scheduled_sends_.push({now + std::chrono::seconds(1), flow});
    return;
  }
  if (options_.flow_lifetime > Duration(0) &&
      now - it.started > options_.flow_lifetime) {
    it.closed = true;
    Send(flow, kTcpAck | kTcpFin, 0, now);
    return;
  }
  Send(flow, kTcpAck, options_.size, now);
  scheduled_sends_.push({now + options_.packet_interval, flow});
}

void FlowLoad::Send(uint32_t flow, uint8_t flags, size_t size, TimePoint now) {
  size_t vm = random_() % vms_.size();
  for (size_t n = 0; n < vms_.size() && !IsUsable(*vms_[vm], now); ++n) {
    vm = random_() % vms_.size();
  }
  Vm& it = *vms_[vm];
  it.payloads.push_back(MakePacket(flows_[flow].key, flags, size));
  it.batch.Add(it.endpoint, {}, it.payloads.back());
  ++result_.sent;
  if (it.batch.IsFull()) {
    Flush(it, now);
  }
}

void FlowLoad::Flush(Vm& vm, TimePoint now) {
  if (vm.batch.size() == 0) {
    return;
  }
  const size_t refused = vm.socket.Send(vm.batch);
  if (refused > 0) {
    result_.refused += refused;
    vm.retry_at = now + kVmRetryDelay;
  }
  vm.payloads.clear();
}

void FlowLoad::Receive(TimePoint now) {
  for (size_t i = 0; i < targets_.size(); ++i) {
    size_t n = 0;
    do {
      n = targets_[i]->socket.Receive(input_);
      for (size_t k = 0; k < n; ++k) {
        OnPacket(i, input_.Datagram(k), now);
      }
    } while (n == net::kUdpBatchSize);
  }
}

void FlowLoad::OnPacket(size_t target,
                        std::span<const uint8_t> packet,
                        TimePoint now) {
  flow::PacketInfo info;
  if (flow::ParsePacket(packet, info) != flow::ParseError::kNone) {
    return;
  }
  const size_t n =
      size_t{info.key.source.ToV4() - kFirstAddress} * kPortsPerAddress +
      (info.key.source_port - kFirstPort);
  if (n >= flows_.size()) {
    return;
  }
  ++result_.received;
  TargetResult& target_result = targets_[target]->result;
  ++target_result.packets;
  Flow& it = flows_[n];
  if (target_result.service != it.service) {
    ++result_.misrouted;
  }
  if (info.tcp_syn) {
    if (it.target >= 0) {
      return;
    }
    it.target = static_cast<int32_t>(target);
    it.established = true;
    ++result_.established;
    ++target_result.flows;
    target_result.last_new_flow =
        std::chrono::duration<double>(now - started_).count();
    Send(static_cast<uint32_t>(n), kTcpAck, 0, now);
    // Random offset, so that flows do not send in lockstep.
    scheduled_sends_.push(
        {now + Duration(static_cast<int64_t>(
                   random_() % static_cast<uint64_t>(
                                   options_.packet_interval.count() + 1))),
         static_cast<uint32_t>(n)});
  } else if (it.target != static_cast<int32_t>(target) && !it.broken) {
    it.broken = true;
    ++result_.broken;
  }
}

FlowLoadResult FlowLoad::Finish(TimePoint now) {
  result_.seconds = std::chrono::duration<double>(now - started_).count();
  for (size_t s = 0; s < options_.services.size(); ++s) {
    double total = 0;
    double count = 0;
    for (const auto& it : targets_) {
      if (it->result.service == s) {
        total += static_cast<double>(it->result.flows);
        ++count;
      }
    }
    for (const auto& it : targets_) {
      if (it->result.service == s && total > 0) {
        const double mean = total / count;
        result_.imbalance = std::max(
            result_.imbalance,
            std::abs(static_cast<double>(it->result.flows) - mean) / mean);
      }
    }
  }
  for (const auto& it : targets_) {
    result_.targets.push_back(it->result);
  }
  return result_;
}

}  // namespace marjoramhall::lab
