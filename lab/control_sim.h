// Simulation of the control planes of many VMs in virtual time: an event queue,
// a network and a store with faults. Header-only, so that tests of the control
// library and benchmarks can use it without the lab library.
#ifndef MARJORAMHALL_LAB_CONTROL_SIM_H_
#define MARJORAMHALL_LAB_CONTROL_SIM_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "lab/control_sim_codec.h"
#include "lab/control_sim_faults.h"
#include "src/control/control_core.h"
#include "src/control/store_table.h"
#include "src/protocol/envelope.h"

namespace marjoramhall::lab {

class ControlSim {
 public:
  struct Vm {
    std::string name;
    std::unique_ptr<control::ControlCore> core;
    std::unique_ptr<protocol::EnvelopeCodec> codec;
    config::Member member;
    // Rises with each start and kill, so that events of an earlier process are
    // dropped.
    uint64_t process_number = 0;
    bool paused = false;
    bool store_blocked = false;
    // Events that arrived while it was paused.
    std::vector<std::function<void()>> delayed_events;
    uint64_t sent_bytes = 0;
    uint64_t sent_messages = 0;
    Revision highest_revision = 0;   // newest revision that was in force
    TimePoint highest_reached_at{};  // time at which it came into force
  };

  // Adds `vms` VMs in `domains` failure domains, without starting them. With
  // `seal_messages`, messages pass through EnvelopeCodec.
  ControlSim(uint64_t seed,
             size_t vms,
             size_t domains,
             bool seal_messages = false)
      : seal_messages_(seal_messages), domains_(domains), random_(seed) {
    for (size_t i = 0; i < vms; ++i) {
      AddVm();
    }
  }

  TimePoint now() const { return now_; }
  size_t size() const { return vms_.size(); }
  Vm& vm(size_t i) { return *vms_[i]; }
  control::ControlCore& core(size_t i) { return *vms_[i]->core; }
  bool running(size_t i) const { return vms_[i]->core != nullptr; }
  control::StoreTable& store() { return store_; }
  SimFaults& faults() { return faults_; }
  control::ControlCoreOptions& options() { return options_; }
  uint64_t store_calls(const std::string& kind) { return store_calls_[kind]; }
  // Appends a line per decision to `lines`, or stops recording if it is null.
  void Record(std::vector<std::string>* lines) { decision_lines_ = lines; }
  // Describes a violation: the revision in force went back on a VM, or two VMs
  // had different contents of one revision. Empty if there was none.
  const std::string& violation() const { return violation_; }
  // Text of each revision that was in force on some VM.
  const std::map<Revision, std::string>& accepted() const {
    return texts_by_revision_;
  }

  size_t AddVm() {
    const size_t i = vms_.size();
    auto vm = std::make_unique<Vm>();
    vm->name = "vm" + std::to_string(i);
    vm->member.name = vm->name;
    vm->member.id = config::VmIdOf(vm->name);
    vm->member.domain = "zone" + std::to_string(i % domains_);
    const auto ip = IpAddress::FromV4(0x0a000000 + static_cast<uint32_t>(i));
    vm->member.control_endpoint = {ip, 7000};
    vm->member.hop_endpoint = {ip, 7001};
    vm->member.request_endpoint = {ip, 7002};
    by_endpoint_[vm->member.control_endpoint] = i;
    vms_.push_back(std::move(vm));
    return i;
  }

