// Formats the JSON answers of the operator API as text.
#ifndef MARJORAMHALL_APP_PLAN_TEXT_H_
#define MARJORAMHALL_APP_PLAN_TEXT_H_

#include <string>
#include <string_view>

namespace marjoramhall::app {

// Each returns the answer unchanged, plus a newline, if it does not have the
// expected form.
std::string PlanText(std::string_view answer);
std::string ConfirmationText(std::string_view answer);
std::string StatusText(std::string_view answer);
std::string HistoryText(std::string_view answer);

// Formats a Unix time in seconds, such as "2026-12-04 06:12:00 UTC".
std::string UtcText(int64_t unix_time);

}  // namespace marjoramhall::app

#endif  // MARJORAMHALL_APP_PLAN_TEXT_H_
