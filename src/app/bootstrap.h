// Starts a new lineage from the deployment file of the settings when neither
// peers nor the store have a deployment.
#ifndef MARJORAMHALL_APP_BOOTSTRAP_H_
#define MARJORAMHALL_APP_BOOTSTRAP_H_

#include <functional>
#include <string>

#include "src/config/deployment.h"
#include "src/control/store_reconciler.h"

namespace marjoramhall::app {

// Reads a deployment file and makes it the first revision of a new lineage with
// a random id. On failure returns revision 0 and sets `*error`.
config::Deployment ReadInitialDeployment(const std::string& path,
                                         int64_t unix_time,
                                         uint64_t random,
                                         std::string* error);

// Proposes the initial deployment until this VM has any. The first VM whose
// compare-and-swap succeeds decides; the others adopt its lineage.
class Bootstrap {
 public:
  using ProposeHook = std::function<void(const config::Deployment&,
                                         const std::string& change_id,
                                         control::ProposeCallback done)>;

  // `current` returns the revision in force here.
  Bootstrap(config::Deployment initial,
            std::function<Revision()> current,
            ProposeHook propose);

  // Call about once a second, the first time some seconds after start, so that
  // peers are asked first. Returns true once there is nothing left to do.
  bool Try();

 private:
  const config::Deployment initial_;
  const std::function<Revision()> current_;
  const ProposeHook propose_;
  // At most one proposal is under way.
  bool waiting_ = false;
};

}  // namespace marjoramhall::app

#endif  // MARJORAMHALL_APP_BOOTSTRAP_H_
