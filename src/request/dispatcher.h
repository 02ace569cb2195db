// Selects the target of a request when it starts, among the targets at which
// this VM holds slots. Targets in the VM's failure domain come first.
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

  // Returns null for an unknown target. Valid until SetTargets().
  const config::Target* Find(TargetId id) const;

  // Returns an active target with a free slot, or kNone. Returns `avoid` only
  // when no other target has a free slot. With `own_domain_only`, targets in
  // other failure domains are excluded.
  //
  // The choice within a domain is random, weighted by free slots. VMs whose own
  // domain has failed thus do not all use the same target.
  //
  // Cost: linear in the targets at which this VM holds slots.
  TargetId PickTarget(const SlotLeases& leases,
                      const TargetHealth& health,
                      TargetId avoid,
                      bool own_domain_only,
                      TimePoint now);

  // Active targets in this VM's failure domain, sorted by id.
  std::vector<TargetId> OwnDomainTargets() const;
  // Number of active targets.
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
