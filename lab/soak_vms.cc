// Process control and readiness polls.
#include "lab/soak_vms.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstring>
#include <fstream>
#include <utility>

#include "platform/json.h"
#include "platform/readiness_path.h"
#include "src/net/flow_path_socket.h"
#include "src/net/http_library.h"

namespace marjoramhall::lab {
namespace {

// The platform's grace period between SIGTERM and SIGKILL.
constexpr Duration kStopGracePeriod = std::chrono::seconds(6);
// A process that ends this soon after its start does not count as one that ends
// by itself (RULES.md of the platform, "Own ends").
constexpr Duration kStartPeriod = std::chrono::seconds(1);
constexpr auto kPollTimeout = std::chrono::milliseconds(100);
constexpr int kFailedPollsUntilNotReady = 2;
// Seed addresses in the settings of each VM.
constexpr size_t kSeedsPerVm = 3;

// The first VMs have small links, the others unlimited ones.
constexpr size_t kVmsWithSmallLinks = 3;
constexpr uint64_t kSmallLinkMegabits = 10;  // per second

constexpr uint32_t kFirstVmAddress = 0x7f000101;     // 127.0.1.1
constexpr uint32_t kFirstProxyAddress = 0x7f000301;  // 127.0.3.1

// A fault of known length, such as an outage of the store, goes on when a VM
// starts or ends.
void ExtendTo(TimePoint& fault_end, TimePoint at) {
  fault_end = std::max(fault_end, at);
}

// Returns a UDP port that is free on the first VM's address.
uint16_t FreePort() {
  net::UdpSocket socket;
  socket.Open({IpAddress::FromV4(kFirstVmAddress), 0});
  return socket.LocalEndpoint().port;
}

}  // namespace

SoakVms::SoakVms(std::filesystem::path binary, std::filesystem::path folder)
    : binary_(std::move(binary)), folder_(std::move(folder)) {}

SoakVms::~SoakVms() {
  for (SoakVm& it : vms_) {
    if (it.pid > 0) {
      kill(it.pid, SIGKILL);
      waitpid(it.pid, nullptr, 0);
    }
  }
}

std::string SoakVms::Prepare(size_t n, const Endpoint& store) {
  std::filesystem::create_directories(folder_);
  const uint16_t packet_port = FreePort();
  const uint16_t announce_port = FreePort();
  const uint16_t status_port = FreePort();
  const uint16_t peer_port = FreePort();
  std::string seeds;
  for (size_t i = 0; i < std::min(n, kSeedsPerVm); ++i) {
    const Endpoint seed{
        IpAddress::FromV4(kFirstVmAddress + static_cast<uint32_t>(i)),
        peer_port};
    seeds += (i > 0 ? "," : "") + seed.ToString();
  }
  for (size_t i = 0; i < n; ++i) {
    SoakVm vm;
    const auto address =
        IpAddress::FromV4(kFirstVmAddress + static_cast<uint32_t>(i));
    vm.name = "vm-" + std::to_string(i + 1);
    vm.packet_endpoint = {address, packet_port};
    vm.status_endpoint = {address, status_port};
    vm.link_rate = i < kVmsWithSmallLinks ? kSmallLinkMegabits * 1'000'000 : 0;
    vm.settings_path = folder_ / (vm.name + ".ini");
    vm.store_proxy = std::make_unique<SoakProxy>(
        Endpoint{
            IpAddress::FromV4(kFirstProxyAddress + static_cast<uint32_t>(i)),
            0},
        store);
    if (std::string error = vm.store_proxy->Open(); !error.empty()) {
      return error;
    }
    std::ofstream(vm.settings_path)
        << "[vm]\nname = " << vm.name
        << "\nfailure_domain = " << (i % 2 == 0 ? "a" : "b")
        << "\n[forward]\nlisten = " << vm.packet_endpoint.ToString()
        << "\nstatus = " << vm.status_endpoint.ToString()
        << "\npeers = " << Endpoint{address, peer_port}.ToString()
        << "\nseeds = " << seeds
        << "\nannounce = " << Endpoint{address, announce_port}.ToString()
        << "\nlink_rate = "
        << (vm.link_rate > 0 ? std::to_string(kSmallLinkMegabits) + "Mbps"
                             : "unknown")
        << "\nchange_bound = 3s\n[store]\nurl = http://"
        << vm.store_proxy->local_endpoint().ToString() << "\n";
    vms_.push_back(std::move(vm));
  }
  return "";
}

std::string SoakVms::Start(SoakVm& vm) {
  const std::string log = LogPathOf(vm).string();
  const std::string settings_file = vm.settings_path.string();
  const char* const arguments[] = {"marjoramhall", "forward", "--settings",
                                   settings_file.c_str(), nullptr};
  posix_spawn_file_actions_t files;
  posix_spawn_file_actions_init(&files);
  posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
  // Returns when the child executes the binary. Beside load that takes up to a
  // second, in which a signal would end the child before it is a VM.
  const int error = posix_spawn(&vm.pid, binary_.c_str(), &files, nullptr,
                                const_cast<char* const*>(arguments), environ);
  posix_spawn_file_actions_destroy(&files);
  if (error != 0) {
    vm.pid = 0;
    return vm.name + " did not start: " + std::strerror(error);
  }
  vm.suspended = false;
  vm.terminating = false;
  vm.needs_restart = false;
  vm.started_at = SteadyNow();
  ExtendTo(vm.last_fault_end, vm.started_at);
  if (std::exchange(vm.was_killed, false)) {
    ExtendTo(vm.last_unplanned_end, vm.started_at);
  }
  return "";
}

void SoakVms::SendSignal(SoakVm& vm, int signal) {
  if (vm.pid <= 0) {
    return;
  }
  if (signal == SIGSTOP || signal == SIGCONT) {
    vm.suspended = signal == SIGSTOP;
    vm.resumed_at = SteadyNow();
  }
  if (signal == SIGTERM) {
    vm.terminating = true;
    vm.terminating_since = SteadyNow();
  }
  kill(vm.pid, signal);
  if (signal == SIGKILL) {
    waitpid(vm.pid, nullptr, 0);
    vm.pid = 0;
  }
  ExtendTo(vm.last_fault_end, SteadyNow());
  if (signal != SIGTERM && signal != SIGHUP) {
    ExtendTo(vm.last_unplanned_end, SteadyNow());
    vm.was_killed = signal == SIGKILL;
  }
}

std::string SoakVms::ReapExited(TimePoint now) {
  for (SoakVm& it : vms_) {
    int status = 0;
    if (it.pid > 0 && waitpid(it.pid, &status, WNOHANG) == it.pid) {
      it.pid = 0;
      ExtendTo(it.last_fault_end, now);
      const int signal = WIFSIGNALED(status) ? WTERMSIG(status) : 0;
      if ((signal == SIGHUP || signal == SIGTERM) &&
          now - it.started_at < kStartPeriod) {
        ++ended_while_starting_;
        it.needs_restart = signal == SIGHUP;
        continue;
      }
      if (!it.terminating || !WIFEXITED(status) || WEXITSTATUS(status) != 0) {
        return it.name + " exited unexpectedly with wait status " +
               std::to_string(status) + ", " +
               std::to_string(
                   std::chrono::duration_cast<std::chrono::milliseconds>(
                       now - it.started_at)
                       .count()) +
               " ms after its start";
      }
    }
    if (it.pid > 0 && it.terminating && !it.suspended &&
        now - std::max(it.terminating_since, it.resumed_at) >
            kStopGracePeriod) {
      return it.name + " did not exit within the grace period";
    }
  }
  return "";
}

void SoakVms::PollReadiness(SoakVm& vm) {
  bool ok = false;
  if (vm.pid > 0 && !vm.suspended) {
    httplib::Client client(vm.status_endpoint.address.ToString(),
                           vm.status_endpoint.port);
    client.set_connection_timeout(kPollTimeout);
    client.set_read_timeout(kPollTimeout);
    const auto answer = client.Get(platform::kReadyPath);
    ok = answer && answer->status == 200;
  }
  vm.failed_polls = ok ? 0 : vm.failed_polls + 1;
  vm.ready = ok || (vm.ready && vm.failed_polls < kFailedPollsUntilNotReady);
}

std::filesystem::path SoakVms::LogPathOf(const SoakVm& vm) const {
  return folder_ / (vm.name + ".log");
}

std::map<std::string, std::string> SoakVms::RefusalReasons(
    const SoakVm& vm) const {
  std::map<std::string, std::string> reasons;
  std::ifstream log(LogPathOf(vm));
  for (std::string line; std::getline(log, line);) {
    const platform::Json entry = platform::ParseJson(line);
    const auto detail = platform::TextAt(entry, "detail");
    const auto reason = platform::TextAt(entry, "reason");
    if (detail && reason &&
        platform::TextAt(entry, "kind") == "refuse-request") {
      reasons[std::string(detail->substr(0, detail->find(',')))] = *reason;
    }
  }
  return reasons;
}

}  // namespace marjoramhall::lab
