// Rate limit for messages between VMs, with a bounded queue.
#ifndef MARJORAMHALL_NET_PEER_TRANSPORT_PACER_H_
#define MARJORAMHALL_NET_PEER_TRANSPORT_PACER_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <utility>

#include "src/base/time.h"

namespace marjoramhall::net {

// A token bucket of bytes with a FIFO queue of waiting messages. Urgent
// messages are not queued but debited, which may make the budget negative. The
// average of all messages therefore stays within the rate if the urgent ones
// alone do.
class Pacer {
 public:
  // Added to the size of each message in the queue.
  static constexpr size_t kMessageOverhead = 128;

  // `reserve_per_second` is the part of the rate reserved for queued messages,
  // so that urgent ones cannot starve them.
  Pacer(uint64_t bytes_per_second,
        uint64_t reserve_per_second,
        uint64_t burst,
        size_t queue_bytes)
      : rate_(static_cast<double>(bytes_per_second)),
        reserve_rate_(static_cast<double>(reserve_per_second)),
        burst_(static_cast<double>(burst)),
        queue_limit_(queue_bytes),
        budget_(burst_) {}

  // Debits an urgent message, which the caller sends immediately.
  void Debit(size_t bytes, TimePoint now) {
    Refill(now);
    budget_ -= static_cast<double>(bytes);
  }

  // Calls `send` immediately or queues it. Returns false if the queue is full;
  // the message is dropped then.
  bool Submit(size_t bytes, TimePoint now, std::function<void()> send) {
    Refill(now);
    if (queue_.empty() && HasBudget()) {
      Spend(bytes);
      send();
      return true;
    }
    if (queued_bytes_ + bytes + kMessageOverhead > queue_limit_) {
      return false;
    }
    queued_bytes_ += bytes + kMessageOverhead;
    queue_.emplace_back(bytes, std::move(send));
    return true;
  }

  // Sends queued messages as far as the budget allows. To be called about every
  // 50 ms.
  void Drain(TimePoint now) {
    Refill(now);
    while (!queue_.empty() && HasBudget()) {
      auto [bytes, send] = std::move(queue_.front());
      queue_.pop_front();
      queued_bytes_ -= bytes + kMessageOverhead;
      Spend(bytes);
      send();
    }
  }

  // Number of queued messages.
  size_t queued() const { return queue_.size(); }

 private:
  bool HasBudget() const { return budget_ > 0 || reserve_ > 0; }

  void Spend(size_t bytes) {
    budget_ -= static_cast<double>(bytes);
    reserve_ -= static_cast<double>(bytes);
  }

  void Refill(TimePoint now) {
    if (last_ != TimePoint()) {
      const double seconds = std::chrono::duration<double>(now - last_).count();
      budget_ = std::min(burst_, budget_ + rate_ * std::max(0.0, seconds));
      // The reserve does not accumulate; only the budget allows bursts.
      reserve_ =
          std::min(0.0, reserve_) + reserve_rate_ * std::max(0.0, seconds);
    }
    last_ = now;
  }

  const double rate_;
  const double reserve_rate_;
  const double burst_;
  const size_t queue_limit_;
  double budget_;
  double reserve_ = 0;
  TimePoint last_{};
  std::deque<std::pair<size_t, std::function<void()>>> queue_;
  size_t queued_bytes_ = 0;
};

}  // namespace marjoramhall::net

#endif  // MARJORAMHALL_NET_PEER_TRANSPORT_PACER_H_
