// Threads, views and peer messages of the VMs.
#include "lab/flow_site.h"

#include <algorithm>
#include <asio.hpp>
#include <future>
#include <thread>

namespace marjoramhall::lab {

struct FlowSite::Vm {
  config::Member member;
  asio::io_context io{1};
  std::unique_ptr<net::FlowPath> path;
  std::thread thread;

  void Stop() {
    if (!thread.joinable()) {
      return;
    }
    std::promise<void> stopped;
    path->PostStop([&] { stopped.set_value(); });
    stopped.get_future().wait();
    io.stop();
    thread.join();
  }
};

FlowSite::FlowSite(size_t vms) {
  for (size_t i = 0; i < vms; ++i) {
    auto vm = std::make_unique<Vm>();
    vm->member.name = "vm-" + std::to_string(i);
    vm->member.id = config::VmIdOf(vm->member.name);
    vm->member.incarnation = 1;
    net::FlowPathOptions options;
    options.self = vm->member.id;
    options.incarnation = 1;
    options.fabric_endpoint = *Endpoint::Parse("127.0.0.1:0");
    options.hop_endpoint = options.fabric_endpoint;
    options.flow.shared_key = "lab";
    options.seed = i + 1;
    const VmId self = vm->member.id;
    vm->path = std::make_unique<net::FlowPath>(
        vm->io, options,
        [this, self](VmId to, PeerChannel, std::string payload) {
          for (const auto& it : vms_) {
            if (it->member.id == to) {
              it->path->PostPeerMessage(self, std::move(payload));
              return;
            }
          }
        },
        DecisionHook());
    error_ = vm->path->Open();
    if (!error_.empty()) {
      return;
    }
    vm->member.hop_endpoint = vm->path->HopEndpoint();
    vms_.push_back(std::move(vm));
  }
  for (auto& it : vms_) {
    it->thread = std::thread([io = &it->io] {
      const auto work = asio::make_work_guard(*io);
      io->run();
    });
  }
}

FlowSite::~FlowSite() {
  for (auto& it : vms_) {
    it->Stop();
  }
}

std::vector<Endpoint> FlowSite::FabricEndpoints() const {
  std::vector<Endpoint> endpoints;
  for (const auto& it : vms_) {
    endpoints.push_back(it->path->FabricEndpoint());
  }
  return endpoints;
}

void FlowSite::Publish(const config::Deployment& deployment) {
  deployment_ = std::make_shared<config::Deployment>(deployment);
  PublishViews();
}

void FlowSite::PublishViews() {
  ++view_number_;
  for (const auto& it : vms_) {
    if (!it->thread.joinable()) {
      continue;
    }
    auto view = std::make_shared<config::ControlView>();
    view->number = view_number_;
    view->self = it->member.id;
    view->deployment = deployment_;
    for (const auto& other : vms_) {
      if (other->thread.joinable()) {
        view->members.push_back(other->member);
      }
    }
    std::sort(view->members.begin(), view->members.end(),
              [](auto& a, auto& b) { return a.id < b.id; });
    it->path->PostView(std::move(view));
  }
}

void FlowSite::Kill(size_t vm) {
  vms_[vm]->Stop();
  PublishViews();
}

net::FlowStats FlowSite::Stats(size_t vm) const {
  return vms_[vm]->path->Snapshot();
}

config::Deployment MakeDeployment(
    const std::vector<FlowLoadService>& services) {
  config::Deployment deployment;
  deployment.lineage = "lab";
  deployment.revision = 1;
  for (const FlowLoadService& it : services) {
    config::Service service;
    service.id = static_cast<ServiceId>(deployment.next_service_id++);
    service.flow_address = it.flow_address;
    for (const Endpoint& endpoint : it.targets) {
      config::Target target;
      target.id = static_cast<TargetId>(deployment.next_target_id++);
      target.flow_endpoint = endpoint;
      service.targets.push_back(target);
    }
    deployment.services.push_back(service);
  }
  return deployment;
}

}  // namespace marjoramhall::lab
