// Baseline policies for the request experiment.
#include <algorithm>
#include <cmath>
#include <map>

#include "lab/request_sim.h"

namespace marjoramhall::lab {
namespace {

// Base of the policies that send each request immediately to the target that
// Pick() returns, and cancel it at its deadline.
class ImmediateSendPolicy : public SimPolicy {
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
  // Returns the index of a target among the `n` targets from `first` on.
  virtual size_t Pick(RequestSim& sim, size_t vm, size_t first, size_t n) = 0;

  // Requests in flight, by VM and target.
  std::map<std::pair<size_t, size_t>, int> in_flight_;
};

class RoundRobinPolicy : public ImmediateSendPolicy {
  size_t Pick(RequestSim&, size_t vm, size_t first, size_t n) override {
    return next_[{vm, first}]++ % n;
  }
  std::map<std::pair<size_t, size_t>, size_t> next_;
};

class RandomPolicy : public ImmediateSendPolicy {
  size_t Pick(RequestSim& sim, size_t, size_t, size_t n) override {
    return sim.random()() % n;
  }
};

class TwoChoicesPolicy : public ImmediateSendPolicy {
  size_t Pick(RequestSim& sim, size_t vm, size_t first, size_t n) override {
    const size_t a = sim.random()() % n;
    const size_t b = sim.random()() % n;
    return in_flight_[{vm, first + b}] < in_flight_[{vm, first + a}] ? b : a;
  }
};

class IdealQueuePolicy : public SimPolicy {
 public:
  void Start(RequestSim& sim) override {
    services_.resize(sim.config().targets.size());
    for (size_t i = 0; i < services_.size(); ++i) {
      services_[i].free_slots.assign(sim.config().targets[i],
                                     sim.config().slots);
      services_[i].slots =
          static_cast<double>(sim.config().targets[i]) * sim.config().slots;
    }
  }

  void OnArrival(RequestSim& sim, size_t request) override {
    const SimKind& kind = sim.config().kinds[sim.request(request).kind];
    Service& service = services_[kind.service];
    // Mean time that requests occupied a slot. It is measured because cancelled
    // requests occupy a slot for less than their service time.
    const double mean = service.ended_count > 0
                            ? service.slot_time_us / service.ended_count
                            : kind.MeanUs();
    const double queued_us = static_cast<double>(service.queue.size()) * mean;
    if (queued_us / service.slots + P90ServiceTimeUs(kind) >
        static_cast<double>(kind.deadline)) {
      sim.End(request, SimRequest::End::kRefused);
      return;
    }
    service.queue.push_back(request);
    Dispatch(sim, kind.service);
  }

  void OnAnswer(RequestSim& sim, size_t request, size_t target) override {
    sim.End(request, SimRequest::End::kAnswered);
    ReleaseSlot(sim, request, target);
  }

  void OnCancelled(RequestSim& sim, size_t request, size_t target) override {
    sim.End(request, SimRequest::End::kLate);
    ReleaseSlot(sim, request, target);
  }

 private:
  struct Service {
    std::deque<size_t> queue;
    std::vector<uint32_t> free_slots;
    double slots = 0;
    // Slot time and number of ended requests. Both are halved at 1000 requests,
    // so that recent ones weigh more.
    double slot_time_us = 0;
    double ended_count = 0;
  };

  // 90th percentile of the service time; 1.2816 is the quantile of the standard
  // normal distribution.
  static double P90ServiceTimeUs(const SimKind& kind) {
    return kind.median_us * std::exp(1.2816 * kind.sigma);
  }

  void ReleaseSlot(RequestSim& sim, size_t request, size_t target) {
    const size_t service =
        sim.config().kinds[sim.request(request).kind].service;
    Service& it = services_[service];
    ++it.free_slots[target - sim.FirstTarget(service)];
    it.slot_time_us += static_cast<double>(sim.now() - sent_at_[request]);
    if (++it.ended_count >= 1000) {
      it.slot_time_us /= 2;
      it.ended_count /= 2;
    }
    Dispatch(sim, service);
  }

  void Dispatch(RequestSim& sim, size_t index) {
    Service& service = services_[index];
    while (!service.queue.empty()) {
      const auto most_free = std::max_element(service.free_slots.begin(),
                                              service.free_slots.end());
      if (*most_free == 0) {
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
      --*most_free;
      const size_t target =
          sim.FirstTarget(index) +
          static_cast<size_t>(most_free - service.free_slots.begin());
      sent_at_[request] = sim.now();
      sim.Send(request, target, false);
      sim.At(end, [&sim, request, target] {
        if (sim.request(request).end == SimRequest::End::kNone) {
          sim.Cancel(request, target);
        }
      });
    }
  }

  std::vector<Service> services_;
  std::map<size_t, SimTime> sent_at_;
};

}  // namespace

std::unique_ptr<SimPolicy> MakeRoundRobin() {
  return std::make_unique<RoundRobinPolicy>();
}

std::unique_ptr<SimPolicy> MakeRandom() {
  return std::make_unique<RandomPolicy>();
}

std::unique_ptr<SimPolicy> MakeTwoChoices() {
  return std::make_unique<TwoChoicesPolicy>();
}

std::unique_ptr<SimPolicy> MakeIdealQueue() {
  return std::make_unique<IdealQueuePolicy>();
}

}  // namespace marjoramhall::lab
