// Parses INI text into a list of lines with their numbers, using inih.
#ifndef MARJORAMHALL_SETTINGS_INI_LINES_H_
#define MARJORAMHALL_SETTINGS_INI_LINES_H_

#include <string>
#include <string_view>
#include <vector>

namespace marjoramhall::settings {

enum class IniLineKind {
  kSection,
  kValue,
  kMalformed,  // neither a section header nor KEY = VALUE
  kTooLong,    // longer than the line buffer of inih
};

struct IniLine {
  IniLineKind kind = IniLineKind::kMalformed;
  int number = 0;  // line number, starting at 1
  std::string section;
  std::string key;
  std::string value;
};

// Returns the section headers, values and faulty lines in the order of the
// text. Comment lines start with ';' or '#'. Indentation has no meaning, so a
// value cannot continue on the next line.
std::vector<IniLine> ParseIniLines(std::string_view text);

}  // namespace marjoramhall::settings

#endif  // MARJORAMHALL_SETTINGS_INI_LINES_H_
