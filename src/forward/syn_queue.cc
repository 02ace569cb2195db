// Order of the waiting SYNs.
#include "src/forward/syn_queue.h"

#include <algorithm>
#include <bit>
#include <tuple>

namespace marjoramhall::forward {

Duration SynQueue::LongestWait(const Route& route, bool for_link) const {
  if (route.latency_objective <= Duration{0}) {
    return options_.max_wait;
  }
  const auto fraction = std::chrono::duration_cast<Duration>(
      route.latency_objective * (for_link ? options_.max_link_wait_fraction
                                          : options_.max_target_wait_fraction));
  return std::min(options_.max_wait, fraction);
}

bool SynQueue::Turn::operator<(const Turn& other) const {
  return std::tie(priority, work_class, due_at, arrival) <
         std::tie(other.priority, other.work_class, other.due_at,
                  other.arrival);
}

SynQueue::Turn SynQueue::TurnOf(const WaitingSyn& syn, uint64_t arrival) {
  const auto work =
      static_cast<uint64_t>(std::max<int64_t>(syn.usual_work.count(), 0));
  return {syn.priority, static_cast<int>(std::bit_width(work)), syn.due_at,
          arrival};
}

size_t SynQueue::CountBefore(const WaitingSyn& syn) const {
  const Turn turn = TurnOf(syn, arrivals_ + 1);
  size_t n = 0;
  for (const auto& [other_turn, other] : by_turn_) {
    if (turn < other_turn) {
      break;
    }
    // A flow that waits for the link needs room at its targets, too.
    const bool same_room = syn.waits_for_link ? other.waits_for_link
                                              : other.service == syn.service;
    n += same_room ? 1 : 0;
  }
  return n;
}

void SynQueue::Add(const WaitingSyn& syn) {
  const Turn turn = TurnOf(syn, ++arrivals_);
  by_turn_.emplace(turn, syn);
  turns_.emplace(syn.key, turn);
}

void SynQueue::Remove(const FlowKey& key) {
  if (const auto it = turns_.find(key); it != turns_.end()) {
    by_turn_.erase(it->second);
    turns_.erase(it);
  }
}

void SynQueue::Release(const std::function<bool(const WaitingSyn&)>& begin) {
  for (auto it = by_turn_.begin(); it != by_turn_.end();) {
    if (begin(it->second)) {
      turns_.erase(it->second.key);
      it = by_turn_.erase(it);
    } else {
      ++it;
    }
  }
}

}  // namespace marjoramhall::forward
