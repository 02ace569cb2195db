// marjoramhall-lab forward-soak: runs VMs as processes of the shipped binary,
// injects a random sequence of overlapping faults and checks the guarantees
// from outside.
#include "lab/forward_soak.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include "lab/soak_environment.h"
#include "lab/soak_vms.h"
#include "platform/standin/store.h"

namespace marjoramhall::lab {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kVmCount = 5;
constexpr Duration kPollInterval = milliseconds(500);
// Time until the platform starts a process again that has ended.
constexpr Duration kRestartDelay = milliseconds(300);
// Time without faults at the end, in which flows must be served again.
constexpr Duration kRecoveryPhase = seconds(8);
// Time for the last flows to end.
constexpr Duration kLastFlowsTime = seconds(2);
// Least ratio of served to expected flows in the recovery phase.
constexpr double kMinServedRatio = 0.95;

class Soak {
 public:
  // `early_uploads`: uploads begin while the VMs join, not with the faults.
  Soak(const std::string& binary,
       const std::string& folder,
       uint64_t seed,
       bool early_uploads,
       RouterHash router_hash)
      : random_(seed),
        restore_random_(seed * 17 + 3),
        upgrade_random_(seed * 13 + 5),
        evacuation_random_(seed * 19 + 11),
        vms_(binary, folder),
        environment_(vms_, store_, router_hash, seed * 31 + 7) {
    if (early_uploads) {
      environment_.BeginUploads();
    }
  }

  // Prints the result. Returns true if all guarantees held.
  bool Run(Duration length) {
    std::string error = store_.Open({IpAddress::FromV4(0x7f000001), 0});
    if (error.empty()) {
      error = vms_.Prepare(kVmCount, store_.local_endpoint());
    }
    if (error.empty()) {
      error = environment_.Open();
    }
    if (!error.empty()) {
      std::printf("cannot start: %s\n", error.c_str());
      return false;
    }
    for (SoakVm& it : vms_.all()) {
      Start(it);
    }
    RunFor(seconds(2), false);
    environment_.BeginUploads();
    ScheduleRestores(length);
    ScheduleReportsAndUpgrades(length);
    ScheduleEvacuations(length);
    RunFor(length, true);
    EndFaults();
    RunFor(kSettleTime, false);
    const SoakCounts before = environment_.counts();
    environment_.BeginRecoveryPhase();
    RunFor(kRecoveryPhase, false);
    environment_.StopOpeningFlows();
    RunFor(kLastFlowsTime, false);
    CheckEnd(before);
    return Report();
  }

 private:
  static constexpr Duration kSettleTime = seconds(5);

  void RunFor(Duration length, bool faults) {
    const TimePoint end = SteadyNow() + length;
    TimePoint next_fault = SteadyNow();
    for (TimePoint now = SteadyNow(); now < end; now = SteadyNow()) {
      if (faults && now >= next_fault) {
        InjectFault(now);
        next_fault = now + milliseconds(100 + random_() % 900);
      }
      for (auto it = scheduled_.begin();
           it != scheduled_.end() && it->first <= now;) {
        it->second();
        it = scheduled_.erase(it);
      }
      const std::string fault = vms_.ReapExited(now);
      if (!fault.empty()) {
        failures_.push_back(fault);
      }
      for (SoakVm& it : vms_.all()) {
        if (std::exchange(it.needs_restart, false)) {
          StartAfterExit(it, kRestartDelay);
        }
      }
      PollOne(now);
      environment_.Step(now);
      std::this_thread::sleep_for(milliseconds(1));
    }
  }

  // Polls one VM per call, in turns, so that each is polled every
  // kPollInterval.
  void PollOne(TimePoint now) {
    if (now >= next_poll_) {
      next_poll_ = now + kPollInterval / kVmCount;
      vms_.PollReadiness(vms_.all()[poll_count_++ % kVmCount]);
    }
  }

  void ScheduleAfter(Duration span, std::function<void()> action) {
    scheduled_.emplace(SteadyNow() + span, std::move(action));
  }

  void InjectFault(TimePoint now) {
    SoakVm& vm = vms_.all()[random_() % kVmCount];
    const Duration span = milliseconds(200 + random_() % 4000);
    switch (random_() % 12) {
      case 0:
        return environment_.ReplaceTarget(now);
      case 1:
        return environment_.CrashTarget(now);
      case 2:
        return environment_.ReuseAddress(now);
      case 3:
      case 4:
        return environment_.ChangeConfig(now);
      case 5:
        return environment_.WriteInvalidEntry();
      case 6:
        return Restart(vm, SIGKILL, span / 2);
      case 7:
        return Restart(vm, SIGTERM, span / 2);
      case 8:
        return Suspend(vm, span);
      case 9:
        return DisruptStoreConnection(vm, span);
      case 10:
        vms_.SendSignal(vm, SIGHUP);
        return;
      default:
        return DisruptStore(span);
    }
  }

