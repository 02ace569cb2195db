// Formats plans, confirmations, the status and the history.
#include "src/app/plan_text.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <functional>
#include <nlohmann/json.hpp>

namespace marjoramhall::app {
namespace {

using Json = nlohmann::json;

// Returns the answer itself, plus a newline, if it does not have the expected
// form.
std::string FormatAnswer(
    std::string_view answer,
    const std::function<std::string(const Json&)>& format) {
  try {
    return format(Json::parse(answer));
  } catch (const Json::exception&) {
    return std::string(answer) + "\n";
  }
}

std::string Text(const Json& json, const char* key) {
  return json.at(key).get<std::string>();
}

uint64_t Number(const Json& json, const char* key) {
  return json.at(key).get<uint64_t>();
}

std::string EffectText(const Json& it, bool counts_complete) {
  return fmt::format(
      "service {}: {:.1f}% of new flows move ({} of 4096 buckets)\n"
      "  {}{} flows and {} requests at draining targets end undisturbed; "
      "none are cut\n"
      "  slots {} -> {}, {} in use\n",
      Text(it, "service"), it.at("moved_share").get<double>() * 100,
      Number(it, "moved_buckets"), counts_complete ? "" : "at least ",
      Number(it, "flows_at_draining_targets"),
      Number(it, "requests_at_draining_targets"), Number(it, "slots_before"),
      Number(it, "slots_after"), Number(it, "slots_in_use"));
}

std::string MemberText(const Json& it, uint64_t revision) {
  const uint64_t held = Number(it, "revision");
  return fmt::format("  {:<20} {:<16} {:<8} revision {}{}\n", Text(it, "name"),
                     Text(it, "domain"), Text(it, "state"), held,
                     held < revision ? "  (behind)" : "");
}

std::string TargetText(const Json& it) {
  std::string text =
      fmt::format("  {:<20} {:<16} {:<8} weight {:<5} slots {:<5}",
                  Text(it, "name"), Text(it, "domain"), Text(it, "state"),
                  Number(it, "weight"), Number(it, "slots"));
  if (it.contains("flows")) {
    text += fmt::format("  flows {:<7} requests {}", Number(it, "flows"),
                        Number(it, "requests"));
  }
  return text + "\n";
}

}  // namespace

std::string UtcText(int64_t unix_time) {
  return fmt::format("{:%Y-%m-%d %H:%M:%S} UTC", fmt::gmtime(unix_time));
}

std::string PlanText(std::string_view answer) {
  return FormatAnswer(answer, [](const Json& json) {
    std::string text =
        fmt::format("plan {}\nagainst revision {}, expires {}\n",
                    Text(json, "plan_id"), Number(json, "base_revision"),
                    UtcText(json.at("expires_at").get<int64_t>()));
    for (const auto& [key, sign] :
         {std::pair{"additions", '+'}, {"changes", '~'}, {"removals", '-'}}) {
      for (const Json& it : json.at(key)) {
        text += fmt::format("  {} {}\n", sign, it.get<std::string>());
      }
    }
    for (const Json& it : json.at("services")) {
      text += EffectText(it, json.at("counts_complete").get<bool>());
    }
    for (const Json& it : json.at("warnings")) {
      text += "warning: " + Text(it, "text") + "\n";
    }
    return text;
  });
}

std::string ConfirmationText(std::string_view answer) {
  return FormatAnswer(answer, [](const Json& json) {
    return fmt::format(
        "plan {} is in force as revision {}{}\n", Text(json, "plan_id"),
        Number(json, "revision"),
        json.at("merged").get<bool>() ? " (merged with other changes)" : "");
  });
}

std::string StatusText(std::string_view answer) {
  return FormatAnswer(answer, [](const Json& json) {
    const uint64_t revision = Number(json, "revision");
    std::string text =
        revision == 0
            ? fmt::format("{} has no configuration\n", Text(json, "vm"))
            : fmt::format("lineage {}, revision {}, seen by {}\n",
                          Text(json, "lineage"), revision, Text(json, "vm"));
    text += fmt::format("{} VMs, {} behind\n", json.at("members").size(),
                        json.at("behind").size());
    for (const Json& it : json.at("members")) {
      text += MemberText(it, revision);
    }
    for (const Json& it : json.at("services")) {
      text += fmt::format("service {} at {}\n", Text(it, "name"),
                          Text(it, "flow_address"));
      for (const Json& target : it.at("targets")) {
        text += TargetText(target);
      }
    }
    if (!json.at("counts_complete").get<bool>()) {
      text += "flows and requests of some VMs are not counted\n";
    }
    return text;
  });
}

std::string HistoryText(std::string_view answer) {
  return FormatAnswer(answer, [](const Json& json) {
    std::string text;
    for (const Json& it : json.at("changes")) {
      text += fmt::format("{:>6}  {}  {:<16} {}\n", Number(it, "revision"),
                          UtcText(it.at("accepted_at").get<int64_t>()),
                          Text(it, "author"), Text(it, "summary"));
      if (!Text(it, "reason").empty()) {
        text += fmt::format("        reason: {}\n", Text(it, "reason"));
      }
    }
    return text;
  });
}

}  // namespace marjoramhall::app
