// State of fragmented IP packets. All fragments of a packet are sent to one VM,
// which stores the ports of the first fragment and holds later fragments that
// arrive before it.
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

// Not thread-safe. Memory is bounded; see the limits in fragments.cc.
class FragmentCache {
 public:
  // Stores the flow key of a first fragment and returns the later fragments
  // that were held for it.
  std::vector<HeldFragment> OnFirstFragment(const FlowHash& id,
                                            const PacketInfo& info,
                                            Tick tick);

  // Sets the flow key of a later fragment from its first fragment. Returns
  // false when the first fragment has not arrived.
  bool CompleteKey(const FlowHash& id, PacketInfo& info) const;

  // Holds a later fragment until the first one arrives. Returns false when a
  // limit is reached.
  bool Hold(const FlowHash& id, HeldFragment fragment, Tick tick);

  // Removes packets whose earliest fragment arrived more than 2 s ago. Returns
  // the number of held fragments that this dropped.
  size_t Expire(Tick tick);

 private:
  struct Datagram {
    bool has_key = false;  // the first fragment has arrived
    FlowKey key;
    std::vector<HeldFragment> held;
  };

  Datagram* FindOrCreate(const FlowHash& id, Tick tick);

  std::unordered_map<FlowHash, Datagram, FlowHashHasher> datagrams_;
  std::deque<std::pair<Tick, FlowHash>> order_;  // oldest first
  size_t held_bytes_ = 0;
};

}  // namespace marjoramhall::flow

#endif  // MARJORAMHALL_FLOW_FRAGMENTS_H_
