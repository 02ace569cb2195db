// Conversion of the known targets and the configuration to a view.
#include <algorithm>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

#include "src/discovery/target_registry.h"

namespace marjoramhall::discovery {

using forward::TargetState;

forward::ViewPtr TargetRegistry::MakeView() const {
  auto view = std::make_shared<forward::View>();
  view->config_version = config_.version;
  view->flow_idle_timeout = config_.flow_idle_timeout;
  for (const RouteRecord& it : config_.routes) {
    forward::Route route;
    route.name = it.name;
    route.idempotency = it.idempotency;
    route.priority = it.priority;
    route.timeout = it.timeout;
    route.latency_objective = it.latency_objective;
    for (const ShareRecord& share : it.shares) {
      route.services.push_back({FindService(share.service), share.weight});
    }
    view->routes[forward::RouteKeyOf(it.address.address.ToV4(),
                                     it.address.port)] = std::move(route);
  }
  std::unordered_map<ServiceId, double> warm_up_request_rates;
  for (const ServiceRecord& it : config_.services) {
    warm_up_request_rates[FindService(it.name)] = it.warm_up_request_rate;
  }
  std::set<forward::TargetToken> assigned;
  std::vector<std::string> domains;  // of the view's targets
  for (const Entry* it : InOrderOfPrecedence()) {
    const Entry& entry = *it;
    const auto token = TokenOf(entry.record.instance);
    if (!assigned.insert(token).second) {
      continue;
    }
    forward::Target target;
    target.token = token;
    target.instance = entry.record.instance;
    target.id = entry.record.id;
    target.service = FindService(entry.record.service);
    target.address = entry.record.address.address.ToV4();
    target.port = entry.record.address.port;
    target.in_own_domain =
        entry.record.failure_domain == options_.failure_domain;
    target.slots = std::max(entry.record.slots, uint32_t{1});
    target.state = entry.is_displaced ? TargetState::kRetired : entry.state;
    target.gone = entry.is_displaced ||
                  (entry.state == TargetState::kRetired && entry.gone);
    target.warm_up_until = entry.warm_up_until;
    if (const auto rate = warm_up_request_rates.find(target.service);
        rate != warm_up_request_rates.end()) {
      target.warm_up_request_rate = rate->second;
    }
    view->targets.push_back(std::move(target));
    domains.push_back(entry.record.failure_domain);
  }
  evacuations_.Mark(domains, &view->targets);
  return view;
}

std::vector<const TargetRegistry::Entry*> TargetRegistry::InOrderOfPrecedence()
    const {
  std::vector<const Entry*> entries;
  entries.reserve(targets_.size());
  for (const auto& [key, entry] : targets_) {
    entries.push_back(&entry);
  }
  const auto precedence = [](const Entry& entry) {
    const bool is_retired =
        entry.is_displaced || entry.state == TargetState::kRetired;
    const bool is_start_unknown = entry.record.start_time_ms == 0;
    return std::tuple(!entry.is_configured, is_retired, is_start_unknown,
                      entry.record.start_time_ms, entry.record.instance,
                      entry.record.address, ~entry.record.sequence,
                      !entry.record.draining);
  };
  std::stable_sort(entries.begin(), entries.end(),
                   [&](const Entry* a, const Entry* b) {
                     return precedence(*a) < precedence(*b);
                   });
  return entries;
}

}  // namespace marjoramhall::discovery
