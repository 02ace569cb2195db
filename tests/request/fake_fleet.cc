// The VMs, network, store and targets of the fake fleet.
#include "tests/request/fake_fleet.h"

#include <algorithm>

namespace marjoramhall::request {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kFailureDetectionTime = seconds(5);

AttemptResult ResultWith(AttemptOutcome outcome) {
  AttemptResult result;
  result.outcome = outcome;
  return result;
}

VmId IdOf(size_t vm) {
  return static_cast<VmId>(vm + 1);
}

}  // namespace

FakeFleet::FakeFleet(FleetOptions options)
    : service_time([] { return milliseconds(20); }),
      options_(std::move(options)),
      random_(options_.seed),
      vms_(options_.vms),
      partitioned_(options_.vms, std::vector<bool>(options_.vms)),
      in_flight_(options_.targets),
      attempts_started_(options_.targets) {
  deployment_ = std::make_shared<config::Deployment>();
  deployment_->lineage = "test";
  deployment_->revision = 1;
  config::Service service;
  service.id = static_cast<ServiceId>(1);
  service.name = "yardbook";
  service.kinds.resize(3);
  service.kinds[0] = {
      "pull", "GET", "/", true, seconds(2), config::Priority::kShort, {}, {}};
  service.kinds[1] = {"quote", "POST",     "/",
                      false,   seconds(4), config::Priority::kShort,
                      {},      {}};
  service.kinds[2] = {
      "bundle", "GET", "/b", true, seconds(8), config::Priority::kLong, {}, {}};
  for (size_t i = 0; i < options_.targets; ++i) {
    config::Target target;
    target.id = static_cast<TargetId>(i + 1);
    target.domain = "d" + std::to_string(i % 3);
    target.slots = options_.slots;
    service.targets.push_back(target);
  }
  deployment_->services.push_back(service);
  discovered_at_.resize(options_.vms);
  for (auto& row : discovered_at_) {
    for (size_t i = 0; i < options_.vms; ++i) {
      row.push_back(now_);
      if (options_.discovery_spread > Duration{0}) {
        row.back() += Duration(random_.Below(
            static_cast<uint64_t>(options_.discovery_spread.count())));
      }
    }
  }
  for (size_t i = 0; i < vms_.size(); ++i) {
    Start(i);
  }
  At(Duration{0}, [this] { UpdateViews(); });
}

bool FakeFleet::Chance(double probability) {
  return static_cast<double>(random_.Below(1000000)) < probability * 1e6;
}

Duration FakeFleet::Delay() {
  return Duration(
      200 + static_cast<int64_t>(random_.Below(
                static_cast<uint64_t>(options_.max_extra_delay.count()))));
}

void FakeFleet::AddViolation(std::string description) {
  if (violations_.size() < 20) {
    violations_.push_back(
        std::to_string(now_.time_since_epoch().count() / 1000) +
        " ms: " + std::move(description));
  }
}

void FakeFleet::At(Duration after, std::function<void()> action) {
  events_.push({now_ + after, ++order_, std::move(action)});
}

void FakeFleet::RunFor(Duration time) {
  const TimePoint end = now_ + time;
  while (!events_.empty() && events_.top().at <= end) {
    Event event = events_.top();
    events_.pop();
    now_ = event.at;
    event.action();
  }
  now_ = end;
}

void FakeFleet::OnVm(size_t vm,
                     Incarnation incarnation,
                     std::function<void()> action) {
  Vm& it = vms_[vm];
  if (it.plane == nullptr || it.incarnation != incarnation) {
    return;
  }
  if (it.paused) {
    it.deferred_events.push_back(std::move(action));
    return;
  }
  action();
}

void FakeFleet::Resume(size_t vm) {
  Vm& it = vms_[vm];
  it.paused = false;
  auto deferred_events = std::move(it.deferred_events);
  it.deferred_events.clear();
  for (auto& action : deferred_events) {
    OnVm(vm, it.incarnation, std::move(action));
  }
}

RequestHooks FakeFleet::MakeHooks(size_t vm) {
  RequestHooks hooks;
  hooks.start_attempt = [this, vm](RequestId id, uint32_t number,
                                   const config::Target& target, Duration) {
    StartAttempt(vm, id, number, target.id);
  };
  hooks.cancel_attempt = [this, vm](RequestId id, uint32_t number) {
    const Incarnation incarnation = vms_[vm].incarnation;
    for (const auto& it : attempts_) {
      if (it->vm == vm && it->incarnation == incarnation && it->id == id &&
          it->number == number) {
        At(milliseconds(1), [this, it] {
          EndAttempt(it, ResultWith(AttemptOutcome::kCancelled));
        });
      }
    }
  };
  hooks.refuse = [this, vm](RequestId id, const Refusal& refusal) {
    ++refusals_[refusal.reason];
    End(vm, id,
        std::to_string(refusal.status) + " " +
            std::string(NameOf(refusal.reason)) + " " +
            std::string(NameOf(refusal.verdict)),
        refusal.verdict);
  };
  hooks.replay = [this, vm](RequestId id, const StoredAnswer& answer) {
    ++answered_;
    End(vm, id, "replayed " + answer.body, Verdict::kAnswered);
  };
  hooks.record_ranges = [this, vm](std::vector<KeyRangeRecord> records) {
    StoreCall(vm, std::move(records));
  };
  hooks.read_ranges = [this, vm] { StoreCall(vm, std::nullopt); };
  return hooks;
}

