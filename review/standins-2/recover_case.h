// Case: entries of another writer, and the restart of all VMs.
#ifndef REVIEW_STANDINS_2_RECOVER_CASE_H_
#define REVIEW_STANDINS_2_RECOVER_CASE_H_

#include <string>

namespace review {

// See RunMemoryCase().
int RunRecoverCase(const std::string& repository,
                   const std::string& folder,
                   const std::string& temporary,
                   bool trouble);

}  // namespace review

#endif  // REVIEW_STANDINS_2_RECOVER_CASE_H_
