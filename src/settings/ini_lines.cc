// Feeds inih one line at a time. inih reports only the number of the first
// malformed line and none for values, so the lines are counted here.
#include "src/settings/ini_lines.h"

#include <ini.h>

#include <cstring>

namespace marjoramhall::settings {
namespace {

constexpr char kSpaces[] = " \t\r";

struct Splitter {
  std::string_view rest;
  std::vector<IniLine> lines;
  int number = 0;
  std::string section;
  // The last line that has to be a value; malformed unless inih reports it.
  bool value_expected = false;

  void EndLine() {
    if (value_expected) {
      lines.push_back({IniLineKind::kMalformed, number, section, "", ""});
    }
    value_expected = false;
  }

  // Notes what the line is and returns what inih should read of it.
  std::string_view Classify(std::string_view line, size_t capacity) {
    const size_t start = line.find_first_not_of(kSpaces);
    if (start == std::string_view::npos) {
      return "";
    }
    line.remove_prefix(start);
    if (line[0] == ';' || line[0] == '#') {
      return "";
    }
    // A NUL would hide the rest of the line from inih.
    if (line.find('\0') != std::string_view::npos) {
      value_expected = true;
      return "";
    }
    if (line.size() + 2 > capacity) {
      lines.push_back({IniLineKind::kTooLong, number, section, "", ""});
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
    lines.push_back({IniLineKind::kSection, number, section, "", ""});
    return line;
  }
};

char* NextLine(char* buf, int capacity, void* user) {
  auto* splitter = static_cast<Splitter*>(user);
  splitter->EndLine();
  if (splitter->rest.empty() || capacity < 2) {
    return nullptr;
  }
  ++splitter->number;
  const size_t end = splitter->rest.find('\n');
  const std::string_view line = splitter->rest.substr(0, end);
  splitter->rest.remove_prefix(
      end == std::string_view::npos ? splitter->rest.size() : end + 1);
  const std::string_view text =
      splitter->Classify(line, static_cast<size_t>(capacity));
  std::memcpy(buf, text.data(), text.size());
  buf[text.size()] = '\n';
  buf[text.size() + 1] = '\0';
  return buf;
}

int OnValue(void* user, const char*, const char* name, const char* value) {
  auto* splitter = static_cast<Splitter*>(user);
  splitter->value_expected = false;
  splitter->lines.push_back(
      {IniLineKind::kValue, splitter->number, splitter->section, name, value});
  return 1;
}

}  // namespace

std::vector<IniLine> SplitIni(std::string_view text) {
  Splitter splitter;
  splitter.rest = text;
  ini_parse_stream(NextLine, &splitter, OnValue, &splitter);
  splitter.EndLine();
  return std::move(splitter.lines);
}

}  // namespace marjoramhall::settings
