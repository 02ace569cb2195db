// The order of two reports of a target about itself.
//
// Positions of the store order what it has written, not what a target has said:
// the store executes a write whose response is lost up to some seconds later,
// and a restored store has lost the later of two reports. Everything that
// applies an entry of a known target uses this order: changes, listings,
// snapshots of other VMs, change sets of relays and restored copies.
#ifndef MARJORAMHALL_DISCOVERY_REPORT_ORDER_H_
#define MARJORAMHALL_DISCOVERY_REPORT_ORDER_H_

#include "src/discovery/records.h"

namespace marjoramhall::discovery {

enum class ReportOrder {
  kEarlierStart,  // from before the target started again
  kEarlier,       // from the same start
  kSame,          // equal, or the order is unknown
  kLater,
};

// Returns where report `a` of a target stands relative to its report `b`.
ReportOrder OrderOf(const TargetRecord& a, const TargetRecord& b);

}  // namespace marjoramhall::discovery

#endif  // MARJORAMHALL_DISCOVERY_REPORT_ORDER_H_
