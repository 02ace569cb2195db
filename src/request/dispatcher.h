// Chooses the target of a request at the moment it starts: among the slots that
// this VM holds, the own failure domain first.
#ifndef MARJORAMHALL_REQUEST_DISPATCHER_H_
#define MARJORAMHALL_REQUEST_DISPATCHER_H_

#include <string>
#include <unordered_map>

#include "src/config/deployment.h"
#include "src/request/random_source.h"
#include "src/request/slot_leases.h"
#include "src/request/target_health.h"

namespace marjoramhall::request {

class Dispatcher {
 public:
  explicit Dispatcher(RandomSource& random) : random_(random) {}

  void SetTargets(const std::vector<config::Target>& targets,
                  const std::string& own_domain);

  const config::Target* Find(TargetId id) const;

  // Returns a target with a free slot, or kNone. A draining target is never
  // returned, and `avoid` only when no other has a slot. Spill-over to other
  // domains is random by free slots, so that VMs that lose their own domain do
  // not all turn to the same one. With `own_domain_only`, no spill-over.
  // Cost: linear in the targets at which this VM holds slots.
  TargetId PickTarget(const SlotLeases& leases,
                      const TargetHealth& health,
                      TargetId avoid,
                      bool own_domain_only,
                      TimePoint now);

  // Active targets of the own domain, for a VM without an allocator.
  std::vector<TargetId> OwnDomainTargets() const;
  size_t active_targets() const { return active_targets_; }

 private:
  struct Entry {
    config::Target target;
    bool own_domain;
  };

  RandomSource& random_;
  std::unordered_map<TargetId, Entry> targets_;
  size_t active_targets_ = 0;
};

}  // namespace marjoramhall::request

#endif  // MARJORAMHALL_REQUEST_DISPATCHER_H_
