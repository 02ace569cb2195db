// A point in the history of the platform's store.
#ifndef MARJORAMHALL_BASE_STORE_POSITION_H_
#define MARJORAMHALL_BASE_STORE_POSITION_H_

#include <compare>
#include <cstdint>

namespace marjoramhall {

// Orders states of the store. A revision alone does not: a store that is
// restored from an older copy goes back to the copy's revision and gives out
// the later ones again, for other changes. Each such return begins a new epoch,
// which supersedes all revisions of the earlier ones.
struct StorePosition {
  constexpr StorePosition() = default;
  constexpr StorePosition(uint64_t the_epoch, uint64_t the_revision)
      : epoch(the_epoch), revision(the_revision) {}

  // clang-tidy takes the generated comparison for one with a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const StorePosition&) const = default;

  // The order of the members is that of the comparison.
  uint64_t epoch = 0;     // number of the history; 0 if the store does not say
  uint64_t revision = 0;  // within the epoch; 0 before the first
};

}  // namespace marjoramhall

#endif  // MARJORAMHALL_BASE_STORE_POSITION_H_
