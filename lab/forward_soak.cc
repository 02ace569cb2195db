// marjoramhall-lab forward-soak: runs VMs as real processes, plays a random
// series of overlapping faults on them and checks the promises from outside.
#include "lab/forward_soak.h"

#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "lab/soak_vms.h"
#include "lab/soak_world.h"
#include "platform/standin/store.h"

namespace marjoramhall::lab {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kVms = 5;
constexpr Duration kPollInterval = milliseconds(500);
// Undisturbed time at the end, in which callers must be served again.
constexpr Duration kCalmEnd = seconds(8);
// Time for the answers of the last flows.
constexpr Duration kLastAnswers = seconds(2);
// Part of the flows of the calm end that must be served.
constexpr double kServedAtEnd = 0.95;

class Soak {
 public:
  Soak(const std::string& binary, const std::string& folder, uint64_t seed)
      : random_(seed),
        vms_(binary, folder),
        world_(vms_, store_, seed * 31 + 7) {}

  // Returns whether all promises held.
  bool Run(Duration length) {
    std::string error = store_.Open({IpAddress::FromV4(0x7f000001), 0});
    if (error.empty()) {
      error = vms_.Prepare(kVms, store_.local_endpoint());
    }
    if (error.empty()) {
      error = world_.Open();
    }
    if (!error.empty()) {
      std::printf("cannot start: %s\n", error.c_str());
      return false;
    }
    for (SoakVm& it : vms_.all()) {
      vms_.Start(it);
    }
    RunFor(seconds(2), false);
    RunFor(length, true);
    Heal();
    RunFor(kInTouchSettle, false);
    const SoakCounts before = world_.counts();
    world_.BeginCalmEnd();
    RunFor(kCalmEnd, false);
    world_.StopCallers();
    RunFor(kLastAnswers, false);
    CheckEnd(before);
    return Report();
  }

 private:
  static constexpr Duration kInTouchSettle = seconds(5);

  void RunFor(Duration length, bool faults) {
    const TimePoint end = SteadyNow() + length;
    TimePoint next_fault = SteadyNow();
    for (TimePoint now = SteadyNow(); now < end; now = SteadyNow()) {
      if (faults && now >= next_fault) {
        PlayFault(now);
        next_fault = now + milliseconds(100 + random_() % 900);
      }
      for (auto it = later_.begin(); it != later_.end() && it->first <= now;) {
        it->second();
        it = later_.erase(it);
      }
      const std::string fault = vms_.Reap(now);
      if (!fault.empty()) {
        faults_.push_back(fault);
      }
      PollOne(now);
      world_.Step(now);
      std::this_thread::sleep_for(milliseconds(1));
    }
  }

  // One VM at a time, so that each is asked every kPollInterval.
  void PollOne(TimePoint now) {
    if (now >= next_poll_) {
      next_poll_ = now + kPollInterval / kVms;
      vms_.Poll(vms_.all()[polled_++ % kVms]);
    }
  }

  void After(Duration span, std::function<void()> action) {
    later_.emplace(SteadyNow() + span, std::move(action));
  }

  void PlayFault(TimePoint now) {
    SoakVm& vm = vms_.all()[random_() % kVms];
    const Duration span = milliseconds(200 + random_() % 4000);
    switch (random_() % 12) {
      case 0:
        return world_.ReplaceTarget(now);
      case 1:
        return world_.CrashTarget(now);
      case 2:
        return world_.ReuseAddress(now);
      case 3:
      case 4:
        return world_.ChangeConfig(now);
      case 5:
        return world_.WriteForeignEntry();
      case 6:
        return Restart(vm, SIGKILL, span / 2);
      case 7:
        return Restart(vm, SIGTERM, span / 2);
      case 8:
        return Freeze(vm, span);
      case 9:
        return Disturb(vm, span);
      case 10:
        vms_.Signal(vm, SIGHUP);
        return;
      default:
        return TroubleStore(span);
    }
  }

  void Restart(SoakVm& vm, int signal, Duration down) {
    if (vm.pid == 0 || vm.leaving || vm.stopped) {
      return;
    }
    vms_.Signal(vm, signal);
    StartWhenGone(vm, down);
  }

