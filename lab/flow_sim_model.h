// Options, flows, events and configuration of the flow simulation.
#ifndef MARJORAMHALL_LAB_FLOW_SIM_MODEL_H_
#define MARJORAMHALL_LAB_FLOW_SIM_MODEL_H_

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <utility>
#include <vector>

#include "lab/flow_node.h"
#include "src/base/time.h"
#include "src/config/deployment.h"
#include "src/flow/packet.h"

namespace marjoramhall::lab {

struct FlowSimOptions {
  uint64_t seed = 1;
  size_t vms = 7;
  std::vector<size_t> targets = {14, 4};  // by service
  Duration hop_delay = std::chrono::microseconds(500);
  Duration tick = std::chrono::milliseconds(50);
  // Upper bounds of random delays.
  Duration view_delay = std::chrono::milliseconds(800);
  Duration removal_delay = std::chrono::milliseconds(1500);
  Duration control_delay = std::chrono::milliseconds(2);
  // Probabilities of loss and duplication, per control message, hop datagram or
  // fabric packet.
  double control_loss_probability = 0;
  double control_duplicate_probability = 0;
  double hop_loss_probability = 0;
  double fabric_duplicate_probability = 0;
  std::string shared_key = "lab";
};

// A TCP-like flow of a client.
struct SimFlow {
  flow::FlowKey key;
  uint32_t service = 0;
  TargetId target = TargetId::kNone;
  bool established = false;
  bool closed = false;
  bool broken = false;
  TimePoint started;
  TimePoint last_syn;
};

// A VM of the simulation. It is down if it has no node.
struct SimVm {
  std::string name;
  VmId id = VmId::kNone;
  Incarnation incarnation = 0;
  std::unique_ptr<FlowNode> node;
  bool leaving = false;
  int side = 0;
  TimePoint paused_until{};
  config::DeploymentPtr deployment;
  std::map<size_t, config::Member> known_members;
  uint64_t view_number = 0;
};

// Returns flow number `n`, which has its own source address and port.
inline SimFlow MakeSimFlow(uint32_t n,
                           uint32_t service,
                           const config::Service& to,
                           TimePoint now) {
  constexpr uint32_t kPortsPerAddress = 50000;
  SimFlow flow;
  flow.service = service;
  flow.key = {IpAddress::FromV4(0x0a000000 + n / kPortsPerAddress),
              to.flow_address.address,
              static_cast<uint16_t>(1024 + n % kPortsPerAddress),
              to.flow_address.port, to.flow_protocol};
  flow.started = now;
  return flow;
}

// Violations that targets observed.
struct SimViolations {
  uint64_t misrouted = 0;  // packets at a target of another service
  uint64_t broken = 0;     // established flows with a packet at another target
  // New flows at a target that has been draining for more than 3 s.
  uint64_t new_on_draining = 0;
};

// Event queue. Events at the same time run in the order of their insertion.
class SimEvents {
 public:
  struct Event {
    TimePoint at;
    uint64_t order = 0;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  void Add(TimePoint at, std::function<void()> action) {
    queue_.push({at, ++order_, std::move(action)});
  }
  bool HasDue(TimePoint end) const {
    return !queue_.empty() && queue_.top().at <= end;
  }
  Event PopFirst() {
    // top() returns a const reference; the event is moved out right before
    // pop().
    Event event = std::move(const_cast<Event&>(queue_.top()));
    queue_.pop();
    return event;
  }

 private:
  std::priority_queue<Event> queue_;
  uint64_t order_ = 0;
};

// Returns a deployment with one service per element of `targets_of`, which has
// that number of targets of equal weight.
inline config::Deployment MakeSimDeployment(
    uint64_t seed,
    const std::vector<size_t>& targets_of) {
  config::Deployment deployment;
  deployment.lineage = "sim-" + std::to_string(seed);
  deployment.revision = 1;
  for (size_t s = 0; s < targets_of.size(); ++s) {
    config::Service service;
    service.id = static_cast<ServiceId>(deployment.next_service_id++);
    service.name = "service-" + std::to_string(s);
    service.flow_address = {IpAddress::FromV4(0xc0000200 + s), 443};
    for (size_t t = 0; t < targets_of[s]; ++t) {
      config::Target target;
      target.id = static_cast<TargetId>(deployment.next_target_id++);
      target.flow_endpoint = {
          IpAddress::FromV4(0x7f000000 + ToInteger(target.id)), 6080};
      service.targets.push_back(target);
    }
    deployment.services.push_back(service);
  }
  return deployment;
}

}  // namespace marjoramhall::lab

#endif  // MARJORAMHALL_LAB_FLOW_SIM_MODEL_H_
