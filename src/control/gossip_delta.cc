// Computes and applies text deltas.
#include "src/control/gossip_delta.h"

#include <xxhash.h>

#include <algorithm>
#include <unordered_map>

namespace marjoramhall::control {
namespace {

// Calls f(piece) for each piece of a text. A piece ends after a '}' or at the
// end of the text.
template <typename F>
void ForEachPiece(std::string_view text, F f) {
  size_t at = 0;
  while (at < text.size()) {
    const size_t brace = text.find('}', at);
    const size_t end =
        brace == std::string_view::npos ? text.size() : brace + 1;
    f(text.substr(at, end - at));
    at = end;
  }
}

void AppendLiteral(std::string_view piece, TextDelta* delta) {
  const size_t n = delta->segments.size();
  if (n >= 2 && delta->segments[n - 1] == 0) {
    delta->segments[n - 2] += static_cast<uint32_t>(piece.size());
  } else {
    delta->segments.push_back(static_cast<uint32_t>(piece.size()));
    delta->segments.push_back(0);
  }
  delta->literal.append(piece);
}

void AppendCopy(size_t offset, size_t length, TextDelta* delta) {
  const size_t n = delta->segments.size();
  if (n >= 2 && delta->segments[n - 1] != 0 &&
      delta->segments[n - 2] + delta->segments[n - 1] == offset) {
    delta->segments[n - 1] += static_cast<uint32_t>(length);
  } else {
    delta->segments.push_back(static_cast<uint32_t>(offset));
    delta->segments.push_back(static_cast<uint32_t>(length));
  }
}

}  // namespace

uint64_t TextDigest(std::string_view text) {
  return XXH3_64bits(text.data(), text.size());
}

TextDelta MakeDelta(std::string_view old_text, std::string_view new_text) {
  std::unordered_map<std::string_view, size_t> offsets;
  ForEachPiece(old_text, [&](std::string_view piece) {
    offsets.emplace(piece, static_cast<size_t>(piece.data() - old_text.data()));
  });
  TextDelta result;
  ForEachPiece(new_text, [&](std::string_view piece) {
    // Prefers the piece that follows the last copied one in the old text: it
    // extends that segment, while an equal piece elsewhere starts a new one.
    const size_t n = result.segments.size();
    if (n >= 2 && result.segments[n - 1] != 0) {
      const size_t next = result.segments[n - 2] + result.segments[n - 1];
      if (old_text.substr(std::min(next, old_text.size()), piece.size()) ==
          piece) {
        AppendCopy(next, piece.size(), &result);
        return;
      }
    }
    const auto it = offsets.find(piece);
    if (it == offsets.end()) {
      AppendLiteral(piece, &result);
    } else {
      AppendCopy(it->second, piece.size(), &result);
    }
  });
  return result;
}

std::optional<std::string> ApplyDelta(std::string_view old_text,
                                      const TextDelta& delta,
                                      size_t limit) {
  std::string result;
  size_t literal_at = 0;
  if (delta.segments.size() % 2 != 0) {
    return std::nullopt;
  }
  for (size_t i = 0; i < delta.segments.size(); i += 2) {
    const size_t offset = delta.segments[i];
    const size_t length = delta.segments[i + 1];
    const bool literal = length == 0;
    const std::string_view source = literal ? delta.literal : old_text;
    const size_t from = literal ? literal_at : offset;
    const size_t n = literal ? offset : length;
    if (from > source.size() || n > source.size() - from ||
        n > limit - result.size()) {
      return std::nullopt;
    }
    result.append(source.substr(from, n));
    literal_at += literal ? n : 0;
  }
  return result;
}

}  // namespace marjoramhall::control
