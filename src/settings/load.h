// Reads a settings file and reports all of its errors in one run.
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
  int line = 0;  // 0 when no line applies, such as for a missing key
  std::string section;
  std::string key;
  std::string message;  // contains no content of a secret file

  // For example "site.ini:12: [flow] idle_timeout: expected a duration ...".
  std::string Text() const;
};

struct LoadResult {
  // Valid only when `errors` is empty.
  Settings settings;
  std::vector<SettingsError> errors;  // ordered by line
};

// Returns the content of a file, or nullopt when it cannot be read.
using ReadFile =
    std::function<std::optional<std::string>(const std::filesystem::path&)>;

// Reads a regular file of at most 1 MiB.
std::optional<std::string> ReadFileFromDisk(const std::filesystem::path& path);

// Loads a settings file and the secret files that it names. Relative paths are
// resolved against the directory of the settings file.
LoadResult Load(const std::filesystem::path& file,
                const ReadFile& read = ReadFileFromDisk);

// Lists all settings with their descriptions and defaults, one per line, for
// help and documentation.
std::string DescribeSettings();

}  // namespace marjoramhall::settings

#endif  // MARJORAMHALL_SETTINGS_LOAD_H_
