// Process control, settings and readiness checks.
#include "fleet.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <csignal>
#include <fstream>
#include <memory>
#include <utility>

#include "packet.h"

namespace marjoramhall::review {
namespace {

using std::chrono::milliseconds;

constexpr uint32_t kFirstVmAddress = 0x7f000101;  // 127.0.1.1
constexpr size_t kSeeds = 3;
constexpr auto kCheckInterval = milliseconds(500);
constexpr auto kCheckTimeout = milliseconds(450);
constexpr int kMissesUntilOut = 2;
constexpr auto kRestartDelay = milliseconds(300);
constexpr auto kReapInterval = milliseconds(10);

sockaddr_in SockaddrOf(uint32_t address, uint16_t port) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_addr.s_addr = htonl(address);
  out.sin_port = htons(port);
  return out;
}

// Returns a port that is free on the first VM's address.
uint16_t FreePort(int type) {
  const int fd = socket(AF_INET, type, 0);
  sockaddr_in local = SockaddrOf(kFirstVmAddress, 0);
  socklen_t length = sizeof(local);
  static_cast<void>(bind(fd, reinterpret_cast<sockaddr*>(&local), length));
  getsockname(fd, reinterpret_cast<sockaddr*>(&local), &length);
  close(fd);
  return ntohs(local.sin_port);
}

// Of all VMs that run, for the handler of a signal that ends the test.
constexpr size_t kMaxVms = 64;
std::atomic<pid_t> g_pids[kMaxVms];

void EndVmsAndExit(int) {
  for (const std::atomic<pid_t>& it : g_pids) {
    if (const pid_t pid = it; pid > 0) {
      kill(pid, SIGKILL);
    }
  }
  _exit(2);
}

uint64_t Mix(uint64_t x) {
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9U;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebU;
  return x ^ (x >> 31);
}

}  // namespace

Fleet::Fleet(Loop& loop, FleetOptions options, RecordHook record)
    : loop_(loop), options_(std::move(options)), record_(std::move(record)) {}

Fleet::~Fleet() {
  for (Vm& it : vms_) {
    if (it.pid > 0) {
      kill(it.pid, SIGKILL);
      waitpid(it.pid, nullptr, 0);
    }
  }
}

bool Fleet::Open() {
  std::signal(SIGTERM, EndVmsAndExit);
  std::signal(SIGINT, EndVmsAndExit);
  packet_port_ = FreePort(SOCK_DGRAM);
  internal_port_ = FreePort(SOCK_DGRAM);
  ready_port_ = FreePort(SOCK_STREAM);
  control_port_ = FreePort(SOCK_STREAM);
  static const char* const kZones[] = {"valley-a", "valley-b", "valley-c",
                                       "valley-d"};
  for (size_t i = 0; i < options_.size; ++i) {
    Vm vm;
    vm.name = "frontend-" + std::to_string(i + 1);
    vm.zone = kZones[i % 4];
    vm.address = kFirstVmAddress + static_cast<uint32_t>(i);
    vm.settings_path = options_.folder + "/" + vm.name + ".ini";
    vms_.push_back(std::move(vm));
  }
  for (Vm& it : vms_) {
    WriteSettings(it);
    Start(it);
    if (it.pid == 0) {
      return false;
    }
    CheckReadiness(it);
  }
  Reap();
  return true;
}

// As deploy/settings.ini renders them on the small deployments.
void Fleet::WriteSettings(const Vm& vm) const {
  std::string seeds;
  for (size_t i = 0; i < kSeeds && i < vms_.size(); ++i) {
    seeds += (i > 0 ? "," : "") + AddressText(vms_[i].address) + ":" +
             std::to_string(control_port_);
  }
  const std::string ip = AddressText(vm.address);
  std::ofstream(vm.settings_path)
      << "[vm]\nname = " << vm.name << "\nfailure_domain = " << vm.zone
      << "\n\n[forward]\nlisten = " << ip << ":" << packet_port_
      << "\nstatus = " << ip << ":" << ready_port_ << "\npeers = " << ip << ":"
      << control_port_ << "\nseeds = " << seeds << "\nannounce = " << ip << ":"
      << internal_port_
      << "\nchange_bound = 3000ms\ndrain_bound = 3000ms\n\n[store]\nurl = "
      << "http://" << AddressText(options_.store_address) << ":"
      << options_.store_port << "\n\n[log]\ndecisions = all\n";
}

void Fleet::Start(Vm& vm) {
  const std::string log = options_.folder + "/" + vm.name + ".log";
  const char* const arguments[] = {options_.program.c_str(), "forward",
                                   "--settings", vm.settings_path.c_str(),
                                   nullptr};
  posix_spawn_file_actions_t files;
  posix_spawn_file_actions_init(&files);
  posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
  if (posix_spawn(&vm.pid, options_.program.c_str(), &files, nullptr,
                  const_cast<char* const*>(arguments), environ) != 0) {
    vm.pid = 0;
  }
  posix_spawn_file_actions_destroy(&files);
  g_pids[vm.address - kFirstVmAddress] = vm.pid;
  vm.is_stopping = false;
  record_(vm.name + " started");
}

