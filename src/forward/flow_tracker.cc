// Bookkeeping of tracked flows and their time limits.
#include "src/forward/flow_tracker.h"

#include <algorithm>

namespace marjoramhall::forward {
namespace {

TimePoint EndOf(const TrackedFlow& flow) {
  return flow.phase == FlowPhase::kOpening ? flow.opened + kOpeningLifetime
                                           : flow.worked + kWorkLifetime;
}

}  // namespace

TrackedFlow* FlowTracker::Find(const FlowKey& key) {
  const auto it = flows_.find(key);
  return it == flows_.end() ? nullptr : &it->second;
}

TrackedFlow* FlowTracker::Add(const FlowKey& key, TimePoint now) {
  if (flows_.size() >= limit_) {
    return nullptr;
  }
  const auto [it, is_new] = flows_.try_emplace(key);
  it->second = TrackedFlow{};
  it->second.opened = now;
  it->second.sent = now;
  it->second.worked = now;
  if (is_new) {
    expiry_.push_back({key, now + kExpiryStep});
  }
  return &it->second;
}

void FlowTracker::Remove(const FlowKey& key) {
  flows_.erase(key);
}

void FlowTracker::Expire(TimePoint now,
                         const Visit& overdue,
                         const Visit& expired) {
  while (!expiry_.empty() && expiry_.front().at <= now) {
    const Due due = expiry_.front();
    expiry_.pop_front();
    const auto it = flows_.find(due.key);
    if (it == flows_.end()) {
      continue;
    }
    TrackedFlow& flow = it->second;
    if (flow.phase == FlowPhase::kWorking &&
        flow.worked + flow.overdue_after <= now) {
      overdue(due.key, flow);
      flow.phase = FlowPhase::kOverdue;
    }
    if (EndOf(flow) > now) {
      // Looked at again after one step, so that the queue stays in order.
      expiry_.push_back({due.key, now + kExpiryStep});
      continue;
    }
    expired(due.key, flow);
    flows_.erase(it);
  }
}

void FlowTracker::RunChecks(TimePoint now, const Visit& check) {
  while (!checks_.empty() && checks_.front().at <= now) {
    const Due due = checks_.front();
    checks_.pop_front();
    if (TrackedFlow* flow = Find(due.key);
        flow != nullptr && flow->phase == FlowPhase::kOpening) {
      check(due.key, *flow);
    }
  }
}

}  // namespace marjoramhall::forward
