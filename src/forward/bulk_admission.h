// Limits the bulk transfers that a VM carries at a time, so that their packets
// do not queue in the VM's link in front of short requests.
//
// It answers a burst of large requests to VMs with small links. A sender has a
// window of packets on their way, whatever the VM does with them, and the queue
// of the link in front of the VM has no order: each further transfer makes
// every packet wait for one more window. Beyond the time after which senders
// retransmit, the link carries mostly copies. The VM cannot order what arrives,
// but it decides when a transfer begins, by the SYN. Few transfers at a time
// use all of the link; further ones wait (SynQueue).
#ifndef MARJORAMHALL_FORWARD_BULK_ADMISSION_H_
#define MARJORAMHALL_FORWARD_BULK_ADMISSION_H_

#include <cstdint>
#include <unordered_map>

#include "src/base/time.h"
#include "src/forward/packet.h"

namespace marjoramhall::forward {

struct BulkAdmissionOptions {
  // Rate of the VM's link in bytes per second. 0: unknown, all is admitted.
  double link_bytes_per_second = 0;
  // Time for which the windows of all transfers may occupy the link. Short
  // requests wait this long at most.
  Duration max_link_queue = std::chrono::milliseconds(40);
  // What a sender has on its way without an acknowledgment: 16 packets.
  uint32_t window_bytes = 16 * 1240;
  // Enough to use all of the link while one transfer waits for its target.
  uint32_t min_transfers = 2;
  // A transfer without a packet for this time has ended or moved to another VM.
  // Clients retransmit after 200 ms and 600 ms.
  Duration idle_timeout = std::chrono::milliseconds(500);
};

// Not thread-safe. Each call costs a hash lookup, except where stated.
class BulkAdmission {
 public:
  explicit BulkAdmission(BulkAdmissionOptions options);

  // Whether the requests of a route fill the window of their sender, as far as
  // they have been observed.
  bool IsBulk(uint64_t route_key) const;

  // Whether one more transfer may begin.
  bool HasRoom() const { return transfers_.size() < max_transfers_; }

  // Time until a transfer of the route may begin, if `before` others come
  // first.
  Duration EstimatedWait(uint64_t route_key, size_t before) const;

  // Counts a flow as a transfer, or notes that it still is one.
  void OnTransfer(const FlowKey& key, TimePoint now);

  // A packet with data belongs to a request of at least `bytes`, which makes
  // the flow a transfer and its route bulk if that is more than a window.
  void OnRequestData(const FlowKey& key,
                     uint64_t route_key,
                     uint32_t bytes,
                     TimePoint now);

  // A request of a route was `bytes` long and has been answered.
  void OnRequestEnd(const FlowKey& key, uint64_t route_key, uint32_t bytes);

  // The flow has ended, or its requests cannot be followed any more.
  void Forget(const FlowKey& key) { transfers_.erase(key); }

  // Stops counting transfers that are idle. Cost: linear in their number.
  void Expire(TimePoint now);

  // Time for which the windows of the present transfers occupy the link.
  Duration LongestLinkQueue() const;

  uint32_t max_transfers() const { return max_transfers_; }
  size_t transfers() const { return transfers_.size(); }

 private:
  struct RequestSize {
    double bytes = 0;  // smoothed; of the largest part so far until one ended
    bool is_known = false;  // a request of the route has ended
  };

  const BulkAdmissionOptions options_;
  const uint32_t max_transfers_;
  std::unordered_map<uint64_t, RequestSize> request_sizes_;  // by route
  // Time of the last packet of each transfer.
  std::unordered_map<FlowKey, TimePoint, FlowKeyHash> transfers_;
};

}  // namespace marjoramhall::forward

#endif  // MARJORAMHALL_FORWARD_BULK_ADMISSION_H_
