// Limits retries to a ratio of first attempts, so that retries cannot amplify
// an overload.
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

  // Consumes the budget of one retry. Returns false when there is none.
  bool TryConsume() {
    if (tokens_ < 1) {
      return false;
    }
    tokens_ -= 1;
    return true;
  }

 private:
  // Bounds the budget that accumulates in quiet times. Without a bound, it
  // would all be spent at the start of an overload.
  static constexpr double kMaxTokens = 10;

  double tokens_per_first_attempt_;
  double tokens_ = kMaxTokens / 2;
};

}  // namespace marjoramhall::request

#endif  // MARJORAMHALL_REQUEST_RETRY_BUDGET_H_
