// Case: an entry of another writer, and the open flows of a server.
#ifndef REVIEW_STANDINS_2_FLOW_CASE_H_
#define REVIEW_STANDINS_2_FLOW_CASE_H_

#include <string>

namespace review {

// See RunMemoryCase().
int RunFlowCase(const std::string& repository,
                const std::string& folder,
                const std::string& temporary,
                bool trouble);

}  // namespace review

#endif  // REVIEW_STANDINS_2_FLOW_CASE_H_
