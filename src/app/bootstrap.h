// Creates the first revision of a deployment from the deployment file of the
// settings, when neither peers nor the store have a deployment.
#ifndef MARJORAMHALL_APP_BOOTSTRAP_H_
#define MARJORAMHALL_APP_BOOTSTRAP_H_

#include <functional>
#include <string>

#include "src/config/deployment.h"
#include "src/control/store_reconciler.h"

namespace marjoramhall::app {

// Reads a deployment file and makes it the first revision of a new lineage.
// `random` becomes the id of the lineage. On failure sets `*error` and returns
// a deployment with revision 0.
config::Deployment ReadInitialDeployment(const std::string& path,
                                         int64_t unix_time,
                                         uint64_t random,
                                         std::string* error);

// Proposes the initial deployment until this VM has a deployment. The first VM
// whose compare-and-swap succeeds determines the lineage; the others adopt it.
class Bootstrap {
 public:
  using ProposeHook = std::function<void(const config::Deployment&,
                                         const std::string& change_id,
                                         control::ProposeCallback done)>;

  // `current_revision` returns the revision in force at this VM, 0 for none.
  Bootstrap(config::Deployment initial,
            std::function<Revision()> current_revision,
            ProposeHook propose);

  // Proposes the deployment unless a proposal is pending. Call this about once
  // a second, first some seconds after the start, so that a deployment of the
  // peers takes precedence. Returns true when no further call is needed.
  bool TryPropose();

 private:
  const config::Deployment initial_deployment_;
  const std::function<Revision()> current_revision_;
  const ProposeHook propose_;
  bool proposal_pending_ = false;
};

}  // namespace marjoramhall::app

#endif  // MARJORAMHALL_APP_BOOTSTRAP_H_
