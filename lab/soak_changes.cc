// Changes to targets and routes during a soak test.
#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

#include "lab/soak_environment_impl.h"

namespace marjoramhall::lab {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint32_t kTargetNetwork = 0x7f000500;  // 127.0.5.0
// Least time for which a target drains before it ends; above the platform's
// bound for new flows.
constexpr Duration kDrainToLeaveDelay = milliseconds(3500);
// Time until missed heartbeats remove the store entry of a crashed target.
constexpr Duration kCrashToUnlistDelay = milliseconds(2500);
constexpr int kTargetsPerService = 5;
// The store may execute a write whose response is lost this much later.
constexpr uint32_t kMaxWriteDelayMs = 6000;
// Within this time a target corrects its entry in the store.
constexpr uint32_t kHeartbeatMs = 770;

}  // namespace

std::string SoakEnvironment::Open() {
  std::string error = send_socket_.Open({IpAddress::FromV4(kClientAddress), 0});
  if (error.empty()) {
    error = client_socket_.Open({IpAddress::FromV4(kClientAddress),
                                 vms_.all()[0].packet_endpoint.port});
  }
  if (!error.empty()) {
    return error;
  }
  for (const char* service : {"short", "long"}) {
    for (int i = 0; i < kTargetsPerService; ++i) {
      AddTarget(service, {});
    }
  }
  for (int i = 0; i < kFixedRoutes; ++i) {
    RouteState route;
    route.record.name = "route-" + std::to_string(i);
    route.record.address = {IpAddress::FromV4(kServiceAddress),
                            static_cast<uint16_t>(kFirstRoutePort + i)};
    route.record.shares = {{i == 0 ? "short" : "long", 1}};
    routes_.push_back(route);
  }
  upload_route_ = std::make_unique<RouteState>();
  upload_route_->record = routes_.back().record;
  upload_route_->record.name = "uploads";
  upload_route_->record.address.port = kUploadRoutePort;
  ChangeConfig(SteadyNow());
  return "";
}

SoakEnvironment::Target& SoakEnvironment::AddTarget(const std::string& service,
                                                    const Endpoint& address) {
  auto target = std::make_unique<Target>();
  discovery::TargetRecord& record = target->record;
  record.instance = next_instance_++;
  char id[32];
  std::snprintf(id, sizeof(id), "i-%08llx",
                static_cast<unsigned long long>(record.instance));
  record.id = id;
  record.service = service;
  record.slots = 2;
  record.failure_domain = Random(2) == 0 ? "a" : "b";
  record.start_time_ms = ++last_start_time_ms_;
  if (address.port != 0) {
    target->socket.Open(address);
  } else {
    target->socket.Open(
        {IpAddress::FromV4(kTargetNetwork + next_target_address_++), 0});
  }
  record.address = target->socket.LocalEndpoint();
  target->added_at = SteadyNow();
  target->report = store_.PutTarget(record);
  targets_.push_back(std::move(target));
  return *targets_.back();
}

SoakEnvironment::Target* SoakEnvironment::FindTarget(uint64_t instance) {
  for (const auto& it : targets_) {
    if (it->record.instance == instance) {
      return it.get();
    }
  }
  return nullptr;
}

void SoakEnvironment::ReplaceTarget(TimePoint now) {
  Target& old = *targets_[Random(static_cast<uint32_t>(targets_.size()))];
  if (!old.alive || old.record.draining) {
    return;
  }
  AddTarget(old.record.service, {});
  Target& leaving = *FindTarget(old.record.instance);
  leaving.record.draining = true;
  leaving.draining_since = now;
  leaving.leaves_at = now + kDrainToLeaveDelay + milliseconds(Random(2000));
  leaving.report = store_.PutTarget(leaving.record);
}

void SoakEnvironment::CrashTarget(TimePoint now) {
  Target& target = *targets_[Random(static_cast<uint32_t>(targets_.size()))];
  if (!target.alive || target.record.draining) {
    return;
  }
  target.alive = false;
  target.unlisted_at = now + kCrashToUnlistDelay;
  AddTarget(target.record.service, {});
}

void SoakEnvironment::ReuseAddress(TimePoint now) {
  for (const auto& it : targets_) {
    if (!it->alive && !it->listed && it->socket.fd() >= 0 &&
        now - it->unlisted_at >= seconds(2)) {
      const Endpoint address = it->record.address;
      const std::string other =
          it->record.service == "short" ? "long" : "short";
      it->socket.Close();
      AddTarget(other, address);
      return;
    }
  }
}

