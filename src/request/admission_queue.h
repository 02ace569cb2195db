// Queues of the waiting requests of one service at this VM, one per priority
// class, and the check whether a request can meet its deadline.
#ifndef MARJORAMHALL_REQUEST_ADMISSION_QUEUE_H_
#define MARJORAMHALL_REQUEST_ADMISSION_QUEUE_H_

#include <array>
#include <cstddef>
#include <deque>

#include "src/base/time.h"
#include "src/config/deployment.h"
#include "src/request/request_events.h"

namespace marjoramhall::request {

// First in, first out within a priority class. `limit` bounds the length of
// each class.
class AdmissionQueue {
 public:
  explicit AdmissionQueue(size_t limit) : limit_(limit) {}

  bool IsFull(config::Priority priority) const {
    return QueueFor(priority).size() >= limit_;
  }
  // With `front`, which is for retries, the request goes to the front. Does not
  // check the limit: see IsFull().
  void Push(config::Priority priority, RequestId id, bool front);
  RequestId Front(config::Priority priority) const {
    return QueueFor(priority).front();
  }
  void PopFront(config::Priority priority) { QueueFor(priority).pop_front(); }
  // Cost: linear in the length of the class.
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

// Inputs of the deadline check for a new request. "Class" is its priority
// class.
struct AdmissionEstimate {
  size_t requests_ahead = 0;      // waiting requests of the class
  double free_slots = 0;          // slots the class can take now
  double usable_slots = 0;        // slots the class can hold in total
  Duration mean_service_time{0};  // of the class
  Duration needed_time{0};        // a high quantile for this kind
  Duration time_left{0};          // until the deadline
};

// Expected time until the request gets a slot.
Duration ExpectedWait(const AdmissionEstimate& estimate);
bool CanMeetDeadline(const AdmissionEstimate& estimate);

}  // namespace marjoramhall::request

#endif  // MARJORAMHALL_REQUEST_ADMISSION_QUEUE_H_
