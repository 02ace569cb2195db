// The fault soak of `marjoramhall forward`.
#ifndef MARJORAMHALL_LAB_FORWARD_SOAK_H_
#define MARJORAMHALL_LAB_FORWARD_SOAK_H_

#include <span>
#include <string>

namespace marjoramhall::lab {

// forward-soak BINARY FOLDER SECONDS [SEED]. Without a seed a fresh one is
// taken and printed.
int RunForwardSoak(std::span<const std::string> args);

}  // namespace marjoramhall::lab

#endif  // MARJORAMHALL_LAB_FORWARD_SOAK_H_
