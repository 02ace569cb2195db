// INI text as a list of lines with meaning, on top of inih.
#ifndef MARJORAMHALL_SETTINGS_INI_LINES_H_
#define MARJORAMHALL_SETTINGS_INI_LINES_H_

#include <string>
#include <string_view>
#include <vector>

namespace marjoramhall::settings {

enum class IniLineKind {
  kSection,
  kValue,
  kMalformed,  // neither a section nor KEY = VALUE
  kTooLong,    // longer than inih reads
};

struct IniLine {
  IniLineKind kind = IniLineKind::kMalformed;
  int number = 0;  // from 1
  std::string section;
  std::string key;
  std::string value;
};

// Splits INI text. Comments start with ';' or '#'; indentation has no meaning,
// so a value cannot continue on the next line.
std::vector<IniLine> SplitIni(std::string_view text);

}  // namespace marjoramhall::settings

#endif  // MARJORAMHALL_SETTINGS_INI_LINES_H_
