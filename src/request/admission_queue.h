// The requests of one service that wait at this VM, in two classes, and the
// test whether a request can meet its deadline.
#ifndef MARJORAMHALL_REQUEST_ADMISSION_QUEUE_H_
#define MARJORAMHALL_REQUEST_ADMISSION_QUEUE_H_

#include <array>
#include <cstddef>
#include <deque>

#include "src/base/time.h"
#include "src/config/deployment.h"
#include "src/request/request_events.h"

namespace marjoramhall::request {

// First come, first served within a class.
class AdmissionQueue {
 public:
  explicit AdmissionQueue(size_t limit) : limit_(limit) {}

  bool IsFull(config::Priority priority) const {
    return QueueFor(priority).size() >= limit_;
  }
  // A retried request goes to the front, even when the queue is full.
  void Push(config::Priority priority, RequestId id, bool front);
  RequestId Front(config::Priority priority) const {
    return QueueFor(priority).front();
  }
  void PopFront(config::Priority priority) { QueueFor(priority).pop_front(); }
  // Cost: linear in the class.
  void Remove(config::Priority priority, RequestId id);

  size_t Size(config::Priority priority) const {
    return QueueFor(priority).size();
  }
  bool Empty() const { return queues_[0].empty() && queues_[1].empty(); }

 private:
  std::deque<RequestId>& QueueFor(config::Priority priority) {
    return queues_[static_cast<size_t>(priority)];
  }
  const std::deque<RequestId>& QueueFor(config::Priority priority) const {
    return queues_[static_cast<size_t>(priority)];
  }

  size_t limit_;
  std::array<std::deque<RequestId>, 2> queues_;
};

// What is known when a request arrives.
struct AdmissionEstimate {
  size_t requests_ahead = 0;      // requests of the class that wait
  double free_slots = 0;          // slots that the class could take now
  double usable_slots = 0;        // slots that the class can use in all
  Duration mean_service_time{0};  // time a request of the class holds a slot
  Duration needed_time{0};        // time this kind needs, with margin
  Duration time_left{0};          // until the deadline
};

// Time until a slot is expected for the request.
Duration ExpectedWait(const AdmissionEstimate& estimate);
bool CanMeetDeadline(const AdmissionEstimate& estimate);

}  // namespace marjoramhall::request

#endif  // MARJORAMHALL_REQUEST_ADMISSION_QUEUE_H_
