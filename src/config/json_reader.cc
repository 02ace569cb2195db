// Strict JSON parsing, based on nlohmann-json.
#include "src/config/json_reader.h"

#include <cmath>

#include "src/base/units.h"

namespace marjoramhall::config {
namespace {

constexpr size_t kMaxKeptErrors = 20;
constexpr size_t kMaxDepth = 16;

// Tracks the path of the current key during parsing.
class PathTracker {
 public:
  explicit PathTracker(JsonErrors* errors) : errors_(errors) {}

  bool HandleEvent(Json::parse_event_t event, const Json& parsed) {
    using Event = Json::parse_event_t;
    switch (event) {
      case Event::object_start:
      case Event::array_start:
        CountElement();
        frames_.push_back({event == Event::array_start, 0, {}, {}});
        if (frames_.size() == kMaxDepth + 1) {
          errors_->Add(Path(), "nested deeper than 16 levels");
        }
        break;
      case Event::key: {
        Frame& top = frames_.back();
        top.key = parsed.get<std::string>();
        if (!top.keys.insert(top.key).second) {
          errors_->Add(Path(), "duplicate key");
        }
        break;
      }
      case Event::object_end:
      case Event::array_end:
        frames_.pop_back();
        break;
      case Event::value:
        CountElement();
        break;
    }
    // Values nested too deeply are discarded, which bounds the memory that a
    // hostile document takes.
    return frames_.size() <= kMaxDepth;
  }

 private:
  struct Frame {
    bool is_array;
    size_t count;
    std::string key;
    std::set<std::string> keys;
  };

  void CountElement() {
    if (!frames_.empty() && frames_.back().is_array) {
      ++frames_.back().count;
    }
  }

  std::string Path() const {
    std::string path;
    for (const Frame& it : frames_) {
      if (it.is_array) {
        if (it.count > 0) {
          path += "[" + std::to_string(it.count - 1) + "]";
        }
      } else if (!it.key.empty()) {
        path += (path.empty() ? "" : ".") + it.key;
      }
    }
    return path;
  }

  JsonErrors* errors_;
  std::vector<Frame> frames_;
};

}  // namespace

void JsonErrors::Add(const std::string& path, const std::string& problem) {
  if (++count_ <= kMaxKeptErrors) {
    messages_.push_back(path.empty() ? problem : path + ": " + problem);
  }
}

std::string JsonErrors::Text() const {
  std::string text;
  for (const std::string& it : messages_) {
    text += (text.empty() ? "" : "; ") + it;
  }
  if (count_ > messages_.size()) {
    text += "; and " + std::to_string(count_ - messages_.size()) + " more";
  }
  return text;
}

std::optional<Json> ParseStrict(std::string_view text, JsonErrors* errors) {
  PathTracker tracker(errors);
  Json json;
  try {
    json = Json::parse(text, [&](int, Json::parse_event_t event, Json& parsed) {
      return tracker.HandleEvent(event, parsed);
    });
  } catch (const Json::exception& e) {
    errors->Add("", std::string("not valid JSON: ") + e.what());
    return std::nullopt;
  }
  if (!errors->empty()) {
    return std::nullopt;
  }
  return json;
}

JsonObjectReader::JsonObjectReader(const Json& json,
                                   std::string path,
                                   JsonErrors* errors)
    : json_(json), path_(std::move(path)), errors_(errors) {
  if (!json_.is_object()) {
    errors_->Add(path_, "expected an object");
  }
}

bool JsonObjectReader::Has(const char* key) const {
  return json_.is_object() && json_.contains(key);
}

void JsonObjectReader::Require(const char* key) {
  if (json_.is_object() && !Has(key)) {
    Report(key, "missing");
  }
}

void JsonObjectReader::Read(const char* key, std::string* out) {
  ReadText(key, out);
}

void JsonObjectReader::Read(const char* key, bool* out) {
  if (const Json* it = Find(key, Json::value_t::boolean, "true or false")) {
    *out = it->get<bool>();
  }
}

void JsonObjectReader::Read(const char* key, double* out) {
  known_.insert(key);
  if (!Has(key)) {
    return;
  }
  const Json& it = json_.at(key);
  if (!it.is_number() || !std::isfinite(it.get<double>()) ||
      it.get<double>() < 0) {
    Report(key, "expected a number of at least 0");
    return;
  }
  *out = it.get<double>();
}

void JsonObjectReader::Read(const char* key, uint32_t* out) {
  uint64_t value = 0;
  if (ReadUnsigned(key, std::numeric_limits<uint32_t>::max(), &value)) {
    *out = static_cast<uint32_t>(value);
  }
}

void JsonObjectReader::Read(const char* key, uint64_t* out) {
  ReadUnsigned(key, std::numeric_limits<uint64_t>::max(), out);
}

void JsonObjectReader::Read(const char* key, int64_t* out) {
  known_.insert(key);
  if (!Has(key)) {
    return;
  }
  const Json& it = json_.at(key);
  const bool too_large =
      it.is_number_unsigned() &&
      it.get<uint64_t>() >
          static_cast<uint64_t>(std::numeric_limits<int64_t>::max());
  if (!it.is_number_integer() || too_large) {
    Report(key, "expected a whole number");
    return;
  }
  *out = it.get<int64_t>();
}

void JsonObjectReader::Read(const char* key, Endpoint* out) {
  std::string text;
  if (!ReadText(key, &text)) {
    return;
  }
  if (const auto endpoint = Endpoint::Parse(text)) {
    *out = *endpoint;
  } else {
    Report(key, "expected IP:PORT or [IPv6]:PORT");
  }
}

void JsonObjectReader::Read(const char* key, Duration* out) {
  std::string text;
  if (!ReadText(key, &text)) {
    return;
  }
  if (const auto duration = ParseDuration(text)) {
    *out = *duration;
  } else {
    Report(key, "expected a duration with a unit, such as \"250ms\"");
  }
}

const Json* JsonObjectReader::ReadObject(const char* key) {
  return Find(key, Json::value_t::object, "an object");
}

void JsonObjectReader::Report(const char* key, const std::string& problem) {
  errors_->Add(PathOf(key), problem);
}

std::string JsonObjectReader::PathOf(const char* key) const {
  return path_.empty() ? key : path_ + "." + key;
}

void JsonObjectReader::Finish() {
  if (!json_.is_object()) {
    return;
  }
  for (const auto& [key, value] : json_.items()) {
    if (!known_.contains(key)) {
      Report(key.c_str(), "unknown key");
    }
  }
}

const Json* JsonObjectReader::Find(const char* key,
                                   Json::value_t type,
                                   const char* expected) {
  known_.insert(key);
  if (!Has(key)) {
    return nullptr;
  }
  const Json& it = json_.at(key);
  if (it.type() != type) {
    Report(key, std::string("expected ") + expected);
    return nullptr;
  }
  return &it;
}

bool JsonObjectReader::ReadText(const char* key, std::string* out) {
  const Json* it = Find(key, Json::value_t::string, "a string");
  if (it == nullptr) {
    return false;
  }
  *out = it->get<std::string>();
  return true;
}

bool JsonObjectReader::ReadUnsigned(const char* key,
                                    uint64_t max,
                                    uint64_t* out) {
  known_.insert(key);
  if (!Has(key)) {
    return false;
  }
  const Json& it = json_.at(key);
  if (!it.is_number_unsigned() || it.get<uint64_t>() > max) {
    Report(key, "expected a whole number from 0 to " + std::to_string(max));
    return false;
  }
  *out = it.get<uint64_t>();
  return true;
}

}  // namespace marjoramhall::config
