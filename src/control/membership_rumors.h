// Queue of news to repeat to peers: what was sent least goes first, and each
// item is dropped after a number of transmissions that grows with log2 of the
// number of members.
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
  // Adds news about a member, or starts it afresh.
  void Add(VmId id, bool full) {
    Remove(id);
    order_.insert({0, id});
    items_[id] = {0, full};
  }

  void Remove(VmId id) {
    const auto it = items_.find(id);
    if (it != items_.end()) {
      order_.erase({it->second.sent, id});
      items_.erase(it);
    }
  }

  bool empty() const { return items_.empty(); }

  // Offers items in rising order of transmissions until `take` returns false;
  // each item taken counts as sent once more and is dropped after `limit`. A
  // full record counts twice: it is long, and synchronisation makes up for it.
  void Take(size_t limit, const std::function<bool(VmId, bool full)>& take) {
    std::set<std::pair<size_t, VmId>> again;
    while (!order_.empty()) {
      const auto [sent, id] = *order_.begin();
      if (!take(id, items_[id].full)) {
        break;
      }
      order_.erase(order_.begin());
      const size_t next = sent + (items_[id].full ? 2 : 1);
      if (next < limit) {
        again.insert({next, id});
        items_[id].sent = next;
      } else {
        items_.erase(id);
      }
    }
    order_.merge(again);
  }

 private:
  struct Item {
    size_t sent = 0;
    bool full = false;
  };

  std::map<VmId, Item> items_;
  // Mirrors items_ as (sent, id).
  std::set<std::pair<size_t, VmId>> order_;
};

}  // namespace marjoramhall::control

#endif  // MARJORAMHALL_CONTROL_MEMBERSHIP_RUMORS_H_
