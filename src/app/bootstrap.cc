// Reading and proposing the initial deployment.
#include "src/app/bootstrap.h"

#include <spdlog/fmt/fmt.h>

#include <utility>

#include "src/config/change.h"
#include "src/config/deployment_json.h"
#include "src/settings/load.h"

namespace marjoramhall::app {
namespace {

constexpr char kChangeId[] = "initial-deployment";

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
  auto written = config::FromJson(*text, error);
  if (!written) {
    *error = path + ": " + *error;
    return {};
  }
  const config::ChangeInfo info{kChangeId, "settings", "initial deployment",
                                unix_time};
  auto result = config::MakeInitialDeployment(
      std::move(*written), fmt::format("{:016x}", random), info);
  if (!result.errors.empty()) {
    *error = path + ": " + fmt::format("{}", fmt::join(result.errors, "; "));
    return {};
  }
  return result.deployment;
}

Bootstrap::Bootstrap(config::Deployment initial,
                     std::function<Revision()> current,
                     ProposeHook propose)
    : initial_(std::move(initial)),
      current_(std::move(current)),
      propose_(std::move(propose)) {}

bool Bootstrap::Try() {
  if (initial_.revision == 0 || current_() > 0) {
    return true;
  }
  if (!waiting_) {
    waiting_ = true;
    propose_(initial_, kChangeId,
             [this](const control::ProposeResult&) { waiting_ = false; });
  }
  return false;
}

}  // namespace marjoramhall::app
