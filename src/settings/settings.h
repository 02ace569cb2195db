// Settings of one VM process: what differs from VM to VM. Everything that a
// whole deployment shares is in config::Deployment instead.
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

// Text that must not be printed. It has no stream or format operator.
class Secret {
 public:
  Secret() = default;
  explicit Secret(std::string text) : text_(std::move(text)) {}
  bool empty() const { return text_.empty(); }
  const std::string& Reveal() const { return text_; }

 private:
  std::string text_;
};

// Without `key_file` the inner messages are authenticated with this public key.
// Load() accepts that only while all addresses are loopback addresses.
inline constexpr char kLoopbackKey[] = "marjoramhall-loopback-only";

// Default ports of the loopback set-up. 6080 is the port of GUE.
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

// `marjoramhall forward`: packets whose targets are told by tokens.
struct ForwardSettings {
  Endpoint listen = Loopback(6082);  // packets from the fabric, UDP
  Endpoint status = Loopback(6083);  // readiness and metrics, HTTP over TCP
  // Snapshots for other VMs and metrics, HTTP over TCP.
  Endpoint peers = Loopback(6084);
  std::vector<Endpoint> seeds;         // the same of other VMs
  Endpoint announce = Loopback(6085);  // announcements of other VMs, UDP
  // Within this a configuration in the store has to be in force here.
  Duration change_bound = std::chrono::seconds(3);
  // Within this a target that leaves has to get no new flows.
  Duration drain_bound = std::chrono::seconds(3);

  // Any change of the store has to be in force within this.
  Duration TightestBound() const { return std::min(change_bound, drain_bound); }
};

struct ControlSettings {
  Endpoint listen = Loopback(7070);  // ZeroMQ over TCP
  std::vector<Endpoint> seeds;       // control addresses of other VMs
  Secret key = Secret(kLoopbackKey);
  // Deployment to start a new lineage with when neither the seeds nor the store
  // have one. Empty: none.
  std::filesystem::path deployment;
};

struct OperatorSettings {
  Endpoint listen = Loopback(7071);  // HTTP or HTTPS over TCP
  // Empty: no token is asked for, accepted on loopback only.
  Secret token;
  // Both empty: plain HTTP, accepted on loopback only.
  std::filesystem::path tls_certificate;
  std::filesystem::path tls_key;
};

struct StoreSettings {
  std::string url;  // empty: a store inside the process
};

struct LimitSettings {
  uint32_t queued_requests = 1000;  // waiting at this VM, per service
  uint32_t idempotency_keys = 100'000;
  uint64_t idempotency_answers = uint64_t{32} << 20;  // bytes
  uint64_t control_rate = 4096;                       // bytes per second
  uint64_t operator_request = uint64_t{1} << 20;      // bytes
  Duration stop_deadline = std::chrono::seconds(30);
};

struct LogSettings {
  std::filesystem::path path;  // empty: standard error
  LogLevel level = LogLevel::kInfo;
  DecisionLogging decisions = DecisionLogging::kAll;
};

// The defaults are a whole VM on loopback.
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