  void StartWhenGone(SoakVm& vm, Duration delay) {
    After(delay, [this, &vm] {
      if (vm.pid != 0) {
        StartWhenGone(vm, milliseconds(50));
      } else {
        vms_.Start(vm);
      }
    });
  }

  void Freeze(SoakVm& vm, Duration span) {
    if (vm.pid == 0 || vm.stopped || vm.leaving) {
      return;
    }
    vms_.Signal(vm, SIGSTOP);
    After(span, [this, &vm] {
      if (vm.stopped) {
        vms_.Signal(vm, SIGCONT);
      }
    });
  }

  void Disturb(SoakVm& vm, Duration span) {
    constexpr ProxyMode kModes[] = {ProxyMode::kDelay, ProxyMode::kSilent,
                                    ProxyMode::kOneWay, ProxyMode::kReset};
    vm.store_proxy->SetMode(kModes[random_() % std::size(kModes)]);
    KeepDisturbed(vm, SteadyNow() + span);
    After(span, [&vm] { vm.store_proxy->SetMode(ProxyMode::kPass); });
  }

  // Marks a VM as disturbed until a time.
  void KeepDisturbed(SoakVm& vm, TimePoint until) {
    vm.disturbed_at = std::max(vm.disturbed_at, until);
  }

  void TroubleStore(Duration span) {
    if (random_() % 2 == 0) {
      store_.Compact();
      return;
    }
    store_.SetRefusing(true);
    for (SoakVm& it : vms_.all()) {
      KeepDisturbed(it, SteadyNow() + span);
    }
    After(span, [this] { store_.SetRefusing(false); });
  }

  void Heal() {
    // Everything that is planned still happens: restarts, wake-ups, ends.
    while (!later_.empty()) {
      RunFor(milliseconds(100), false);
    }
    store_.SetRefusing(false);
  }

  void CheckEnd(const SoakCounts& before) {
    const SoakCounts after = world_.counts();
    const auto owed = static_cast<double>(after.owed - before.owed);
    const auto served =
        static_cast<double>(after.owed_served - before.owed_served);
    if (owed == 0 || served < kServedAtEnd * owed) {
      faults_.push_back("too few flows served after the faults");
    }
  }

  bool Report() {
    const SoakCounts& n = world_.counts();
    std::printf(
        "flows %llu, served %llu, refused %llu, abandoned %llu, lost with "
        "their target %llu, open %zu\n",
        static_cast<unsigned long long>(n.flows),
        static_cast<unsigned long long>(n.served),
        static_cast<unsigned long long>(n.refused),
        static_cast<unsigned long long>(n.abandoned),
        static_cast<unsigned long long>(n.target_gone), world_.open_flows());
    for (const std::string& it : faults_) {
      std::printf("FAULT %s\n", it.c_str());
    }
    for (const std::string& it : world_.broken()) {
      std::printf("BROKEN %s\n", it.c_str());
    }
    return faults_.empty() && world_.broken().empty();
  }

  std::mt19937_64 random_;
  platform::StandInStore store_;
  SoakVms vms_;
  SoakWorld world_;
  std::multimap<TimePoint, std::function<void()>> later_;
  std::vector<std::string> faults_;
  TimePoint next_poll_;
  size_t polled_ = 0;
};

}  // namespace

int RunForwardSoak(std::span<const std::string> args) {
  if (args.size() < 3) {
    std::fprintf(stderr,
                 "usage: forward-soak BINARY FOLDER SECONDS [SEED]\n"
                 "Logs and settings of the VMs go to FOLDER.\n");
    return 2;
  }
  const uint64_t seed = args.size() > 3
                            ? std::strtoull(args[3].c_str(), nullptr, 10)
                            : std::random_device()();
  std::printf("seed %llu\n", static_cast<unsigned long long>(seed));
  std::signal(SIGPIPE, SIG_IGN);
  Soak soak(args[0], args[1], seed);
  return soak.Run(seconds(std::atoi(args[2].c_str()))) ? 0 : 1;
}

}  // namespace marjoramhall::lab
