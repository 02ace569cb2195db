// Faults of the network and the store in ControlSim.
#ifndef MARJORAMHALL_LAB_CONTROL_SIM_FAULTS_H_
#define MARJORAMHALL_LAB_CONTROL_SIM_FAULTS_H_

#include "src/base/time.h"

namespace marjoramhall::lab {

// Probabilities are in [0, 1].
struct SimFaults {
  // Probabilities that a message is lost, and that it arrives twice.
  double loss_probability = 0;
  double duplicate_probability = 0;
  // Upper bound of the random extra delay of a message.
  Duration max_extra_delay{0};
  bool store_down = false;
  // Probabilities that a store call is refused, and that a write or lease takes
  // effect but loses its answer.
  double store_refuse_probability = 0;
  double store_lose_answer_probability = 0;
  Duration store_delay{0};
  // Watches get no answer.
  bool drop_watches = false;
};

}  // namespace marjoramhall::lab

#endif  // MARJORAMHALL_LAB_CONTROL_SIM_FAULTS_H_