  // Stops and starts all VMs, one after the other, as an upgrade does.
  void RestartInTurn() {
    constexpr Duration kGap = milliseconds(1000);
    for (size_t i = 0; i < kVmCount; ++i) {
      ScheduleAfter(i * kGap, [this, i] {
        Restart(vms_.all()[i], SIGTERM, milliseconds(300));
      });
    }
  }

  void Restart(SoakVm& vm, int signal, Duration down) {
    if (vm.pid == 0 || vm.terminating || vm.suspended) {
      return;
    }
    vms_.SendSignal(vm, signal);
    StartAfterExit(vm, down);
  }

  void Start(SoakVm& vm) {
    std::string error = vms_.Start(vm);
    if (!error.empty()) {
      failures_.push_back(std::move(error));
    }
  }

  void StartAfterExit(SoakVm& vm, Duration delay) {
    ScheduleAfter(delay, [this, &vm] {
      if (vm.pid != 0) {
        StartAfterExit(vm, milliseconds(50));
      } else {
        Start(vm);
      }
    });
  }

  void Suspend(SoakVm& vm, Duration span) {
    if (vm.pid == 0 || vm.suspended || vm.terminating) {
      return;
    }
    vms_.SendSignal(vm, SIGSTOP);
    ScheduleAfter(span, [this, &vm] {
      if (vm.suspended) {
        vms_.SendSignal(vm, SIGCONT);
      }
    });
  }

  void DisruptStoreConnection(SoakVm& vm, Duration span) {
    constexpr ProxyMode kModes[] = {ProxyMode::kDelay, ProxyMode::kSilent,
                                    ProxyMode::kOneWay, ProxyMode::kReset};
    vm.store_proxy->SetMode(kModes[random_() % std::size(kModes)]);
    MarkFaultUntil(vm, SteadyNow() + span);
    ScheduleAfter(span, [&vm] { vm.store_proxy->SetMode(ProxyMode::kPass); });
  }

  // Records that a fault affects the VM until `until`.
  void MarkFaultUntil(SoakVm& vm, TimePoint until) {
    vm.last_fault_end = std::max(vm.last_fault_end, until);
    vm.last_unplanned_end = std::max(vm.last_unplanned_end, until);
  }

  void DisruptStore(Duration span) {
    if (random_() % 2 == 0) {
      store_.Compact();
      return;
    }
    store_.SetRefusing(true);
    for (SoakVm& it : vms_.all()) {
      MarkFaultUntil(it, SteadyNow() + span);
    }
    ScheduleAfter(span, [this] { store_.SetRefusing(false); });
  }

  // Late writes of targets that restart and drain, and VMs that are stopped in
  // turn.
  void ScheduleReportsAndUpgrades(Duration length) {
    const auto span = [this](uint64_t min_ms, uint64_t max_ms) {
      return milliseconds(min_ms + upgrade_random_() % (max_ms - min_ms));
    };
    for (Duration at = span(0, 1000); at < length; at += span(100, 1500)) {
      ScheduleAfter(at, [this] {
        environment_.DelayReport(SteadyNow());
        environment_.RestartTarget();
      });
      ScheduleAfter(at + span(0, 3000),
                    [this] { environment_.ReplaceTarget(SteadyNow()); });
    }
    for (Duration at = span(0, 4000); at < length; at += span(5000, 9000)) {
      ScheduleAfter(at, [this] { RestartInTurn(); });
    }
  }

  // Evacuations long enough for the bound, and shorter ones.
  void ScheduleEvacuations(Duration length) {
    const auto span = [this](uint64_t min_ms, uint64_t max_ms) {
      return milliseconds(min_ms + evacuation_random_() % (max_ms - min_ms));
    };
    for (Duration at = span(0, 2000); at < length; at += span(500, 3000)) {
      const Duration lasts = span(500, 7000);
      ScheduleAfter(at, [this, lasts] {
        environment_.EvacuateDomain(SteadyNow(), lasts);
      });
      at += lasts;
    }
  }

  // Lets the store come back from an older copy, every few seconds.
  void ScheduleRestores(Duration length) {
    const auto span = [this](uint64_t min_ms, uint64_t max_ms) {
      return milliseconds(min_ms + restore_random_() % (max_ms - min_ms));
    };
    for (Duration at = span(0, 3000); at < length; at += span(2000, 8000)) {
      ScheduleAfter(at, [this] { store_.TakeCopy(); });
      at += span(10, 2000);
      ScheduleAfter(at, [this] { WriteManyRevisions(); });
      at += span(200, 4000);
      ScheduleAfter(at, [this] { store_.RestoreCopy(); });
      at += span(10, 1000);
      ScheduleAfter(at, [this] {
        store_.WriteLostItems();
        ReplaceTargets();
      });
    }
  }

