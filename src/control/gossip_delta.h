// Differences between two texts of the configuration. A change of one target
// in a fleet's configuration of 1 MB becomes a few hundred bytes.
#ifndef MARJORAMHALL_CONTROL_GOSSIP_DELTA_H_
#define MARJORAMHALL_CONTROL_GOSSIP_DELTA_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace marjoramhall::control {

struct TextDelta {
  // Pairs (offset in the old text, length). Length 0: take `offset` bytes from
  // `literal`.
  std::vector<uint32_t> copy;
  std::string literal;
};

// Digest of a text (XXH3, 64 bits).
uint64_t DigestOfText(std::string_view text);

// Splits both texts at '}' and copies the pieces that the old text has. Cost:
// one pass over each text.
TextDelta MakeDelta(std::string_view old_text, std::string_view new_text);

// Returns the new text, or nothing when the delta does not fit the old text or
// yields more than `limit` bytes.
std::optional<std::string> ApplyDelta(std::string_view old_text,
                                      const TextDelta& delta,
                                      size_t limit);

}  // namespace marjoramhall::control

#endif  // MARJORAMHALL_CONTROL_GOSSIP_DELTA_H_
