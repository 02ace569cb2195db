// Experiment that compares request policies in virtual time: at a load peak,
// and with short requests beside long ones that saturate the targets.
#ifndef MARJORAMHALL_LAB_REQUEST_EXPERIMENT_H_
#define MARJORAMHALL_LAB_REQUEST_EXPERIMENT_H_

#include <span>
#include <string>

namespace marjoramhall::lab {

// Arguments: --seeds N, --only crest|line, --csv PATH. Prints a table and one
// JSON line, and writes the rows to PATH as CSV. Returns 0, 1 if PATH cannot be
// written, or 2 for invalid arguments.
int RunRequestExperiment(std::span<const std::string> args);

}  // namespace marjoramhall::lab

#endif  // MARJORAMHALL_LAB_REQUEST_EXPERIMENT_H_
