// Bounds retries to a share of first attempts, so that they cannot amplify an
// overload.
#ifndef MARJORAMHALL_REQUEST_RETRY_BUDGET_H_
#define MARJORAMHALL_REQUEST_RETRY_BUDGET_H_

#include <algorithm>

namespace marjoramhall::request {

class RetryBudget {
 public:
  explicit RetryBudget(double ratio) : ratio_(ratio) {}

  void OnFirstAttempt() { tokens_ = std::min(kCap, tokens_ + ratio_); }

  // Takes the right to one retry; false when there is none.
  bool Take() {
    if (tokens_ < 1) {
      return false;
    }
    tokens_ -= 1;
    return true;
  }

 private:
  // Unused budget does not pile up over a quiet time, or it would all be spent
  // in the first moments of an overload.
  static constexpr double kCap = 10;

  double ratio_;
  double tokens_ = kCap / 2;
};

}  // namespace marjoramhall::request

#endif  // MARJORAMHALL_REQUEST_RETRY_BUDGET_H_
