// Merging of a plan with changes that were accepted after it was made. A plan
// contains a fingerprint of each object that it changes. It can be merged when
// all of them are unchanged, and conflicts otherwise.
#ifndef MARJORAMHALL_CONFIG_MERGE_H_
#define MARJORAMHALL_CONFIG_MERGE_H_

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "src/config/change.h"
#include "src/config/deployment.h"

namespace marjoramhall::config {

// Hash of an object in the base of a plan.
struct ObjectFingerprint {
  std::string object;        // "target t1", "service s", "failure domain d"
  uint64_t fingerprint = 0;  // 0 when the object does not exist

  bool operator==(const ObjectFingerprint&) const = default;
};

// Returns the fingerprints in `base` of all objects that the operations write,
// each object once. The removal of a service also writes its targets; a change
// of its other members does not.
std::vector<ObjectFingerprint> FingerprintObjects(
    const Deployment& base,
    std::span<const Operation> operations);

// Returns the objects whose fingerprints in `current` differ from the given
// ones.
std::vector<std::string> FindConflicts(
    const Deployment& current,
    std::span<const ObjectFingerprint> fingerprints);

// Returns true when the history contains all changes accepted after `revision`.
// A plan with an older base must not be applied: it may have been accepted
// already and dropped from the history since.
bool HistoryCovers(const Deployment& current, Revision revision);

}  // namespace marjoramhall::config

#endif  // MARJORAMHALL_CONFIG_MERGE_H_
