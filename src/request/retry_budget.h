// Bounds retries to a share of first attempts, so that they cannot amplify an
// overload.
#ifndef MARJORAMHALL_REQUEST_RETRY_BUDGET_H_
#define MARJORAMHALL_REQUEST_RETRY_BUDGET_H_

#include <algorithm>

namespace marjoramhall::request {

class RetryBudget {
 public:
  explicit RetryBudget(double tokens_per_first_attempt)
      : tokens_per_first_attempt_(tokens_per_first_attempt) {}

  void OnFirstAttempt() {
    tokens_ = std::min(kMaxTokens, tokens_ + tokens_per_first_attempt_);
  }

  // Takes the right to one retry; false when there is none.
  bool TryConsume() {
    if (tokens_ < 1) {
      return false;
    }
    tokens_ -= 1;
    return true;
  }

 private:
  // Unused budget does not pile up over a quiet time, or it would all be spent
  // in the first moments of an overload.
  static constexpr double kMaxTokens = 10;

  double tokens_per_first_attempt_;
  double tokens_ = kMaxTokens / 2;
};

}  // namespace marjoramhall::request

#endif  // MARJORAMHALL_REQUEST_RETRY_BUDGET_H_
