// Quarantine of addresses. An address released by one service must not be
// assigned to another one while a VM may still send packets according to a
// revision in which the first service has it.
#ifndef MARJORAMHALL_CONFIG_QUARANTINE_H_
#define MARJORAMHALL_CONFIG_QUARANTINE_H_

#include <span>
#include <string>
#include <vector>

#include "src/config/deployment.h"

namespace marjoramhall::config {

// A VM that may still handle packets: alive, suspect, leaving, or removed less
// than 24 h ago and not seen with a later incarnation.
struct KnownMember {
  std::string name;
  Revision revision = 0;  // newest revision that it is known to hold
};

// Updates the list of released addresses in `*next`. Adds those that `base`
// uses and `*next` does not, and removes those that `*next` uses again. Covers
// flow addresses of services, and flow and request endpoints of targets.
// `next->revision` must be set.
void UpdateReleased(const Deployment& base, Deployment* next);

// Returns a reason for each address that `next` must not assign to its service:
// another service has it in `base`, or another service released it in a
// revision that some members do not hold yet. Each reason names the address
// and, in the second case, these members.
std::vector<std::string> CheckQuarantine(const Deployment& base,
                                         const Deployment& next,
                                         std::span<const KnownMember> members);

// Bounds the list of released addresses. Above `limit` entries, removes the
// oldest ones whose release all members hold; CheckQuarantine() allows them
// anyway.
void PruneReleased(std::span<const KnownMember> members,
                   size_t limit,
                   Deployment* next);

}  // namespace marjoramhall::config

#endif  // MARJORAMHALL_CONFIG_QUARANTINE_H_
