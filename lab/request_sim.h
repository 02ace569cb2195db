// Simulation in virtual time for comparing request policies: Poisson arrivals
// at several VMs, and targets with slots, stragglers and cold starts.
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
  double sigma = 0.3;  // standard deviation of the logarithm
  // This ratio of the requests takes straggler_factor times as long.
  double straggler_ratio = 0;
  double straggler_factor = 30;
  size_t service = 0;

  // Mean service time, with stragglers.
  double MeanUs() const;
};

struct SimRequest {
  size_t kind = 0;
  size_t vm = 0;
  SimTime arrived = 0;
  SimTime service_us = 0;  // service time at a warm target
  enum class End { kNone, kAnswered, kLate, kRefused } end = End::kNone;
  SimTime ended = 0;
};

struct SimConfig {
  uint64_t seed = 1;
  size_t vms = 7;
  std::vector<size_t> targets = {14};  // by service
  uint32_t slots = 3;
  size_t domains = 4;
  // One-way network delays between failure domains and within one.
  SimTime hop_us = 500;
  SimTime local_hop_us = 100;
  std::vector<SimKind> kinds;
  // Arrivals per second of a kind at a time.
  std::function<double(size_t kind, SimTime now)> rate;
  double max_rate = 0;  // upper bound of the sum over all kinds
  SimTime length = 44000000;
  // The first `cold_targets` targets of service 0 take `cold_factor` times as
  // long from `cold_from` until `cold_until`.
  size_t cold_targets = 0;
  double cold_factor = 3;
  SimTime cold_from = 0;
  SimTime cold_until = 0;
};

class RequestSim;

// Decides when and where each request runs.
class SimPolicy {
 public:
  virtual ~SimPolicy() = default;
  virtual void Start(RequestSim&) {}
  virtual void OnArrival(RequestSim& sim, size_t request) = 0;
  // Called when the answer has reached the VM.
  virtual void OnAnswer(RequestSim& sim, size_t request, size_t target) = 0;
  // Called when the confirmation of Cancel() has reached the VM.
  virtual void OnCancelled(RequestSim&, size_t, size_t) {}
  // Bytes sent between VMs so far.
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
  // Index of the first target of a service; its targets have consecutive
  // indices.
  size_t FirstTarget(size_t service) const;

  // Runs `action` at `time`, or now if that has passed.
  void At(SimTime time, std::function<void()> action);
  // Sends a request to a target, which queues it if all slots are busy. If
  // `with_hops` is false, the network delay is zero.
  void Send(size_t request, size_t target, bool with_hops = true);
  // Cancels a request at its target. OnCancelled() follows, unless the answer
  // arrives first.
  void Cancel(size_t request, size_t target);
  // Ends a request. An answer after the deadline is recorded as late.
  void End(size_t request, SimRequest::End end);
  // One-way network delay.
  SimTime HopTime(size_t vm, size_t target) const;

 private:
  struct Target {
    std::deque<size_t> queue;
    uint32_t busy = 0;
  };
  struct Event {
    SimTime at;
    uint64_t number;
    std::function<void()> action;
    bool operator>(const Event& other) const {
      return at != other.at ? at > other.at : number > other.number;
    }
  };
  enum class RequestState { kNone, kQueued, kRunning };

  void NextArrival();
  void StartQueued(size_t target);
  void Finish(size_t request, size_t target, uint64_t generation);

  SimConfig config_;
  SimPolicy& policy_;
  std::mt19937_64 random_;
  SimTime now_ = 0;
  uint64_t last_event_number_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::vector<SimRequest> requests_;
  // By request.
  std::vector<RequestState> states_;
  // Rises with each Send() and cancellation, so that earlier events of the
  // request are ignored.
  std::vector<uint64_t> generations_;
  std::vector<bool> with_hops_;
  std::vector<Target> targets_;
};

// Baselines: every VM sends requests immediately, and targets queue them.
std::unique_ptr<SimPolicy> MakeRoundRobin();
std::unique_ptr<SimPolicy> MakeRandom();
std::unique_ptr<SimPolicy> MakeTwoChoices();
// An unattainable ideal: one queue for all VMs, which knows immediately when a
// slot is free, and zero network delay. It refuses on arrival a request that
// cannot meet its deadline. It knows the distribution of service times, but not
// the service time of a request.
std::unique_ptr<SimPolicy> MakeIdealQueue();
// marjoramhall: one RequestPlane per VM.
std::unique_ptr<SimPolicy> MakeRequestPlanePolicy();

}  // namespace marjoramhall::lab

#endif  // MARJORAMHALL_LAB_REQUEST_SIM_H_
