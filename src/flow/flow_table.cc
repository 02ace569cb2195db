// Allocation, insertion and removal in the flow table.
#include "src/flow/flow_table.h"

#include <sys/mman.h>

#include <algorithm>
#include <bit>
#include <new>

namespace marjoramhall::flow {
namespace {

// Slots searched for an entry to evict. They are a random sample of the table;
// a longer scan costs more than it gains.
constexpr size_t kEvictionWindowSlots = 16;

}  // namespace

FlowTable::FlowTable(size_t limit)
    : limit_(std::max<size_t>(limit, 1)),
      mask_(std::bit_ceil(std::max<size_t>(limit_ + limit_ / 3, 64)) - 1) {
  // Mapped pages are zero, which is a free FlowEntry, and get memory on the
  // first write. Huge pages avoid a TLB miss in most lookups of a large table.
  const size_t bytes = (mask_ + 1) * sizeof(FlowEntry);
  void* memory = mmap(nullptr, bytes, PROT_READ | PROT_WRITE,
                      MAP_PRIVATE | MAP_ANONYMOUS, -1, 0);
  if (memory == MAP_FAILED) {
    throw std::bad_alloc();
  }
  madvise(memory, bytes, MADV_HUGEPAGE);
  slots_ = {static_cast<FlowEntry*>(memory), MunmapDeleter{bytes}};
}

void FlowTable::MunmapDeleter::operator()(FlowEntry* slots) const {
  munmap(slots, bytes);
}

FlowEntry* FlowTable::Insert(const FlowHash& hash) {
  if (size_ >= limit_) {
    return nullptr;
  }
  size_t i = hash.high & mask_;
  while (slots_[i].hash.high != 0) {
    i = (i + 1) & mask_;
  }
  slots_[i] = FlowEntry{};
  slots_[i].hash = hash;
  ++size_;
  return &slots_[i];
}

FlowEntry* FlowTable::InsertEvicting(const FlowHash& hash) {
  if (FlowEntry* entry = Insert(hash)) {
    return entry;
  }
  FlowEntry* victim = nullptr;
  size_t i = hash.high & mask_;
  for (size_t n = 0; n < kEvictionWindowSlots || victim == nullptr; ++n) {
    FlowEntry& slot = slots_[i];
    if (slot.hash.high != 0 &&
        (!victim || slot.last_seen < victim->last_seen)) {
      victim = &slot;
    }
    i = (i + 1) & mask_;
  }
  Erase(victim);
  return Insert(hash);
}

void FlowTable::Erase(FlowEntry* entry) {
  size_t hole = static_cast<size_t>(entry - slots_.get());
  size_t i = hole;
  // Backward shift deletion: moves later entries of the probe chain into the
  // gap, so that lookups need no tombstones.
  while (true) {
    i = (i + 1) & mask_;
    if (slots_[i].hash.high == 0) {
      break;
    }
    const size_t home = slots_[i].hash.high & mask_;
    const size_t distance = (i - home) & mask_;
    if (distance >= ((i - hole) & mask_)) {
      slots_[hole] = slots_[i];
      hole = i;
    }
  }
  slots_[hole] = FlowEntry{};
  --size_;
}

}  // namespace marjoramhall::flow