  // Makes the revisions that a return undoes much higher than those that the
  // store gives out soon after it, also for targets that drain then.
  void WriteManyRevisions() {
    constexpr int kRevisions = 50;
    for (int i = 0; i < kRevisions; ++i) {
      environment_.WriteInvalidEntry();
    }
    ReplaceTargets();
  }

  void ReplaceTargets() {
    constexpr int kTargets = 3;
    for (int i = 0; i < kTargets; ++i) {
      environment_.ReplaceTarget(SteadyNow());
    }
  }

  void EndFaults() {
    // Runs all scheduled actions, which restart VMs and end faults.
    while (!scheduled_.empty()) {
      RunFor(milliseconds(100), false);
    }
    store_.SetRefusing(false);
  }

  void CheckEnd(const SoakCounts& before) {
    const SoakCounts after = environment_.counts();
    const auto expected = static_cast<double>(after.expected - before.expected);
    const auto served =
        static_cast<double>(after.expected_served - before.expected_served);
    if (expected == 0 || served < kMinServedRatio * expected) {
      failures_.push_back("too few flows were served in the recovery phase");
    }
    if (after.served_uploads == before.served_uploads) {
      failures_.push_back("no upload was served in the recovery phase");
    }
  }

  bool Report() {
    const SoakCounts& n = environment_.counts();
    std::printf(
        "flows %llu, served %llu, refused %llu, abandoned %llu, lost with "
        "their target %llu, open %zu\n",
        static_cast<unsigned long long>(n.flows),
        static_cast<unsigned long long>(n.served),
        static_cast<unsigned long long>(n.refused),
        static_cast<unsigned long long>(n.abandoned),
        static_cast<unsigned long long>(n.target_gone),
        environment_.open_flows());
    std::printf("uploads %llu, served %llu, refused for a full link %llu\n",
                static_cast<unsigned long long>(n.uploads),
                static_cast<unsigned long long>(n.served_uploads),
                static_cast<unsigned long long>(n.refused_uploads));
    if (vms_.ended_while_starting() > 0) {
      std::printf(
          "VMs that a signal ended within a second of their start: %d\n",
          vms_.ended_while_starting());
    }
    for (const std::string& it : failures_) {
      std::printf("FAULT %s\n", it.c_str());
    }
    std::map<const SoakVm*, std::map<std::string, std::string>> reasons;
    const auto violations =
        environment_.Violations([&](const SoakVm& vm, const std::string& flow) {
          const auto [it, is_new] = reasons.try_emplace(&vm);
          if (is_new) {
            it->second = vms_.RefusalReasons(vm);
          }
          return it->second[flow];
        });
    for (const std::string& it : violations) {
      std::printf("BROKEN %s\n", it.c_str());
    }
    return failures_.empty() && violations.empty();
  }

  std::mt19937_64 random_;
  // Leave the order of other faults alone.
  std::mt19937_64 restore_random_;
  std::mt19937_64 upgrade_random_;
  std::mt19937_64 evacuation_random_;
  platform::StandInStore store_;
  SoakVms vms_;
  SoakEnvironment environment_;
  std::multimap<TimePoint, std::function<void()>> scheduled_;
  std::vector<std::string> failures_;
  TimePoint next_poll_;
  size_t poll_count_ = 0;
};

}  // namespace

int RunForwardSoak(std::span<const std::string> args) {
  if (args.size() < 3) {
    std::fprintf(
        stderr,
        "usage: forward-soak BINARY FOLDER SECONDS [SEED [OPTION...]]\n"
        "Options: early-uploads (while the VMs join), mod (routers hash so)\n"
        "Writes logs and settings of the VMs to FOLDER.\n");
    return 2;
  }
  const uint64_t seed = args.size() > 3
                            ? std::strtoull(args[3].c_str(), nullptr, 10)
                            : std::random_device()();
  std::printf("seed %llu\n", static_cast<unsigned long long>(seed));
  std::signal(SIGPIPE, SIG_IGN);
  const auto has_option = [&args](std::string_view name) {
    return args.size() > 4 &&
           std::find(args.begin() + 4, args.end(), name) != args.end();
  };
  const RouterHash router_hash = has_option(NameOf(RouterHash::kModulo))
                                     ? RouterHash::kModulo
                                     : RouterHash::kSteady;
  Soak soak(args[0], args[1], seed, has_option("early-uploads"), router_hash);
  return soak.Run(seconds(std::atoi(args[2].c_str()))) ? 0 : 1;
}

}  // namespace marjoramhall::lab
