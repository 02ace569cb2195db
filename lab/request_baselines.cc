// Baseline policies of the request experiment.
#include <algorithm>
#include <cmath>
#include <map>

#include "lab/request_sim.h"

namespace marjoramhall::lab {
namespace {

// Sends each request at once to the target that `pick` names; at the deadline
// the request is cancelled.
class Eager : public SimPolicy {
 public:
  void OnArrival(RequestSim& sim, size_t request) override {
    const SimRequest& it = sim.request(request);
    const size_t service = sim.config().kinds[it.kind].service;
    const size_t first = sim.FirstTarget(service);
    const size_t target =
        first + Pick(sim, it.vm, first, sim.config().targets[service]);
    ++in_flight_[{it.vm, target}];
    sim.Send(request, target);
    const SimTime deadline = sim.config().kinds[it.kind].deadline;
    sim.At(sim.now() + deadline, [this, &sim, request, target] {
      if (sim.request(request).end == SimRequest::End::kNone) {
        --in_flight_[{sim.request(request).vm, target}];
        sim.End(request, SimRequest::End::kLate);
        sim.Cancel(request, target);
      }
    });
  }

  void OnAnswer(RequestSim& sim, size_t request, size_t target) override {
    if (sim.request(request).end == SimRequest::End::kNone) {
      --in_flight_[{sim.request(request).vm, target}];
      sim.End(request, SimRequest::End::kAnswered);
    }
  }

 protected:
  virtual size_t Pick(RequestSim& sim, size_t vm, size_t first, size_t n) = 0;

  // What each VM has in flight at each target.
  std::map<std::pair<size_t, size_t>, int> in_flight_;
};

class RoundRobin : public Eager {
  size_t Pick(RequestSim&, size_t vm, size_t first, size_t n) override {
    return next_[{vm, first}]++ % n;
  }
  std::map<std::pair<size_t, size_t>, size_t> next_;
};

class Random : public Eager {
  size_t Pick(RequestSim& sim, size_t, size_t, size_t n) override {
    return sim.random()() % n;
  }
};

class TwoChoices : public Eager {
  size_t Pick(RequestSim& sim, size_t vm, size_t first, size_t n) override {
    const size_t a = sim.random()() % n;
    const size_t b = sim.random()() % n;
    return in_flight_[{vm, first + b}] < in_flight_[{vm, first + a}] ? b : a;
  }
};

class IdealQueue : public SimPolicy {
 public:
  void Start(RequestSim& sim) override {
    services_.resize(sim.config().targets.size());
    for (size_t i = 0; i < services_.size(); ++i) {
      services_[i].free.assign(sim.config().targets[i], sim.config().slots);
      services_[i].slots =
          static_cast<double>(sim.config().targets[i]) * sim.config().slots;
    }
  }

  void OnArrival(RequestSim& sim, size_t request) override {
    const SimKind& kind = sim.config().kinds[sim.request(request).kind];
    Service& service = services_[kind.service];
    // Time that a request holds a slot, as measured: cancelled ones hold it for
    // less than they need.
    const double mean =
        service.ended > 0 ? service.held / service.ended : kind.MeanUs();
    const double ahead = static_cast<double>(service.queue.size()) * mean;
    if (ahead / service.slots + MarginUs(kind) >
        static_cast<double>(kind.deadline)) {
      sim.End(request, SimRequest::End::kRefused);
      return;
    }
    service.queue.push_back(request);
    Dispatch(sim, kind.service);
  }

  void OnAnswer(RequestSim& sim, size_t request, size_t target) override {
    sim.End(request, SimRequest::End::kAnswered);
    Free(sim, request, target);
  }

  void OnCancelled(RequestSim& sim, size_t request, size_t target) override {
    sim.End(request, SimRequest::End::kLate);
    Free(sim, request, target);
  }

 private:
  struct Service {
    std::deque<size_t> queue;
    std::vector<uint32_t> free;
    double slots = 0;
    // Sums over recent requests, halved now and then.
    double held = 0;
    double ended = 0;
  };

  // Nine of ten requests need less.
  static double MarginUs(const SimKind& kind) {
    return kind.median_us * std::exp(1.2816 * kind.sigma);
  }

  void Free(RequestSim& sim, size_t request, size_t target) {
    const size_t service =
        sim.config().kinds[sim.request(request).kind].service;
    Service& it = services_[service];
    ++it.free[target - sim.FirstTarget(service)];
    it.held += static_cast<double>(sim.now() - started_[request]);
    if (++it.ended >= 1000) {
      it.held /= 2;
      it.ended /= 2;
    }
    Dispatch(sim, service);
  }

  void Dispatch(RequestSim& sim, size_t index) {
    Service& service = services_[index];
    while (!service.queue.empty()) {
      const auto most =
          std::max_element(service.free.begin(), service.free.end());
      if (*most == 0) {
        return;
      }
      const size_t request = service.queue.front();
      service.queue.pop_front();
      const SimKind& kind = sim.config().kinds[sim.request(request).kind];
      const SimTime end = sim.request(request).arrived + kind.deadline;
      if (static_cast<double>(sim.now()) + kind.median_us >
          static_cast<double>(end)) {
        sim.End(request, SimRequest::End::kRefused);
        continue;
      }
      --*most;
      const size_t target = sim.FirstTarget(index) +
                            static_cast<size_t>(most - service.free.begin());
      started_[request] = sim.now();
      sim.Send(request, target, false);
      sim.At(end, [&sim, request, target] {
        if (sim.request(request).end == SimRequest::End::kNone) {
          sim.Cancel(request, target);
        }
      });
    }
  }

  std::vector<Service> services_;
  std::map<size_t, SimTime> started_;
};

}  // namespace

std::unique_ptr<SimPolicy> MakeRoundRobin() {
  return std::make_unique<RoundRobin>();
}

std::unique_ptr<SimPolicy> MakeRandom() {
  return std::make_unique<Random>();
}

std::unique_ptr<SimPolicy> MakeTwoChoices() {
  return std::make_unique<TwoChoices>();
}

std::unique_ptr<SimPolicy> MakeIdealQueue() {
  return std::make_unique<IdealQueue>();
}

}  // namespace marjoramhall::lab
