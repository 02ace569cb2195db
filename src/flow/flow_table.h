// Table of flows: open addressing with linear probing over 32-byte entries.
// Holds no ownership logic; the router decides what goes in and what leaves.
#ifndef MARJORAMHALL_FLOW_FLOW_TABLE_H_
#define MARJORAMHALL_FLOW_FLOW_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <memory>

#include "src/base/ids.h"
#include "src/base/time.h"
#include "src/flow/flow_hash.h"

namespace marjoramhall::flow {

// Time in the table: units of 100 ms, never 0.
using Tick = uint32_t;
inline constexpr Duration kTickLength = std::chrono::milliseconds(100);
constexpr Tick ToTick(TimePoint now) {
  return static_cast<Tick>(now.time_since_epoch() / kTickLength) + 1;
}
constexpr Tick ToTicks(Duration span) {
  return static_cast<Tick>(span / kTickLength);
}

// Bits of FlowEntry::flags.
// Recorded here as owner or backup of the bucket, not as an entry VM.
inline constexpr uint16_t kEntryHolder = 1;
// A FIN or RST was seen; the entry lives on briefly for the last packets.
inline constexpr uint16_t kEntryClosing = 2;
// Included in the owner's load counts.
inline constexpr uint16_t kEntryCounted = 4;
// Included in the bucket's count of exceptions.
inline constexpr uint16_t kEntryException = 8;
// No packet for longer than the confirm interval before this one: the 5-tuple
// may have been reused, so every packet goes through the owner until it
// answers.
inline constexpr uint16_t kEntryDoubt = 16;
// Put to the owner, which has not answered yet.
inline constexpr uint16_t kEntryAsked = 32;

struct FlowEntry {
  FlowHash hash;  // high == 0: free slot
  TargetId target = TargetId::kNone;
  Tick seen = 0;       // last packet
  Tick confirmed = 0;  // last time the owner agreed
  uint16_t flags = 0;
  // Equals the bucket's epoch once owner and backup both hold the entry.
  uint16_t epoch = 0;
};
static_assert(sizeof(FlowEntry) <= 32);

// Not thread-safe. Entry pointers are valid until the next Insert or Erase.
class FlowTable {
 public:
  // Holds at most `limit` entries. Slots are allocated at once but touched only
  // when used: 32 bytes times the next power of two over 4/3 of `limit`.
  explicit FlowTable(size_t limit);

  // Returns the entry or null. Cost: one cache miss for most lookups.
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

  // Starts to load the memory that Find() will look at.
  void Prefetch(const FlowHash& hash) const {
    __builtin_prefetch(&slots_.get()[hash.high & mask_], 1);
  }

  // Returns a new zeroed entry for a hash that is not present, or null at the
  // limit.
  FlowEntry* Insert(const FlowHash& hash);

  // Like Insert, but at the limit replaces the least recently seen of the
  // entries near the slot, so that a flood displaces only other new entries.
  FlowEntry* InsertEvicting(const FlowHash& hash);

  void Erase(FlowEntry* entry);

  // Visits up to `slots` slots from where the last call stopped. `keep` gets
  // each entry and returns whether it stays. Returns true when the end of the
  // table was passed.
  template <typename Keep>
  bool Sweep(size_t slots, Keep keep) {
    for (size_t i = 0; i < slots; ++i) {
      FlowEntry& slot = slots_.get()[cursor_];
      if (slot.hash.high != 0 && !keep(slot)) {
        // The next entry of the probe chain moves into this slot; look again.
        Erase(&slot);
        continue;
      }
      cursor_ = (cursor_ + 1) & mask_;
      if (cursor_ == 0) {
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
  struct Unmap {
    Unmap() : bytes(0) {}
    explicit Unmap(size_t n) : bytes(n) {}
    size_t bytes;
    void operator()(FlowEntry* slots) const;
  };

  size_t limit_;
  size_t mask_ = 0;
  size_t size_ = 0;
  size_t cursor_ = 0;
  std::unique_ptr<FlowEntry[], Unmap> slots_;
};

}  // namespace marjoramhall::flow

#endif  // MARJORAMHALL_FLOW_FLOW_TABLE_H_