void Fleet::Signal(Vm& vm, int signal) {
  if (vm.pid > 0) {
    record_(vm.name + " gets signal " + std::to_string(signal));
    kill(vm.pid, signal);
  }
}

void Fleet::Restart(Vm& vm) {
  if (vm.pid > 0) {
    vm.is_stopping = true;
    Signal(vm, SIGTERM);
  }
}

void Fleet::Reap() {
  for (Vm& it : vms_) {
    int status = 0;
    if (it.pid == 0 || waitpid(it.pid, &status, WNOHANG) != it.pid) {
      continue;
    }
    it.pid = 0;
    g_pids[it.address - kFirstVmAddress] = 0;
    const bool expected =
        it.is_stopping && WIFEXITED(status) && WEXITSTATUS(status) == 0;
    unexpected_ends_ += expected ? 0 : 1;
    record_(it.name + (expected ? " exited" : " ENDED BY ITSELF") +
            (WIFSIGNALED(status)
                 ? ", by signal " + std::to_string(WTERMSIG(status))
                 : ", status " + std::to_string(WEXITSTATUS(status))));
    loop_.After(kRestartDelay, [this, &it] { Start(it); });
  }
  loop_.After(kReapInterval, [this] { Reap(); });
}

void Fleet::CheckReadiness(Vm& vm) {
  loop_.After(kCheckInterval, [this, &vm] { CheckReadiness(vm); });
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in to = SockaddrOf(vm.address, ready_port_);
  const std::string request =
      "GET /v1/readyz HTTP/1.1\r\nHost: " + AddressText(vm.address) +
      "\r\nConnection: close\r\n\r\n";
  // On loopback a connection is established or refused at once.
  if (connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) != 0 ||
      send(fd, request.data(), request.size(), MSG_NOSIGNAL) < 0) {
    close(fd);
    OnReadiness(vm, false);
    return;
  }
  const auto is_done = std::make_shared<bool>(false);
  const auto end = [this, fd, &vm, is_done](bool is_ready) {
    if (!std::exchange(*is_done, true)) {
      loop_.Unwatch(fd);
      close(fd);
      OnReadiness(vm, is_ready);
    }
  };
  loop_.Watch(fd, [fd, end] {
    char buf[256];
    const ssize_t n = recv(fd, buf, sizeof(buf), MSG_DONTWAIT);
    end(n > 0 &&
        std::string(buf, static_cast<size_t>(n)).starts_with("HTTP/1.1 200"));
  });
  loop_.After(kCheckTimeout, [end] { end(false); });
}

void Fleet::OnReadiness(Vm& vm, bool is_ready) {
  vm.misses = is_ready ? 0 : vm.misses + 1;
  const bool was_in = vm.in_rotation;
  vm.in_rotation = is_ready || (was_in && vm.misses < kMissesUntilOut);
  if (vm.in_rotation != was_in) {
    record_(vm.name + (was_in ? " leaves the rotation" : " is in rotation"));
  }
}

const Vm* Fleet::Route(uint64_t flow_hash, const std::string& zone) const {
  size_t in_zone = 0;
  size_t ready_in_zone = 0;
  for (const Vm& it : vms_) {
    in_zone += it.zone == zone ? 1 : 0;
    ready_in_zone += it.zone == zone && it.in_rotation ? 1 : 0;
  }
  // With fewer than half of a zone's nodes, all of them are used; with none,
  // those of other zones.
  const bool use_all = ready_in_zone > 0 && 2 * ready_in_zone < in_zone;
  const bool use_others = ready_in_zone == 0;
  // Of the nodes in question, the one with the highest hash, so that only the
  // flows of a node that leaves or joins move.
  const Vm* best = nullptr;
  uint64_t best_score = 0;
  for (const Vm& it : vms_) {
    if ((use_others ? it.zone == zone : it.zone != zone) ||
        !(it.in_rotation || use_all)) {
      continue;
    }
    const uint64_t score = Mix(flow_hash ^ Mix(it.address));
    if (best == nullptr || score > best_score) {
      best = &it;
      best_score = score;
    }
  }
  return best;
}

const Vm* Fleet::Find(uint32_t address) const {
  for (const Vm& it : vms_) {
    if (it.address == address) {
      return &it;
    }
  }
  return nullptr;
}

bool Fleet::AllReady() const {
  for (const Vm& it : vms_) {
    if (!it.in_rotation) {
      return false;
    }
  }
  return true;
}

}  // namespace marjoramhall::review
