// Counts a second at a time.
#include "src/observe/log_budget.h"

#include <chrono>
#include <utility>

namespace marjoramhall::observe {

bool LogBudget::Admit(bool exceptional, TimePoint now) {
  if (now - second_ >= std::chrono::seconds(1)) {
    second_ = now;
    ordinary_ = 0;
    exceptional_ = 0;
  }
  uint32_t& used = exceptional ? exceptional_ : ordinary_;
  if (used >= (exceptional ? options_.exceptional : options_.ordinary)) {
    ++denied_;
    return false;
  }
  ++used;
  return true;
}

uint64_t LogBudget::TakeDenied() {
  return std::exchange(denied_, 0);
}

}  // namespace marjoramhall::observe
