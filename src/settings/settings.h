// Settings of one VM process. Everything that all VMs of a deployment share is
// in config::Deployment instead.
#ifndef MARJORAMHALL_SETTINGS_SETTINGS_H_
#define MARJORAMHALL_SETTINGS_SETTINGS_H_

#include <algorithm>
#include <cstdint>
#include <filesystem>
#include <string>
#include <utility>
#include <vector>

#include "src/base/endpoint.h"
#include "src/base/log_level.h"
#include "src/base/time.h"

namespace marjoramhall::settings {

// Text that must not be printed or logged. It deliberately has no stream or
// format operator.
class Secret {
 public:
  Secret() = default;
  explicit Secret(std::string text) : text_(std::move(text)) {}
  bool empty() const { return text_.empty(); }
  const std::string& Reveal() const { return text_; }

 private:
  std::string text_;
};

// Authenticates messages between VMs when `key_file` is not set. The key is
// public, so Load() accepts it only when the addresses for other VMs are
// loopback addresses.
inline constexpr char kLoopbackKey[] = "marjoramhall-loopback-only";

// The default ports differ so that one VM can use a single loopback address.
// 6080 is the port assigned to GUE (Generic UDP Encapsulation).
inline Endpoint Loopback(uint16_t port) {
  return {IpAddress::FromV4(0x7f000001), port};
}

struct VmSettings {
  std::string name = "vm-1";
  std::string failure_domain = "local";
};

struct FlowSettings {
  Endpoint listen = Loopback(6080);      // packets from the fabric, UDP
  Endpoint hop_listen = Loopback(6081);  // packets from other VMs, UDP
  uint32_t max_flows = 500'000;
  Duration idle_timeout = std::chrono::seconds(300);
};

struct RequestSettings {
  Endpoint listen = Loopback(8080);  // HTTP/2 over TCP
};

// For `marjoramhall forward`, which addresses targets by the token in a packet.
struct ForwardSettings {
  Endpoint listen = Loopback(6082);  // packets from the fabric, UDP
  Endpoint status = Loopback(6083);  // readiness, HTTP over TCP
  // Snapshots for other VMs and metrics, HTTP over TCP.
  Endpoint peers = Loopback(6084);
  std::vector<Endpoint> seeds;         // `peers` addresses of other VMs
  Endpoint announce = Loopback(6085);  // announcements of other VMs, UDP
  // Time within which a configuration change in the store must take effect.
  Duration change_bound = std::chrono::seconds(3);
  // Time within which a draining target must stop receiving new flows.
  Duration drain_bound = std::chrono::seconds(3);

  // Time within which the targets of an evacuated failure domain must stop
  // receiving new flows.
  Duration evacuation_bound = std::chrono::seconds(60);

  // Rate of this VM's network link in bits per second, in each direction. 0:
  // unknown.
  uint64_t link_rate = 0;

  // All VMs together send a cold target at most its warm-up rate times
  // `warm_up_overshoot` plus `warm_up_slack` requests in any second. An
  // overshoot of 0: no limit.
  double warm_up_overshoot = 0;
  double warm_up_slack = 0;

  // Time within which any change in the store must take effect.
  Duration TightestBound() const {
    return std::min({change_bound, drain_bound, evacuation_bound});
  }
};

struct ControlSettings {
  Endpoint listen = Loopback(7070);  // ZeroMQ over TCP
  std::vector<Endpoint> seeds;       // control addresses of other VMs
  Secret key = Secret(kLoopbackKey);
  // JSON file of the deployment that starts a new lineage when neither the
  // seeds nor the store have one. May be empty.
  std::filesystem::path deployment;
};

struct OperatorSettings {
  Endpoint listen = Loopback(7071);  // HTTP or HTTPS over TCP
  // Empty: requests need no token. Allowed on loopback only.
  Secret token;
  // Both empty: plain HTTP. Allowed on loopback only.
  std::filesystem::path tls_certificate;
  std::filesystem::path tls_key;
};

struct StoreSettings {
  std::string url;  // empty: an in-process store
};

struct LimitSettings {
  uint32_t queued_requests = 1000;  // per service at this VM
  uint32_t idempotency_keys = 100'000;
  uint64_t idempotency_answers = uint64_t{32} << 20;  // bytes
  uint64_t control_rate = 4096;                       // bytes per second
  uint64_t operator_request = uint64_t{1} << 20;      // bytes
  Duration stop_deadline = std::chrono::seconds(30);
};

struct LogSettings {
  std::filesystem::path path;  // empty: a standard stream
  LogLevel level = LogLevel::kInfo;
  DecisionLogging decisions = DecisionLogging::kAll;
};

// The defaults describe a complete VM on loopback addresses.
struct Settings {
  VmSettings vm;
  FlowSettings flow;
  RequestSettings request;
  ForwardSettings forward;
  ControlSettings control;
  OperatorSettings operators;
  StoreSettings store;
  LimitSettings limits;
  LogSettings log;
};

}  // namespace marjoramhall::settings

#endif  // MARJORAMHALL_SETTINGS_SETTINGS_H_
