// Guards against log lines that are read from freed memory. A decision holds
// string views, so its fields must not accept a temporary string.
#include "src/base/decision.h"

#include <gtest/gtest.h>

#include <string>
#include <type_traits>

namespace marjoramhall {
namespace {

using Text = decltype(Decision::detail);

TEST(DecisionTest, RejectsTemporaryStrings) {
  EXPECT_FALSE((std::is_assignable_v<Text&, std::string>));
  EXPECT_FALSE((std::is_constructible_v<Text, std::string>));
  EXPECT_FALSE(
      (std::is_assignable_v<decltype(Decision::reason)&, std::string>));
}

TEST(DecisionTest, AcceptsLiteralsViewsAndOwnedStrings) {
  const std::string owned = "9 routes";
  Decision decision;
  decision.detail = owned;
  decision.reason = "literal";
  decision.outcome = std::string_view(owned).substr(2);
  EXPECT_EQ(decision.detail, "9 routes");
  EXPECT_EQ(decision.reason, "literal");
  EXPECT_EQ(decision.outcome, "routes");
}

}  // namespace
}  // namespace marjoramhall
