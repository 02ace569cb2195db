// Text for operators from the JSON answers of the intent API.
#ifndef MARJORAMHALL_APP_PLAN_TEXT_H_
#define MARJORAMHALL_APP_PLAN_TEXT_H_

#include <string>
#include <string_view>

namespace marjoramhall::app {

// Each returns the answer itself when it is not of the expected form.
std::string PlanText(std::string_view answer);
std::string ConfirmationText(std::string_view answer);
std::string StatusText(std::string_view answer);
std::string HistoryText(std::string_view answer);

// "2026-12-04 06:12:00 UTC" of a Unix time in seconds.
std::string UtcText(int64_t unix_time);

}  // namespace marjoramhall::app

#endif  // MARJORAMHALL_APP_PLAN_TEXT_H_
