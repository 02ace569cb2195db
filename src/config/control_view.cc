// Ids of VMs.
#include "src/config/control_view.h"

#include <xxhash.h>

namespace marjoramhall::config {

VmId VmIdOf(const std::string& name) {
  const uint64_t hash = XXH3_64bits(name.data(), name.size());
  return static_cast<VmId>(hash == 0 ? 1 : hash);
}

}  // namespace marjoramhall::config
