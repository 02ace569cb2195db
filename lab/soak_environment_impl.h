// State of the clients, targets and routes of a soak test, for the files that
// implement SoakEnvironment.
#ifndef MARJORAMHALL_LAB_SOAK_ENVIRONMENT_IMPL_H_
#define MARJORAMHALL_LAB_SOAK_ENVIRONMENT_IMPL_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "lab/soak_environment.h"
#include "src/base/time.h"

namespace marjoramhall::lab {

inline constexpr uint32_t kClientAddress = 0x7f000401;   // 127.0.4.1
inline constexpr uint32_t kServiceAddress = 0xc6120001;  // 198.18.0.1
inline constexpr Duration kFirstRetryDelay = std::chrono::milliseconds(200);
// Deadlines that the platform sets for VMs.
inline constexpr Duration kConfigBound = std::chrono::seconds(3);
inline constexpr Duration kEvacuationBound = std::chrono::seconds(3);
inline constexpr uint16_t kFirstRoutePort = 400;
inline constexpr uint16_t kUploadRoutePort = 399;
inline constexpr uint16_t kUploadPacketBytes = 1200;
inline constexpr int kFixedRoutes = 2;

struct SoakEnvironment::Target {
  discovery::TargetRecord record;
  net::UdpSocket socket;
  std::string report;  // Its last one, as written to the store.
  bool alive = true;   // It responds.
  bool listed = true;  // It has an entry in the store.
  TimePoint added_at;
  TimePoint draining_since = TimePoint::max();
  TimePoint leaves_at = TimePoint::max();
  TimePoint unlisted_at = TimePoint::max();
};

struct SoakEnvironment::Flow {
  forward::FlowKey key;
  std::string service;
  TimePoint opened;
  uint64_t number = 0;       // tells flows from the same port apart
  TimePoint next_action_at;  // when to send again
  Duration retry_delay = kFirstRetryDelay;
  forward::TargetToken token = forward::TargetToken::kNone;  // last received
  uint64_t target = 0;  // instance whose SYN-ACK the client has accepted
  // Another target got the SYN from a VM that had no unplanned fault.
  bool has_second_target = false;
  bool established = false;   // The target has received the client's ACK.
  bool syn_answered = false;  // The client has received the SYN-ACK.
  bool awaiting_response = false;
  uint32_t sequence = 1;
  uint32_t acknowledged = 0;
  uint32_t syn_retransmits = 0;
  int requests_left = 1;

  // Sequence number after that of the request.
  uint32_t NextSequence() const {
    return sequence +
           (upload_packets > 0 ? upload_packets * kUploadPacketBytes : 1);
  }

  TimePoint request_sent_at;
  bool expected = false;             // See SoakCounts.
  const SoakVm* syn_path = nullptr;  // that got the last SYN
  bool has_several_syn_paths = false;
  uint32_t upload_packets = 0;  // of the request; 0 if it has a single one
  uint32_t sent_packets = 0;
  uint32_t acked_packets = 0;
  std::vector<bool> received;  // by the target
};

struct SoakEnvironment::RouteState {
  discovery::RouteRecord record;
  TimePoint changed_at;
  bool present = true;
};

}  // namespace marjoramhall::lab

#endif  // MARJORAMHALL_LAB_SOAK_ENVIRONMENT_IMPL_H_
