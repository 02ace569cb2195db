// Hash table of flows: open addressing with linear probing over 32-byte
// entries. The router decides which entries are inserted and removed.
#ifndef MARJORAMHALL_FLOW_FLOW_TABLE_H_
#define MARJORAMHALL_FLOW_FLOW_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <memory>

#include "src/base/ids.h"
#include "src/base/time.h"
#include "src/flow/flow_hash.h"

namespace marjoramhall::flow {

// Time of table entries in units of kTickLength. Never 0, so that 0 can mean
// "not set". Differences stay correct when the value wraps around.
using Tick = uint32_t;
inline constexpr Duration kTickLength = std::chrono::milliseconds(100);
constexpr Tick ToTick(TimePoint now) {
  return static_cast<Tick>(now.time_since_epoch() / kTickLength) + 1;
}
constexpr Tick ToTicks(Duration span) {
  return static_cast<Tick>(span / kTickLength);
}

// Bits of FlowEntry::flags.
// Recorded by this VM as owner or backup of the bucket, not only because it
// received packets of the flow from the fabric.
inline constexpr uint16_t kEntryOwnerOrBackup = 1;
// A FIN or RST was seen. The entry stays for the closing timeout, so that the
// last packets are still routed.
inline constexpr uint16_t kEntryClosing = 2;
// Counted in the owner's number of flows per target.
inline constexpr uint16_t kEntryInOwnerLoad = 4;
// Counted in the bucket's number of exceptions: flows whose target differs from
// the placement.
inline constexpr uint16_t kEntryException = 8;
// A packet came after a gap of at least the confirm interval, so the 5-tuple
// may have been reused. Every packet goes through the owner until it answers.
inline constexpr uint16_t kEntryMaybeReused = 16;
// Sent to the owner for confirmation, which has not answered yet.
inline constexpr uint16_t kEntryConfirmPending = 32;

struct FlowEntry {
  FlowHash hash;  // high == 0: free slot
  TargetId target = TargetId::kNone;
  Tick last_seen = 0;       // time of the last packet
  Tick last_confirmed = 0;  // last time the owner confirmed the target
  uint16_t flags = 0;
  // BucketOwnership::epoch for which owner and backup both have the entry. The
  // entry has to be replicated when the bucket's epoch differs.
  uint16_t replicated_epoch = 0;
};
static_assert(sizeof(FlowEntry) <= 32);

// Not thread-safe. Entry pointers are valid until the next Insert or Erase.
class FlowTable {
 public:
  // Holds at most `limit` entries. Reserves 32 bytes for each slot; the number
  // of slots is 4/3 of `limit`, rounded up to a power of two. Pages get memory
  // when they are first written. Throws std::bad_alloc.
  explicit FlowTable(size_t limit);

  // Returns the entry or null. Cost: one cache miss in most cases.
  FlowEntry* Find(const FlowHash& hash) {
    for (size_t i = hash.high & mask_;; i = (i + 1) & mask_) {
      FlowEntry& slot = slots_.get()[i];
      if (slot.hash == hash) {
        return &slot;
      }
      if (slot.hash.high == 0) {
        return nullptr;
      }
    }
  }

  // Prefetches the cache line that Find() reads first.
  void Prefetch(const FlowHash& hash) const {
    __builtin_prefetch(&slots_.get()[hash.high & mask_], 1);
  }

  // Returns a new zeroed entry, or null at the limit. `hash` must not be
  // present.
  FlowEntry* Insert(const FlowHash& hash);

  // Like Insert, but at the limit evicts the least recently seen of the entries
  // near the slot, so that it never fails.
  FlowEntry* InsertEvicting(const FlowHash& hash);

  void Erase(FlowEntry* entry);

  // Visits up to `slots` slots, starting where the last call stopped. Erases
  // the entries for which `keep(entry)` is false. Stops and returns true at the
  // end of the table.
  template <typename Keep>
  bool Sweep(size_t slots, Keep keep) {
    for (size_t i = 0; i < slots; ++i) {
      FlowEntry& slot = slots_.get()[sweep_cursor_];
      if (slot.hash.high != 0 && !keep(slot)) {
        // Erase() may have moved another entry into this slot: visit it again.
        Erase(&slot);
        continue;
      }
      sweep_cursor_ = (sweep_cursor_ + 1) & mask_;
      if (sweep_cursor_ == 0) {
        return true;
      }
    }
    return false;
  }

  template <typename Visit>
  void ForEach(Visit visit) {
    for (size_t i = 0; i <= mask_; ++i) {
      if (slots_.get()[i].hash.high != 0) {
        visit(slots_.get()[i]);
      }
    }
  }

  size_t size() const { return size_; }
  size_t limit() const { return limit_; }
  size_t SlotCount() const { return mask_ + 1; }

 private:
  struct MunmapDeleter {
    MunmapDeleter() : bytes(0) {}
    explicit MunmapDeleter(size_t n) : bytes(n) {}
    size_t bytes;
    void operator()(FlowEntry* slots) const;
  };

  size_t limit_;
  size_t mask_ = 0;
  size_t size_ = 0;
  size_t sweep_cursor_ = 0;
  std::unique_ptr<FlowEntry[], MunmapDeleter> slots_;
};

}  // namespace marjoramhall::flow

#endif  // MARJORAMHALL_FLOW_FLOW_TABLE_H_
