// The readiness checks of the platform's routers: each VM is asked twice a
// second, and is out of the rotation after two misses. Never blocks.
#ifndef REVIEW_STANDINS_2_READINESS_H_
#define REVIEW_STANDINS_2_READINESS_H_

#include <cstdint>
#include <random>
#include <vector>

#include "vms.h"

namespace review {

class Readiness {
 public:
  explicit Readiness(Vms& vms) : vms_(vms) {}
  ~Readiness();
  Readiness(const Readiness&) = delete;
  Readiness& operator=(const Readiness&) = delete;

  // Begins checks, reads answers and sets Vm::in_rotation.
  void Step();
  // How often a VM has joined or left the rotation.
  uint64_t changes() const { return changes_; }
  // Changes that came 20 to 200 ms after another one.
  uint64_t close_changes() const { return close_changes_; }

 private:
  struct Check {
    int fd = -1;
    bool is_sent = false;
    double next_ms = 0;
    double limit_ms = 0;
  };

  void Begin(const Vm& vm, Check& check) const;
  void End(Vm& vm, Check& check, bool is_ready);

  Vms& vms_;
  std::vector<Check> checks_;  // one for each VM
  std::mt19937 random_{5};
  uint64_t changes_ = 0;
  uint64_t close_changes_ = 0;
  double last_change_ms_ = 0;
};

}  // namespace review

#endif  // REVIEW_STANDINS_2_READINESS_H_
