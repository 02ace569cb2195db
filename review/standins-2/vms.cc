// Process control and the template of settings.
#include "vms.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <map>

namespace review {
namespace {

constexpr size_t kMaxSeeds = 3;
constexpr double kCheckIntervalMs = 500;
constexpr int kCheckLimitMs = 100;
constexpr int kMissesUntilOut = 2;

using Fields = std::map<std::string, std::string>;

// Renders `{{a}}` and `{{#a}} .. {{.}} .. {{/a}}`, the forms that the template
// uses.
std::string Render(const std::string& text, const Fields& fields) {
  std::string out;
  size_t at = 0;
  for (;;) {
    const size_t open = text.find("{{", at);
    out += text.substr(at, open - at);
    if (open == std::string::npos) {
      return out;
    }
    const size_t close = text.find("}}", open);
    std::string name = text.substr(open + 2, close - open - 2);
    at = close + 2;
    if (!name.starts_with("#")) {
      const auto it = fields.find(name);
      out += it == fields.end() ? "" : it->second;
      continue;
    }
    name.erase(0, 1);
    const std::string end_tag = "{{/" + name + "}}";
    const size_t end = text.find(end_tag, at);
    if (const auto it = fields.find(name); it != fields.end()) {
      out += Render(text.substr(at, end - at), {{".", it->second}});
    }
    at = end + end_tag.size();
  }
}

}  // namespace

Vms::~Vms() {
  for (Vm& it : vms_) {
    Kill(it);
  }
}

bool Vms::Prepare(uint32_t n) {
  packet_port_ = FreePort(kSubnet, n);
  const uint16_t readiness_port = FreePort(kSubnet, n);
  const uint16_t control_port = FreePort(kSubnet, n);
  const uint16_t internal_port = FreePort(kSubnet, n);
  const std::string text =
      ReadFile(options_.repository + "/deploy/settings.ini");
  if (packet_port_ == 0 || readiness_port == 0 || control_port == 0 ||
      internal_port == 0 || text.empty()) {
    return false;
  }
  std::string seeds;
  for (uint32_t i = 1; i <= std::min<uint32_t>(n, kMaxSeeds); ++i) {
    const Address seed{LoopbackIp(kSubnet, i), control_port};
    seeds += (i > 1 ? "," : "") + seed.ToString();
  }
  for (uint32_t i = 1; i <= n; ++i) {
    const uint32_t ip = LoopbackIp(kSubnet, i);
    Vm vm;
    vm.zone = options_.zones[(i - 1) % options_.zones.size()];
    vm.name = "frontend-" + vm.zone + "-" + std::to_string(i);
    vm.packets = {ip, packet_port_};
    vm.readiness = {ip, readiness_port};
    const std::string address = Address{ip, 0}.ToString();
    Fields fields(options_.fields.begin(), options_.fields.end());
    fields["node_name"] = vm.name;
    fields["zone"] = vm.zone;
    fields["ip"] = address.substr(0, address.find(':'));
    fields["listen_addrs.datagram_addr"] = vm.packets.ToString();
    fields["listen_addrs.ready_addr"] = vm.readiness.ToString();
    fields["listen_addrs.control"] = Address{ip, control_port}.ToString();
    fields["internal_ports.0"] = std::to_string(internal_port);
    fields["seeds"] = seeds;
    fields["platform.address"] = options_.store.ToString();
    if (!WriteFile(SettingsPath(vm), Render(text, fields))) {
      return false;
    }
    vms_.push_back(std::move(vm));
  }
  return true;
}

bool Vms::Start(Vm& vm) {
  // The line `run` of the deploy file, with its path of the settings.
  std::string program = "target/marjoramhall";
  std::string command = "forward";
  std::string option = "--settings";
  std::string settings = SettingsPath(vm);
  const std::string log = options_.folder + "/" + vm.name + ".log";
  std::array<char*, 5> arguments = {program.data(), command.data(),
                                    option.data(), settings.data(), nullptr};
  std::string path = "PATH=/usr/bin:/bin";
  std::array<char*, 2> environment = {path.data(), nullptr};
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDIN_FILENO, "/dev/null",
                                   O_RDONLY, 0);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  const int error = posix_spawn(&vm.pid, program.c_str(), &actions, nullptr,
                                arguments.data(), environment.data());
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) {
    vm.pid = 0;
    return false;
  }
  vm.started_at_ms = NowMs();
  vm.restart_at_ms = 0;
  return true;
}

void Vms::Kill(Vm& vm) {
  if (vm.pid > 0) {
    kill(vm.pid, SIGKILL);
    waitpid(vm.pid, nullptr, 0);
    vm.pid = 0;
  }
}

std::vector<Vm*> Vms::ReapEnded() {
  std::vector<Vm*> ended;
  for (Vm& it : vms_) {
    if (it.pid > 0 && waitpid(it.pid, nullptr, WNOHANG) == it.pid) {
      it.pid = 0;
      ended.push_back(&it);
    }
  }
  return ended;
}

void Vms::StartDue() {
  for (Vm& it : vms_) {
    if (it.pid == 0 && it.restart_at_ms > 0 && NowMs() >= it.restart_at_ms) {
      Start(it);
    }
  }
}

void Vms::CheckReadiness() {
  for (Vm& it : vms_) {
    if (NowMs() < it.next_check_ms) {
      continue;
    }
    it.next_check_ms = NowMs() + kCheckIntervalMs;
    constexpr int kOk = 200;
    if (HttpGetStatus(it.readiness, "/v1/readyz", kCheckLimitMs) == kOk) {
      it.missed_checks = 0;
      it.in_rotation = true;
    } else if (++it.missed_checks >= kMissesUntilOut) {
      it.in_rotation = false;
    }
  }
}

uint64_t ResidentBytes(pid_t pid) {
  const std::string text = ReadFile("/proc/" + std::to_string(pid) + "/statm");
  const size_t at = text.find(' ');
  if (at == std::string::npos) {
    return 0;
  }
  return std::strtoull(text.c_str() + at, nullptr, 10) *
         static_cast<uint64_t>(sysconf(_SC_PAGESIZE));
}

}  // namespace review
