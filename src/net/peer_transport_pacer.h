// Paces messages between VMs: a byte budget with a bounded queue for what can
// wait.
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

// A token bucket of bytes and the messages that wait for it, in order. Messages
// that cannot wait are debited and may overdraw it, so the average of all
// together keeps to the rate as long as the urgent ones alone do.
class Pacer {
 public:
  // Each queued message occupies at least this much of the queue's limit.
  static constexpr size_t kMessageOverhead = 128;

  // `reserve_per_second` of the rate is kept for messages that can wait, so
  // that they are not held up for ever by urgent ones that take all of it.
  Pacer(uint64_t bytes_per_second,
        uint64_t reserve_per_second,
        uint64_t burst,
        size_t queue_bytes)
      : rate_(static_cast<double>(bytes_per_second)),
        reserve_rate_(static_cast<double>(reserve_per_second)),
        burst_(static_cast<double>(burst)),
        queue_limit_(queue_bytes),
        budget_(burst_) {}

  // Debits a message that is sent at once.
  void Debit(size_t bytes, TimePoint now) {
    Refill(now);
    budget_ -= static_cast<double>(bytes);
  }

  // Sends now or queues. Returns false when the queue is full; the message is
  // dropped then.
  bool Submit(size_t bytes, TimePoint now, std::function<void()> send) {
    Refill(now);
    if (queue_.empty() && MayWaitNoLonger()) {
      Take(bytes);
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

  // Sends what the budget allows. Call it every 50 ms or so.
  void Drain(TimePoint now) {
    Refill(now);
    while (!queue_.empty() && MayWaitNoLonger()) {
      auto [bytes, send] = std::move(queue_.front());
      queue_.pop_front();
      queued_bytes_ -= bytes + kMessageOverhead;
      Take(bytes);
      send();
    }
  }

  size_t queued() const { return queue_.size(); }

 private:
  bool MayWaitNoLonger() const { return budget_ > 0 || reserve_ > 0; }

  void Take(size_t bytes) {
    budget_ -= static_cast<double>(bytes);
    reserve_ -= static_cast<double>(bytes);
  }

  void Refill(TimePoint now) {
    if (last_ != TimePoint()) {
      const double seconds = std::chrono::duration<double>(now - last_).count();
      budget_ = std::min(burst_, budget_ + rate_ * std::max(0.0, seconds));
      // Saves nothing up: the burst is the budget's.
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
