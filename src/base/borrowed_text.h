// A string view that rejects temporary strings at compile time.
#ifndef MARJORAMHALL_BASE_BORROWED_TEXT_H_
#define MARJORAMHALL_BASE_BORROWED_TEXT_H_

#include <string>
#include <string_view>

namespace marjoramhall {

// A std::string_view that cannot be constructed from a temporary std::string.
// Meant for fields that are read after the statement that sets them; a view of
// a temporary would dangle there. The owner of the text must outlive the view.
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
