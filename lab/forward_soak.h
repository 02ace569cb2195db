// The soak test of `marjoramhall forward` under random faults.
#ifndef MARJORAMHALL_LAB_FORWARD_SOAK_H_
#define MARJORAMHALL_LAB_FORWARD_SOAK_H_

#include <span>
#include <string>

namespace marjoramhall::lab {

// Arguments: BINARY FOLDER SECONDS [SEED]. Without a seed it picks a random
// one. Prints the seed and the result. Returns 0 if all guarantees held, 1
// otherwise, 2 for invalid arguments.
int RunForwardSoak(std::span<const std::string> args);

}  // namespace marjoramhall::lab

#endif  // MARJORAMHALL_LAB_FORWARD_SOAK_H_
