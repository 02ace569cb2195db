// Views, packets and hooks for tests of the forwarder.
#ifndef MARJORAMHALL_TESTS_FORWARD_FORWARDER_HELPERS_H_
#define MARJORAMHALL_TESTS_FORWARD_FORWARDER_HELPERS_H_

#include <string>

#include "src/forward/forwarder.h"

namespace marjoramhall::forward {

inline constexpr ServiceId kService{1};
inline constexpr ServiceId kOtherService{2};
inline constexpr uint32_t kAddress = 0xc6120001;
inline constexpr uint16_t kPort = 443;

inline Target MakeTarget(uint32_t token, ServiceId service = kService) {
  Target target;
  target.token = TargetToken{token};
  target.instance = token;
  target.id = "t" + std::to_string(token);
  target.service = service;
  target.address = 0x0a000000 + token;
  target.port = 8080;
  target.in_own_domain = true;
  target.slots = 2;
  return target;
}

inline View MakeView(uint32_t targets) {
  View view;
  view.config_version = 1;
  Route route;
  route.name = "r";
  route.services = {{kService, 1}};
  view.routes[RouteKeyOf(kAddress, kPort)] = route;
  for (uint32_t i = 1; i <= targets; ++i) {
    view.targets.push_back(MakeTarget(i));
  }
  return view;
}

inline PacketHeader MakeSyn(uint16_t client_port) {
  PacketHeader header;
  header.flow = {0x64400007, kAddress, client_port, kPort};
  header.syn = true;
  return header;
}

// A packet after the SYN.
inline PacketHeader MakePacket(uint16_t client_port,
                               TargetToken token,
                               uint32_t acknowledged,
                               uint16_t data_bytes = 0) {
  PacketHeader header = MakeSyn(client_port);
  header.syn = false;
  header.ack = true;
  header.token = token;
  header.acknowledged = acknowledged;
  header.data_bytes = data_bytes;
  return header;
}

// Hooks that do nothing and allow no log lines.
inline ForwarderHooks NoHooks() {
  return {[](const HeaderOnlyPacket&, const Target&) {}, [](const Decision&) {},
          [](bool, TimePoint) { return false; }, [](Duration) {}};
}

// Options for tests with many flows and few targets that do not test admission
// control.
inline ForwarderOptions UnlimitedOptions() {
  ForwarderOptions options;
  options.admission.baseline_limit = 1000;
  return options;
}

}  // namespace marjoramhall::forward

#endif  // MARJORAMHALL_TESTS_FORWARD_FORWARDER_HELPERS_H_
