// Limits and state of fragmented packets.
#include "src/flow/fragments.h"

#include <utility>

namespace marjoramhall::flow {
namespace {

// Fragmented IP packets tracked at once. Fragments of further packets are
// dropped, so that a flood of fragments uses at most a few MB.
constexpr size_t kMaxDatagrams = 4096;
constexpr size_t kMaxHeldBytes = size_t{4} << 20;
// A 64 KB packet has 52 fragments of 1,280 bytes.
constexpr size_t kMaxHeldPerDatagram = 64;
// 2 s. Fragments of one packet arrive close together, but a VM on their way may
// be paused.
constexpr Tick kDatagramTimeoutTicks = 20;

}  // namespace

FragmentCache::Datagram* FragmentCache::FindOrCreate(const FlowHash& id,
                                                     Tick tick) {
  const auto it = datagrams_.find(id);
  if (it != datagrams_.end()) {
    return &it->second;
  }
  if (datagrams_.size() >= kMaxDatagrams) {
    return nullptr;
  }
  order_.emplace_back(tick, id);
  return &datagrams_[id];
}

std::vector<HeldFragment> FragmentCache::OnFirstFragment(const FlowHash& id,
                                                         const PacketInfo& info,
                                                         Tick tick) {
  Datagram* datagram = FindOrCreate(id, tick);
  if (!datagram) {
    return {};
  }
  datagram->has_key = true;
  datagram->key = info.key;
  for (const HeldFragment& it : datagram->held) {
    held_bytes_ -= it.bytes.size();
  }
  return std::exchange(datagram->held, {});
}

bool FragmentCache::CompleteKey(const FlowHash& id, PacketInfo& info) const {
  const auto it = datagrams_.find(id);
  if (it == datagrams_.end() || !it->second.has_key) {
    return false;
  }
  info.key = it->second.key;
  return true;
}

bool FragmentCache::Hold(const FlowHash& id, HeldFragment fragment, Tick tick) {
  if (held_bytes_ + fragment.bytes.size() > kMaxHeldBytes) {
    return false;
  }
  Datagram* datagram = FindOrCreate(id, tick);
  if (!datagram || datagram->held.size() >= kMaxHeldPerDatagram) {
    return false;
  }
  held_bytes_ += fragment.bytes.size();
  datagram->held.push_back(std::move(fragment));
  return true;
}

size_t FragmentCache::Expire(Tick tick) {
  size_t lost = 0;
  while (!order_.empty() &&
         tick - order_.front().first > kDatagramTimeoutTicks) {
    const auto it = datagrams_.find(order_.front().second);
    order_.pop_front();
    if (it == datagrams_.end()) {
      continue;
    }
    for (const HeldFragment& held : it->second.held) {
      held_bytes_ -= held.bytes.size();
      ++lost;
    }
    datagrams_.erase(it);
  }
  return lost;
}

}  // namespace marjoramhall::flow
