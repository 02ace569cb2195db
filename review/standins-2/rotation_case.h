// Case: VMs are stopped and started in turn behind routers that hash by `mod`.
#ifndef REVIEW_STANDINS_2_ROTATION_CASE_H_
#define REVIEW_STANDINS_2_ROTATION_CASE_H_

#include <string>

namespace review {

// See RunMemoryCase().
int RunRotationCase(const std::string& repository,
                    const std::string& folder,
                    const std::string& temporary,
                    bool trouble);

}  // namespace review

#endif  // REVIEW_STANDINS_2_ROTATION_CASE_H_