  // Starts or restarts the process of a VM. VMs are diskless, so a restarted VM
  // has lost its state just as a replaced one.
  void Start(size_t i) {
    StartWithIncarnation(
        i, 1'700'000'000'000'000U +
               static_cast<uint64_t>(now_.time_since_epoch().count()));
  }
  void StartWithIncarnation(size_t i, Incarnation incarnation) {
    Vm& vm = *vms_[i];
    vm.core.reset();
    ++vm.process_number;
    vm.paused = false;
    vm.delayed_events.clear();
    vm.highest_revision = 0;
    vm.member.incarnation = incarnation;
    vm.codec = std::make_unique<protocol::EnvelopeCodec>(
        "sim", "key", vm.member.id, vm.member.incarnation);
    control::ControlCoreOptions options = options_;
    options.membership.seeds = Seeds();
    control::ControlHooks hooks;
    hooks.send = [this, i](const control::PeerAddress& to, PeerChannel channel,
                           std::string payload) {
      SendMessage(i, to, channel, std::move(payload));
    };
    hooks.on_view = [this, i](const config::ControlViewPtr& view) {
      OnView(i, *view);
    };
    hooks.decide = [this, i](const Decision& decision) {
      OnDecision(i, decision);
    };
    hooks.clock = [this] { return now_; };
    vm.core = std::make_unique<control::ControlCore>(
        options, vm.member, StoreOf(i), SimCodec(), hooks, random_());
    const uint64_t process_number = vm.process_number;
    At(now_ + Duration(random_() % 50'000),
       [this, i, process_number] { Tick(i, process_number); });
  }
  void StartAll() {
    for (size_t i = 0; i < vms_.size(); ++i) {
      Start(i);
    }
  }
  void Kill(size_t i) {
    vms_[i]->core.reset();
    ++vms_[i]->process_number;
    vms_[i]->delayed_events.clear();
    vms_[i]->paused = false;
  }
  // Suspends a VM. Events for it run afterwards.
  void Pause(size_t i, Duration span) {
    Vm& vm = *vms_[i];
    if (!vm.core || vm.paused) {
      return;
    }
    vm.paused = true;
    const uint64_t process_number = vm.process_number;
    At(now_ + span, [this, i, process_number] {
      Vm& it = *vms_[i];
      if (it.process_number != process_number) {
        return;
      }
      it.paused = false;
      auto delayed_events = std::exchange(it.delayed_events, {});
      for (auto& event : delayed_events) {
        event();
      }
    });
  }
  // Drops all messages from one VM to another, until Heal().
  void BlockMessages(size_t from, size_t to) {
    blocked_links_.insert({from, to});
  }
  // Partitions the VMs: drops messages between VMs with different values in
  // `sides`, until Heal().
  void Partition(const std::vector<int>& sides) { partition_sides_ = sides; }
  // Ends all faults except pauses.
  void Heal() {
    blocked_links_.clear();
    partition_sides_.clear();
    faults_ = SimFaults();
    for (auto& vm : vms_) {
      vm->store_blocked = false;
    }
  }

  void Run(Duration span) {
    const TimePoint end = now_ + span;
    while (!events_.empty() && events_.top().at <= end) {
      auto event = std::move(const_cast<Event&>(events_.top()));
      events_.pop();
      now_ = event.at;
      event.action();
    }
    now_ = end;
  }
  // Runs until the condition holds, which is checked every 20 ms. Returns the
  // time taken, or nullopt if `limit` has passed before.
  std::optional<Duration> RunUntil(const std::function<bool()>& condition,
                                   Duration limit) {
    const TimePoint start = now_;
    while (!condition()) {
      if (now_ - start >= limit) {
        return std::nullopt;
      }
      Run(std::chrono::milliseconds(20));
    }
    return now_ - start;
  }
  void At(TimePoint at, std::function<void()> action) {
    events_.push({at, ++last_event_number_, std::move(action)});
  }

  // True if each running VM sees exactly the running VMs, none of them suspect.
  bool MembersAgree() {
    size_t alive = 0;
    for (const auto& vm : vms_) {
      alive += vm->core ? 1 : 0;
    }
    return std::all_of(vms_.begin(), vms_.end(), [&](const auto& vm) {
      if (!vm->core) {
        return true;
      }
      const auto members = vm->core->membership().Members();
      return members.size() == alive &&
             std::all_of(members.begin(), members.end(), [](const auto& it) {
               return it.state != config::MemberState::kSuspect;
             });
    });
  }
  // True if all running VMs have the same content, of a revision no lower than
  // `at_least`.
  bool ConfigurationsAgree(Revision at_least) {
    const std::string* text = nullptr;
    for (const auto& vm : vms_) {
      if (!vm->core) {
        continue;
      }
      const auto& gossip = vm->core->gossip();
      if (gossip.current()->revision < at_least ||
          (text != nullptr && *text != gossip.text())) {
        return false;
      }
      text = &gossip.text();
    }
    return true;
  }
  bool AnyPaused() const {
    return std::any_of(vms_.begin(), vms_.end(),
                       [](const auto& it) { return it->paused; });
  }
  uint64_t TotalRemovals() {
    uint64_t n = 0;
    for (const auto& vm : vms_) {
      n += vm->core ? vm->core->membership().stats().removals : 0;
    }
    return n;
  }

 private:
  struct Event {
    TimePoint at;
    uint64_t number;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return std::pair(at, number) > std::pair(other.at, other.number);
    }
  };

  bool Chance(double p) {
    return p > 0 && std::uniform_real_distribution<double>(0, 1)(random_) < p;
  }

