// Order by start, then by the target's own count.
#include "src/discovery/report_order.h"

namespace marjoramhall::discovery {

ReportOrder OrderOf(const TargetRecord& a, const TargetRecord& b) {
  if (a.start_time_ms == 0 || b.start_time_ms == 0) {
    return ReportOrder::kSame;  // the target may have started in between
  }
  if (a.start_time_ms != b.start_time_ms) {
    return a.start_time_ms < b.start_time_ms ? ReportOrder::kEarlierStart
                                             : ReportOrder::kLater;
  }
  if (a.sequence != b.sequence) {
    return a.sequence < b.sequence ? ReportOrder::kEarlier
                                   : ReportOrder::kLater;
  }
  // A target does not take back that it drains.
  if (a.draining != b.draining) {
    return a.draining ? ReportOrder::kLater : ReportOrder::kEarlier;
  }
  return ReportOrder::kSame;
}

}  // namespace marjoramhall::discovery
