// Processes, signals and readiness.
#include "lab/soak_vms.h"

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <fstream>

#include "platform/readiness_path.h"
#include "src/net/flow_path_socket.h"
#include "src/net/http_library.h"

namespace marjoramhall::lab {
namespace {

// The platform's grace between SIGTERM and SIGKILL.
constexpr Duration kGrace = std::chrono::seconds(6);
constexpr auto kPollTimeout = std::chrono::milliseconds(100);
constexpr int kMissesUntilOut = 2;
// Seeds that each VM is told of.
constexpr size_t kSeeds = 3;

constexpr uint32_t kFirstVm = 0x7f000101;     // 127.0.1.1
constexpr uint32_t kFirstProxy = 0x7f000301;  // 127.0.3.1

// A UDP port that is free on the first VM's address.
uint16_t FreePort() {
  net::UdpSocket socket;
  socket.Open({IpAddress::FromV4(kFirstVm), 0});
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
  const uint16_t packets = FreePort();
  const uint16_t announce = FreePort();
  const uint16_t status = FreePort();
  const uint16_t peers = FreePort();
  std::string seeds;
  for (size_t i = 0; i < std::min(n, kSeeds); ++i) {
    const Endpoint seed{IpAddress::FromV4(kFirstVm + static_cast<uint32_t>(i)),
                        peers};
    seeds += (i > 0 ? "," : "") + seed.ToString();
  }
  for (size_t i = 0; i < n; ++i) {
    SoakVm vm;
    const auto address = IpAddress::FromV4(kFirstVm + static_cast<uint32_t>(i));
    vm.name = "vm-" + std::to_string(i + 1);
    vm.packets = {address, packets};
    vm.status = {address, status};
    vm.settings = folder_ / (vm.name + ".ini");
    vm.store_proxy = std::make_unique<SoakProxy>(
        Endpoint{IpAddress::FromV4(kFirstProxy + static_cast<uint32_t>(i)), 0},
        store);
    if (std::string error = vm.store_proxy->Open(); !error.empty()) {
      return error;
    }
    std::ofstream(vm.settings)
        << "[vm]\nname = " << vm.name
        << "\nfailure_domain = " << (i % 2 == 0 ? "a" : "b")
        << "\n[forward]\nlisten = " << vm.packets.ToString()
        << "\nstatus = " << vm.status.ToString()
        << "\npeers = " << Endpoint{address, peers}.ToString()
        << "\nseeds = " << seeds
        << "\nannounce = " << Endpoint{address, announce}.ToString()
        << "\nchange_bound = 3s\n[store]\nurl = http://"
        << vm.store_proxy->local_endpoint().ToString() << "\n";
    vms_.push_back(std::move(vm));
  }
  return "";
}

void SoakVms::Start(SoakVm& vm) {
  const std::string log = (folder_ / (vm.name + ".log")).string();
  const std::string settings = vm.settings.string();
  const pid_t pid = fork();
  if (pid == 0) {
    const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(fd, STDOUT_FILENO);
    dup2(fd, STDERR_FILENO);
    execl(binary_.c_str(), "marjoramhall", "forward", "--settings",
          settings.c_str(), nullptr);
    _exit(127);
  }
  vm.pid = pid;
  vm.stopped = false;
  vm.leaving = false;
  vm.disturbed_at = SteadyNow();
}

void SoakVms::Signal(SoakVm& vm, int signal) {
  if (vm.pid <= 0) {
    return;
  }
  if (signal == SIGSTOP || signal == SIGCONT) {
    vm.stopped = signal == SIGSTOP;
  }
  if (signal == SIGTERM) {
    vm.leaving = true;
    vm.leaving_since = SteadyNow();
  }
  kill(vm.pid, signal);
  if (signal == SIGKILL) {
    waitpid(vm.pid, nullptr, 0);
    vm.pid = 0;
  }
  vm.disturbed_at = SteadyNow();
}

std::string SoakVms::Reap(TimePoint now) {
  for (SoakVm& it : vms_) {
    int status = 0;
    if (it.pid > 0 && waitpid(it.pid, &status, WNOHANG) == it.pid) {
      it.pid = 0;
      it.disturbed_at = now;
      if (!it.leaving || !WIFEXITED(status) || WEXITSTATUS(status) != 0) {
        return it.name + " ended with wait status " + std::to_string(status);
      }
    }
    if (it.pid > 0 && it.leaving && !it.stopped &&
        now - std::max(it.leaving_since, it.disturbed_at) > kGrace) {
      return it.name + " did not stop within the grace";
    }
  }
  return "";
}

void SoakVms::Poll(SoakVm& vm) {
  bool ok = false;
  if (vm.pid > 0 && !vm.stopped) {
    httplib::Client client(vm.status.address.ToString(), vm.status.port);
    client.set_connection_timeout(kPollTimeout);
    client.set_read_timeout(kPollTimeout);
    const auto answer = client.Get(platform::kReadyPath);
    ok = answer && answer->status == 200;
  }
  vm.misses = ok ? 0 : vm.misses + 1;
  vm.ready = ok || (vm.ready && vm.misses < kMissesUntilOut);
}

}  // namespace marjoramhall::lab
