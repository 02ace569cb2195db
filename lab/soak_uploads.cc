// Requests of many packets, and the links of the VMs that they fill.
#include <algorithm>
#include <chrono>
#include <utility>

#include "lab/soak_environment_impl.h"

namespace marjoramhall::lab {
namespace {

using std::chrono::milliseconds;

// Packets of a sender on their way without an acknowledgment.
constexpr uint32_t kWindowPackets = 16;
constexpr uint32_t kMinUploadPackets = 20;
constexpr uint32_t kMaxUploadPackets = 400;
constexpr Duration kMaxRetryDelay = milliseconds(1600);
// Bursts of uploads, which are more at a time than a link may carry.
constexpr uint32_t kMaxBurst = 12;
constexpr uint32_t kMinBurstIntervalMs = 300;
constexpr uint32_t kMaxBurstIntervalMs = 1500;
// Packets that would wait longer for a link are dropped. Less than the time
// after which clients send a SYN again: a VM may reset a first SYN, and must
// not get it after the flow has opened through another VM.
constexpr Duration kMaxLinkQueue = milliseconds(150);
// A link without a packet of an upload for longer carries none.
constexpr Duration kIdleLinkTime = milliseconds(600);
// One way between targets and clients.
constexpr Duration kTargetDelay = milliseconds(3);

// Returns a number from `min` on below `end`.
uint32_t Choose(std::mt19937_64& random, uint32_t min, uint32_t end) {
  return min + static_cast<uint32_t>(random() % (end - min));
}

}  // namespace

void SoakEnvironment::PassLink(SoakVm& vm, std::vector<uint8_t> packet) {
  const size_t n = packet.size();
  const auto send = [this, &vm, packet = std::move(packet)] {
    net::SendBatch batch;
    batch.Add(vm.packet_endpoint, {}, packet);
    send_socket_.Send(batch);
  };
  if (vm.link_rate == 0) {
    send();
    return;
  }
  const TimePoint now = SteadyNow();
  if (n > kUploadPacketBytes) {
    vm.last_upload_packet_at = now;
  }
  const TimePoint begins = std::max(now, vm.link_free_at);
  if (begins - now > kMaxLinkQueue) {
    return;
  }
  constexpr uint64_t kBitsPerByte = 8;
  constexpr uint64_t kMicrosecondsPerSecond = 1'000'000;
  vm.link_free_at = begins + Duration(n * kBitsPerByte *
                                      kMicrosecondsPerSecond / vm.link_rate);
  events_.emplace(vm.link_free_at, send);
}

void SoakEnvironment::OpenUploads(TimePoint now) {
  if (!opening_flows_ || !opening_uploads_ || now < next_uploads_at_) {
    return;
  }
  next_uploads_at_ =
      now + milliseconds(Choose(upload_random_, kMinBurstIntervalMs,
                                kMaxBurstIntervalMs));
  const uint32_t n = Choose(upload_random_, 1, kMaxBurst + 1);
  for (uint32_t i = 0; i < n; ++i) {
    auto flow = std::make_unique<Flow>();
    flow->key = {kClientAddress, upload_route_->record.address.address.ToV4(),
                 next_upload_port_, kUploadRoutePort};
    next_upload_port_ = static_cast<uint16_t>(next_upload_port_ == UINT16_MAX
                                                  ? kFirstClientPort
                                                  : next_upload_port_ + 1);
    flow->service = upload_route_->record.shares[0].service;
    flow->opened = now;
    flow->number = counts_.uploads++;
    flow->upload_packets =
        Choose(upload_random_, kMinUploadPackets, kMaxUploadPackets);
    flow->received.resize(flow->upload_packets);
    flow->next_action_at = now + kFirstRetryDelay;
    SendPacket(*flow, true, false, 0);
    flows_[flow->key] = std::move(flow);
  }
}

void SoakEnvironment::SendUploadPacket(Flow& flow, uint32_t n) {
  const uint32_t first_sequence = flow.sequence;
  flow.sequence += n * kUploadPacketBytes;
  SendPacket(flow, false, false, kUploadPacketBytes);
  flow.sequence = first_sequence;
}

void SoakEnvironment::SendWindow(Flow& flow) {
  const uint32_t end =
      std::min(flow.upload_packets, flow.acked_packets + kWindowPackets);
  for (; flow.sent_packets < end; ++flow.sent_packets) {
    SendUploadPacket(flow, flow.sent_packets);
  }
}

void SoakEnvironment::ResendUploadPacket(Flow& flow, TimePoint now) {
  if (flow.acked_packets < flow.upload_packets) {
    SendUploadPacket(flow, flow.acked_packets);
  }
  flow.retry_delay = std::min(flow.retry_delay * 2, kMaxRetryDelay);
  flow.next_action_at = now + flow.retry_delay;
}

void SoakEnvironment::OnUploadData(Flow& flow,
                                   uint32_t sequence,
                                   TimePoint now) {
  const uint32_t n = (sequence - flow.sequence) / kUploadPacketBytes;
  if (n >= flow.upload_packets) {
    return;
  }
  flow.received[n] = true;
  const auto missing =
      std::find(flow.received.begin(), flow.received.end(), false);
  const auto acked = static_cast<uint32_t>(missing - flow.received.begin());
  if (acked == flow.upload_packets) {
    events_.emplace(now + kTargetDelay,
                    [this, key = flow.key, number = flow.number,
                     sequence = flow.sequence, instance = flow.target] {
                      OnResponse(key, number, sequence, instance);
                    });
  } else if (n % 2 == 1 || acked <= n) {  // at once if packets are missing
    events_.emplace(now + kTargetDelay,
                    [this, key = flow.key, number = flow.number, acked] {
                      OnUploadAck(key, number, acked);
                    });
  }
}

void SoakEnvironment::OnUploadAck(const forward::FlowKey& key,
                                  uint64_t number,
                                  uint32_t acked) {
  Flow* flow = FindFlow(key, number);
  if (flow == nullptr || acked <= flow->acked_packets) {
    return;
  }
  flow->acked_packets = acked;
  flow->retry_delay = kFirstRetryDelay;
  flow->next_action_at = SteadyNow() + kFirstRetryDelay;
  SendWindow(*flow);
}

void SoakEnvironment::NoteSynPath(const forward::FlowKey& key,
                                  uint64_t number,
                                  const SoakVm& vm) {
  Flow* flow = FindFlow(key, number);
  if (flow == nullptr) {
    return;
  }
  flow->has_several_syn_paths |=
      flow->syn_path != nullptr && flow->syn_path != &vm;
  flow->syn_path = &vm;
}

bool SoakEnvironment::MayRefuseUpload(const SoakVm& vm,
                                      const Flow& flow,
                                      TimePoint now) const {
  if (vm.link_rate == 0 || flow.upload_packets == 0 || flow.syn_path != &vm ||
      flow.has_several_syn_paths || flow.syn_answered) {
    return false;
  }
  return now - vm.last_upload_packet_at < kIdleLinkTime ||
         std::any_of(flows_.begin(), flows_.end(), [&](const auto& it) {
           const Flow& other = *it.second;
           return &other != &flow && other.upload_packets > 0 &&
                  other.syn_path == &vm;
         });
}

}  // namespace marjoramhall::lab
