// Tells when no packet waited in the VM's link.
//
// The link towards a VM has a queue that the VM does not see. While uploads
// fill it, the packet that would show that a target has answered may come later
// than any answer is due. A link that delivers less than it can had no queue at
// some time meanwhile, and all that was sent before has arrived.
#ifndef MARJORAMHALL_FORWARD_LINK_QUEUE_H_
#define MARJORAMHALL_FORWARD_LINK_QUEUE_H_

#include <cstddef>

#include "src/base/time.h"

namespace marjoramhall::forward {

// Not thread-safe.
class LinkQueue {
 public:
  // `bytes_per_second`: rate of the link. 0: unknown, taken to have no queue.
  explicit LinkQueue(double bytes_per_second);

  void OnPacket(size_t bytes) { bytes_ += bytes; }

  // To be called when all packets that wait at the VM have been counted.
  void OnTick(TimePoint now);

  // Whether the queue was empty at some time from `at` on.
  bool WasEmptySince(TimePoint at) const {
    return bytes_per_second_ == 0 || empty_at_ >= at;
  }

 private:
  const double bytes_per_second_;
  const Duration window_;  // over which the use of the link is measured
  TimePoint window_start_;
  size_t bytes_ = 0;    // since window_start_
  TimePoint empty_at_;  // start of the last window with an empty queue
};

}  // namespace marjoramhall::forward

#endif  // MARJORAMHALL_FORWARD_LINK_QUEUE_H_
