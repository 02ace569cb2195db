// A text format of deployments for simulations: one braced record per line. Its
// size is close to that of the JSON format. It has the fields that the control
// plane reads, and the names of the targets.
#ifndef MARJORAMHALL_LAB_CONTROL_SIM_CODEC_H_
#define MARJORAMHALL_LAB_CONTROL_SIM_CODEC_H_

#include <optional>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>

#include "src/control/gossip.h"

namespace marjoramhall::lab {

inline std::string FormatSimDeployment(const config::Deployment& deployment) {
  std::ostringstream out;
  out << "{D " << deployment.lineage << " " << deployment.revision << " }\n";
  for (const config::Service& service : deployment.services) {
    out << "{S " << ToInteger(service.id) << " " << service.name << " }\n";
    for (const config::Target& target : service.targets) {
      out << "{T " << ToInteger(target.id) << " " << target.name << " "
          << target.domain << " " << NameOf(target.state) << " }\n";
    }
  }
  for (const config::ChangeRecord& it : deployment.history) {
    out << "{H " << it.change_id << " " << it.revision << " }\n";
  }
  return out.str();
}

inline std::optional<config::Deployment> ParseSimDeployment(
    std::string_view text,
    std::string* error) {
  config::Deployment result;
  std::istringstream in{std::string(text)};
  std::string kind;
  while (in >> kind) {
    if (kind == "{D") {
      in >> result.lineage >> result.revision;
    } else if (kind == "{S") {
      config::Service service;
      uint32_t id = 0;
      in >> id >> service.name;
      service.id = static_cast<ServiceId>(id);
      result.services.push_back(std::move(service));
    } else if (kind == "{T" && !result.services.empty()) {
      config::Target target;
      uint32_t id = 0;
      std::string state;
      in >> id >> target.name >> target.domain >> state;
      target.id = static_cast<TargetId>(id);
      target.state = ParseEnum<config::TargetState>(state).value_or(
          config::TargetState::kActive);
      result.services.back().targets.push_back(std::move(target));
    } else if (kind == "{H") {
      config::ChangeRecord record;
      in >> record.change_id >> record.revision;
      result.history.push_back(std::move(record));
    } else {
      *error = "unknown record " + kind;
      return std::nullopt;
    }
    if (!(in >> kind) || kind != "}") {
      *error = "record does not end";
      return std::nullopt;
    }
  }
  return result;
}

inline control::DeploymentCodec SimCodec() {
  return {FormatSimDeployment, ParseSimDeployment};
}

// Returns the next revision of a deployment, with one more change record.
inline config::Deployment NextSimDeployment(const config::Deployment& current,
                                            const std::string& change_id) {
  config::Deployment next = current;
  if (next.lineage.empty()) {
    next.lineage = "lineage-" + change_id;
  }
  ++next.revision;
  config::ChangeRecord record;
  record.change_id = change_id;
  record.revision = next.revision;
  next.history.push_back(std::move(record));
  if (next.history.size() > config::kHistoryLimit) {
    next.history.erase(next.history.begin());
  }
  return next;
}

// Returns a deployment with `targets` targets, in services of up to 20. The
// names are padded to the size of a target in the JSON format.
inline config::Deployment MakeSimDeployment(size_t targets) {
  config::Deployment result;
  result.lineage = "sim-lineage";
  for (size_t i = 0; i < targets; ++i) {
    if (i % 20 == 0) {
      config::Service service;
      service.id = static_cast<ServiceId>(i / 20 + 1);
      service.name = "service" + std::to_string(i / 20);
      result.services.push_back(std::move(service));
    }
    config::Target target;
    target.id = static_cast<TargetId>(i + 1);
    target.name = "target-" + std::to_string(i) + std::string(160, 'x');
    target.domain = "zone" + std::to_string(i % 8);
    result.services.back().targets.push_back(std::move(target));
  }
  return NextSimDeployment(result, "initial");
}

}  // namespace marjoramhall::lab

#endif  // MARJORAMHALL_LAB_CONTROL_SIM_CODEC_H_
