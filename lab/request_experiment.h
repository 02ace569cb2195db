// Experiment on request policies in virtual time: service at the crest of a
// demand swing, and short work beside saturating long work.
#ifndef MARJORAMHALL_LAB_REQUEST_EXPERIMENT_H_
#define MARJORAMHALL_LAB_REQUEST_EXPERIMENT_H_

#include <span>
#include <string>

namespace marjoramhall::lab {

// Prints a table, CSV when asked for, and one JSON line. Returns 0, or 2 for
// wrong arguments.
int RunRequestExperiment(std::span<const std::string> args);

}  // namespace marjoramhall::lab

#endif  // MARJORAMHALL_LAB_REQUEST_EXPERIMENT_H_
