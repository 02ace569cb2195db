// Log levels and the selection of logged decisions. Shared by the settings and
// the log.
#ifndef MARJORAMHALL_BASE_LOG_LEVEL_H_
#define MARJORAMHALL_BASE_LOG_LEVEL_H_

#include <span>

#include "src/base/enum_names.h"

namespace marjoramhall {

enum class LogLevel { kDebug, kInfo, kWarning, kError };
inline constexpr EnumName<LogLevel> kLogLevelNames[] = {
    {LogLevel::kDebug, "debug"},
    {LogLevel::kInfo, "info"},
    {LogLevel::kWarning, "warning"},
    {LogLevel::kError, "error"},
};
constexpr std::span<const EnumName<LogLevel>> NamesOf(LogLevel) {
  return kLogLevelNames;
}

// Selects the decisions that are logged.
enum class DecisionLogging {
  kNone,
  // All except the routing and the end of individual flows and requests.
  kRare,
  kAll,
};
inline constexpr EnumName<DecisionLogging> kDecisionLoggingNames[] = {
    {DecisionLogging::kNone, "none"},
    {DecisionLogging::kRare, "rare"},
    {DecisionLogging::kAll, "all"},
};
constexpr std::span<const EnumName<DecisionLogging>> NamesOf(DecisionLogging) {
  return kDecisionLoggingNames;
}

}  // namespace marjoramhall

#endif  // MARJORAMHALL_BASE_LOG_LEVEL_H_
