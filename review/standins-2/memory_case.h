// Case: a configuration that changes often, and the memory of the VMs.
#ifndef REVIEW_STANDINS_2_MEMORY_CASE_H_
#define REVIEW_STANDINS_2_MEMORY_CASE_H_

#include <string>

namespace review {

// `folder` gets the record, `temporary` settings and logs. Returns the exit
// code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
int RunMemoryCase(const std::string& repository,
                  const std::string& folder,
                  const std::string& temporary,
                  bool trouble);

}  // namespace review

#endif  // REVIEW_STANDINS_2_MEMORY_CASE_H_
