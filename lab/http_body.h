// Answer bodies in which every byte depends on the request id and the offset,
// so that a swapped, shifted or truncated answer is detected.
#ifndef MARJORAMHALL_LAB_HTTP_BODY_H_
#define MARJORAMHALL_LAB_HTTP_BODY_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace marjoramhall::lab {

class PatternBody {
 public:
  explicit PatternBody(std::string_view request_id);

  // Returns the bytes [offset, offset + size).
  std::string Bytes(uint64_t offset, size_t size) const;
  // True when `data` equals the bytes from `offset` on.
  bool Matches(uint64_t offset, std::string_view data) const;

 private:
  char At(uint64_t offset) const;

  uint64_t hash_;
};

}  // namespace marjoramhall::lab

#endif  // MARJORAMHALL_LAB_HTTP_BODY_H_
