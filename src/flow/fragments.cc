// Bounded holding of fragments.
#include "src/flow/fragments.h"

#include <utility>

namespace marjoramhall::flow {
namespace {

// Datagrams with fragments tracked at once; more are dropped, so that a flood
// of fragments costs at most a few MB.
constexpr size_t kMaxDatagrams = 4096;
constexpr size_t kMaxHeldBytes = size_t{4} << 20;
// A 64 KB datagram in 1,280-byte fragments has 52 of them.
constexpr size_t kMaxHeldPerDatagram = 64;
// Fragments of one datagram travel together; 2 s covers a paused VM.
constexpr Tick kLifetime = 20;

}  // namespace

FragmentCache::State* FragmentCache::Touch(const FlowHash& id, Tick tick) {
  const auto it = states_.find(id);
  if (it != states_.end()) {
    return &it->second;
  }
  if (states_.size() >= kMaxDatagrams) {
    return nullptr;
  }
  order_.emplace_back(tick, id);
  return &states_[id];
}

std::vector<HeldFragment> FragmentCache::OnFirst(const FlowHash& id,
                                                 const PacketInfo& info,
                                                 Tick tick) {
  State* state = Touch(id, tick);
  if (!state) {
    return {};
  }
  state->known = true;
  state->key = info.key;
  for (const HeldFragment& it : state->held) {
    held_bytes_ -= it.bytes.size();
  }
  return std::exchange(state->held, {});
}

bool FragmentCache::Complete(const FlowHash& id, PacketInfo& info) const {
  const auto it = states_.find(id);
  if (it == states_.end() || !it->second.known) {
    return false;
  }
  info.key = it->second.key;
  return true;
}

bool FragmentCache::Hold(const FlowHash& id, HeldFragment fragment, Tick tick) {
  if (held_bytes_ + fragment.bytes.size() > kMaxHeldBytes) {
    return false;
  }
  State* state = Touch(id, tick);
  if (!state || state->held.size() >= kMaxHeldPerDatagram) {
    return false;
  }
  held_bytes_ += fragment.bytes.size();
  state->held.push_back(std::move(fragment));
  return true;
}

size_t FragmentCache::Expire(Tick tick) {
  size_t lost = 0;
  while (!order_.empty() && tick - order_.front().first > kLifetime) {
    const auto it = states_.find(order_.front().second);
    order_.pop_front();
    if (it == states_.end()) {
      continue;
    }
    for (const HeldFragment& held : it->second.held) {
      held_bytes_ -= held.bytes.size();
      ++lost;
    }
    states_.erase(it);
  }
  return lost;
}

}  // namespace marjoramhall::flow
