// Value parsers and the table of all settings.
#include "src/settings/schema.h"

#include <charconv>
#include <cstring>

#include "src/base/units.h"

namespace marjoramhall::settings {
namespace {

constexpr size_t kMinSecretLength = 16;
// Against a mistyped number.
constexpr double kMaxWarmUpFactor = 100;
constexpr double kMaxWarmUpSlack = 1'000'000;

std::string Trim(const std::string& text) {
  const size_t start = text.find_first_not_of(" \t\r\n");
  if (start == std::string::npos) {
    return "";
  }
  return text.substr(start, text.find_last_not_of(" \t\r\n") - start + 1);
}

// Accepts only names that need no escaping in logs, metrics and URL paths.
ValueParser NameParser(std::function<std::string*(Settings*)> field) {
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

ValueParser EndpointParser(std::function<Endpoint*(Settings*)> field) {
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

ValueParser EndpointListParser(
    bool may_be_empty,
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
        return "a comma-separated list of IP:PORT, but found \"" + item + "\"";
      }
      for (const Endpoint& it : seeds) {
        if (it == *endpoint) {
          return "distinct addresses, but " + item + " is listed twice";
        }
      }
      seeds.push_back(*endpoint);
      start = comma + 1;
    }
    return "";
  };
}

ValueParser CountParser(uint32_t max,
                        std::function<uint32_t*(Settings*)> field) {
  return [max, field = std::move(field)](const std::string& value,
                                         const SettingContext&,
                                         Settings* out) -> std::string {
    uint32_t number = 0;
    const char* end = value.data() + value.size();
    const auto [it, ec] = std::from_chars(value.data(), end, number);
    if (ec != std::errc{} || it != end || number == 0 || number > max) {
      return "a whole number from 1 to " + std::to_string(max);
    }
    *field(out) = number;
    return "";
  };
}

ValueParser DurationParser(Duration min,
                           Duration max,
                           std::function<Duration*(Settings*)> field) {
  return [min, max, field = std::move(field)](const std::string& value,
                                              const SettingContext&,
                                              Settings* out) -> std::string {
    const auto duration = ParseDuration(value);
    if (!duration || *duration < min || *duration > max) {
      return "a duration from " + FormatDuration(min) + " to " +
             FormatDuration(max) + " with a unit (ms, s, min or h)";
    }
    *field(out) = *duration;
    return "";
  };
}

ValueParser SizeParser(uint64_t min_bytes,
                       std::function<uint64_t*(Settings*)> field) {
  return [min_bytes, field = std::move(field)](const std::string& value,
                                               const SettingContext&,
                                               Settings* out) -> std::string {
    const auto size = ParseSize(value);
    if (!size || *size < min_bytes) {
      return "a size of at least " + std::to_string(min_bytes) +
             "B with a unit (B, KB, MB or GB)";
    }
    *field(out) = *size;
    return "";
  };
}

ValueParser NumberParser(double max, std::function<double*(Settings*)> field) {
  return [max, field = std::move(field)](const std::string& value,
                                         const SettingContext&,
                                         Settings* out) -> std::string {
    double number = 0;
    const char* end = value.data() + value.size();
    const auto [it, ec] =
        std::from_chars(value.data(), end, number, std::chars_format::fixed);
    if (ec != std::errc{} || it != end || !(number >= 0) || number > max) {
      return "a decimal number from 0 to " +
             std::to_string(static_cast<uint32_t>(max));
    }
    *field(out) = number;
    return "";
  };
}

constexpr std::string_view kUnknownRate = "unknown";

ValueParser BitRateParser(std::function<uint64_t*(Settings*)> field) {
  return [field = std::move(field)](const std::string& value,
                                    const SettingContext&,
                                    Settings* out) -> std::string {
    const auto rate = value == kUnknownRate ? 0 : ParseBitRate(value);
    if (!rate) {
      return "a rate above 0 with a unit (Mbps), such as 2.5Mbps, or unknown";
    }
    *field(out) = *rate;
    return "";
  };
}

ValueParser SecretFileParser(std::function<Secret*(Settings*)> field) {
  return [field = std::move(field)](const std::string& value,
                                    const SettingContext& context,
                                    Settings* out) -> std::string {
    const auto content = context.read(context.directory / value);
    if (!content) {
      return "a readable file";
    }
    std::string secret = Trim(*content);
    if (secret.size() < kMinSecretLength) {
      return "a file with at least 16 characters";
    }
    *field(out) = Secret(std::move(secret));
    return "";
  };
}

ValueParser PathParser(bool must_exist,
                       std::function<std::filesystem::path*(Settings*)> field) {
  return [must_exist, field = std::move(field)](const std::string& value,
                                                const SettingContext& context,
                                                Settings* out) -> std::string {
    const std::filesystem::path path = context.directory / value;
    if (value.empty() || (must_exist && !context.read(path))) {
      return "a readable file";
    }
    *field(out) = path;
    return "";
  };
}

std::string ParseStoreUrl(const std::string& value,
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
ValueParser EnumParser(std::function<E*(Settings*)> field) {
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

std::vector<SettingEntry> MakeDataPlaneEntries() {
  using std::chrono::hours;
  using std::chrono::seconds;
  return {
      {"vm", "name", "required", "name of this VM, unique in the deployment",
       NameParser([](Settings* s) { return &s->vm.name; })},
      {"vm", "failure_domain", "required", "failure domain that this VM is in",
       NameParser([](Settings* s) { return &s->vm.failure_domain; })},
      {"flow", "listen", "127.0.0.1:6080", "packets from the fabric (UDP)",
       EndpointParser([](Settings* s) { return &s->flow.listen; })},
      {"flow", "hop_listen", "127.0.0.1:6081", "packets from other VMs (UDP)",
       EndpointParser([](Settings* s) { return &s->flow.hop_listen; })},
      {"flow", "max_flows", "500000",
       "maximum number of entries in the flow table",
       CountParser(16'000'000, [](Settings* s) { return &s->flow.max_flows; })},
      {"flow", "idle_timeout", "300s",
       "time without packets after which a flow is removed",
       DurationParser(seconds(1), hours(24),
                      [](Settings* s) { return &s->flow.idle_timeout; })},
      {"request", "listen", "127.0.0.1:8080",
       "requests of callers (HTTP/2 over TCP)",
       EndpointParser([](Settings* s) { return &s->request.listen; })},
      {"forward", "listen", "127.0.0.1:6082",
       "client packets for `marjoramhall forward` (UDP)",
       EndpointParser([](Settings* s) { return &s->forward.listen; })},
      {"forward", "status", "127.0.0.1:6083",
       "readiness of `marjoramhall forward` (HTTP)",
       EndpointParser([](Settings* s) { return &s->forward.status; })},
      {"forward", "peers", "127.0.0.1:6084",
       "snapshots for other VMs and metrics (HTTP)",
       EndpointParser([](Settings* s) { return &s->forward.peers; })},
      {"forward", "seeds", "none",
       "[forward] peers addresses of other VMs, comma-separated; may be empty",
       EndpointListParser(true, [](Settings* s) { return &s->forward.seeds; })},
      {"forward", "announce", "127.0.0.1:6085",
       "announcements of other VMs (UDP); must use the same port on all VMs",
       EndpointParser([](Settings* s) { return &s->forward.announce; })},
      {"forward", "change_bound", "3s",
       "time within which a configuration change in the store must take effect",
       DurationParser(std::chrono::milliseconds(100), seconds(60),
                      [](Settings* s) { return &s->forward.change_bound; })},
      {"forward", "drain_bound", "3s",
       "time within which a draining target must stop receiving new flows",
       DurationParser(std::chrono::milliseconds(100), seconds(60),
                      [](Settings* s) { return &s->forward.drain_bound; })},
      {"forward", "evacuation_bound", "60s",
       "time within which the targets of an evacuated failure domain must stop "
       "receiving new flows",
       DurationParser(
           std::chrono::milliseconds(100), seconds(60),
           [](Settings* s) { return &s->forward.evacuation_bound; })},
      {"forward", "link_rate", "unknown",
       "rate of the VM's network link in each direction; limits the large "
       "requests that pass at a time",
       BitRateParser([](Settings* s) { return &s->forward.link_rate; })},
      {"forward", "warm_up_overshoot", "0",
       "a cold target gets at most this multiple of its warm-up rate, plus "
       "warm_up_slack, in any second from all VMs; 0 for no limit",
       NumberParser(kMaxWarmUpFactor,
                    [](Settings* s) { return &s->forward.warm_up_overshoot; })},
      {"forward", "warm_up_slack", "0",
       "requests beyond the multiple of the warm-up rate; see "
       "warm_up_overshoot",
       NumberParser(kMaxWarmUpSlack,
                    [](Settings* s) { return &s->forward.warm_up_slack; })},
      {"limits", "queued_requests", "1000",
       "maximum number of requests waiting at this VM, per service",
       CountParser(1'000'000,
                   [](Settings* s) { return &s->limits.queued_requests; })},
      {"limits", "idempotency_keys", "100000",
       "maximum number of idempotency keys held by this VM",
       CountParser(10'000'000,
                   [](Settings* s) { return &s->limits.idempotency_keys; })},
      {"limits", "idempotency_answers", "32MB",
       "memory for stored answers of idempotent requests",
       SizeParser(1 << 20,
                  [](Settings* s) { return &s->limits.idempotency_answers; })},
      {"limits", "control_rate", "4KB",
       "maximum control traffic sent, in bytes per second",
       SizeParser(1024, [](Settings* s) { return &s->limits.control_rate; })},
      {"limits", "operator_request", "1MB",
       "maximum body size of an operator request",
       SizeParser(1024,
                  [](Settings* s) { return &s->limits.operator_request; })},
      {"limits", "stop_deadline", "30s",
       "time after which a graceful stop cuts requests that still run",
       DurationParser(seconds(1), hours(1),
                      [](Settings* s) { return &s->limits.stop_deadline; })},
  };
}

std::vector<SettingEntry> MakeOperationsEntries() {
  return {
      {"control", "listen", "127.0.0.1:7070",
       "control messages of other VMs (TCP)",
       EndpointParser([](Settings* s) { return &s->control.listen; })},
      {"control", "seeds", "none",
       "control addresses of other VMs, comma-separated",
       EndpointListParser(false,
                          [](Settings* s) { return &s->control.seeds; })},
      {"control", "key_file", "none (loopback only)",
       "file with the key shared by all VMs of the deployment",
       SecretFileParser([](Settings* s) { return &s->control.key; })},
      {"control", "deployment", "none",
       "JSON file of the deployment to start with when neither other VMs nor "
       "the store have one",
       PathParser(true, [](Settings* s) { return &s->control.deployment; })},
      {"operators", "listen", "127.0.0.1:7071",
       "operator API and metrics (HTTP or HTTPS)",
       EndpointParser([](Settings* s) { return &s->operators.listen; })},
      {"operators", "token_file", "none (loopback only)",
       "file with the bearer token",
       SecretFileParser([](Settings* s) { return &s->operators.token; })},
      {"operators", "tls_certificate", "none (loopback only)",
       "PEM file with the certificate of the operator API",
       PathParser(true,
                  [](Settings* s) { return &s->operators.tls_certificate; })},
      {"operators", "tls_key", "none (loopback only)",
       "PEM file with the private key of the certificate",
       PathParser(true, [](Settings* s) { return &s->operators.tls_key; })},
      {"store", "url", "in-process store",
       "URL of the platform's key-value store", ParseStoreUrl},
      {"log", "path",
       "standard error, or standard output for `marjoramhall forward`",
       "file to append the log to",
       PathParser(false, [](Settings* s) { return &s->log.path; })},
      {"log", "level", "info", "minimum level of log lines",
       EnumParser<LogLevel>([](Settings* s) { return &s->log.level; })},
      {"log", "decisions", "all",
       "decisions to log: none, rare (without those of single flows and "
       "requests) or all",
       EnumParser<DecisionLogging>(
           [](Settings* s) { return &s->log.decisions; })},
  };
}

}  // namespace

std::span<const SettingEntry> Schema() {
  static const std::vector<SettingEntry> kEntries = [] {
    std::vector<SettingEntry> entries = MakeDataPlaneEntries();
    for (SettingEntry& it : MakeOperationsEntries()) {
      entries.push_back(std::move(it));
    }
    return entries;
  }();
  return kEntries;
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
  return std::strcmp(entry.default_text, "required") == 0;
}

}  // namespace marjoramhall::settings
