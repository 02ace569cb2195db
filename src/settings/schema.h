// The table of all settings: section, key, description and value parser.
#ifndef MARJORAMHALL_SETTINGS_SCHEMA_H_
#define MARJORAMHALL_SETTINGS_SCHEMA_H_

#include <functional>
#include <span>
#include <string>

#include "src/settings/load.h"
#include "src/settings/settings.h"

namespace marjoramhall::settings {

struct SettingContext {
  std::filesystem::path directory;  // of the settings file
  const ReadFile& read;
};

// Parses a value and stores it in the settings. Returns an empty string on
// success, or a description of the expected form.
using ValueParser = std::function<
    std::string(const std::string& value, const SettingContext&, Settings*)>;

struct SettingEntry {
  const char* section;
  const char* key;
  const char* default_text;  // the default value, "required", or a phrase
  const char* description;
  ValueParser parse;
};

// All settings, grouped by section.
std::span<const SettingEntry> Schema();

// Returns null for an unknown key.
const SettingEntry* FindSetting(const std::string& section,
                                const std::string& key);
bool IsSection(const std::string& section);
bool IsRequired(const SettingEntry& entry);

}  // namespace marjoramhall::settings

#endif  // MARJORAMHALL_SETTINGS_SCHEMA_H_
