// Text format of durations and sizes in settings and commands: a number with a
// unit.
#ifndef MARJORAMHALL_BASE_UNITS_H_
#define MARJORAMHALL_BASE_UNITS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "src/base/time.h"

namespace marjoramhall {

// Parses a whole number with one of the units us, ms, s, min or h, such as
// "250ms". Returns std::nullopt for a missing or unknown unit, a sign, a
// fraction, or a value above 2^62 microseconds.
std::optional<Duration> ParseDuration(std::string_view text);

// Formats a duration with the largest unit that divides it exactly, so that
// ParseDuration() returns the same value. Negative values become "0s".
std::string FormatDuration(Duration value);

// Parses a whole number of bytes with one of the units B, KB, MB or GB (powers
// of 1024), such as "64MB". Returns std::nullopt for a missing or unknown unit
// or a value above 2^62 bytes.
std::optional<uint64_t> ParseSize(std::string_view text);

// Parses a decimal number of megabits per second, such as "2.5Mbps", and
// returns bits per second. Returns std::nullopt for a missing or unknown unit,
// an exponent, or a value that is not from 1 bit to 2^62 bits per second.
std::optional<uint64_t> ParseBitRate(std::string_view text);

}  // namespace marjoramhall

#endif  // MARJORAMHALL_BASE_UNITS_H_
