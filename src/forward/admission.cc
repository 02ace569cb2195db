// Concurrency limits that follow the observed response times.
#include "src/forward/admission.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>

namespace marjoramhall::forward {
namespace {

// The limit follows response times only while at least this fraction of it is
// in use. With fewer requests in progress, response times say nothing about the
// limit.
constexpr double kInUseFraction = 0.6;
// Bounds of one adjustment. A decrease uses the square root of the latency
// ratio, because the response times of one window are noisy and the other VMs
// decrease their limits at the same time.
constexpr double kMaxGrowthFactor = 2.0;
constexpr double kMaxDecreaseFactor = 0.75;
constexpr double kDecreaseExponent = 0.5;
// Factor per window by which an unused limit returns to the baseline limit.
constexpr double kUnusedDecayFactor = 0.8;
constexpr double kMinLimit = 1.0;
// Weight of a window in the baseline response times.
constexpr double kBaselineSmoothing = 0.1;

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

void Smooth(double* average, double value) {
  *average += *average == 0 ? value : kBaselineSmoothing * (value - *average);
}

}  // namespace

AdmissionController::ServiceState& AdmissionController::StateOf(
    ServiceId service) {
  const auto [it, is_new] = services_.try_emplace(ToInteger(service));
  if (is_new) {
    it->second.limit = options_.baseline_limit;
  }
  return it->second;
}

void AdmissionController::OnView(const View& view) {
  for (auto& [id, state] : services_) {
    state.priorities.clear();
  }
  std::unordered_map<uint32_t, uint32_t> slots;
  for (const Target& it : view.targets) {
    slots[ToInteger(it.service)] += TakesNewFlows(it) ? it.slots : 0;
  }
  for (const auto& [key, route] : view.routes) {
    for (const ServiceShare& it : route.services) {
      const uint32_t id = ToInteger(it.service);
      if (!services_.contains(id)) {
        StateOf(it.service).limit =
            std::max<double>(options_.baseline_limit, slots[id]);
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

bool AdmissionController::Admits(ServiceId service,
                                 const Route& route,
                                 const ServiceLoad& load) {
  ServiceState& state = StateOf(service);
  UpdateShare(state, load.slots);
  state.peak_in_progress =
      std::max(state.peak_in_progress, load.in_progress + 1);
  return load.in_progress + 1 <= CurrentLimitFor(service, route);
}

void AdmissionController::UpdateShare(ServiceState& state,
                                      uint32_t slots) const {
  if (traffic_share_ == 0) {
    state.share = std::numeric_limits<double>::infinity();
    return;
  }
  state.share =
      std::max(slots * options_.shared_requests_per_slot * traffic_share_,
               options_.min_share);
}

double AdmissionController::CurrentLimitFor(ServiceId service,
                                            const Route& route) const {
  const auto it = services_.find(ToInteger(service));
  const bool has_queue =
      it == services_.end() ||
      it->second.last_latency_ratio >= options_.no_queue_latency_ratio;
  const double limit = LimitFor(service, route) *
                       (has_queue ? 1.0 : options_.no_queue_limit_factor);
  return it == services_.end()
             ? limit
             : std::min(limit, std::max(it->second.share *
                                            FractionFor(it->second, route),
                                        kMinLimit));
}

void AdmissionController::OnResponse(ServiceId service,
                                     const Route& route,
                                     Duration elapsed,
                                     TimePoint now) {
  ServiceState& state = StateOf(service);
  if (state.response_seconds.empty()) {
    state.window_start = now;
  }
  const double seconds = ToSeconds(elapsed);
  double acceptable =
      ToSeconds(route.latency_objective) * options_.objective_fraction;
  if (state.baseline_median_seconds > 0) {
    const double usual = state.baseline_median_seconds;
    const double longest = usual * options_.max_baseline_multiple;
    acceptable =
        acceptable > 0
            ? std::clamp(acceptable, usual * options_.min_baseline_multiple,
                         longest)
            : longest;
  }
  state.response_seconds.push_back(seconds);
  // Without a latency objective the first window only sets the baseline.
  state.latency_ratios.push_back(
      acceptable > 0
          ? seconds /
                std::max(acceptable, ToSeconds(options_.min_acceptable_latency))
          : 0);
  // A window lasts at least one mean response time, so that it shows the effect
  // of the last adjustment.
  if (state.response_seconds.size() >= options_.min_window_responses &&
      ToSeconds(now - state.window_start) >=
          std::max(ToSeconds(options_.min_window_duration),
                   MeanOf(state.response_seconds))) {
    EndWindow(state, now);
  }
}

void AdmissionController::EndWindow(ServiceState& state, TimePoint now) {
  const double latency_ratio = MedianOf(state.latency_ratios);
  state.responses_per_second =
      static_cast<double>(state.response_seconds.size()) /
      ToSeconds(now - state.window_start);
  const bool in_use = state.peak_in_progress >= kInUseFraction * state.limit;
  if (in_use) {
    const double exponent = latency_ratio > 1.0 ? kDecreaseExponent : 1.0;
    state.limit *= std::clamp(std::pow(latency_ratio, -exponent),
                              kMaxDecreaseFactor, kMaxGrowthFactor);
  } else if (state.limit < BaselineLimit(state)) {
    state.limit =
        std::min(state.limit * kMaxGrowthFactor, BaselineLimit(state));
  } else {
    state.limit =
        std::max(state.limit * kUnusedDecayFactor, BaselineLimit(state));
  }
  state.limit = std::max(state.limit, kMinLimit);
  if (!in_use || state.baseline_mean_seconds == 0) {
    Smooth(&state.baseline_mean_seconds, MeanOf(state.response_seconds));
    Smooth(&state.baseline_median_seconds, MedianOf(state.response_seconds));
  }
  state.last_latency_ratio = latency_ratio;
  state.peak_in_progress = 0;
  state.response_seconds.clear();
  state.latency_ratios.clear();
}

Duration AdmissionController::EstimatedWait(ServiceId service,
                                            size_t before) const {
  const auto it = services_.find(ToInteger(service));
  if (it == services_.end() || it->second.responses_per_second == 0) {
    return Duration{0};
  }
  const double seconds =
      static_cast<double>(before + 1) / it->second.responses_per_second;
  return FromSeconds(seconds);
}

Duration AdmissionController::OverdueAfter(ServiceId service,
                                           const Route& route) const {
  const Duration max_delay = route.timeout > Duration{0}
                                 ? route.timeout
                                 : options_.default_overdue_delay;
  const auto it = services_.find(ToInteger(service));
  if (it == services_.end() || it->second.baseline_mean_seconds == 0) {
    return max_delay;
  }
  const auto delay = FromSeconds(it->second.baseline_mean_seconds *
                                 options_.overdue_baseline_multiple);
  return std::min(delay, max_delay);
}

double AdmissionController::LimitFor(ServiceId service,
                                     const Route& route) const {
  const auto state = services_.find(ToInteger(service));
  if (state == services_.end()) {
    return options_.baseline_limit;
  }
  return std::max(state->second.limit * FractionFor(state->second, route),
                  kMinLimit);
}

double AdmissionController::FractionFor(const ServiceState& state,
                                        const Route& route) const {
  const std::vector<uint32_t>& priorities = state.priorities;
  const auto it =
      std::lower_bound(priorities.begin(), priorities.end(), route.priority);
  if (priorities.size() <= 1 || it == priorities.end()) {
    return 1.0;
  }
  const double rank = static_cast<double>(it - priorities.begin()) /
                      static_cast<double>(priorities.size() - 1);
  return 1.0 - rank * (1.0 - options_.lowest_priority_fraction);
}

}  // namespace marjoramhall::forward
