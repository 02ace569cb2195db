// Identifiers shared by all planes. They are distinct types, so the compiler
// rejects a target id where a service id is expected.
#ifndef MARJORAMHALL_BASE_IDS_H_
#define MARJORAMHALL_BASE_IDS_H_

#include <cstdint>
#include <type_traits>

namespace marjoramhall {

// Identifies a VM by the hash of its name. A restarted VM keeps its id and gets
// a higher incarnation.
enum class VmId : uint64_t { kNone = 0 };

// Identify a service or target within a configuration lineage. Ids are assigned
// in ascending order and never reused, so an id in an old flow entry or message
// cannot refer to another service or target.
enum class ServiceId : uint32_t { kNone = 0 };
enum class TargetId : uint32_t { kNone = 0 };

// Revision of the configuration within a lineage. 0 means no configuration.
using Revision = uint64_t;

// Orders the processes of one VM. It starts as the Unix time of the process
// start in microseconds, so it grows with every restart. A running VM raises it
// to refute a suspicion that it has failed.
using Incarnation = uint64_t;

template <typename Id>
constexpr auto ToInteger(Id id) {
  return static_cast<std::underlying_type_t<Id>>(id);
}

}  // namespace marjoramhall

#endif  // MARJORAMHALL_BASE_IDS_H_
