// Identifiers shared by all planes. They are distinct types, so that the
// compiler rejects a target id where a service id is expected.
#ifndef MARJORAMHALL_BASE_IDS_H_
#define MARJORAMHALL_BASE_IDS_H_

#include <cstdint>
#include <type_traits>

namespace marjoramhall {

// A VM, by the hash of its name. A restarted VM keeps its id and has a higher
// incarnation.
enum class VmId : uint64_t { kNone = 0 };

// A service or target within a lineage. The configuration allots these ids in
// rising order and never reuses one, so an id seen in an old flow entry or
// message cannot name another service or target.
enum class ServiceId : uint32_t { kNone = 0 };
enum class TargetId : uint32_t { kNone = 0 };

// Configuration revision within a lineage. 0 means no configuration.
using Revision = uint64_t;

// Start number of a VM process. Greater for every later start of the same VM
// (Unix time in microseconds at start); raised by the VM to refute a suspicion.
using Incarnation = uint64_t;

template <typename Id>
constexpr auto ToInteger(Id id) {
  return static_cast<std::underlying_type_t<Id>>(id);
}

}  // namespace marjoramhall

#endif  // MARJORAMHALL_BASE_IDS_H_
