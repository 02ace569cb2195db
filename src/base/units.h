// Durations and sizes as operators write them, with a unit.
#ifndef MARJORAMHALL_BASE_UNITS_H_
#define MARJORAMHALL_BASE_UNITS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "src/base/time.h"

namespace marjoramhall {

// Parses a whole number with one of the units us, ms, s, min or h, such as
// "250ms". Returns nothing for a missing or unknown unit, a sign, a fraction or
// more than 2^62 microseconds.
std::optional<Duration> ParseDuration(std::string_view text);

// The shortest whole-number form that ParseDuration reads back. Negative values
// print as "0s".
std::string FormatDuration(Duration value);

// Parses a whole number of bytes with one of the units B, KB, MB or GB (powers
// of 1024), such as "64MB". Returns nothing for a missing or unknown unit.
std::optional<uint64_t> ParseSize(std::string_view text);

}  // namespace marjoramhall

#endif  // MARJORAMHALL_BASE_UNITS_H_
