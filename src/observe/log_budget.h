// Bounds the lines of the decision log that come with traffic, so that a burst
// or an outage cannot turn into processor time and memory.
#ifndef MARJORAMHALL_OBSERVE_LOG_BUDGET_H_
#define MARJORAMHALL_OBSERVE_LOG_BUDGET_H_

#include <cstdint>

#include "src/base/decision.h"
#include "src/base/time.h"

namespace marjoramhall::observe {

struct LogBudgetOptions {
  // Lines a second. A line costs about 10 us, so that both together stay below
  // a hundredth of a core.
  uint32_t ordinary = 20;     // flows that were placed, targets that joined
  uint32_t exceptional = 60;  // all others
};

// Not thread-safe.
class LogBudget {
 public:
  explicit LogBudget(LogBudgetOptions options) : options_(options) {}

  // Whether a line may be written now. What is denied is counted.
  bool Admit(bool exceptional, TimePoint now);

  // Lines denied since the last call.
  uint64_t TakeDenied();

 private:
  const LogBudgetOptions options_;
  TimePoint second_;  // begin of the running second
  uint32_t ordinary_ = 0;
  uint32_t exceptional_ = 0;
  uint64_t denied_ = 0;
};

}  // namespace marjoramhall::observe

#endif  // MARJORAMHALL_OBSERVE_LOG_BUDGET_H_
