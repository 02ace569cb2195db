// Several VMs' intent services over one store, for tests of racing operators.
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

// The store accepts the successor of its newest value. VMs learn of it when
// they propose, or by Learn().
class PlanServiceCluster {
 public:
  explicit PlanServiceCluster(size_t vms)
      : chain_{config::MakeTestDeployment()} {
    views_.assign(vms, 0);
    for (size_t i = 0; i < vms; ++i) {
      PlanServiceOptions options;
      options.vm = "vm-" + std::to_string(i);
      options.key = "a key of at least 16 bytes";
      services_.push_back(std::make_unique<PlanService>(options, HooksOf(i)));
    }
  }

  PlanService& vm(size_t i) { return *services_[i]; }
  const config::Deployment& head() const { return chain_.back(); }
  const std::vector<config::Deployment>& chain() const { return chain_; }
  void Learn(size_t i) { views_[i] = chain_.size() - 1; }

  // Runs the oldest proposal that waits for the store. `outcome` other than
  // accepted makes the store down (unavailable) or loses its answer (unknown).
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
  bool immediate = false;  // proposals run at once
  std::optional<TargetLoads> load = TargetLoads{{}, true};
  int64_t now = 1'000'000;

 private:
  PlanServiceHooks HooksOf(size_t i) {
    PlanServiceHooks hooks;
    hooks.current = [this, i] {
      return std::make_shared<const config::Deployment>(chain_[views_[i]]);
    };
    hooks.members = [this] {
      std::vector<MemberStatus> members;
      for (size_t k = 0; k < views_.size(); ++k) {
        members.push_back({"vm-" + std::to_string(k), "a", "alive",
                           chain_[views_[k]].revision});
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

  std::vector<config::Deployment> chain_;  // every value the store ever had
  std::vector<size_t> views_;              // of each VM, into chain_
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
