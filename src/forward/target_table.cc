// Replacement of targets that keeps their observations.
#include "src/forward/target_table.h"

#include <utility>

namespace marjoramhall::forward {

void TargetTable::Replace(const View& view) {
  std::unordered_map<uint32_t, TargetEntry> next;
  next.reserve(view.targets.size());
  services_.clear();
  for (const Target& target : view.targets) {
    const uint32_t token = static_cast<uint32_t>(target.token);
    TargetEntry entry;
    if (const auto it = entries_.find(token); it != entries_.end()) {
      entry = std::move(it->second);
    }
    entry.target = target;
    const auto [it, is_new] = next.insert_or_assign(token, std::move(entry));
    if (is_new && target.state != TargetState::kRetired) {
      services_[ToInteger(target.service)].push_back(&it->second);
    }
  }
  entries_ = std::move(next);
}

TargetEntry* TargetTable::Find(TargetToken token) {
  const auto it = entries_.find(static_cast<uint32_t>(token));
  return it == entries_.end() ? nullptr : &it->second;
}

const std::vector<TargetEntry*>& TargetTable::OfService(
    ServiceId service) const {
  static const std::vector<TargetEntry*> kNone;
  const auto it = services_.find(ToInteger(service));
  return it == services_.end() ? kNone : it->second;
}

}  // namespace marjoramhall::forward
