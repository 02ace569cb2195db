// Decides when a VM that is stopping may end: once the fabric sends it no more
// packets, so that no packet reaches a process that is gone.
#ifndef MARJORAMHALL_APP_STOP_CONDITION_H_
#define MARJORAMHALL_APP_STOP_CONDITION_H_

#include <cstdint>

#include "src/base/time.h"

namespace marjoramhall::app {

struct StopOptions {
  // The fabric turns away after its readiness check was refused this often.
  uint64_t refusals = 2;
  // Packets on their way arrive within this time.
  Duration quiet = std::chrono::milliseconds(100);
  // A fabric that goes on sending (it has too few other VMs) is left after
  // this; the platform kills after 6 s.
  Duration longest = std::chrono::milliseconds(4000);
};

class StopCondition {
 public:
  // `packets`: received so far by this VM.
  StopCondition(StopOptions options, uint64_t packets, TimePoint now)
      : options_(options), began_(now), packets_(packets), changed_at_(now) {}

  // A readiness check was refused.
  void OnRefusal() { ++refusals_; }

  bool MayEnd(uint64_t packets, TimePoint now) {
    if (packets != packets_) {
      packets_ = packets;
      changed_at_ = now;
    }
    return now - began_ >= options_.longest ||
           (refusals_ >= options_.refusals &&
            now - changed_at_ >= options_.quiet);
  }

 private:
  const StopOptions options_;
  const TimePoint began_;
  uint64_t packets_;
  TimePoint changed_at_;  // when packets_ last grew
  uint64_t refusals_ = 0;
};

}  // namespace marjoramhall::app

#endif  // MARJORAMHALL_APP_STOP_CONDITION_H_
