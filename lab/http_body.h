// Answer bodies whose every byte depends on the request they belong to, so that
// a crossed, shifted or truncated answer is detected.
#ifndef MARJORAMHALL_LAB_HTTP_BODY_H_
#define MARJORAMHALL_LAB_HTTP_BODY_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace marjoramhall::lab {

class PatternBody {
 public:
  explicit PatternBody(std::string_view request_id);

  // Bytes [offset, offset + size).
  std::string Bytes(uint64_t offset, size_t size) const;
  // True when `data` equals the bytes from `offset` on.
  bool Matches(uint64_t offset, std::string_view data) const;

 private:
  char At(uint64_t offset) const;

  uint64_t hash_;
};

}  // namespace marjoramhall::lab

#endif  // MARJORAMHALL_LAB_HTTP_BODY_H_
