// Decides when a stopping VM may exit. It waits until the fabric sends no more
// packets, because packets to an exited process are lost.
#ifndef MARJORAMHALL_APP_STOP_CONDITION_H_
#define MARJORAMHALL_APP_STOP_CONDITION_H_

#include <cstdint>

#include "src/base/time.h"

namespace marjoramhall::app {

struct StopOptions {
  // Failed readiness checks after which the fabric stops sending packets.
  uint64_t failed_checks = 2;
  // Time without packets after which no more of them are in transit.
  Duration quiet_time = std::chrono::milliseconds(100);
  // Exit after this even if the fabric still sends packets, as it does when
  // there are too few other VMs. The platform kills a stopping process after
  // 6 s.
  Duration max_wait = std::chrono::milliseconds(4000);
};

class StopCondition {
 public:
  // `packets` is the number of packets that this VM has received so far, here
  // and in MayExit().
  StopCondition(StopOptions options, uint64_t packets, TimePoint now)
      : options_(options),
        started_at_(now),
        packets_(packets),
        last_packet_at_(now) {}

  // Called for each readiness check that was answered with "not ready".
  void OnFailedCheck() { ++failed_checks_; }

  bool MayExit(uint64_t packets, TimePoint now) {
    if (packets != packets_) {
      packets_ = packets;
      last_packet_at_ = now;
    }
    return now - started_at_ >= options_.max_wait ||
           (failed_checks_ >= options_.failed_checks &&
            now - last_packet_at_ >= options_.quiet_time);
  }

 private:
  const StopOptions options_;
  const TimePoint started_at_;
  uint64_t packets_;
  TimePoint last_packet_at_;  // last observed change of packets_
  uint64_t failed_checks_ = 0;
};

}  // namespace marjoramhall::app

#endif  // MARJORAMHALL_APP_STOP_CONDITION_H_
