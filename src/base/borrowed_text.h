// A view of text that somebody else owns, for fields that outlive the statement
// that sets them.
#ifndef MARJORAMHALL_BASE_BORROWED_TEXT_H_
#define MARJORAMHALL_BASE_BORROWED_TEXT_H_

#include <string>
#include <string_view>

namespace marjoramhall {

// A std::string_view that a temporary string does not convert to: the view
// would dangle at the end of the statement.
class BorrowedText : public std::string_view {
 public:
  constexpr BorrowedText() = default;
  constexpr BorrowedText(const char* text) : std::string_view(text) {}
  constexpr BorrowedText(std::string_view text) : std::string_view(text) {}
  constexpr BorrowedText(const std::string& text) : std::string_view(text) {}
  BorrowedText(std::string&& text) = delete;
};

}  // namespace marjoramhall

#endif  // MARJORAMHALL_BASE_BORROWED_TEXT_H_
