// Virtual-time model of targets and load for comparing request policies:
// Poisson arrivals at several VMs, targets with slots, stragglers and cold
// targets.
#ifndef MARJORAMHALL_LAB_REQUEST_SIM_H_
#define MARJORAMHALL_LAB_REQUEST_SIM_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "src/base/time.h"
#include "src/config/deployment.h"

namespace marjoramhall::lab {

// Time in microseconds since the start of the run.
using SimTime = int64_t;

struct SimKind {
  std::string name;
  bool idempotent = true;
  config::Priority priority = config::Priority::kShort;
  SimTime deadline = 1000000;
  double median_us = 20000;
  double sigma = 0.3;         // of the logarithm
  double straggler_part = 0;  // of the requests
  double straggler_times = 30;
  size_t service = 0;

  // Mean service time of the distribution.
  double MeanUs() const;
};

struct SimRequest {
  size_t kind = 0;
  size_t vm = 0;
  SimTime arrived = 0;
  SimTime service_us = 0;
  enum class End { kNone, kAnswered, kLate, kRefused } end = End::kNone;
  SimTime ended = 0;
};

struct SimConfig {
  uint64_t seed = 1;
  size_t vms = 7;
  std::vector<size_t> targets = {14};  // by service
  uint32_t slots = 3;
  size_t domains = 4;
  SimTime hop_us = 500;        // one way between failure domains
  SimTime local_hop_us = 100;  // one way inside one
  std::vector<SimKind> kinds;
  // Requests per second of a kind at a time.
  std::function<double(size_t kind, SimTime now)> rate;
  double top_rate = 0;  // upper bound of the sum of rates
  SimTime length = 44000000;
  // These targets of service 0 are slower by `cold_times` until `cold_until`.
  size_t cold_targets = 0;
  double cold_times = 3;
  SimTime cold_from = 0;
  SimTime cold_until = 0;
};

class RequestSim;

// Decides what happens to each request.
class SimPolicy {
 public:
  virtual ~SimPolicy() = default;
  virtual void Start(RequestSim&) {}
  virtual void OnArrival(RequestSim& sim, size_t request) = 0;
  // The answer has reached the VM.
  virtual void OnAnswer(RequestSim& sim, size_t request, size_t target) = 0;
  virtual void OnCancelled(RequestSim&, size_t, size_t) {}
  virtual double ControlBytes() const { return 0; }
};

class RequestSim {
 public:
  RequestSim(SimConfig config, SimPolicy& policy);

  void Run();

  SimTime now() const { return now_; }
  const SimConfig& config() const { return config_; }
  const std::vector<SimRequest>& requests() const { return requests_; }
  const SimRequest& request(size_t i) const { return requests_[i]; }
  std::mt19937_64& random() { return random_; }
  size_t target_count() const { return targets_.size(); }
  // Targets of a service are [first, first + count).
  size_t FirstTarget(size_t service) const;

  void At(SimTime time, std::function<void()> action);
  // Sends the request to a target, which queues it when its slots are busy.
  // With `hops` false the way takes no time.
  void Send(size_t request, size_t target, bool hops = true);
  // Cancels it there; OnCancelled follows, unless the answer is on its way.
  void Cancel(size_t request, size_t target);
  void End(size_t request, SimRequest::End end);
  SimTime Hop(size_t vm, size_t target) const;

 private:
  struct Target {
    std::deque<size_t> queue;
    uint32_t busy = 0;
  };
  struct Event {
    SimTime at;
    uint64_t order;
    std::function<void()> action;
    bool operator>(const Event& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };
  enum class Place { kNone, kQueued, kServed };

  void NextArrival();
  void Serve(size_t target);
  void Finish(size_t request, size_t target, uint64_t run);

  SimConfig config_;
  SimPolicy& policy_;
  std::mt19937_64 random_;
  SimTime now_ = 0;
  uint64_t order_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::vector<SimRequest> requests_;
  std::vector<Place> places_;   // by request
  std::vector<uint64_t> runs_;  // by request: stale finishes are ignored
  std::vector<bool> hops_;      // by request
  std::vector<Target> targets_;
};

// Baselines: every VM sends at once; targets queue.
std::unique_ptr<SimPolicy> MakeRoundRobin();
std::unique_ptr<SimPolicy> MakeRandom();
std::unique_ptr<SimPolicy> MakeTwoChoices();
// One queue for all VMs that knows at once when a slot is free, with no time on
// the way, and refuses on arrival what cannot meet its deadline. It knows the
// distribution of service times but not a request's own.
std::unique_ptr<SimPolicy> MakeIdealQueue();
// marjoramhall: one request plane core a VM.
std::unique_ptr<SimPolicy> MakeMarjoramhall();

}  // namespace marjoramhall::lab

#endif  // MARJORAMHALL_LAB_REQUEST_SIM_H_
