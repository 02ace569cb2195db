// The faults of the simulated network and store of ControlSim.
#ifndef MARJORAMHALL_LAB_CONTROL_SIM_FAULTS_H_
#define MARJORAMHALL_LAB_CONTROL_SIM_FAULTS_H_

#include "src/base/time.h"

namespace marjoramhall::lab {

// Probabilities are from 0 to 1.
struct SimFaults {
  double loss = 0;
  double repeat = 0;
  // Upper bound of an extra random delay of each message.
  Duration jitter{0};
  bool store_down = false;
  // Part of store calls that are refused, and of writes that take effect but
  // lose their answer.
  double store_refuse = 0;
  double store_lose_answer = 0;
  Duration store_delay{0};
  bool drop_watches = false;
};

}  // namespace marjoramhall::lab

#endif  // MARJORAMHALL_LAB_CONTROL_SIM_FAULTS_H_
