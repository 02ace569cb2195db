// Feeds inih one line at a time and counts the lines. inih reports the number
// of the first malformed line only, and no line numbers for values.
#include "src/settings/ini_lines.h"

#include <ini.h>

#include <cstring>

namespace marjoramhall::settings {
namespace {

constexpr char kWhitespace[] = " \t\r";

struct IniReader {
  std::string_view rest;
  std::vector<IniLine> lines;
  int line_number = 0;
  std::string section;
  // The current line must be KEY = VALUE; it is malformed unless inih reports
  // a value for it.
  bool value_expected = false;

  void EndLine() {
    if (value_expected) {
      lines.push_back({IniLineKind::kMalformed, line_number, section, "", ""});
    }
    value_expected = false;
  }

  // Records headers and faulty lines. Returns the text to pass to inih, which
  // is empty for a line that inih must not see.
  std::string_view Classify(std::string_view line, size_t capacity) {
    const size_t start = line.find_first_not_of(kWhitespace);
    if (start == std::string_view::npos) {
      return "";
    }
    line.remove_prefix(start);
    if (line[0] == ';' || line[0] == '#') {
      return "";
    }
    // inih reads C strings, so it would ignore everything after a NUL.
    if (line.find('\0') != std::string_view::npos) {
      value_expected = true;
      return "";
    }
    if (line.size() + 2 > capacity) {
      lines.push_back({IniLineKind::kTooLong, line_number, section, "", ""});
      return "";
    }
    if (line[0] != '[') {
      value_expected = true;
      return line;
    }
    const size_t end = line.find(']');
    if (end == std::string_view::npos) {
      value_expected = true;
      return "";
    }
    section = line.substr(1, end - 1);
    lines.push_back({IniLineKind::kSection, line_number, section, "", ""});
    return line;
  }
};

char* ReadNextLine(char* buf, int capacity, void* user) {
  auto* reader = static_cast<IniReader*>(user);
  reader->EndLine();
  if (reader->rest.empty() || capacity < 2) {
    return nullptr;
  }
  ++reader->line_number;
  const size_t end = reader->rest.find('\n');
  const std::string_view line = reader->rest.substr(0, end);
  reader->rest.remove_prefix(end == std::string_view::npos ? reader->rest.size()
                                                           : end + 1);
  const std::string_view text =
      reader->Classify(line, static_cast<size_t>(capacity));
  std::memcpy(buf, text.data(), text.size());
  buf[text.size()] = '\n';
  buf[text.size() + 1] = '\0';
  return buf;
}

int OnKeyValue(void* user, const char*, const char* name, const char* value) {
  auto* reader = static_cast<IniReader*>(user);
  reader->value_expected = false;
  reader->lines.push_back(
      {IniLineKind::kValue, reader->line_number, reader->section, name, value});
  return 1;
}

}  // namespace

std::vector<IniLine> ParseIniLines(std::string_view text) {
  IniReader reader;
  reader.rest = text;
  ini_parse_stream(ReadNextLine, &reader, OnKeyValue, &reader);
  reader.EndLine();
  return std::move(reader.lines);
}

}  // namespace marjoramhall::settings
