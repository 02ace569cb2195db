// Parsing and formatting of numbers with units.
#include "src/base/units.h"

#include <charconv>
#include <span>

namespace marjoramhall {
namespace {

struct Unit {
  std::string_view name;
  uint64_t factor;
};

constexpr Unit kDurationUnits[] = {{"h", 3'600'000'000},
                                   {"min", 60'000'000},
                                   {"s", 1'000'000},
                                   {"ms", 1'000},
                                   {"us", 1}};
constexpr Unit kSizeUnits[] = {{"GB", uint64_t{1} << 30},
                               {"MB", uint64_t{1} << 20},
                               {"KB", uint64_t{1} << 10},
                               {"B", 1}};
constexpr uint64_t kMaxValue = uint64_t{1} << 62;

std::optional<uint64_t> ParseWithUnit(std::string_view text,
                                      std::span<const Unit> units) {
  uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto [it, ec] = std::from_chars(text.data(), end, number);
  if (ec != std::errc{}) {
    return std::nullopt;
  }
  const std::string_view name(it, static_cast<size_t>(end - it));
  for (const Unit& unit : units) {
    if (unit.name == name) {
      if (number > kMaxValue / unit.factor) {
        return std::nullopt;
      }
      return number * unit.factor;
    }
  }
  return std::nullopt;
}

}  // namespace

std::optional<Duration> ParseDuration(std::string_view text) {
  const auto value = ParseWithUnit(text, kDurationUnits);
  if (!value) {
    return std::nullopt;
  }
  return Duration(static_cast<int64_t>(*value));
}

std::string FormatDuration(Duration value) {
  if (value.count() <= 0) {
    return "0s";
  }
  const auto count = static_cast<uint64_t>(value.count());
  for (const Unit& unit : kDurationUnits) {
    if (count % unit.factor == 0) {
      return std::to_string(count / unit.factor) + std::string(unit.name);
    }
  }
  return "0s";
}

std::optional<uint64_t> ParseSize(std::string_view text) {
  return ParseWithUnit(text, kSizeUnits);
}

std::optional<uint64_t> ParseBitRate(std::string_view text) {
  constexpr std::string_view kUnit = "Mbps";
  constexpr double kBitsPerMegabit = 1e6;
  double number = 0;
  const char* end = text.data() + text.size();
  const auto [it, ec] =
      std::from_chars(text.data(), end, number, std::chars_format::fixed);
  if (ec != std::errc{} ||
      std::string_view(it, static_cast<size_t>(end - it)) != kUnit) {
    return std::nullopt;
  }
  const double bits = number * kBitsPerMegabit;
  if (!(bits >= 1) || bits > static_cast<double>(kMaxValue)) {
    return std::nullopt;
  }
  return static_cast<uint64_t>(bits);
}

}  // namespace marjoramhall
