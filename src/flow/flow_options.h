// Tunables of the flow plane, with the reason of each default.
#ifndef MARJORAMHALL_FLOW_FLOW_OPTIONS_H_
#define MARJORAMHALL_FLOW_FLOW_OPTIONS_H_

#include <cstddef>
#include <string>

#include "src/base/time.h"

namespace marjoramhall::flow {

struct FlowOptions {
  // Hard cap of established entries. Half-open entries have their own section
  // of 1/8 of it.
  size_t max_table_entries = 262144;
  // A flow without packets for this long is forgotten.
  Duration idle_timeout = std::chrono::seconds(300);
  Duration half_open_timeout = std::chrono::seconds(5);
  // Time after FIN or RST in which the last packets are still routed.
  Duration closing_timeout = std::chrono::seconds(10);
  // How often an entry that deviates from the placement is confirmed by the
  // owner. Below the 60 s of TIME_WAIT, so that a reused 5-tuple never meets an
  // old entry that nobody has questioned.
  Duration confirm_interval = std::chrono::seconds(20);
  // Share of the 4,096 B/s of a VM that the flow plane may use; the rest is for
  // membership and configuration.
  double control_bytes_per_second = 2400;
  double control_burst = 1200;
  // Walks that a VM may start per second. Each costs one hop per member, so
  // this bounds what packets of unknown flows can cause.
  double walks_per_second = 5000;
  // Secret shared by all VMs, for the hop header's checksum.
  std::string shared_key;
};

// A settled lease lasts this long after its request was sent.
inline constexpr Duration kLeaseLength = std::chrono::seconds(1);
// Renewal leaves time for one lost request.
inline constexpr Duration kLeaseRenewal = std::chrono::milliseconds(650);
// An owner that changes a bucket waits this long for leases to run out. Above
// kLeaseLength by one tick of rounding and 10% for clocks of different rates.
inline constexpr Duration kLeaseWait = std::chrono::milliseconds(1200);
// A peer that left requests unanswered for this long is taken as out of reach:
// two renewals.
inline constexpr Duration kUnreachableAfter = std::chrono::milliseconds(1400);
// Bytes that each control message is counted with on top of its payload, for
// envelope, authentication and TCP/IP headers.
inline constexpr size_t kMessageOverhead = 64;

}  // namespace marjoramhall::flow

#endif  // MARJORAMHALL_FLOW_FLOW_OPTIONS_H_
