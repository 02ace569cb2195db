// Event loop, arrivals and targets of the simulation.
#include "lab/request_sim.h"

#include <algorithm>
#include <cmath>

namespace marjoramhall::lab {

double SimKind::MeanUs() const {
  return median_us * std::exp(sigma * sigma / 2) *
         (1 - straggler_ratio + straggler_ratio * straggler_factor);
}

RequestSim::RequestSim(SimConfig config, SimPolicy& policy)
    : config_(std::move(config)), policy_(policy), random_(config_.seed) {
  size_t count = 0;
  for (const size_t it : config_.targets) {
    count += it;
  }
  targets_.resize(count);
}

size_t RequestSim::FirstTarget(size_t service) const {
  size_t first = 0;
  for (size_t i = 0; i < service; ++i) {
    first += config_.targets[i];
  }
  return first;
}

void RequestSim::At(SimTime time, std::function<void()> action) {
  events_.push({std::max(time, now_), ++last_event_number_, std::move(action)});
}

SimTime RequestSim::HopTime(size_t vm, size_t target) const {
  return vm % config_.domains == target % config_.domains ? config_.local_hop_us
                                                          : config_.hop_us;
}

void RequestSim::Run() {
  policy_.Start(*this);
  NextArrival();
  // Arrivals end at config_.length. Requests in flight get 15 s more to end.
  while (!events_.empty() && events_.top().at < config_.length + 15000000) {
    const Event event = events_.top();
    events_.pop();
    now_ = event.at;
    event.action();
  }
}

void RequestSim::NextArrival() {
  // Non-homogeneous Poisson process by thinning: candidates arrive at the
  // maximum rate, and each is accepted with the ratio of the current rate to
  // the maximum.
  std::exponential_distribution<double> gap(config_.max_rate / 1e6);
  const SimTime at = now_ + static_cast<SimTime>(gap(random_)) + 1;
  if (at >= config_.length) {
    return;
  }
  At(at, [this] {
    NextArrival();
    double remaining_rate =
        std::uniform_real_distribution<double>(0, config_.max_rate)(random_);
    for (size_t i = 0; i < config_.kinds.size(); ++i) {
      remaining_rate -= config_.rate(i, now_);
      if (remaining_rate >= 0) {
        continue;
      }
      const SimKind& kind = config_.kinds[i];
      SimRequest request;
      request.kind = i;
      request.vm = random_() % config_.vms;
      request.arrived = now_;
      double us = kind.median_us * std::exp(std::normal_distribution<double>(
                                       0, kind.sigma)(random_));
      if (std::uniform_real_distribution<double>(0, 1)(random_) <
          kind.straggler_ratio) {
        us *= kind.straggler_factor;
      }
      request.service_us = static_cast<SimTime>(us) + 1;
      requests_.push_back(request);
      states_.push_back(RequestState::kNone);
      generations_.push_back(0);
      with_hops_.push_back(true);
      policy_.OnArrival(*this, requests_.size() - 1);
      return;
    }
  });
}

void RequestSim::Send(size_t request, size_t target, bool with_hops) {
  with_hops_[request] = with_hops;
  const SimTime delay = with_hops ? HopTime(requests_[request].vm, target) : 0;
  const uint64_t generation = ++generations_[request];
  At(now_ + delay, [this, request, target, generation] {
    if (generations_[request] == generation) {
      states_[request] = RequestState::kQueued;
      targets_[target].queue.push_back(request);
      StartQueued(target);
    }
  });
}

void RequestSim::StartQueued(size_t index) {
  Target& target = targets_[index];
  while (target.busy < config_.slots && !target.queue.empty()) {
    const size_t request = target.queue.front();
    target.queue.pop_front();
    states_[request] = RequestState::kRunning;
    ++target.busy;
    const bool cold = index < config_.cold_targets &&
                      now_ >= config_.cold_from && now_ < config_.cold_until;
    const auto service_time = static_cast<SimTime>(
        static_cast<double>(requests_[request].service_us) *
        (cold ? config_.cold_factor : 1));
    const uint64_t generation = generations_[request];
    At(now_ + service_time, [this, request, index, generation] {
      Finish(request, index, generation);
    });
  }
}

void RequestSim::Finish(size_t request, size_t target, uint64_t generation) {
  if (generations_[request] != generation) {
    return;
  }
  states_[request] = RequestState::kNone;
  --targets_[target].busy;
  const SimTime delay =
      with_hops_[request] ? HopTime(requests_[request].vm, target) : 0;
  At(now_ + delay, [this, request, target, generation] {
    if (generations_[request] == generation) {
      policy_.OnAnswer(*this, request, target);
    }
  });
  StartQueued(target);
}

void RequestSim::Cancel(size_t request, size_t index) {
  const SimTime delay =
      with_hops_[request] ? HopTime(requests_[request].vm, index) : 0;
  const uint64_t generation = generations_[request];
  At(now_ + delay, [this, request, index, generation, delay] {
    if (generations_[request] != generation) {
      return;
    }
    Target& target = targets_[index];
    ++generations_[request];
    if (states_[request] == RequestState::kRunning) {
      --target.busy;
    } else if (states_[request] == RequestState::kQueued) {
      std::erase(target.queue, request);
    }
    states_[request] = RequestState::kNone;
    StartQueued(index);
    At(now_ + delay,
       [this, request, index] { policy_.OnCancelled(*this, request, index); });
  });
}

void RequestSim::End(size_t request, SimRequest::End end) {
  SimRequest& it = requests_[request];
  if (it.end != SimRequest::End::kNone) {
    return;
  }
  it.ended = now_;
  it.end = end;
  if (end == SimRequest::End::kAnswered &&
      now_ - it.arrived > config_.kinds[it.kind].deadline) {
    it.end = SimRequest::End::kLate;
  }
}

}  // namespace marjoramhall::lab
