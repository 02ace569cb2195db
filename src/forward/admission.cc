// A limit on requests in progress that follows response times.
#include "src/forward/admission.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace marjoramhall::forward {
namespace {

// The limit follows response times only while this part of it is in use; with
// less work in progress they say nothing about it.
constexpr double kInUse = 0.6;
// Bounds of one adjustment. A cut takes the root of the pressure, since
// response times of one window are noisy and the other VMs cut at the same
// time.
constexpr double kLargestGrowth = 2.0;
constexpr double kLargestCut = 0.75;
constexpr double kCutExponent = 0.5;
// A limit that is not in use returns to the idle one by this factor a window.
constexpr double kReturn = 0.8;
constexpr double kLeastLimit = 1.0;
// Weight of a window in the usual response times.
constexpr double kUsualSmoothing = 0.1;

double Seconds(Duration span) {
  return std::chrono::duration<double>(span).count();
}

double MeanOf(const std::vector<double>& values) {
  return std::accumulate(values.begin(), values.end(), 0.0) /
         static_cast<double>(values.size());
}

// Changes the order of the values.
double MedianOf(std::vector<double>& values) {
  const auto middle =
      values.begin() + static_cast<ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

void Smooth(double* usual, double value) {
  *usual += *usual == 0 ? value : kUsualSmoothing * (value - *usual);
}

}  // namespace

Admission::ServiceState& Admission::StateOf(ServiceId service) {
  const auto [it, is_new] = services_.try_emplace(ToInteger(service));
  if (is_new) {
    it->second.limit = options_.idle_limit;
  }
  return it->second;
}

void Admission::OnView(const View& view) {
  for (auto& [id, state] : services_) {
    state.priorities.clear();
  }
  std::unordered_map<uint32_t, uint32_t> slots;
  for (const Target& it : view.targets) {
    slots[ToInteger(it.service)] += TakesNewFlows(it.state) ? it.slots : 0;
  }
  for (const auto& [key, route] : view.routes) {
    for (const ServiceShare& it : route.services) {
      const uint32_t id = ToInteger(it.service);
      if (!services_.contains(id)) {
        StateOf(it.service).limit =
            std::max<double>(options_.idle_limit, slots[id]);
      }
      StateOf(it.service).priorities.push_back(route.priority);
    }
  }
  for (auto& [id, state] : services_) {
    std::sort(state.priorities.begin(), state.priorities.end());
    state.priorities.erase(
        std::unique(state.priorities.begin(), state.priorities.end()),
        state.priorities.end());
  }
}

bool Admission::Admits(ServiceId service,
                       const Route& route,
                       uint32_t in_progress) {
  ServiceState& state = StateOf(service);
  state.most_in_progress = std::max(state.most_in_progress, in_progress + 1);
  return in_progress + 1 <= AllowedNow(service, route);
}

double Admission::AllowedNow(ServiceId service, const Route& route) const {
  const auto it = services_.find(ToInteger(service));
  const bool has_queue =
      it == services_.end() || it->second.last_pressure >= options_.no_queue;
  return LimitOf(service, route) * (has_queue ? 1.0 : options_.no_queue_part);
}

void Admission::OnResponse(ServiceId service,
                           const Route& route,
                           Duration span,
                           TimePoint now) {
  ServiceState& state = StateOf(service);
  if (state.seconds.empty()) {
    state.window_began = now;
  }
  const double seconds = Seconds(span);
  double longest = Seconds(route.latency_objective) * options_.objective_part;
  if (state.usual_median > 0) {
    const double queued = state.usual_median * options_.longest_wait;
    longest = longest > 0 ? std::min(longest, queued) : queued;
  }
  state.seconds.push_back(seconds);
  // Without an objective the first window tells what is usual.
  state.pressures.push_back(
      longest > 0 ? seconds / std::max(longest, Seconds(options_.shortest_wait))
                  : 0);
  // Not before the effect of the last adjustment can be seen.
  if (state.seconds.size() >= options_.window_responses &&
      Seconds(now - state.window_began) >=
          std::max(Seconds(options_.shortest_window), MeanOf(state.seconds))) {
    EndWindow(state);
  }
}

void Admission::EndWindow(ServiceState& state) {
  const double pressure = MedianOf(state.pressures);
  const bool in_use = state.most_in_progress >= kInUse * state.limit;
  if (in_use) {
    const double exponent = pressure > 1.0 ? kCutExponent : 1.0;
    state.limit *=
        std::clamp(std::pow(pressure, -exponent), kLargestCut, kLargestGrowth);
  } else if (state.limit < options_.idle_limit) {
    state.limit = std::min(state.limit * kLargestGrowth, options_.idle_limit);
  } else {
    state.limit = std::max(state.limit * kReturn, options_.idle_limit);
  }
  state.limit = std::max(state.limit, kLeastLimit);
  if (!in_use || state.usual_mean == 0) {
    Smooth(&state.usual_mean, MeanOf(state.seconds));
    Smooth(&state.usual_median, MedianOf(state.seconds));
  }
  state.last_pressure = pressure;
  state.most_in_progress = 0;
  state.seconds.clear();
  state.pressures.clear();
}

Duration Admission::OverdueAfter(ServiceId service, const Route& route) const {
  const Duration longest =
      route.timeout > Duration{0} ? route.timeout : options_.longest_work;
  const auto it = services_.find(ToInteger(service));
  if (it == services_.end() || it->second.usual_mean == 0) {
    return longest;
  }
  const auto overdue = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(it->second.usual_mean * options_.overdue));
  return std::min(overdue, longest);
}

double Admission::LimitOf(ServiceId service, const Route& route) const {
  const auto state = services_.find(ToInteger(service));
  if (state == services_.end()) {
    return options_.idle_limit;
  }
  const std::vector<uint32_t>& priorities = state->second.priorities;
  const auto it =
      std::lower_bound(priorities.begin(), priorities.end(), route.priority);
  double part = 1.0;
  if (priorities.size() > 1 && it != priorities.end()) {
    const double rank = static_cast<double>(it - priorities.begin()) /
                        static_cast<double>(priorities.size() - 1);
    part = 1.0 - rank * (1.0 - options_.lowest_priority_part);
  }
  return std::max(state->second.limit * part, kLeastLimit);
}

}  // namespace marjoramhall::forward
