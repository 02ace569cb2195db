// Options and protocol time limits of the flow plane.
#ifndef MARJORAMHALL_FLOW_FLOW_OPTIONS_H_
#define MARJORAMHALL_FLOW_FLOW_OPTIONS_H_

#include <cstddef>
#include <string>

#include "src/base/time.h"

namespace marjoramhall::flow {

struct FlowOptions {
  // Maximum number of established entries. Half-open entries have a separate
  // table with 1/8 of this limit.
  size_t max_table_entries = 262144;
  // A flow without packets for this long is removed.
  Duration idle_timeout = std::chrono::seconds(300);
  Duration half_open_timeout = std::chrono::seconds(5);
  // Time after FIN or RST during which the last packets are still routed.
  Duration closing_timeout = std::chrono::seconds(10);
  // How often the owner has to confirm an entry whose target differs from the
  // placement. Below the 60 s of TIME_WAIT, so that a flow with a reused
  // 5-tuple is never routed by an unconfirmed entry of the earlier flow.
  Duration confirm_interval = std::chrono::seconds(20);
  // Part of a VM's control budget of 4,096 B/s that the flow plane may use. The
  // rest is for membership and configuration.
  double control_bytes_per_second = 2400;
  double control_burst_bytes = 1200;
  // Searches for a flow that a VM may start per second. A search costs one hop
  // per member, so this bounds the traffic that packets of unknown flows cause.
  double searches_per_second = 5000;
  // Secret shared by all VMs, which keys the checksum of the hop header.
  std::string shared_key;
};

// A lease on the settled buckets of an owner lasts this long, counted from the
// moment its request was sent.
inline constexpr Duration kLeaseDuration = std::chrono::seconds(1);
// Leaves 350 ms for the answer before the lease ends.
inline constexpr Duration kLeaseRenewInterval = std::chrono::milliseconds(650);
// An owner that changes a bucket waits this long for granted leases to expire:
// kLeaseDuration plus one tick of rounding and 10% for clock rate differences.
inline constexpr Duration kLeaseExpiryWait = std::chrono::milliseconds(1200);
// A peer is unreachable when requests have been unanswered for this long.
// Covers two lease requests.
inline constexpr Duration kUnreachableTimeout = std::chrono::milliseconds(1400);
// Added to the payload size of each control message in the byte budget, for
// envelope, authentication and TCP/IP headers.
inline constexpr size_t kMessageOverheadBytes = 64;

}  // namespace marjoramhall::flow

#endif  // MARJORAMHALL_FLOW_FLOW_OPTIONS_H_
