// Strict parsing of JSON from operators and peers. All errors of a document are
// collected with the paths of their values, to be reported together.
#ifndef MARJORAMHALL_CONFIG_JSON_READER_H_
#define MARJORAMHALL_CONFIG_JSON_READER_H_

#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "src/base/endpoint.h"
#include "src/base/enum_names.h"
#include "src/base/time.h"

namespace marjoramhall::config {

using Json = nlohmann::json;

// Errors found in one document. Keeps the first 20 and counts the rest.
class JsonErrors {
 public:
  void Add(const std::string& path, const std::string& problem);
  bool empty() const { return count_ == 0; }
  // All kept errors in one line, separated by "; ".
  std::string Text() const;

 private:
  std::vector<std::string> messages_;
  size_t count_ = 0;
};

// Parses a document. Duplicate keys and more than 16 levels of nesting are
// errors. Returns nothing after adding an error.
std::optional<Json> ParseStrict(std::string_view text, JsonErrors* errors);

// Reads the members of one JSON object. An absent member leaves the output
// unchanged; a member of another type also adds an error. Finish() reports
// members that were not read as unknown keys. The object and the errors must
// outlive the reader.
class JsonObjectReader {
 public:
  JsonObjectReader(const Json& json, std::string path, JsonErrors* errors);

  bool Has(const char* key) const;
  void Require(const char* key);
  // Accepts a member that the caller reads from the JSON itself.
  void Ignore(const char* key) { known_.insert(key); }

  void Read(const char* key, std::string* out);
  void Read(const char* key, bool* out);
  void Read(const char* key, double* out);  // finite and not negative
  void Read(const char* key, uint32_t* out);
  void Read(const char* key, uint64_t* out);
  void Read(const char* key, int64_t* out);
  void Read(const char* key, Endpoint* out);
  void Read(const char* key, Duration* out);  // text such as "250ms"

  template <typename E>
  requires std::is_enum_v<E>
  void ReadEnum(const char* key, E* out) {
    std::string name;
    if (!ReadText(key, &name)) {
      return;
    }
    if (const auto value = ParseEnum<E>(name)) {
      *out = *value;
      return;
    }
    std::string expected;
    for (const auto& it : NamesOf(E{})) {
      expected += (expected.empty() ? "" : ", ") + std::string(it.name);
    }
    Report(key, "expected one of " + expected);
  }

  // Reads an id, which is a number.
  template <typename Id>
  void ReadId(const char* key, Id* out) {
    auto number = ToInteger(*out);
    Read(key, &number);
    *out = static_cast<Id>(number);
  }

  // Replaces `*out` by the items of an array. Calls
  // `read(JsonObjectReader&, T*)` for each item.
  template <typename T, typename ReadItem>
  void ReadList(const char* key, std::vector<T>* out, ReadItem read) {
    const Json* list = Find(key, Json::value_t::array, "an array");
    if (list == nullptr) {
      return;
    }
    out->clear();
    for (size_t i = 0; i < list->size(); ++i) {
      JsonObjectReader item(
          (*list)[i], PathOf(key) + "[" + std::to_string(i) + "]", errors_);
      T value;
      read(item, &value);
      item.Finish();
      out->push_back(std::move(value));
    }
  }

  // Returns the member, or null when it is absent or not an object.
  const Json* ReadObject(const char* key);

  void Report(const char* key, const std::string& problem);
  JsonErrors* errors() { return errors_; }
  std::string PathOf(const char* key) const;
  void Finish();

 private:
  const Json* Find(const char* key, Json::value_t type, const char* expected);
  bool ReadText(const char* key, std::string* out);
  bool ReadUnsigned(const char* key, uint64_t max, uint64_t* out);

  const Json& json_;
  std::string path_;
  JsonErrors* errors_;
  std::set<std::string> known_;
};

}  // namespace marjoramhall::config

#endif  // MARJORAMHALL_CONFIG_JSON_READER_H_
