// Model of targets and load in virtual time.
#include "lab/request_sim.h"

#include <algorithm>
#include <cmath>

namespace marjoramhall::lab {

double SimKind::MeanUs() const {
  return median_us * std::exp(sigma * sigma / 2) *
         (1 - straggler_part + straggler_part * straggler_times);
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
  events_.push({std::max(time, now_), ++order_, std::move(action)});
}

SimTime RequestSim::Hop(size_t vm, size_t target) const {
  return vm % config_.domains == target % config_.domains ? config_.local_hop_us
                                                          : config_.hop_us;
}

void RequestSim::Run() {
  policy_.Start(*this);
  NextArrival();
  // Requests that arrived before the end are followed to theirs.
  while (!events_.empty() && events_.top().at < config_.length + 15000000) {
    const Event event = events_.top();
    events_.pop();
    now_ = event.at;
    event.action();
  }
}

void RequestSim::NextArrival() {
  // Thinning: candidates at the top rate, each kept with the chance of now.
  std::exponential_distribution<double> gap(config_.top_rate / 1e6);
  const SimTime at = now_ + static_cast<SimTime>(gap(random_)) + 1;
  if (at >= config_.length) {
    return;
  }
  At(at, [this] {
    NextArrival();
    double pick =
        std::uniform_real_distribution<double>(0, config_.top_rate)(random_);
    for (size_t i = 0; i < config_.kinds.size(); ++i) {
      pick -= config_.rate(i, now_);
      if (pick >= 0) {
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
          kind.straggler_part) {
        us *= kind.straggler_times;
      }
      request.service_us = static_cast<SimTime>(us) + 1;
      requests_.push_back(request);
      places_.push_back(Place::kNone);
      runs_.push_back(0);
      hops_.push_back(true);
      policy_.OnArrival(*this, requests_.size() - 1);
      return;
    }
  });
}

void RequestSim::Send(size_t request, size_t target, bool hops) {
  hops_[request] = hops;
  const SimTime way = hops ? Hop(requests_[request].vm, target) : 0;
  const uint64_t run = ++runs_[request];
  At(now_ + way, [this, request, target, run] {
    if (runs_[request] == run) {
      places_[request] = Place::kQueued;
      targets_[target].queue.push_back(request);
      Serve(target);
    }
  });
}

void RequestSim::Serve(size_t index) {
  Target& target = targets_[index];
  while (target.busy < config_.slots && !target.queue.empty()) {
    const size_t request = target.queue.front();
    target.queue.pop_front();
    places_[request] = Place::kServed;
    ++target.busy;
    const bool cold = index < config_.cold_targets &&
                      now_ >= config_.cold_from && now_ < config_.cold_until;
    const auto needed = static_cast<SimTime>(
        static_cast<double>(requests_[request].service_us) *
        (cold ? config_.cold_times : 1));
    const uint64_t run = runs_[request];
    At(now_ + needed,
       [this, request, index, run] { Finish(request, index, run); });
  }
}

void RequestSim::Finish(size_t request, size_t target, uint64_t run) {
  if (runs_[request] != run) {
    return;
  }
  places_[request] = Place::kNone;
  --targets_[target].busy;
  const SimTime way = hops_[request] ? Hop(requests_[request].vm, target) : 0;
  At(now_ + way, [this, request, target, run] {
    if (runs_[request] == run) {
      policy_.OnAnswer(*this, request, target);
    }
  });
  Serve(target);
}

void RequestSim::Cancel(size_t request, size_t index) {
  const SimTime way = hops_[request] ? Hop(requests_[request].vm, index) : 0;
  const uint64_t run = runs_[request];
  At(now_ + way, [this, request, index, run, way] {
    if (runs_[request] != run) {
      return;
    }
    Target& target = targets_[index];
    ++runs_[request];
    if (places_[request] == Place::kServed) {
      --target.busy;
    } else if (places_[request] == Place::kQueued) {
      std::erase(target.queue, request);
    }
    places_[request] = Place::kNone;
    Serve(index);
    At(now_ + way,
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
