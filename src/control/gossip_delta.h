// Deltas between two texts of the configuration. The change of one target in a
// configuration of 1 MB takes a few hundred bytes.
#ifndef MARJORAMHALL_CONTROL_GOSSIP_DELTA_H_
#define MARJORAMHALL_CONTROL_GOSSIP_DELTA_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace marjoramhall::control {

struct TextDelta {
  // Pairs (offset, length) that make up the new text: `length` bytes at
  // `offset` of the old text or, when `length` is 0, the next `offset` bytes of
  // `literal`.
  std::vector<uint32_t> segments;
  std::string literal;
};

// XXH3 hash of a text, 64 bits.
uint64_t TextDigest(std::string_view text);

// Splits both texts after each '}' and refers to pieces that occur in the old
// text. Other pieces become literals. Cost: one pass over each text.
TextDelta MakeDelta(std::string_view old_text, std::string_view new_text);

// Returns the new text. Returns nothing when the delta refers to bytes outside
// the old text or its literal, or when the result has more than `limit` bytes.
std::optional<std::string> ApplyDelta(std::string_view old_text,
                                      const TextDelta& delta,
                                      size_t limit);

}  // namespace marjoramhall::control

#endif  // MARJORAMHALL_CONTROL_GOSSIP_DELTA_H_