  std::vector<Endpoint> Seeds() const {
    std::vector<Endpoint> result;
    for (size_t i = 0; i < std::min<size_t>(4, vms_.size()); ++i) {
      result.push_back(vms_[i]->member.control_endpoint);
    }
    return result;
  }

  void Tick(size_t i, uint64_t process_number) {
    Vm& vm = *vms_[i];
    if (vm.process_number != process_number) {
      return;
    }
    if (!vm.paused) {
      vm.core->OnTick();
    }
    At(now_ + std::chrono::milliseconds(50),
       [this, i, process_number] { Tick(i, process_number); });
  }

  // Runs an event on a VM, or after its pause. Drops it if the process has
  // ended.
  void Deliver(size_t i,
               uint64_t process_number,
               std::function<void()> action) {
    Vm& vm = *vms_[i];
    if (vm.process_number != process_number || !vm.core) {
      return;
    }
    if (vm.paused) {
      vm.delayed_events.push_back(std::move(action));
    } else {
      action();
    }
  }

  void SendMessage(size_t i,
                   const control::PeerAddress& to,
                   PeerChannel channel,
                   std::string payload) {
    Vm& vm = *vms_[i];
    if (seal_messages_) {
      payload = vm.codec->Seal(vm.core->membership().self().incarnation, to.id,
                               to.incarnation, channel, std::move(payload));
    }
    vm.sent_bytes += payload.size();
    ++vm.sent_messages;
    const auto found = by_endpoint_.find(to.endpoint);
    if (found == by_endpoint_.end()) {
      return;
    }
    const size_t j = found->second;
    const bool blocked = blocked_links_.contains({i, j}) ||
                         (!partition_sides_.empty() &&
                          partition_sides_[i] != partition_sides_[j]);
    if (blocked || Chance(faults_.loss_probability)) {
      return;
    }
    const int copies = Chance(faults_.duplicate_probability) ? 2 : 1;
    for (int n = 0; n < copies; ++n) {
      Duration delay = std::chrono::microseconds(500);
      if (faults_.max_extra_delay.count() > 0) {
        delay += Duration(
            random_() % static_cast<uint64_t>(faults_.max_extra_delay.count()));
      }
      const uint64_t process_number = vms_[j]->process_number;
      const bool addressed = to.id != VmId::kNone;
      At(now_ + delay, [this, i, j, process_number, channel, addressed,
                        payload] {
        Deliver(j, process_number, [this, i, j, channel, addressed, payload] {
          ReceiveMessage(i, j, channel, addressed, payload);
        });
      });
    }
  }

  void ReceiveMessage(size_t i,
                      size_t j,
                      PeerChannel channel,
                      bool addressed,
                      const std::string& payload) {
    Vm& vm = *vms_[j];
    if (!seal_messages_) {
      vm.core->OnPeerMessage(vms_[i]->member.id, addressed, channel, payload);
      return;
    }
    auto opened = vm.codec->Open(payload);
    if (opened.error == protocol::EnvelopeError::kOldIncarnation) {
      vm.core->OnStaleIncarnation(opened.sender);
    } else if (opened.error == protocol::EnvelopeError::kNone) {
      vm.core->OnPeerMessage(opened.sender, opened.addressed, opened.channel,
                             std::move(opened.payload));
    }
  }

  // Makes a store call with the current faults. `call` runs at the store and
  // returns the status and the answer, which `done` takes at the VM.
  template <typename Answer>
  void CallStore(size_t i,
                 const std::string& kind,
                 std::function<std::pair<control::StoreStatus, Answer>()> call,
                 std::function<void(control::StoreStatus, Answer)> done) {
    ++store_calls_[kind];
    const uint64_t process_number = vms_[i]->process_number;
    const auto answer = [this, i, process_number, done](
                            control::StoreStatus status, const Answer& value) {
      const Duration delay = std::chrono::milliseconds(1) + faults_.store_delay;
      At(now_ + delay, [this, i, process_number, done, status, value] {
        Deliver(i, process_number,
                [done, status, value] { done(status, value); });
      });
    };
    if (faults_.store_down || vms_[i]->store_blocked ||
        Chance(faults_.store_refuse_probability)) {
      answer(control::StoreStatus::kUnavailable, Answer());
      return;
    }
    const auto [status, value] = call();
    const bool lost =
        kind != "read" && Chance(faults_.store_lose_answer_probability);
    answer(lost ? control::StoreStatus::kUnknown : status, value);
  }

