// Reads a settings file and reports every fault of it in one run.
#ifndef MARJORAMHALL_SETTINGS_LOAD_H_
#define MARJORAMHALL_SETTINGS_LOAD_H_

#include <filesystem>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "src/settings/settings.h"

namespace marjoramhall::settings {

struct SettingsError {
  std::string file;
  int line = 0;  // 0: the whole file, as for a missing key
  std::string section;
  std::string key;
  std::string expected;

  // "site.ini:12: [flow] idle_timeout: expected ...". Contains no value of a
  // secret file.
  std::string Text() const;
};

struct LoadResult {
  // Usable only when there is no error.
  Settings settings;
  std::vector<SettingsError> errors;  // in the order of lines
};

// Returns the content of a file, or nothing when it cannot be read.
using ReadFile =
    std::function<std::optional<std::string>(const std::filesystem::path&)>;

// Reads a file from disk. At most 1 MB.
std::optional<std::string> ReadFileFromDisk(const std::filesystem::path& path);

// Loads a settings file and the secret files that it names. Relative paths in
// it are relative to its folder.
LoadResult Load(const std::filesystem::path& file,
                const ReadFile& read = ReadFileFromDisk);

// Names of all settings with defaults, one "[section] key" a line, for help
// and documentation.
std::string DescribeSettings();

}  // namespace marjoramhall::settings

#endif  // MARJORAMHALL_SETTINGS_LOAD_H_