void FakeFleet::Start(size_t vm) {
  Vm& it = vms_[vm];
  it.incarnation = static_cast<Incarnation>(now_.time_since_epoch().count());
  it.last_heard_at.assign(vms_.size(), now_ - kFailureDetectionTime);
  it.members.clear();
  it.paused = false;
  it.leaving = false;
  it.revision = 0;
  it.deferred_events.clear();
  it.live_submissions.clear();
  it.next_id = 1;
  it.plane = std::make_unique<RequestPlane>(
      options_.plane, IdOf(vm), it.incarnation, MakeHooks(vm),
      [this, vm](VmId to, PeerChannel, const std::string& payload) {
        SendMessage(vm, to, payload);
      },
      [this, vm](const Decision& decision) {
        if (options_.trace) {
          options_.trace(now_, vm, decision);
        }
      },
      random_.Next());
  const Incarnation incarnation = it.incarnation;
  At(Duration(random_.Below(10000)), [this, vm, incarnation] {
    OnVm(vm, incarnation, [this, vm] { Tick(vm); });
  });
}

void FakeFleet::Tick(size_t vm) {
  vms_[vm].plane->OnTick(now_);
  const Incarnation incarnation = vms_[vm].incarnation;
  At(milliseconds(10), [this, vm, incarnation] {
    OnVm(vm, incarnation, [this, vm] { Tick(vm); });
  });
}

void FakeFleet::Kill(size_t vm) {
  Vm& it = vms_[vm];
  it.plane.reset();
  it.deferred_events.clear();
  for (const auto& [id, number] : it.live_submissions) {
    // The caller notices the broken connection and may resubmit.
    Submission& submission = submissions_[number];
    submission.lost = true;
    if (submission.after) {
      At(milliseconds(50), submission.after);
    }
  }
  it.live_submissions.clear();
}

void FakeFleet::Restart(size_t vm) {
  if (vms_[vm].plane != nullptr) {
    Kill(vm);
  }
  Start(vm);
}

void FakeFleet::Drain(size_t vm) {
  vms_[vm].leaving = true;
  vms_[vm].plane->BeginDrain(now_);
}

void FakeFleet::SetTargetDraining(size_t target) {
  auto next = std::make_shared<config::Deployment>(*deployment_);
  ++next->revision;
  next->services[0].targets[target].state = config::TargetState::kDraining;
  deployment_ = std::move(next);
}

void FakeFleet::Heal() {
  options_.message_loss_ratio = options_.message_duplication_ratio =
      options_.lost_store_reply_ratio = 0;
  options_.attempt_failure_ratio = 0;
  options_.max_extra_delay = milliseconds(2);
  store_down_ = false;
  for (auto& row : partitioned_) {
    row.assign(row.size(), false);
  }
  for (size_t i = 0; i < vms_.size(); ++i) {
    if (vms_[i].plane == nullptr) {
      Start(i);
    } else if (vms_[i].paused) {
      Resume(i);
    }
  }
}

void FakeFleet::UpdateViews() {
  At(milliseconds(200), [this] { UpdateViews(); });
  for (size_t i = 0; i < vms_.size(); ++i) {
    Vm& vm = vms_[i];
    if (vm.plane == nullptr || vm.paused) {
      continue;
    }
    std::set<size_t> members;
    auto view = std::make_shared<config::ControlView>();
    for (size_t j = 0; j < vms_.size(); ++j) {
      const bool up = vms_[j].plane != nullptr && !vms_[j].paused;
      if (up && !partitioned_[j][i] && !partitioned_[i][j]) {
        vm.last_heard_at[j] = now_;
      }
      if (j != i && (now_ - vm.last_heard_at[j] >= kFailureDetectionTime ||
                     now_ < discovered_at_[i][j])) {
        continue;
      }
      members.insert(vms_[j].leaving ? j + 1000 : j);
      config::Member member;
      member.id = IdOf(j);
      member.domain = "d" + std::to_string(j % 3);
      member.incarnation = vms_[j].incarnation;
      member.state = vms_[j].leaving ? config::MemberState::kLeaving
                                     : config::MemberState::kAlive;
      view->members.push_back(member);
    }
    if (members == vm.members && vm.revision == deployment_->revision) {
      continue;
    }
    vm.members = std::move(members);
    vm.revision = deployment_->revision;
    view->number = ++vm.view_number;
    view->self = IdOf(i);
    view->deployment = deployment_;
    vm.plane->OnView(view, now_);
  }
}

