// The plan services of several VMs on one simulated store, for tests with
// concurrent operators.
#ifndef MARJORAMHALL_TESTS_CONTROL_PLAN_SERVICE_CLUSTER_H_
#define MARJORAMHALL_TESTS_CONTROL_PLAN_SERVICE_CLUSTER_H_

#include <deque>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "src/control/plan_service.h"
#include "tests/config/test_deployment.h"

namespace marjoramhall::control {

using TestJson = nlohmann::json;

// The store accepts only the successor of its newest revision. A VM gets the
// newest revision when it proposes, or by Learn().
class PlanServiceCluster {
 public:
  explicit PlanServiceCluster(size_t vms)
      : chain_{config::MakeTestDeployment()} {
    held_.assign(vms, 0);
    for (size_t i = 0; i < vms; ++i) {
      PlanServiceOptions options;
      options.vm = "vm-" + std::to_string(i);
      options.key = "a key of at least 16 bytes";
      services_.push_back(std::make_unique<PlanService>(options, MakeHooks(i)));
    }
  }

  PlanService& vm(size_t i) { return *services_[i]; }
  const config::Deployment& head() const { return chain_.back(); }
  const std::vector<config::Deployment>& chain() const { return chain_; }
  void Learn(size_t i) { held_[i] = chain_.size() - 1; }

  // Runs the oldest pending proposal. With outcome kUnavailable the store does
  // not take the write, with kUnknown its response is lost.
  void RunProposal(ProposeOutcome outcome = ProposeOutcome::kAccepted) {
    auto proposal = std::move(proposals.front());
    proposals.pop_front();
    if (outcome != ProposeOutcome::kUnavailable) {
      if (proposal.next.revision == head().revision + 1) {
        chain_.push_back(proposal.next);
      } else if (outcome == ProposeOutcome::kAccepted) {
        outcome = ProposeOutcome::kConflict;
      }
    }
    if (outcome == ProposeOutcome::kAccepted ||
        outcome == ProposeOutcome::kConflict) {
      Learn(proposal.vm);
    }
    proposal.done({outcome, proposal.next.revision, "store"});
  }

  struct Proposal {
    size_t vm;
    config::Deployment next;
    ProposeCallback done;
  };
  std::deque<Proposal> proposals;
  bool immediate = false;  // runs each proposal at once
  std::optional<TargetLoads> load = TargetLoads{{}, true};
  int64_t now = 1'000'000;

 private:
  PlanServiceHooks MakeHooks(size_t i) {
    PlanServiceHooks hooks;
    hooks.current = [this, i] {
      return std::make_shared<const config::Deployment>(chain_[held_[i]]);
    };
    hooks.members = [this] {
      std::vector<MemberStatus> members;
      for (size_t k = 0; k < held_.size(); ++k) {
        members.push_back({"vm-" + std::to_string(k), "a", "alive",
                           chain_[held_[k]].revision});
      }
      return members;
    };
    hooks.load = [this] { return load; };
    hooks.propose = [this, i](const config::Deployment& next,
                              const std::string&, ProposeCallback done) {
      proposals.push_back({i, next, std::move(done)});
      if (immediate) {
        RunProposal();
      }
    };
    hooks.unix_time = [this] { return now; };
    hooks.random = [this] { return ++random_; };
    return hooks;
  }

  std::vector<config::Deployment> chain_;  // all revisions of the store
  std::vector<size_t> held_;  // index into chain_ of each VM's revision
  std::vector<std::unique_ptr<PlanService>> services_;
  uint64_t random_ = 0;
};

// Body of a plan request with one operation given as JSON.
inline std::string PlanBody(const std::string& author,
                            const std::string& operation) {
  return R"({"author": ")" + author + R"(", "operations": [)" + operation +
         "]}";
}

inline std::string Drain(const std::string& target) {
  return R"({"op": "drain-target", "name": ")" + target + "\"}";
}

}  // namespace marjoramhall::control

#endif  // MARJORAMHALL_TESTS_CONTROL_PLAN_SERVICE_CLUSTER_H_
