// Guards against findings of the soak that carry no reason, or that of another
// flow: CI would pass over the wrong fault.
#include "lab/soak_vms.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <map>
#include <string>

namespace marjoramhall::lab {
namespace {

TEST(SoakVmsTest, FindsTheReasonsOfRefusalsInALog) {
  const std::filesystem::path folder =
      std::filesystem::path(testing::TempDir()) / "soak_vms_test";
  std::filesystem::create_directories(folder);
  SoakVm vm;
  vm.name = "vm-1";
  std::ofstream(folder / "vm-1.log")
      << R"({"kind":"route-flow","reason":"unanswered",)"
      << R"("detail":"127.0.4.1:7 to 198.18.0.1:401, view confirmed"})" << '\n'
      << R"({"kind":"refuse-request","reason":"overload",)"
      << R"("detail":"127.0.4.1:8 to 198.18.0.1:401, view confirmed 9 ms ago"})"
      << '\n'
      << R"({"kind":"refuse-request","reason":"evacuated",)"
      << R"("detail":"127.0.4.1:9 to 198.18.0.1:400"})"
      << "\nno JSON\n";
  const std::map<std::string, std::string> expected = {
      {"127.0.4.1:8 to 198.18.0.1:401", "overload"},
      {"127.0.4.1:9 to 198.18.0.1:400", "evacuated"}};
  EXPECT_EQ(SoakVms("", folder).RefusalReasons(vm), expected);
  std::filesystem::remove_all(folder);
}

}  // namespace
}  // namespace marjoramhall::lab
