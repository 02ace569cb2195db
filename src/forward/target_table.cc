// Replaces the targets and keeps the observations of those that remain.
#include "src/forward/target_table.h"

#include <utility>

namespace marjoramhall::forward {

void TargetTable::Replace(const View& view) {
  std::unordered_map<uint32_t, TargetEntry> next;
  next.reserve(view.targets.size());
  by_service_.clear();
  for (const Target& target : view.targets) {
    const uint32_t token = static_cast<uint32_t>(target.token);
    TargetEntry entry;
    if (const auto it = entries_.find(token); it != entries_.end()) {
      entry = std::move(it->second);
    }
    entry.target = target;
    const auto [it, is_new] = next.insert_or_assign(token, std::move(entry));
    if (is_new && target.state != TargetState::kRetired) {
      by_service_[ToInteger(target.service)].push_back(&it->second);
    }
  }
  entries_ = std::move(next);
}

TargetEntry* TargetTable::Find(TargetToken token) {
  const auto it = entries_.find(static_cast<uint32_t>(token));
  return it == entries_.end() ? nullptr : &it->second;
}

const std::vector<TargetEntry*>& TargetTable::TargetsOf(
    ServiceId service) const {
  static const std::vector<TargetEntry*> kNone;
  const auto it = by_service_.find(ToInteger(service));
  return it == by_service_.end() ? kNone : it->second;
}

}  // namespace marjoramhall::forward
