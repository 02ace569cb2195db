// Results of a load run: counts and latencies per kind of request and in total.
#ifndef MARJORAMHALL_LAB_HTTP_LOAD_REPORT_H_
#define MARJORAMHALL_LAB_HTTP_LOAD_REPORT_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "src/base/time.h"

namespace marjoramhall::lab {

struct KindReport {
  std::string name;
  uint64_t requests = 0;
  // First submissions and resubmissions.
  uint64_t submissions = 0;
  uint64_t answered = 0;
  // Answered, but after the deadline.
  uint64_t late = 0;
  // Requests whose last submission was refused, and those whose last submission
  // ended without a response from a VM.
  uint64_t refused = 0;
  uint64_t lost = 0;
  // Answered by a target of another service.
  uint64_t misrouted = 0;
  // Answered with the id or the body of another request.
  uint64_t crossed = 0;
  // Answered with a body of the wrong length.
  uint64_t truncated = 0;
  // Counts of submissions without an answer. Refused ones are counted by
  // "reason verdict", others by "timeout", "connection-loss", "answer-cut",
  // "not-sent" or "status N".
  std::map<std::string, uint64_t> end_counts;
  // Latencies in microseconds of the answered and of the refused submissions.
  std::vector<uint32_t> answer_us;
  std::vector<uint32_t> refusal_us;
};

// What the targets report as executed.
struct ExecutionReport {
  // False if no target was given to query.
  bool queried = false;
  // True if all targets replied and none overflowed its counts.
  bool complete = true;
  uint64_t executed = 0;
  // Idempotency keys, ids of writes and ids of reads that ran more than once.
  uint64_t doubled_keys = 0;
  uint64_t doubled_ids = 0;
  uint64_t repeated_reads = 0;
  // Submissions that were reported as not run, and how many of them ran.
  uint64_t not_run = 0;
  uint64_t false_not_run = 0;
};

struct LoadReport {
  std::vector<KindReport> kinds;
  ExecutionReport executions;
  Duration run_time{0};

  // True if an answer was wrong, a write ran twice, or a submission ran that
  // was reported as not run.
  bool Failed() const;
  std::string ToJson() const;
  std::string ToTable() const;
};

// Returns the `q` quantile (nearest rank), or 0 if there are no values. Sorts
// `values`.
uint32_t Quantile(std::vector<uint32_t>& values, double q);

}  // namespace marjoramhall::lab

#endif  // MARJORAMHALL_LAB_HTTP_LOAD_REPORT_H_
