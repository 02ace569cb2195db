// Random numbers of the request plane core: SplitMix64 (Steele, Lea and Flood
// 2014). The seed comes from the constructor of the plane, so that runs can be
// reproduced.
#ifndef MARJORAMHALL_REQUEST_RANDOM_SOURCE_H_
#define MARJORAMHALL_REQUEST_RANDOM_SOURCE_H_

#include <cstdint>

namespace marjoramhall::request {

class RandomSource {
 public:
  explicit RandomSource(uint64_t seed) : state_(seed) {}

  uint64_t Next() {
    uint64_t z = (state_ += 0x9E3779B97F4A7C15ULL);
    z = (z ^ (z >> 30)) * 0xBF58476D1CE4E5B9ULL;
    z = (z ^ (z >> 27)) * 0x94D049BB133111EBULL;
    return z ^ (z >> 31);
  }

  // Uniform in [0, n); n must not be 0. The bias is below n / 2^64.
  uint64_t Below(uint64_t n) { return Next() % n; }

 private:
  uint64_t state_;
};

}  // namespace marjoramhall::request

#endif  // MARJORAMHALL_REQUEST_RANDOM_SOURCE_H_
