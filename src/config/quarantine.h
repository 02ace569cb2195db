// Quarantine of addresses: an address that one service released must not go to
// another one while a VM may still send packets by a revision that had it.
#ifndef MARJORAMHALL_CONFIG_QUARANTINE_H_
#define MARJORAMHALL_CONFIG_QUARANTINE_H_

#include <span>
#include <string>
#include <vector>

#include "src/config/deployment.h"

namespace marjoramhall::config {

// A VM that may still handle packets: alive, suspect, leaving, or removed less
// than 24 h ago without a later incarnation seen.
struct KnownMember {
  std::string name;
  Revision revision = 0;  // newest revision it is known to hold
};

// Puts the addresses that `base` has and `next` has not onto `next`'s list of
// released addresses, and takes off those that `next` has assigned again.
// `next->revision` must be set. Covers flow addresses of services and flow and
// request endpoints of targets.
void UpdateReleased(const Deployment& base, Deployment* next);

// Returns a reason for each address that `next` gives to another service than
// the one that had it in `base` or released it, while a known member holds no
// revision without it. Each reason names the address and the members.
std::vector<std::string> CheckQuarantine(const Deployment& base,
                                         const Deployment& next,
                                         std::span<const KnownMember> members);

// Keeps the released list bounded: of more than `limit` entries, drops the
// oldest that every known member has passed and that CheckQuarantine() would
// let through at once.
void PruneReleased(std::span<const KnownMember> members,
                   size_t limit,
                   Deployment* next);

}  // namespace marjoramhall::config

#endif  // MARJORAMHALL_CONFIG_QUARANTINE_H_
