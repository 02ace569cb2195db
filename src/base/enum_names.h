// Conversion between enum values and their names. An enum E opts in by defining
// next to it:
//   constexpr EnumName<E> kENames[] = {{E::kValue, "value"}, ...};
//   constexpr std::span<const EnumName<E>> NamesOf(E) { return kENames; }
#ifndef MARJORAMHALL_BASE_ENUM_NAMES_H_
#define MARJORAMHALL_BASE_ENUM_NAMES_H_

#include <optional>
#include <span>
#include <string_view>

namespace marjoramhall {

template <typename E>
struct EnumName {
  E value;
  std::string_view name;
};

// Returns the name of a value, or "unknown" if the table does not list it.
// Cost: linear in the size of the table.
template <typename E>
constexpr std::string_view NameOf(E value) {
  for (const auto& it : NamesOf(E{})) {
    if (it.value == value) {
      return it.name;
    }
  }
  return "unknown";
}

// Returns the value with exactly this name, or std::nullopt. Cost: linear in
// the size of the table.
template <typename E>
constexpr std::optional<E> ParseEnum(std::string_view name) {
  for (const auto& it : NamesOf(E{})) {
    if (it.name == name) {
      return it.value;
    }
  }
  return std::nullopt;
}

}  // namespace marjoramhall

#endif  // MARJORAMHALL_BASE_ENUM_NAMES_H_