  control::StoreClient StoreOf(size_t i) {
    using control::StoreStatus;
    using control::StoreValue;
    control::StoreClient result;
    result.read = [this, i](const std::string& key,
                            control::ReadCallback done) {
      CallStore<StoreValue>(
          i, "read",
          [this, key] { return std::pair(StoreStatus::kOk, store_.Read(key)); },
          std::move(done));
    };
    result.compare_and_swap = [this, i](const std::string& key,
                                        uint64_t expected, std::string value,
                                        control::WriteCallback done) {
      CallStore<uint64_t>(
          i, "write",
          [this, key, expected, value = std::move(value)] {
            return store_.CompareAndSwap(key, expected, value);
          },
          std::move(done));
    };
    result.acquire_lease = [this, i](const std::string& name,
                                     const std::string& holder, Duration ttl,
                                     control::LeaseCallback done) {
      CallStore<control::StoreLease>(
          i, "lease",
          [this, name, holder, ttl] {
            return store_.AcquireLease(name, holder, ttl, now_);
          },
          std::move(done));
    };
    result.watch = [this, i](const std::string& key, uint64_t known,
                             Duration timeout, control::ReadCallback done) {
      WatchStore(i, key, known, timeout, std::move(done));
    };
    return result;
  }

  void WatchStore(size_t i,
                  const std::string& key,
                  uint64_t known,
                  Duration timeout,
                  control::ReadCallback done) {
    using control::StoreStatus;
    const uint64_t process_number = vms_[i]->process_number;
    if (faults_.store_down || vms_[i]->store_blocked) {
      CallStore<control::StoreValue>(
          i, "watch",
          [] { return std::pair(StoreStatus::kOk, control::StoreValue()); },
          std::move(done));
      return;
    }
    ++store_calls_["watch"];
    store_.Watch(
        key, known, now_ + timeout,
        [this, i, process_number, done](const control::StoreValue& value) {
          if (faults_.drop_watches) {
            return;
          }
          const bool up = !faults_.store_down && !vms_[i]->store_blocked;
          const auto status = up ? StoreStatus::kOk : StoreStatus::kUnknown;
          At(now_ + std::chrono::milliseconds(1) + faults_.store_delay,
             [this, i, process_number, done, value, status] {
               Deliver(i, process_number,
                       [done, value, status] { done(status, value); });
             });
        });
    At(now_ + timeout, [this] { store_.ExpireWatches(now_); });
  }

  void OnView(size_t i, const config::ControlView& view) {
    Vm& vm = *vms_[i];
    const Revision revision = view.deployment->revision;
    if (revision < vm.highest_revision) {
      violation_ = vm.name + " went back to " + std::to_string(revision);
    }
    if (revision > vm.highest_revision) {
      vm.highest_reached_at = now_;
      const std::string text = FormatSimDeployment(*view.deployment);
      const auto known = texts_by_revision_.emplace(revision, text).first;
      if (known->second != text) {
        violation_ = vm.name + " has another content of revision " +
                     std::to_string(revision);
      }
    }
    vm.highest_revision = revision;
  }

  void OnDecision(size_t i, const Decision& decision) {
    if (decision_lines_ == nullptr) {
      return;
    }
    std::string line = std::to_string(now_.time_since_epoch().count() / 1000) +
                       "ms " + vms_[i]->name + " " +
                       std::string(NameOf(decision.kind)) + " " +
                       std::string(decision.outcome);
    for (const std::string_view it : {decision.reason, decision.detail}) {
      if (!it.empty()) {
        line += " " + std::string(it);
      }
    }
    line += " r" + std::to_string(decision.revision);
    decision_lines_->push_back(std::move(line));
  }

  const bool seal_messages_;
  const size_t domains_;
  std::mt19937_64 random_;
  TimePoint now_{std::chrono::seconds(1)};
  uint64_t last_event_number_ = 0;
  std::priority_queue<Event> events_;
  std::vector<std::unique_ptr<Vm>> vms_;
  std::map<Endpoint, size_t> by_endpoint_;
  std::set<std::pair<size_t, size_t>> blocked_links_;
  std::vector<int> partition_sides_;
  SimFaults faults_;
  control::ControlCoreOptions options_;
  control::StoreTable store_;
  std::map<std::string, uint64_t> store_calls_;
  std::vector<std::string>* decision_lines_ = nullptr;
  std::string violation_;
  std::map<Revision, std::string> texts_by_revision_;
};

}  // namespace marjoramhall::lab

#endif  // MARJORAMHALL_LAB_CONTROL_SIM_H_
