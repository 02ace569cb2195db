// Target health from the outcomes of attempts.
#include "src/request/target_health.h"

#include <algorithm>

namespace marjoramhall::request {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A single failed connection may be a restart of the target. Three failures
// without a success in between are unlikely to be chance.
constexpr uint32_t kFailuresToEject = 3;
constexpr Duration kMinEjectionTime = seconds(1);
constexpr Duration kMaxEjectionTime = seconds(30);
constexpr Duration kMinBackOff = milliseconds(20);
constexpr Duration kMaxBackOff = seconds(1);
constexpr Duration kRecoveryTime = seconds(5);  // of the slow start
constexpr uint32_t kMaxEjectionDoublings = 5;

}  // namespace

void TargetHealth::SetTargets(const std::vector<config::Target>& targets) {
  std::unordered_map<TargetId, Entry> kept;
  ejected_ = 0;
  for (const config::Target& it : targets) {
    const auto old = entries_.find(it.id);
    Entry entry = old == entries_.end() ? Entry{} : old->second;
    ejected_ +=
        entry.state == State::kEjected || entry.state == State::kProbing;
    kept.emplace(it.id, entry);
  }
  entries_ = std::move(kept);
  max_ejected_ = targets.size() / 3;
}

uint32_t TargetHealth::AllowedRequests(TargetId target,
                                       uint32_t slots,
                                       TimePoint now) const {
  const auto it = entries_.find(target);
  if (it == entries_.end()) {
    return 0;
  }
  const Entry& entry = it->second;
  if (now < entry.blocked_until) {
    return 0;
  }
  switch (entry.state) {
    case State::kHealthy:
      break;
    case State::kEjected:
    case State::kProbing:
      return std::min<uint32_t>(slots, 1);
    case State::kSlowStart: {
      const double elapsed_ratio =
          static_cast<double>((now - entry.recovered_at).count()) /
          static_cast<double>(kRecoveryTime.count());
      return std::min<uint32_t>(
          slots,
          1 + static_cast<uint32_t>(std::min(elapsed_ratio, 1.0) * slots));
    }
  }
  // A target that shed load more than once recently gets half of the slots.
  return entry.back_off > kMinBackOff ? std::max(1U, slots / 2) : slots;
}

void TargetHealth::OnStart(TargetId target, TimePoint) {
  const auto it = entries_.find(target);
  if (it != entries_.end() && it->second.state == State::kEjected) {
    it->second.state = State::kProbing;
    hook_(target, "probe");
  }
}

void TargetHealth::OnSuccess(TargetId target, TimePoint now) {
  const auto it = entries_.find(target);
  if (it == entries_.end()) {
    return;
  }
  Entry& entry = it->second;
  entry.consecutive_failures = 0;
  entry.back_off /= 2;
  if (entry.state == State::kEjected || entry.state == State::kProbing) {
    --ejected_;
    entry.state = State::kSlowStart;
    entry.blocked_until = now;
    entry.recovered_at = now;
    hook_(target, "recover");
  } else if (entry.state == State::kSlowStart &&
             now - entry.recovered_at > kRecoveryTime) {
    entry.state = State::kHealthy;
    entry.consecutive_ejections = 0;
  }
}

void TargetHealth::OnShed(TargetId target, TimePoint now) {
  const auto it = entries_.find(target);
  if (it == entries_.end()) {
    return;
  }
  Entry& entry = it->second;
  entry.back_off = std::clamp(entry.back_off * 2, kMinBackOff, kMaxBackOff);
  entry.blocked_until = std::max(entry.blocked_until, now + entry.back_off);
}

void TargetHealth::OnFailure(TargetId target, TimePoint now) {
  const auto it = entries_.find(target);
  if (it == entries_.end()) {
    return;
  }
  Entry& entry = it->second;
  ++entry.consecutive_failures;
  if (entry.state == State::kProbing || entry.state == State::kEjected) {
    Eject(target, entry, now);
  } else if (entry.consecutive_failures >= kFailuresToEject) {
    if (ejected_ < max_ejected_) {
      ++ejected_;
      Eject(target, entry, now);
    } else {
      // No further target may be ejected, so back off from this one instead.
      OnShed(target, now);
    }
  }
}

void TargetHealth::OnCancelled(TargetId target) {
  const auto it = entries_.find(target);
  if (it != entries_.end() && it->second.state == State::kProbing) {
    it->second.state = State::kEjected;
  }
}

void TargetHealth::Eject(TargetId target, Entry& entry, TimePoint now) {
  entry.state = State::kEjected;
  const Duration ejection_time = std::min(
      kMaxEjectionTime, kMinEjectionTime * (1U << entry.consecutive_ejections));
  entry.consecutive_ejections =
      std::min(entry.consecutive_ejections + 1, kMaxEjectionDoublings);
  entry.blocked_until = now + ejection_time;
  hook_(target, "eject");
}

}  // namespace marjoramhall::request
