#include "lab/http_body.h"

#include <algorithm>

#include <xxhash.h>

namespace marjoramhall::lab {

PatternBody::PatternBody(std::string_view request_id)
    : hash_(XXH3_64bits(request_id.data(), request_id.size())) {}

char PatternBody::At(uint64_t offset) const {
  const uint64_t word = offset / 8;
  return static_cast<char>((hash_ >> (8 * (offset % 8))) + word);
}

std::string PatternBody::Bytes(uint64_t offset, size_t size) const {
  std::string out(size, '\0');
  for (size_t i = 0; i < size; ++i) {
    out[i] = At(offset + i);
  }
  return out;
}

bool PatternBody::Matches(uint64_t offset, std::string_view data) const {
  for (size_t i = 0; i < data.size(); ++i) {
    if (data[i] != At(offset + i)) {
      return false;
    }
  }
  return true;
}

}  // namespace marjoramhall::lab
