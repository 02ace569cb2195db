// Validates a whole deployment.
#include "src/config/validation.h"

#include <algorithm>
#include <map>
#include <set>
#include <string_view>

#include "src/config/deployment_json.h"

namespace marjoramhall::config {
namespace {

constexpr uint32_t kMaxSlots = 10'000;
constexpr uint32_t kMaxWeight = 10'000;
constexpr uint32_t kMaxQueue = 100'000;
constexpr uint32_t kMaxConnections = 10'000'000;
constexpr size_t kMaxRequestKinds = 64;
constexpr Duration kMaxDeadline = std::chrono::hours(1);

constexpr char kNameCharacters[] =
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-";

bool IsName(std::string_view text) {
  return !text.empty() && text.size() <= 64 &&
         text.find_first_not_of(kNameCharacters) == std::string_view::npos;
}

class Validator {
 public:
  explicit Validator(const Deployment& deployment) : deployment_(deployment) {}

  std::vector<std::string> Run() {
    if (!IsName(deployment_.lineage)) {
      Report("deployment", "lineage must be a valid name");
    }
    if (deployment_.history.size() > kHistoryLimit) {
      Report("deployment", "history is longer than its limit");
    }
    for (const FailureDomain& it : deployment_.domains) {
      CheckName("failure domain", it.name, domains_);
    }
    uint32_t last_id = 0;
    for (const Service& it : deployment_.services) {
      CheckId("service " + it.name, ToInteger(it.id),
              deployment_.next_service_id, &last_id);
      CheckService(it);
    }
    if (errors_.empty() &&
        ToJson(deployment_).size() > kMaxDeploymentJsonBytes) {
      Report("deployment", "its JSON is larger than 1 MB");
    }
    return std::move(errors_);
  }

 private:
  void Report(const std::string& context, const std::string& problem) {
    errors_.push_back(context + ": " + problem);
  }

  void CheckName(const std::string& type,
                 const std::string& name,
                 std::set<std::string>& names) {
    if (!IsName(name)) {
      Report(type + " \"" + name.substr(0, 64) + "\"",
             "a name has 1 to 64 letters, digits, '.', '_' or '-'");
    } else if (!names.insert(name).second) {
      Report(type + " " + name, "another " + type + " has this name");
    }
  }

  void CheckId(const std::string& context,
               uint32_t id,
               uint32_t next_id,
               uint32_t* last_id) {
    if (id <= *last_id || id >= next_id) {
      Report(context,
             "id " + std::to_string(id) +
                 " must be greater than the previous id and less than " +
                 std::to_string(next_id));
    }
    *last_id = std::max(*last_id, id);
  }

  void CheckEndpoint(const std::string& context,
                     const Endpoint& endpoint,
                     const std::string& use) {
    if (endpoint.port == 0) {
      Report(context, use + " needs a port");
      return;
    }
    const auto [it, is_new] = endpoints_.insert({endpoint, context});
    if (!is_new && it->second != context) {
      Report(context, use + " " + endpoint.ToString() + " already belongs to " +
                          it->second);
    }
  }

  void CheckRange(const std::string& context,
                  const char* key,
                  uint32_t value,
                  uint32_t min,
                  uint32_t max) {
    if (value < min || value > max) {
      Report(context, std::string(key) + " must be from " +
                          std::to_string(min) + " to " + std::to_string(max));
    }
  }

  void CheckService(const Service& service) {
    const std::string context = "service " + service.name;
    CheckName("service", service.name, services_);
    CheckEndpoint(context, service.flow_address, "flow_address");
    CheckHost(context, service);
    if (service.kinds.size() > kMaxRequestKinds) {
      Report(context, "has more than 64 request kinds");
    }
    std::set<std::string> kinds;
    for (const RequestKind& it : service.kinds) {
      CheckKind(context, it, kinds);
    }
    uint32_t last_id = 0;
    for (const Target& it : service.targets) {
      CheckId("target " + it.name, ToInteger(it.id), deployment_.next_target_id,
              &last_id);
      if (!target_ids_.insert(it.id).second) {
        Report("target " + it.name, "another target has this id");
      }
      CheckTarget(it);
    }
  }

  void CheckHost(const std::string& context, const Service& service) {
    const std::string& host = service.host;
    if (host.empty()) {
      if (!service.kinds.empty()) {
        Report(context, "a service with request kinds needs a host");
      }
      return;
    }
    const bool lower_case = std::none_of(
        host.begin(), host.end(), [](char c) { return c >= 'A' && c <= 'Z'; });
    if (host.size() > 253 || !lower_case ||
        host.find_first_not_of(kNameCharacters) != std::string::npos) {
      Report(context, "host must be a host name in lower case without a port");
    } else if (!hosts_.insert(host).second) {
      Report(context, "another service has the host " + host);
    }
  }

  void CheckKind(const std::string& service,
                 const RequestKind& kind,
                 std::set<std::string>& names) {
    const std::string context = service + " request kind " + kind.name;
    CheckName(service + " request kind", kind.name, names);
    const bool is_method =
        kind.method == "*" ||
        (!kind.method.empty() && kind.method.size() <= 32 &&
         std::all_of(kind.method.begin(), kind.method.end(), [](char c) {
           return (c >= 'A' && c <= 'Z') || c == '-';
         }));
    if (!is_method) {
      Report(context, "method must be an HTTP method in upper case or \"*\"");
    }
    const bool is_prefix =
        kind.path_prefix.size() <= 1024 && kind.path_prefix.starts_with('/') &&
        std::all_of(kind.path_prefix.begin(), kind.path_prefix.end(),
                    [](char c) { return c > ' ' && c < 127; });
    if (!is_prefix) {
      Report(context, "path_prefix must start with \"/\"");
    }
    if (kind.deadline < std::chrono::milliseconds(1) ||
        kind.deadline > kMaxDeadline) {
      Report(context, "deadline must be from 1ms to 1h");
    }
    for (const RateLimit& it : {kind.limit, kind.caller_limit}) {
      if (it.rate > 0 && it.burst < 1) {
        Report(context, "a limit with a rate needs a burst of at least 1");
      }
    }
  }

  void CheckTarget(const Target& target) {
    const std::string context = "target " + target.name;
    CheckName("target", target.name, targets_);
    CheckEndpoint(context, target.flow_endpoint, "flow_endpoint");
    CheckEndpoint(context, target.request_endpoint, "request_endpoint");
    if (!domains_.contains(target.domain)) {
      Report(context,
             "failure domain \"" + target.domain + "\" does not exist");
    }
    CheckRange(context, "slots", target.slots, 1, kMaxSlots);
    CheckRange(context, "queue", target.queue, 0, kMaxQueue);
    CheckRange(context, "connections", target.connections, 1, kMaxConnections);
    CheckRange(context, "weight", target.weight, 0, kMaxWeight);
  }

  const Deployment& deployment_;
  std::vector<std::string> errors_;
  std::set<std::string> domains_;
  std::set<std::string> services_;
  std::set<std::string> targets_;
  std::set<std::string> hosts_;
  std::set<TargetId> target_ids_;
  std::map<Endpoint, std::string> endpoints_;  // to the object that has it
};

}  // namespace

std::vector<std::string> ValidateDeployment(const Deployment& deployment) {
  return Validator(deployment).Run();
}

}  // namespace marjoramhall::config
