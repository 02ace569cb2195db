// Queue of member updates to piggyback on messages (rumor mongering). The items
// with the fewest transmissions are sent first. An item is dropped when it
// reaches the limit of transmissions, which grows with log2 of the number of
// members.
#ifndef MARJORAMHALL_CONTROL_MEMBERSHIP_RUMORS_H_
#define MARJORAMHALL_CONTROL_MEMBERSHIP_RUMORS_H_

#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <utility>

#include "src/base/ids.h"

namespace marjoramhall::control {

// Cost: O(log n) for each item added or taken.
class RumorQueue {
 public:
  // Adds an update about a member or resets its number of transmissions.
  void Add(VmId id, bool full) {
    Remove(id);
    order_.insert({0, id});
    items_[id] = {0, full};
  }

  void Remove(VmId id) {
    const auto it = items_.find(id);
    if (it != items_.end()) {
      order_.erase({it->second.transmissions, id});
      items_.erase(it);
    }
  }

  bool empty() const { return items_.empty(); }

  // Offers items in ascending order of transmissions until `take` returns
  // false. Each item taken counts as sent once more and is dropped at `limit`
  // transmissions. A full record counts as two, because it is long and
  // synchronization also delivers it.
  void Take(size_t limit, const std::function<bool(VmId, bool full)>& take) {
    std::set<std::pair<size_t, VmId>> kept;
    while (!order_.empty()) {
      const auto [transmissions, id] = *order_.begin();
      if (!take(id, items_[id].full)) {
        break;
      }
      order_.erase(order_.begin());
      const size_t next = transmissions + (items_[id].full ? 2 : 1);
      if (next < limit) {
        kept.insert({next, id});
        items_[id].transmissions = next;
      } else {
        items_.erase(id);
      }
    }
    order_.merge(kept);
  }

 private:
  struct Item {
    size_t transmissions = 0;
    bool full = false;
  };

  std::map<VmId, Item> items_;
  // The same items as (transmissions, id).
  std::set<std::pair<size_t, VmId>> order_;
};

}  // namespace marjoramhall::control

#endif  // MARJORAMHALL_CONTROL_MEMBERSHIP_RUMORS_H_
