// Merging of a plan with changes that were accepted after it was made. A plan
// remembers the state of each object that it touches; it merges when all of
// them are unchanged, and conflicts otherwise.
#ifndef MARJORAMHALL_CONFIG_MERGE_H_
#define MARJORAMHALL_CONFIG_MERGE_H_

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "src/config/change.h"
#include "src/config/deployment.h"

namespace marjoramhall::config {

// An object as it was in the base of a plan.
struct ObjectFingerprint {
  std::string object;        // "target t1", "service s", "failure domain d"
  uint64_t fingerprint = 0;  // 0: did not exist

  bool operator==(const ObjectFingerprint&) const = default;
};

// The objects that operations write, each once, as they are in `base`. Removing
// a service also touches all of its targets; setting other members of a
// service does not.
std::vector<ObjectFingerprint> FingerprintObjects(
    const Deployment& base,
    std::span<const Operation> operations);

// The objects whose state in `current` differs from their mark.
std::vector<std::string> FindConflicts(
    const Deployment& current,
    std::span<const ObjectFingerprint> fingerprints);

// True while the history tells for every change after `revision` whether it
// was accepted. A plan with an older base must not be applied, because it may
// have been accepted before and forgotten since.
bool HistoryCovers(const Deployment& current, Revision revision);

}  // namespace marjoramhall::config

#endif  // MARJORAMHALL_CONFIG_MERGE_H_
