// Parses every line first, then checks rules that involve several settings.
#include "src/settings/load.h"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <map>
#include <set>
#include <utility>

#include "src/settings/ini_lines.h"
#include "src/settings/schema.h"

namespace marjoramhall::settings {
namespace {

constexpr size_t kMaxFileBytes = size_t{1} << 20;

bool IsLoopback(const Endpoint& endpoint) {
  const IpAddress& address = endpoint.address;
  return address.IsV4() ? (address.ToV4() >> 24) == 127
                        : address == *IpAddress::Parse("::1");
}

bool IsUnspecified(const Endpoint& endpoint) {
  return endpoint.address == IpAddress{} ||
         (endpoint.address.IsV4() && endpoint.address.ToV4() == 0);
}

class Loader {
 public:
  Loader(std::filesystem::path file, const ReadFile& read)
      : file_(std::move(file)), read_(read) {}

  LoadResult Run() {
    const auto text = read_(file_);
    if (!text) {
      AddError(0, "", "", "cannot read the settings file");
      return std::move(result_);
    }
    for (const IniLine& line : ParseIniLines(*text)) {
      ReadLine(line);
    }
    CheckRequired();
    CheckListeners();
    CheckCredentials();
    std::stable_sort(result_.errors.begin(), result_.errors.end(),
                     [](const SettingsError& a, const SettingsError& b) {
                       return a.line < b.line;
                     });
    return std::move(result_);
  }

 private:
  using Key = std::pair<std::string, std::string>;

  void AddError(int line,
                const std::string& section,
                const std::string& key,
                const std::string& message) {
    result_.errors.push_back({file_.string(), line, section, key, message});
  }

  int LineOf(const std::string& section, const std::string& key) const {
    const auto it = line_numbers_.find({section, key});
    return it == line_numbers_.end() ? 0 : it->second;
  }

  void ReadLine(const IniLine& line) {
    switch (line.kind) {
      case IniLineKind::kMalformed:
        AddError(line.number, line.section, "",
                 "expected [section] or key = value");
        return;
      case IniLineKind::kTooLong:
        AddError(line.number, line.section, "",
                 "line is longer than 198 bytes");
        return;
      case IniLineKind::kSection:
        if (!IsSection(line.section)) {
          AddError(line.number, line.section, "", "unknown section");
        }
        return;
      case IniLineKind::kValue:
        ReadValue(line);
        return;
    }
  }

  void ReadValue(const IniLine& line) {
    if (line.section.empty()) {
      AddError(line.number, "", line.key, "key is not in a section");
      return;
    }
    if (!IsSection(line.section)) {
      return;  // reported at the section header
    }
    const SettingEntry* entry = FindSetting(line.section, line.key);
    if (entry == nullptr) {
      AddError(line.number, line.section, line.key, "unknown key");
      return;
    }
    const auto [first, is_new] =
        line_numbers_.insert({Key(line.section, line.key), line.number});
    if (!is_new) {
      AddError(
          line.number, line.section, line.key,
          "duplicate key, first set on line " + std::to_string(first->second));
      return;
    }
    const SettingContext context{file_.parent_path(), read_};
    const std::string expected =
        entry->parse(line.value, context, &result_.settings);
    if (!expected.empty()) {
      AddError(line.number, line.section, line.key, "expected " + expected);
    }
  }

  void CheckRequired() {
    for (const SettingEntry& it : Schema()) {
      if (IsRequired(it) && LineOf(it.section, it.key) == 0) {
        AddError(0, it.section, it.key, "required key is missing");
      }
    }
  }

  struct Listener {
    const char* section;
    const char* key;
    Endpoint endpoint;
    bool is_udp;
  };

  std::vector<Listener> Listeners() const {
    const Settings& s = result_.settings;
    return {{"flow", "listen", s.flow.listen, true},
            {"flow", "hop_listen", s.flow.hop_listen, true},
            {"request", "listen", s.request.listen, false},
            {"forward", "listen", s.forward.listen, true},
            {"forward", "announce", s.forward.announce, true},
            {"forward", "status", s.forward.status, false},
            {"forward", "peers", s.forward.peers, false},
            {"control", "listen", s.control.listen, false},
            {"operators", "listen", s.operators.listen, false}};
  }

  void CheckListeners() {
    const std::vector<Listener> listeners = Listeners();
    for (size_t i = 0; i < listeners.size(); ++i) {
      for (size_t k = 0; k < i; ++k) {
        const Listener& a = listeners[k];
        const Listener& b = listeners[i];
        const bool overlap = a.endpoint.address == b.endpoint.address ||
                             IsUnspecified(a.endpoint) ||
                             IsUnspecified(b.endpoint);
        if (a.is_udp == b.is_udp && a.endpoint.port == b.endpoint.port &&
            b.endpoint.port != 0 && overlap) {
          AddError(std::max(LineOf(a.section, a.key), LineOf(b.section, b.key)),
                   b.section, b.key,
                   "conflicts with [" + std::string(a.section) + "] " + a.key +
                       ", which uses " + a.endpoint.ToString());
        }
      }
    }
  }

  // Keys, tokens and certificates are optional only on loopback addresses.
  void CheckCredentials() {
    const Settings& s = result_.settings;
    const bool peers_on_loopback =
        IsLoopback(s.control.listen) && IsLoopback(s.flow.hop_listen);
    if (!peers_on_loopback && LineOf("control", "key_file") == 0) {
      AddError(
          0, "control", "key_file",
          "required because [control] listen or [flow] hop_listen is not a "
          "loopback address");
    }
    const bool operators_on_loopback = IsLoopback(s.operators.listen);
    for (const char* key : {"token_file", "tls_certificate", "tls_key"}) {
      if (!operators_on_loopback && LineOf("operators", key) == 0) {
        AddError(
            0, "operators", key,
            "required because [operators] listen is not a loopback address");
      }
    }
    const int certificate_line = LineOf("operators", "tls_certificate");
    const int key_line = LineOf("operators", "tls_key");
    if (operators_on_loopback && (certificate_line == 0) != (key_line == 0)) {
      AddError(std::max(certificate_line, key_line), "operators",
               certificate_line == 0 ? "tls_certificate" : "tls_key",
               "tls_certificate and tls_key must be set together");
    }
  }

  std::filesystem::path file_;
  const ReadFile& read_;
  LoadResult result_;
  std::map<Key, int> line_numbers_;  // of the keys in the file
};

}  // namespace

std::string SettingsError::Text() const {
  std::string text = file + ":";
  if (line > 0) {
    text += std::to_string(line) + ":";
  }
  if (!section.empty()) {
    text += " [" + section + "]";
  }
  if (!key.empty()) {
    text += " " + key;
  }
  return text + (section.empty() && key.empty() ? " " : ": ") + message;
}

std::optional<std::string> ReadFileFromDisk(const std::filesystem::path& path) {
  std::error_code ec;
  if (!std::filesystem::is_regular_file(path, ec) ||
      std::filesystem::file_size(path, ec) > kMaxFileBytes || ec) {
    return std::nullopt;
  }
  std::ifstream in(path, std::ios::binary);
  if (!in) {
    return std::nullopt;
  }
  return std::string(std::istreambuf_iterator<char>(in), {});
}

LoadResult Load(const std::filesystem::path& file, const ReadFile& read) {
  return Loader(file, read).Run();
}

std::string DescribeSettings() {
  std::string text;
  for (const SettingEntry& it : Schema()) {
    text += "[" + std::string(it.section) + "] " + it.key + ": " +
            it.description + " (default: " + it.default_text + ")\n";
  }
  return text;
}

}  // namespace marjoramhall::settings
