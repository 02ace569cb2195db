// Runs one case: standins CASE FOLDER TEMPORARY_FOLDER, in the repository.
#include <cstdio>
#include <cstdlib>
#include <string>
#include <string_view>

#include "flow_case.h"
#include "memory_case.h"
#include "recover_case.h"
#include "rotation_case.h"
#include "support.h"

int main(int argc, char** argv) {
  constexpr int kCannotRun = 2;
  if (argc != 4) {
    std::fprintf(stderr, "usage: standins CASE FOLDER TEMPORARY_FOLDER\n");
    return kCannotRun;
  }
  review::HandleStopSignals();
  const std::string_view name = argv[1];
  const std::string folder = argv[2];
  const std::string temporary = argv[3];
  const char* trouble = std::getenv("TROUBLE");
  const bool has_trouble =
      trouble == nullptr || std::string_view(trouble) != "0";
  if (name == "memory") {
    return review::RunMemoryCase(".", folder, temporary, has_trouble);
  }
  if (name == "flow") {
    return review::RunFlowCase(".", folder, temporary, has_trouble);
  }
  if (name == "recover") {
    return review::RunRecoverCase(".", folder, temporary, has_trouble);
  }
  if (name == "rotation") {
    return review::RunRotationCase(".", folder, temporary, has_trouble);
  }
  std::fprintf(stderr, "unknown case\n");
  return kCannotRun;
}
