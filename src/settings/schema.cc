// Readers of single settings and the table of all of them.
#include "src/settings/schema.h"

#include <charconv>
#include <cstring>

#include "src/base/units.h"

namespace marjoramhall::settings {
namespace {

constexpr size_t kShortestSecret = 16;

std::string Trim(const std::string& text) {
  const size_t start = text.find_first_not_of(" \t\r\n");
  if (start == std::string::npos) {
    return "";
  }
  return text.substr(start, text.find_last_not_of(" \t\r\n") - start + 1);
}

// A name that is safe in logs, metrics and paths of the API.
StoreValue Name(std::function<std::string*(Settings*)> field) {
  return [field = std::move(field)](const std::string& value,
                                    const SettingContext&,
                                    Settings* out) -> std::string {
    const bool allowed =
        !value.empty() && value.size() <= 64 &&
        value.find_first_not_of(
            "abcdefghijklmnopqrstuvwxyz"
            "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-") == std::string::npos;
    if (!allowed) {
      return "1 to 64 letters, digits, '.', '_' or '-'";
    }
    *field(out) = value;
    return "";
  };
}

StoreValue Address(std::function<Endpoint*(Settings*)> field) {
  return [field = std::move(field)](const std::string& value,
                                    const SettingContext&,
                                    Settings* out) -> std::string {
    const auto endpoint = Endpoint::Parse(value);
    if (!endpoint) {
      return "IP:PORT or [IPv6]:PORT";
    }
    *field(out) = *endpoint;
    return "";
  };
}

StoreValue Seeds(bool may_be_empty,
                 std::function<std::vector<Endpoint>*(Settings*)> field) {
  return [may_be_empty, field = std::move(field)](
             const std::string& value, const SettingContext&,
             Settings* out) -> std::string {
    if (may_be_empty && Trim(value).empty()) {
      return "";
    }
    std::vector<Endpoint>& seeds = *field(out);
    size_t start = 0;
    while (start <= value.size()) {
      const size_t comma = std::min(value.find(',', start), value.size());
      const std::string item = Trim(value.substr(start, comma - start));
      const auto endpoint = Endpoint::Parse(item);
      if (!endpoint || endpoint->port == 0) {
        return "IP:PORT, separated by commas, not \"" + item + "\"";
      }
      for (const Endpoint& it : seeds) {
        if (it == *endpoint) {
          return "each address once, but " + item + " is there twice";
        }
      }
      seeds.push_back(*endpoint);
      start = comma + 1;
    }
    return "";
  };
}

StoreValue Count(uint32_t largest, std::function<uint32_t*(Settings*)> field) {
  return [largest, field = std::move(field)](const std::string& value,
                                             const SettingContext&,
                                             Settings* out) -> std::string {
    uint32_t number = 0;
    const char* end = value.data() + value.size();
    const auto [it, ec] = std::from_chars(value.data(), end, number);
    if (ec != std::errc{} || it != end || number == 0 || number > largest) {
      return "a whole number from 1 to " + std::to_string(largest);
    }
    *field(out) = number;
    return "";
  };
}

StoreValue Time(Duration shortest,
                Duration longest,
                std::function<Duration*(Settings*)> field) {
  return [shortest, longest, field = std::move(field)](
             const std::string& value, const SettingContext&,
             Settings* out) -> std::string {
    const auto duration = ParseDuration(value);
    if (!duration || *duration < shortest || *duration > longest) {
      return "a duration from " + FormatDuration(shortest) + " to " +
             FormatDuration(longest) + " with a unit (ms, s, min or h)";
    }
    *field(out) = *duration;
    return "";
  };
}

StoreValue Bytes(uint64_t smallest, std::function<uint64_t*(Settings*)> field) {
  return [smallest, field = std::move(field)](const std::string& value,
                                              const SettingContext&,
                                              Settings* out) -> std::string {
    const auto size = ParseSize(value);
    if (!size || *size < smallest) {
      return "a size of at least " + std::to_string(smallest) +
             "B with a unit (B, KB, MB or GB)";
    }
    *field(out) = *size;
    return "";
  };
}

StoreValue SecretFile(std::function<Secret*(Settings*)> field) {
  return [field = std::move(field)](const std::string& value,
                                    const SettingContext& context,
                                    Settings* out) -> std::string {
    const auto content = context.read(context.folder / value);
    if (!content) {
      return "a readable file";
    }
    std::string secret = Trim(*content);
    if (secret.size() < kShortestSecret) {
      return "a file with at least 16 characters";
    }
    *field(out) = Secret(std::move(secret));
    return "";
  };
}

StoreValue Path(bool must_exist,
                std::function<std::filesystem::path*(Settings*)> field) {
  return [must_exist, field = std::move(field)](const std::string& value,
                                                const SettingContext& context,
                                                Settings* out) -> std::string {
    const std::filesystem::path path = context.folder / value;
    if (value.empty() || (must_exist && !context.read(path))) {
      return "a readable file";
    }
    *field(out) = path;
    return "";
  };
}

std::string StoreUrl(const std::string& value,
                     const SettingContext&,
                     Settings* out) {
  const bool plain = value.starts_with("http://") && value.size() > 7;
  const bool tls = value.starts_with("https://") && value.size() > 8;
  if (!plain && !tls) {
    return "http://HOST:PORT or https://HOST:PORT";
  }
  out->store.url = value;
  return "";
}

template <typename E>
StoreValue Choice(std::function<E*(Settings*)> field) {
  return [field = std::move(field)](const std::string& value,
                                    const SettingContext&,
                                    Settings* out) -> std::string {
    if (const auto choice = ParseEnum<E>(value)) {
      *field(out) = *choice;
      return "";
    }
    std::string expected = "one of";
    for (const auto& it : NamesOf(E{})) {
      expected += " " + std::string(it.name);
    }
    return expected;
  };
}

std::vector<SettingEntry> MakeTrafficEntries() {
  using std::chrono::hours;
  using std::chrono::seconds;
  return {
      {"vm", "name", "required", "name of this VM, unique in the deployment",
       Name([](Settings* s) { return &s->vm.name; })},
      {"vm", "failure_domain", "required", "failure domain that this VM is in",
       Name([](Settings* s) { return &s->vm.failure_domain; })},
      {"flow", "listen", "127.0.0.1:6080", "packets from the fabric (UDP)",
       Address([](Settings* s) { return &s->flow.listen; })},
      {"flow", "hop_listen", "127.0.0.1:6081", "packets from other VMs (UDP)",
       Address([](Settings* s) { return &s->flow.hop_listen; })},
      {"flow", "max_flows", "500000", "entries of the flow table",
       Count(16'000'000, [](Settings* s) { return &s->flow.max_flows; })},
      {"flow", "idle_timeout", "300s", "a flow without packets ends after this",
       Time(seconds(1), hours(24),
            [](Settings* s) { return &s->flow.idle_timeout; })},
      {"request", "listen", "127.0.0.1:8080", "callers' requests (HTTP/2, TCP)",
       Address([](Settings* s) { return &s->request.listen; })},
      {"forward", "listen", "127.0.0.1:6082",
       "packets of clients for `marjoramhall forward` (UDP)",
       Address([](Settings* s) { return &s->forward.listen; })},
      {"forward", "status", "127.0.0.1:6083",
       "readiness and metrics of `marjoramhall forward` (HTTP)",
       Address([](Settings* s) { return &s->forward.status; })},
      {"forward", "peers", "127.0.0.1:6084",
       "snapshots for other VMs, and metrics (HTTP)",
       Address([](Settings* s) { return &s->forward.peers; })},
      {"forward", "seeds", "none",
       "the same address of other VMs, by commas; may be empty",
       Seeds(true, [](Settings* s) { return &s->forward.seeds; })},
      {"forward", "announce", "127.0.0.1:6085",
       "announcements of other VMs (UDP); the same port on all VMs",
       Address([](Settings* s) { return &s->forward.announce; })},
      {"forward", "change_bound", "3s",
       "time within which a configuration in the store must be in force",
       Time(std::chrono::milliseconds(100), seconds(60),
            [](Settings* s) { return &s->forward.change_bound; })},
      {"forward", "drain_bound", "3s",
       "time within which a leaving target must get no new flows",
       Time(std::chrono::milliseconds(100), seconds(60),
            [](Settings* s) { return &s->forward.drain_bound; })},
      {"limits", "queued_requests", "1000",
       "requests that wait at this VM, per service",
       Count(1'000'000,
             [](Settings* s) { return &s->limits.queued_requests; })},
      {"limits", "idempotency_keys", "100000", "keys held by this VM",
       Count(10'000'000,
             [](Settings* s) { return &s->limits.idempotency_keys; })},
      {"limits", "idempotency_answers", "32MB", "memory of stored answers",
       Bytes(1 << 20,
             [](Settings* s) { return &s->limits.idempotency_answers; })},
      {"limits", "control_rate", "4KB", "control bytes sent per second",
       Bytes(1024, [](Settings* s) { return &s->limits.control_rate; })},
      {"limits", "operator_request", "1MB",
       "largest body of an operator's request",
       Bytes(1024, [](Settings* s) { return &s->limits.operator_request; })},
      {"limits", "stop_deadline", "30s",
       "a graceful stop ends running work after this",
       Time(seconds(1), hours(1),
            [](Settings* s) { return &s->limits.stop_deadline; })},
  };
}

std::vector<SettingEntry> MakeOperatorEntries() {
  return {
      {"control", "listen", "127.0.0.1:7070", "messages of other VMs (TCP)",
       Address([](Settings* s) { return &s->control.listen; })},
      {"control", "seeds", "none", "control addresses of other VMs, by commas",
       Seeds(false, [](Settings* s) { return &s->control.seeds; })},
      {"control", "key_file", "loopback only",
       "file with the key that all VMs of the deployment share",
       SecretFile([](Settings* s) { return &s->control.key; })},
      {"control", "deployment", "none",
       "JSON file that starts a new lineage when there is no other",
       Path(true, [](Settings* s) { return &s->control.deployment; })},
      {"operators", "listen", "127.0.0.1:7071", "intent API and metrics (TCP)",
       Address([](Settings* s) { return &s->operators.listen; })},
      {"operators", "token_file", "loopback only", "file with the bearer token",
       SecretFile([](Settings* s) { return &s->operators.token; })},
      {"operators", "tls_certificate", "loopback only", "PEM file",
       Path(true, [](Settings* s) { return &s->operators.tls_certificate; })},
      {"operators", "tls_key", "loopback only", "PEM file",
       Path(true, [](Settings* s) { return &s->operators.tls_key; })},
      {"store", "url", "inside the process", "the platform's key-value store",
       StoreUrl},
      {"log", "path", "standard error", "file that the log is appended to",
       Path(false, [](Settings* s) { return &s->log.path; })},
      {"log", "level", "info", "least level of lines",
       Choice<LogLevel>([](Settings* s) { return &s->log.level; })},
      {"log", "decisions", "all",
       "decisions that are logged: none, rare (no routing) or all",
       Choice<DecisionLogging>([](Settings* s) { return &s->log.decisions; })},
  };
}

}  // namespace

std::span<const SettingEntry> Schema() {
  static const std::vector<SettingEntry> kAll = [] {
    std::vector<SettingEntry> entries = MakeTrafficEntries();
    for (SettingEntry& it : MakeOperatorEntries()) {
      entries.push_back(std::move(it));
    }
    return entries;
  }();
  return kAll;
}

const SettingEntry* FindSetting(const std::string& section,
                                const std::string& key) {
  for (const SettingEntry& it : Schema()) {
    if (section == it.section && key == it.key) {
      return &it;
    }
  }
  return nullptr;
}

bool IsSection(const std::string& section) {
  for (const SettingEntry& it : Schema()) {
    if (section == it.section) {
      return true;
    }
  }
  return false;
}

bool IsRequired(const SettingEntry& entry) {
  return std::strcmp(entry.standard, "required") == 0;
}

}  // namespace marjoramhall::settings
