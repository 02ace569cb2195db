// Encodes the changes of a relay once for all followers that lack the same
// ones, so that the time and memory of a relay grow with the number of
// different answers and not with that of its followers. Does no I/O and gets
// the time as an argument.
#ifndef MARJORAMHALL_DISCOVERY_ENCODED_CHANGES_H_
#define MARJORAMHALL_DISCOVERY_ENCODED_CHANGES_H_

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "src/base/time.h"
#include "src/discovery/change_relay.h"
#include "src/discovery/snapshot_codec.h"

namespace marjoramhall::discovery {

// A change set in two parts. DecodeChangeSet() reads one after the other.
struct EncodedChangeSet {
  std::string head;  // position, age and fleet
  std::shared_ptr<const std::string> changes;
};

class EncodedChanges {
 public:
  // The warm-up times in the changes are late by at most this.
  static constexpr Duration kMaxReuse = std::chrono::milliseconds(250);

  explicit EncodedChanges(const ChangeRelay& relay) : relay_(relay) {}

  // `set` has been returned by ChangeRelay::Accept() for `after`.
  EncodedChangeSet Encode(StorePosition after, ChangeSet set, TimePoint now);

 private:
  struct Encoding {
    StorePosition position;  // of the set
    std::shared_ptr<const std::string> changes;
  };

  const ChangeRelay& relay_;
  // By the position of the follower; unset for all entries. Made at
  // `encoded_at_` or later, when the relay was at `relay_position_`.
  std::map<std::optional<StorePosition>, Encoding> encodings_;
  StorePosition relay_position_;
  TimePoint encoded_at_;
};

}  // namespace marjoramhall::discovery

#endif  // MARJORAMHALL_DISCOVERY_ENCODED_CHANGES_H_
