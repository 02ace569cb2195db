// The table of all settings: section, key, meaning and how a value is read.
#ifndef MARJORAMHALL_SETTINGS_SCHEMA_H_
#define MARJORAMHALL_SETTINGS_SCHEMA_H_

#include <functional>
#include <span>
#include <string>

#include "src/settings/load.h"
#include "src/settings/settings.h"

namespace marjoramhall::settings {

struct SettingContext {
  std::filesystem::path folder;  // of the settings file
  const ReadFile& read;
};

// Stores a value. Returns an empty string, or what was expected instead.
using StoreValue = std::function<
    std::string(const std::string& value, const SettingContext&, Settings*)>;

struct SettingEntry {
  const char* section;
  const char* key;
  const char* standard;  // default as text, "required" or "none"
  const char* meaning;
  StoreValue store;
};

// All settings, grouped by section.
std::span<const SettingEntry> Schema();

// The entry of a key, or null.
const SettingEntry* FindSetting(const std::string& section,
                                const std::string& key);
bool IsSection(const std::string& section);
bool IsRequired(const SettingEntry& entry);

}  // namespace marjoramhall::settings

#endif  // MARJORAMHALL_SETTINGS_SCHEMA_H_
