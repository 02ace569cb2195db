// What a load run saw, as counts a kind of request and in total.
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
  // Requests and resubmissions.
  uint64_t submissions = 0;
  uint64_t answered = 0;
  // Answered after the deadline of the request.
  uint64_t late = 0;
  // Ended by a refusal, and without any end that a VM stated.
  uint64_t refused = 0;
  uint64_t lost = 0;
  uint64_t misrouted = 0;
  uint64_t crossed = 0;
  uint64_t truncated = 0;
  // Refused submissions by "reason verdict"; submissions that ended otherwise
  // by "timeout", "connection-loss", "not-sent" or "status N".
  std::map<std::string, uint64_t> ends;
  // Time of each answered submission and of each refused one, microseconds.
  std::vector<uint32_t> answer_us;
  std::vector<uint32_t> refusal_us;
};

// What the targets say they executed.
struct ExecutionReport {
  bool asked = false;
  bool complete = true;
  uint64_t executed = 0;
  uint64_t doubled_keys = 0;
  uint64_t doubled_ids = 0;
  uint64_t repeated_reads = 0;
  // Submissions refused as not run, and those of them that ran.
  uint64_t not_run = 0;
  uint64_t false_not_run = 0;
};

struct LoadReport {
  std::vector<KindReport> kinds;
  ExecutionReport executions;
  Duration run_time{0};

  // True when some answer was wrong, something ran twice, or a "not run" was
  // not true.
  bool Failed() const;
  std::string ToJson() const;
  std::string ToTable() const;
};

// The value below which the share `q` of the values lies; 0 for none. Sorts.
uint32_t Quantile(std::vector<uint32_t>& values, double q);

}  // namespace marjoramhall::lab

#endif  // MARJORAMHALL_LAB_HTTP_LOAD_REPORT_H_