int SoakEnvironment::CountTargetsOutside(const std::string& service,
                                         const std::string& failure_domain,
                                         Duration min_age,
                                         TimePoint now) const {
  return static_cast<int>(
      std::count_if(targets_.begin(), targets_.end(), [&](const auto& it) {
        return it->alive && it->listed && !it->record.draining &&
               it->record.service == service &&
               it->record.failure_domain != failure_domain &&
               now - it->added_at >= min_age;
      }));
}

bool SoakEnvironment::IsWithoutTargets(const std::string& service,
                                       TimePoint now) const {
  const auto is_evacuated = [&](const std::string& domain) {
    const auto it = last_evacuated_at_.find(domain);
    return it != last_evacuated_at_.end() &&
           now - it->second < kEvacuationBound;
  };
  return std::any_of(last_evacuated_at_.begin(), last_evacuated_at_.end(),
                     [&](const auto& it) { return is_evacuated(it.first); }) &&
         std::none_of(targets_.begin(), targets_.end(), [&](const auto& it) {
           return it->alive && it->listed && !it->record.draining &&
                  it->record.service == service &&
                  now - it->added_at >= kConfigBound &&
                  !is_evacuated(it->record.failure_domain);
         });
}

void SoakEnvironment::EvacuateDomain(TimePoint now, Duration span) {
  constexpr int kMinTargets = 2;
  const std::string domain = Random(2) == 0 ? "a" : "b";
  if (!evacuated_domain_.empty() ||
      CountTargetsOutside("short", domain, seconds(0), now) < kMinTargets ||
      CountTargetsOutside("long", domain, seconds(0), now) < kMinTargets) {
    return;
  }
  evacuated_domain_ = domain;
  evacuated_at_ = now;
  store_.PutEvacuation(domain);
  events_.emplace(now + span, [this, domain] {
    store_.RemoveEvacuation(domain);
    evacuated_domain_.clear();
  });
}

void SoakEnvironment::WriteInvalidEntry() {
  const std::vector<std::string> values = platform::MalformedTargetEntries(
      targets_.back()->record.address.ToString());
  const std::string& value =
      values[Random(static_cast<uint32_t>(values.size()))];
  // Some keys end with the id of a target.
  store_.PutRaw(
      Random(2) == 0 ? "i-0000dead" : "inv-" + targets_.back()->record.id,
      value);
}

void SoakEnvironment::ChangeConfig(TimePoint now) {
  if (config_version_ > 0) {
    RouteState* extra = nullptr;
    if (routes_.size() > kFixedRoutes && Random(2) == 0) {
      extra =
          &routes_[kFixedRoutes + Random(static_cast<uint32_t>(routes_.size()) -
                                         kFixedRoutes)];
      extra->present = !extra->present;
    } else {
      RouteState route = routes_[Random(kFixedRoutes)];
      route.record.address.port =
          static_cast<uint16_t>(kFirstRoutePort + routes_.size());
      route.record.name = "extra-" + std::to_string(routes_.size());
      routes_.push_back(route);
      extra = &routes_.back();
    }
    extra->changed_at = now;
  }
  discovery::ConfigRecord config;
  config.version = config_version_ += 1 + Random(5);
  config.flow_idle_timeout = seconds(15);
  for (const RouteState& it : routes_) {
    if (it.present) {
      config.routes.push_back(it.record);
    }
  }
  config.routes.push_back(upload_route_->record);
  store_.PutConfig(config);
}

void SoakEnvironment::RestartTarget() {
  Target& target = *targets_[Random(static_cast<uint32_t>(targets_.size()))];
  if (!target.alive || target.record.draining) {
    return;
  }
  std::erase_if(flows_, [&](const auto& it) {
    const bool is_lost = it.second->target == target.record.instance;
    counts_.target_gone += is_lost ? 1 : 0;
    return is_lost;
  });
  target.record.start_time_ms = ++last_start_time_ms_;
  target.report = store_.PutTarget(target.record);
}

void SoakEnvironment::DelayReport(TimePoint now) {
  const Target& target =
      *targets_[Random(static_cast<uint32_t>(targets_.size()))];
  const uint64_t instance = target.record.instance;
  const auto executed_at = now + milliseconds(1000 + Random(kMaxWriteDelayMs));
  const auto corrected_at = executed_at + milliseconds(Random(kHeartbeatMs));
  events_.emplace(executed_at, [this, instance, report = target.report] {
    Target& it = *FindTarget(instance);
    store_.PutRaw(it.record.id, report);
    if (!it.listed) {
      it.listed = true;  // until the lease of the write ends
      it.unlisted_at = SteadyNow() + kCrashToUnlistDelay;
    }
  });
  events_.emplace(corrected_at, [this, instance] {
    Target& it = *FindTarget(instance);
    if (it.alive) {
      it.report = store_.PutTarget(it.record);
    }
  });
}

}  // namespace marjoramhall::lab
