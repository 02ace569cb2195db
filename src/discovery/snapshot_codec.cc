// Conversion between records and the protobuf messages of a snapshot.
#include "src/discovery/snapshot_codec.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include "src/protocol/snapshot.pb.h"

namespace marjoramhall::discovery {
namespace {

using forward::Idempotency;

Endpoint EndpointOf(uint32_t address, uint32_t port) {
  return {IpAddress::FromV4(address), static_cast<uint16_t>(port)};
}

bool IsPort(uint32_t port) {
  return port > 0 && port <= std::numeric_limits<uint16_t>::max();
}

void Encode(const StoreChange& item, protocol::TargetState* out) {
  const TargetRecord& target = *item.target;
  out->set_key(item.key);
  out->set_epoch(item.position.epoch);
  out->set_revision(item.position.revision);
  out->set_id(target.id);
  out->set_instance(target.instance);
  out->set_born_ms(target.start_time_ms);
  out->set_service(target.service);
  out->set_address(target.address.address.ToV4());
  out->set_port(target.address.port);
  out->set_failure_domain(target.failure_domain);
  out->set_slots(target.slots);
  out->set_draining(target.draining);
  out->set_warm_up_left_us(
      static_cast<uint64_t>(std::max<int64_t>(0, target.warm_up_left.count())));
  out->set_sequence(target.sequence);
}

void Encode(const ConfigRecord& config, protocol::Snapshot* out) {
  out->set_config_version(config.version);
  out->set_flow_idle_timeout_us(
      static_cast<uint64_t>(config.flow_idle_timeout.count()));
  for (const RouteRecord& it : config.routes) {
    protocol::RouteState* route = out->add_routes();
    route->set_name(it.name);
    route->set_address(it.address.address.ToV4());
    route->set_port(it.address.port);
    for (const ShareRecord& share : it.shares) {
      protocol::ServiceWeight* weight = route->add_shares();
      weight->set_service(share.service);
      weight->set_weight(share.weight);
    }
    route->set_idempotent(it.idempotency == Idempotency::kIdempotent);
    route->set_priority(it.priority);
    route->set_timeout_us(static_cast<uint64_t>(it.timeout.count()));
    route->set_latency_objective_us(
        static_cast<uint64_t>(it.latency_objective.count()));
  }
  for (const ServiceRecord& it : config.services) {
    protocol::ServiceState* service = out->add_services();
    service->set_name(it.name);
    service->set_warm_up_request_rate(it.warm_up_request_rate);
  }
}

void Encode(const StoreChange& item, protocol::EvacuationState* out) {
  out->set_key(item.key);
  out->set_epoch(item.position.epoch);
  out->set_revision(item.position.revision);
  out->set_failure_domain(item.evacuated_domain);
  out->set_withdrawn(item.removed);
}

StoreChange Decode(const protocol::EvacuationState& evacuation) {
  StoreChange item;
  item.key = evacuation.key();
  item.position = {evacuation.epoch(), evacuation.revision()};
  item.evacuated_domain = evacuation.failure_domain();
  item.removed = evacuation.withdrawn();
  return item;
}

StoreChange Decode(const protocol::TargetState& target) {
  StoreChange item;
  item.key = target.key();
  item.position = {target.epoch(), target.revision()};
  item.is_target = true;
  TargetRecord record;
  record.id = target.id();
  record.instance = target.instance();
  record.start_time_ms = target.born_ms();
  record.service = target.service();
  record.address = EndpointOf(target.address(), target.port());
  record.failure_domain = target.failure_domain();
  record.slots = target.slots();
  record.draining = target.draining();
  record.warm_up_left =
      Duration{static_cast<int64_t>(target.warm_up_left_us())};
  record.sequence = target.sequence();
  item.target = std::move(record);
  return item;
}

ConfigRecord DecodeConfig(const protocol::Snapshot& message) {
  ConfigRecord config;
  config.version = message.config_version();
  config.flow_idle_timeout =
      Duration{static_cast<int64_t>(message.flow_idle_timeout_us())};
  for (const protocol::RouteState& it : message.routes()) {
    RouteRecord route;
    route.name = it.name();
    route.address = EndpointOf(it.address(), it.port());
    for (const protocol::ServiceWeight& share : it.shares()) {
      route.shares.push_back({share.service(), share.weight()});
    }
    route.idempotency = it.idempotent() ? Idempotency::kIdempotent
                                        : Idempotency::kNonIdempotent;
    route.priority = it.priority();
    route.timeout = Duration{static_cast<int64_t>(it.timeout_us())};
    route.latency_objective =
        Duration{static_cast<int64_t>(it.latency_objective_us())};
    if (IsPort(it.port()) && !route.shares.empty()) {
      config.routes.push_back(std::move(route));
    }
  }
  for (const protocol::ServiceState& it : message.services()) {
    const double rate = it.warm_up_request_rate();
    const bool is_limited = std::isfinite(rate) && rate > 0;
    config.services.push_back({it.name(), is_limited ? rate : 0});
  }
  return config;
}

void Encode(const std::vector<StoreChange>& items, protocol::Snapshot* out) {
  // The message has the routes of one configuration. Changes may hold several,
  // of which only the newest is in force.
  const StoreChange* newest = nullptr;
  for (const StoreChange& it : items) {
    if (it.target) {
      Encode(it, out->add_targets());
    } else if (!it.evacuated_domain.empty()) {
      Encode(it, out->add_evacuations());
    } else if (it.config && (newest == nullptr ||
                             it.config->version >= newest->config->version)) {
      newest = &it;
    }
  }
  if (newest != nullptr) {
    Encode(*newest->config, out);
    out->set_config_epoch(newest->position.epoch);
    out->set_config_revision(newest->position.revision);
  }
}

// Appends the configuration, if there is one, the targets and the evacuations.
void Decode(const protocol::Snapshot& message,
            std::vector<StoreChange>* items) {
  if (message.config_version() > 0) {
    StoreChange config;
    config.position = {message.config_epoch(), message.config_revision()};
    config.config = DecodeConfig(message);
    items->push_back(std::move(config));
  }
  for (const protocol::TargetState& it : message.targets()) {
    if (IsPort(it.port())) {
      items->push_back(Decode(it));
    }
  }
  for (const protocol::EvacuationState& it : message.evacuations()) {
    if (!it.failure_domain().empty()) {
      items->push_back(Decode(it));
    }
  }
}

template <typename Message>
bool Parse(std::string_view bytes, Message* message) {
  return bytes.size() <= size_t{std::numeric_limits<int>::max()} &&
         message->ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
}

}  // namespace

std::string EncodeSnapshot(const Listing& listing) {
  protocol::Snapshot message;
  message.set_epoch(listing.position.epoch);
  message.set_revision(listing.position.revision);
  Encode(listing.items, &message);
  return message.SerializeAsString();
}

std::optional<Listing> DecodeSnapshot(std::string_view bytes) {
  protocol::Snapshot message;
  if (!Parse(bytes, &message) || message.revision() == 0 ||
      message.config_version() == 0) {
    return std::nullopt;
  }
  Listing listing;
  listing.position = {message.epoch(), message.revision()};
  Decode(message, &listing.items);
  return listing;
}

std::string EncodeChangeSet(const ChangeSet& set) {
  protocol::ChangeSet message;
  message.set_epoch(set.position.epoch);
  message.set_revision(set.position.revision);
  message.set_age_us(static_cast<uint64_t>(set.age.count()));
  message.set_complete(set.complete);
  message.set_vm_count(set.fleet.vm_count);
  message.set_request_rate(static_cast<float>(set.fleet.request_rate));
  Encode(set.changes, message.mutable_changes());
  for (const StoreChange& it : set.changes) {
    if (it.is_target && !it.target) {
      protocol::TargetRemoval* removal = message.add_removals();
      removal->set_key(it.key);
      removal->set_epoch(it.position.epoch);
      removal->set_revision(it.position.revision);
      removal->set_unreadable(!it.removed);
    }
  }
  return message.SerializeAsString();
}

std::optional<ChangeSet> DecodeChangeSet(std::string_view bytes) {
  protocol::ChangeSet message;
  if (!Parse(bytes, &message) || message.revision() == 0 ||
      (message.complete() && message.changes().config_version() == 0)) {
    return std::nullopt;
  }
  ChangeSet set;
  set.position = {message.epoch(), message.revision()};
  set.age = Duration{static_cast<int64_t>(
      std::min(message.age_us(),
               static_cast<uint64_t>(std::numeric_limits<int64_t>::max())))};
  set.complete = message.complete();
  set.fleet = {message.vm_count(), message.request_rate()};
  Decode(message.changes(), &set.changes);
  for (const protocol::TargetRemoval& it : message.removals()) {
    StoreChange removal;
    removal.key = it.key();
    removal.position = {it.epoch(), it.revision()};
    removal.is_target = true;
    removal.removed = !it.unreadable();
    set.changes.push_back(std::move(removal));
  }
  std::stable_sort(set.changes.begin(), set.changes.end(),
                   [](const StoreChange& a, const StoreChange& b) {
                     return a.position < b.position;
                   });
  return set;
}

}  // namespace marjoramhall::discovery
