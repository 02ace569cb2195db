// What the VMs of a deployment carry together, as relays count it.
#ifndef MARJORAMHALL_BASE_FLEET_LOAD_H_
#define MARJORAMHALL_BASE_FLEET_LOAD_H_

#include <cstdint>

namespace marjoramhall {

struct FleetLoad {
  uint32_t vm_count = 0;  // 0 if unknown, as in small deployments
  // Requests per second that arrive at all of them, smoothed.
  double request_rate = 0;

  bool operator==(const FleetLoad&) const = default;
};

}  // namespace marjoramhall

#endif  // MARJORAMHALL_BASE_FLEET_LOAD_H_