void FakeFleet::SendMessage(size_t from, VmId to, const std::string& payload) {
  const size_t receiver = ToInteger(to) - 1;
  if (partitioned_[from][receiver] || Chance(options_.message_loss_ratio)) {
    return;
  }
  for (int copies = Chance(options_.message_duplication_ratio) ? 2 : 1;
       copies > 0; --copies) {
    At(Delay(), [this, from, receiver, payload] {
      OnVm(receiver, vms_[receiver].incarnation,
           [this, from, receiver, payload] {
             vms_[receiver].plane->OnPeerMessage(IdOf(from), payload, now_);
           });
    });
  }
}

void FakeFleet::StartAttempt(size_t vm,
                             RequestId id,
                             uint32_t number,
                             TargetId target) {
  const auto submission = vms_[vm].live_submissions.find(id);
  if (submission == vms_[vm].live_submissions.end()) {
    AddViolation("attempt started for a request that has ended");
    return;
  }
  auto attempt = std::make_shared<Attempt>(
      Attempt{vm, vms_[vm].incarnation, id, number, ToInteger(target) - 1,
              submission->second});
  std::erase_if(attempts_, [](const auto& it) { return it->done; });
  attempts_.push_back(attempt);
  ++in_flight_[attempt->target];
  ++attempts_started_[attempt->target];
  const bool fails = Chance(options_.attempt_failure_ratio);
  if (fails && Chance(0.5)) {
    At(milliseconds(1), [this, attempt] {
      EndAttempt(attempt, ResultWith(AttemptOutcome::kNotRun));
    });
    return;
  }
  At(milliseconds(1), [this, attempt] { Execute(attempt); });
  At(milliseconds(2) + (fails ? Duration{0} : service_time()),
     [this, attempt, fails] {
       AttemptResult result;
       result.outcome =
           fails ? AttemptOutcome::kMayHaveRun : AttemptOutcome::kAnswered;
       result.status = 200;
       if (!fails) {
         result.answer_stored = true;
         result.answer = {200, {}, submissions_[attempt->submission].key};
       }
       EndAttempt(attempt, result);
     });
}

void FakeFleet::Execute(const std::shared_ptr<Attempt>& attempt) {
  // A request in transit runs even if its VM has been killed since.
  Submission& submission = submissions_[attempt->submission];
  if (submission.ends > 0 && submission.verdict == Verdict::kNotRun) {
    AddViolation("request refused as not run has run: key " + submission.key +
                 ", " + submission.end);
  }
  submission.executed = true;
  if (!submission.key.empty() && ++executions_[submission.key] > 1) {
    AddViolation("key " + submission.key + " ran more than once");
  }
}

void FakeFleet::EndAttempt(const std::shared_ptr<Attempt>& attempt,
                           const AttemptResult& result) {
  if (attempt->done) {
    return;
  }
  attempt->done = true;
  --in_flight_[attempt->target];
  OnVm(attempt->vm, attempt->incarnation, [this, attempt, result] {
    const size_t vm = attempt->vm;
    const auto submission = vms_[vm].live_submissions.find(attempt->id);
    if (result.outcome == AttemptOutcome::kAnswered &&
        submission != vms_[vm].live_submissions.end()) {
      ++answered_;
      End(vm, attempt->id, "answered", Verdict::kAnswered);
    }
    vms_[vm].plane->OnAttemptEnd(attempt->id, attempt->number, result, now_);
  });
}

void FakeFleet::StoreCall(
    size_t vm,
    const std::optional<std::vector<KeyRangeRecord>>& records) {
  const Incarnation incarnation = vms_[vm].incarnation;
  At(Delay(), [this, vm, incarnation, records] {
    bool ok = !store_down_;
    if (ok && records.has_value()) {
      for (const KeyRangeRecord& it : *records) {
        ok = ok && store_[it.range].epoch + 1 == it.epoch;
      }
      for (size_t i = 0; ok && i < records->size(); ++i) {
        store_[(*records)[i].range] = (*records)[i];
      }
    }
    ok = ok && !Chance(options_.lost_store_reply_ratio);
    std::vector<KeyRangeRecord> table;
    for (const auto& [range, record] : store_) {
      if (ok && record.epoch > 0) {
        table.push_back(record);
      }
    }
    At(Delay(), [this, vm, incarnation, ok, table] {
      OnVm(vm, incarnation, [this, vm, ok, table] {
        vms_[vm].plane->OnRangeStoreReply(ok, table, now_);
      });
    });
  });
}

size_t FakeFleet::refused(RefusalReason reason) const {
  const auto it = refusals_.find(reason);
  return it == refusals_.end() ? 0 : it->second;
}

size_t FakeFleet::InFlight(size_t target) const {
  return in_flight_[target];
}

std::string FakeFleet::EndOfSubmission(size_t submission) const {
  return submissions_[submission].end;
}

}  // namespace marjoramhall::request
