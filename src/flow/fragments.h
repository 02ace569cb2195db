// Fragments of IP packets at the VM that owns them: remembers the ports of the
// first fragment and holds later ones that arrive before it.
#ifndef MARJORAMHALL_FLOW_FRAGMENTS_H_
#define MARJORAMHALL_FLOW_FRAGMENTS_H_

#include <cstdint>
#include <deque>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

#include "src/flow/flow_hash.h"
#include "src/flow/flow_table.h"
#include "src/protocol/hop_header.h"

namespace marjoramhall::flow {

struct HeldFragment {
  std::vector<uint8_t> bytes;
  PacketInfo info;
  protocol::HopHeader hop;
};

// Bounded in packets and bytes; not thread-safe.
class FragmentCache {
 public:
  // Remembers a first fragment and returns the fragments held for it.
  std::vector<HeldFragment> OnFirst(const FlowHash& id,
                                    const PacketInfo& info,
                                    Tick tick);

  // Completes the ports of a later fragment. False when its first fragment is
  // not known.
  bool Complete(const FlowHash& id, PacketInfo& info) const;

  // Keeps a fragment until its first one arrives. False at the limits.
  bool Hold(const FlowHash& id, HeldFragment fragment, Tick tick);

  // Drops what is older than the limit; returns the number of held fragments
  // that were lost.
  size_t Expire(Tick tick);

 private:
  struct State {
    bool known = false;
    FlowKey key;
    std::vector<HeldFragment> held;
  };

  State* Touch(const FlowHash& id, Tick tick);

  std::unordered_map<FlowHash, State, FlowHashHasher> states_;
  std::deque<std::pair<Tick, FlowHash>> order_;  // oldest first
  size_t held_bytes_ = 0;
};

}  // namespace marjoramhall::flow

#endif  // MARJORAMHALL_FLOW_FRAGMENTS_H_
