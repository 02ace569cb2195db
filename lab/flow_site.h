// VMs that have only the flow plane, in one process over loopback sockets. Each
// net::FlowPath runs on its own thread; direct calls replace the control plane.
// For benchmarks.
#ifndef MARJORAMHALL_LAB_FLOW_SITE_H_
#define MARJORAMHALL_LAB_FLOW_SITE_H_

#include <memory>
#include <string>
#include <vector>

#include "lab/flow_load.h"
#include "src/config/control_view.h"
#include "src/net/flow_path.h"

namespace marjoramhall::lab {

class FlowSite {
 public:
  // Starts `vms` VMs on loopback ports chosen by the system.
  explicit FlowSite(size_t vms);
  ~FlowSite();
  FlowSite(const FlowSite&) = delete;
  FlowSite& operator=(const FlowSite&) = delete;

  // Error of a socket that could not be opened, or an empty string.
  const std::string& error() const { return error_; }
  std::vector<Endpoint> FabricEndpoints() const;
  // Publishes a configuration to all running VMs.
  void Publish(const config::Deployment& deployment);
  // Stops a VM. The other VMs learn it immediately.
  void Kill(size_t vm);
  net::FlowStats Stats(size_t vm) const;

 private:
  struct Vm;

  std::vector<std::unique_ptr<Vm>> vms_;
  std::string error_;
  config::DeploymentPtr deployment_;
  uint64_t view_number_ = 0;
  void PublishViews();
};

// Returns a deployment of revision 1 for the services of a load run.
config::Deployment MakeDeployment(const std::vector<FlowLoadService>& services);

}  // namespace marjoramhall::lab

#endif  // MARJORAMHALL_LAB_FLOW_SITE_H_
