// Table of tracked flows with timer queues.
#include "src/forward/flow_tracker.h"

#include <algorithm>

namespace marjoramhall::forward {
namespace {

TimePoint ExpiryTime(const TrackedFlow& flow) {
  return flow.phase == FlowPhase::kSynSent || flow.phase == FlowPhase::kSynHeld
             ? flow.added_at + kSynTimeout
             : flow.request_started_at + kTrackedFlowTimeout;
}

}  // namespace

TrackedFlow* FlowTracker::Find(const FlowKey& key) {
  const auto it = flows_.find(key);
  return it == flows_.end() ? nullptr : &it->second;
}

TrackedFlow* FlowTracker::Add(const FlowKey& key, TimePoint now) {
  if (flows_.size() >= max_flows_) {
    return nullptr;
  }
  const auto [it, is_new] = flows_.try_emplace(key);
  it->second = TrackedFlow{};
  it->second.added_at = now;
  it->second.assigned_at = now;
  it->second.request_started_at = now;
  if (is_new) {
    expiry_checks_.push_back({key, now + kExpiryCheckInterval});
  }
  return &it->second;
}

void FlowTracker::Remove(const FlowKey& key) {
  flows_.erase(key);
}

void FlowTracker::Expire(TimePoint now,
                         const FlowCallback& on_overdue,
                         const FlowCallback& on_expired) {
  while (!expiry_checks_.empty() && expiry_checks_.front().at <= now) {
    const Timer timer = expiry_checks_.front();
    expiry_checks_.pop_front();
    const auto it = flows_.find(timer.key);
    if (it == flows_.end()) {
      continue;
    }
    TrackedFlow& flow = it->second;
    if (flow.phase == FlowPhase::kRequestInProgress &&
        flow.request_started_at + flow.overdue_after <= now) {
      on_overdue(timer.key, flow);
      flow.phase = FlowPhase::kRequestOverdue;
    }
    if (ExpiryTime(flow) > now) {
      // A fixed interval keeps the queue ordered by time.
      expiry_checks_.push_back({timer.key, now + kExpiryCheckInterval});
      continue;
    }
    on_expired(timer.key, flow);
    flows_.erase(it);
  }
}

void FlowTracker::RunSynChecks(TimePoint now, const SynCheck& check) {
  while (!syn_checks_.empty() && syn_checks_.front().at <= now) {
    const Timer timer = syn_checks_.front();
    syn_checks_.pop_front();
    TrackedFlow* flow = Find(timer.key);
    if (flow != nullptr && flow->phase == FlowPhase::kSynSent &&
        check(timer.key, *flow)) {
      ScheduleSynCheck(timer.key, now);
    }
  }
}

}  // namespace marjoramhall::forward
