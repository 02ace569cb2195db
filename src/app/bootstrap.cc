// Reads and proposes the initial deployment.
#include "src/app/bootstrap.h"

#include <spdlog/fmt/fmt.h>

#include <utility>

#include "src/config/change.h"
#include "src/config/deployment_json.h"
#include "src/settings/load.h"

namespace marjoramhall::app {
namespace {

constexpr char kInitialChangeId[] = "initial-deployment";

}  // namespace

config::Deployment ReadInitialDeployment(const std::string& path,
                                         int64_t unix_time,
                                         uint64_t random,
                                         std::string* error) {
  const auto text = settings::ReadFileFromDisk(path);
  if (!text) {
    *error = "cannot read deployment file " + path;
    return {};
  }
  auto deployment = config::FromJson(*text, error);
  if (!deployment) {
    *error = path + ": " + *error;
    return {};
  }
  const config::ChangeInfo info{kInitialChangeId, "settings",
                                "initial deployment", unix_time};
  auto result = config::MakeInitialDeployment(
      std::move(*deployment), fmt::format("{:016x}", random), info);
  if (!result.errors.empty()) {
    *error = path + ": " + fmt::format("{}", fmt::join(result.errors, "; "));
    return {};
  }
  return result.deployment;
}

Bootstrap::Bootstrap(config::Deployment initial,
                     std::function<Revision()> current_revision,
                     ProposeHook propose)
    : initial_deployment_(std::move(initial)),
      current_revision_(std::move(current_revision)),
      propose_(std::move(propose)) {}

bool Bootstrap::TryPropose() {
  if (initial_deployment_.revision == 0 || current_revision_() > 0) {
    return true;
  }
  if (!proposal_pending_) {
    proposal_pending_ = true;
    propose_(
        initial_deployment_, kInitialChangeId,
        [this](const control::ProposeResult&) { proposal_pending_ = false; });
  }
  return false;
}

}  // namespace marjoramhall::app
