// Events of the model.
#include "tests/forward/crest_world.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstring>
#include <utility>

namespace marjoramhall::forward {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr ServiceId kService{1};
constexpr uint32_t kAddress = 0xc6120001;
constexpr uint16_t kFirstPort = 443;
// One way between a caller or a target and a VM.
constexpr Duration kHop = std::chrono::microseconds(3500);
// From a refusal to the next try of the caller.
constexpr Duration kRetryPause = milliseconds(30);
// After which an end sends a packet again that was not acknowledged.
constexpr Duration kSendAgain = milliseconds(200);
// When a client sends copies of an opening, and when it ends the try.
constexpr Duration kFirstCopy = milliseconds(200);
constexpr Duration kSecondCopy = milliseconds(600);
constexpr Duration kTryEnd = milliseconds(1400);
// Between the first and the last VM that starts after an outage.
constexpr Duration kStartSpread = milliseconds(300);
constexpr int kRetries = 2;
constexpr size_t kDomains = 4;
constexpr auto kTick = milliseconds(20);

}  // namespace

CrestResult& CrestResult::operator+=(const CrestResult& other) {
  owed += other.owed;
  credit += other.credit;
  asked += other.asked;
  in_objective += other.in_objective;
  late += other.late;
  refused += other.refused;
  broken += other.broken;
  unanswered += other.unanswered;
  return *this;
}

CrestResult PhaseResult::Sum() const {
  CrestResult sum;
  for (const CrestResult& it : classes) {
    sum += it;
  }
  return sum;
}

CrestWorld::CrestWorld(CrestOptions options)
    : options_(std::move(options)),
      random_(options_.seed),
      targets_(options_.targets),
      results_(options_.phases.size()) {
  for (PhaseResult& it : results_) {
    it.classes.resize(options_.classes.size());
  }
  vms_.resize(options_.vms);
  for (size_t i = 0; i < options_.vms; ++i) {
    StartVm(i);
  }
}

void CrestWorld::StartVm(size_t i) {
  ForwarderOptions forwarder;
  forwarder.seed = options_.seed * 100 + i;
  forwarder.admission = options_.admission;
  vms_[i] = std::make_unique<Forwarder>(
      forwarder,
      ForwarderHooks{[this](const HeaderOnlyPacket& opening,
                            const Target& target) { Resend(opening, target); },
                     [](const Decision&) {},
                     [](bool, TimePoint) { return false; }, [](Duration) {}});
  vms_[i]->OnView(MakeView(i % kDomains));
}

ViewPtr CrestWorld::MakeView(size_t domain) const {
  auto view = std::make_shared<View>();
  view->config_version = 1;
  for (size_t i = 0; i < options_.classes.size(); ++i) {
    const RequestClass& kind = options_.classes[i];
    Route route;
    route.services = {{kService, 1}};
    route.priority = kind.priority;
    route.repeatability = kind.repeatability;
    route.latency_objective = kind.objective;
    route.timeout = kind.deadline;
    view->routes[RouteKeyOf(kAddress, static_cast<uint16_t>(kFirstPort + i))] =
        route;
  }
  for (size_t i = 0; i < options_.targets; ++i) {
    Target target;
    target.token = TargetToken{static_cast<uint32_t>(i + 1)};
    target.instance = i + 1;
    target.service = kService;
    target.slots = options_.slots;
    target.in_own_domain = i % kDomains == domain;
    view->targets.push_back(target);
  }
  return view;
}

void CrestWorld::At(TimePoint at, std::function<void()> run) {
  events_.push({at, order_++, std::move(run)});
}

std::vector<PhaseResult> CrestWorld::Play() {
  TimePoint from = now_;
  for (size_t phase = 0; phase < options_.phases.size(); ++phase) {
    const TimePoint to = from + options_.phases[phase].span;
    At(from, [this, phase] {
      for (size_t i = 0; i < targets_.size(); ++i) {
        targets_[i].dead = i < options_.phases[phase].dead_targets;
      }
      ideal_is_down_ = options_.phases[phase].vms_down;
      if (ideal_is_down_) {
        for (auto& it : vms_) {
          it.reset();
        }
      }
    });
    if (options_.phases[phase].vms_down) {
      for (size_t i = 0; i < options_.vms; ++i) {
        const auto part = static_cast<int64_t>(i * 1000 / options_.vms);
        At(to + kStartSpread * part / 1000, [this, i] { StartVm(i); });
      }
    }
    for (size_t kind = 0; kind < options_.classes.size(); ++kind) {
      std::exponential_distribution<double> gap(
          options_.classes[kind].per_second * options_.phases[phase].load);
      TimePoint at = from;
      for (;;) {
        at += duration_cast<Duration>(
            std::chrono::duration<double>(gap(random_)));
        if (at >= to) {
          break;
        }
        At(at, [this, phase, kind] { Arrive(phase, kind); });
      }
    }
    from = to;
  }
  end_ = from + std::chrono::seconds(4);
  if (!options_.ideal) {
    for (TimePoint at = now_; at < end_; at += kTick) {
      At(at, [this] {
        for (const auto& it : vms_) {
          if (it != nullptr) {
            it->OnTick(now_);
          }
        }
      });
    }
  }
  while (!events_.empty() && events_.top().at < end_) {
    Event event = events_.top();
    events_.pop();
    now_ = event.at;
    event.run();
  }
  for (const auto& it : calls_) {
    ResultOf(*it).unanswered += it->done ? 0 : 1;
  }
  return results_;
}

void CrestWorld::Arrive(size_t phase, size_t kind) {
  auto owned = std::make_unique<Call>();
  Call* call = owned.get();
  calls_.push_back(std::move(owned));
  call->number = static_cast<uint32_t>(calls_.size() - 1);
  call->phase = phase;
  call->kind = kind;
  call->asked = now_;
  const RequestClass& it = options_.classes[kind];
  std::lognormal_distribution<double> spread(-0.125, 0.5);
  const bool straggler = std::bernoulli_distribution(0.03)(random_);
  call->work = duration_cast<Duration>(std::chrono::duration<double>(
      std::chrono::duration<double>(it.work).count() * spread(random_) *
      (straggler ? 7.0 : 1.0)));
  ResultOf(*call).owed += it.worth;
  ++ResultOf(*call).asked;
  Open(call);
}

bool CrestWorld::Happens(double part) {
  return part > 0 && std::bernoulli_distribution(part)(random_);
}

void CrestWorld::RunIdeal() {
  uint32_t slots = 0;
  for (const TargetModel& it : targets_) {
    slots += it.dead ? 0 : options_.slots;
  }
  for (auto& [priority, queue] : central_) {
    while (!queue.empty() && central_running_ < slots) {
      Call* call = queue.front();
      queue.pop_front();
      // Starts only what is usually answered in time.
      if (now_ + options_.classes[call->kind].work + kHop >
          call->asked + options_.classes[call->kind].objective) {
        continue;
      }
      ++central_running_;
      At(now_ + call->work, [this, call] {
        --central_running_;
        At(now_ + kHop, [this, call] { Tell(call); });
        RunIdeal();
      });
    }
  }
}

void CrestWorld::Tell(Call* call) {
  const RequestClass& kind = options_.classes[call->kind];
  CrestResult& result = ResultOf(*call);
  const Duration span = now_ - call->asked;
  if (span > kind.deadline || call->done) {
    return;
  }
  call->done = true;
  const bool late = span > kind.objective;
  result.credit += late ? kind.worth * kind.late_worth : kind.worth;
  ++(late ? result.late : result.in_objective);
}

CrestResult& CrestWorld::ResultOf(const Call& call) {
  return results_[call.phase].classes[call.kind];
}

void CrestWorld::Open(Call* call) {
  call->flow = {0x64400000 + next_client_++, kAddress, 40001,
                static_cast<uint16_t>(kFirstPort + call->kind)};
  call->vm =
      Happens(options_.first_vm_part) ? 0 : HashOf(call->flow) % vms_.size();
  call->opened = false;
  call->refused = false;
  SendSyn(call, 0);
}

void CrestWorld::SendSyn(Call* call, int copy) {
  At(now_ + kHop, [this, call, copy, flow = call->flow] {
    if (options_.ideal) {
      if (!ideal_is_down_ && !call->opened) {
        call->opened = true;
        At(now_ + 3 * kHop, [this, call] {
          central_[options_.classes[call->kind].priority].push_back(call);
          RunIdeal();
        });
      }
      return;
    }
    if (vms_[call->vm] == nullptr) {
      return;
    }
    PacketHeader header;
    header.flow = flow;
    header.syn = true;
    header.acknowledged = static_cast<uint32_t>(copy);
    HeaderOnlyPacket bytes{1};
    std::memcpy(&bytes[1], &call->number, sizeof(call->number));
    const PacketVerdict verdict = vms_[call->vm]->OnPacket(header, bytes, now_);
    if (verdict.action == PacketAction::kReset) {
      call->refused = true;
      At(now_ + kHop, [this, call] { Retry(call, false); });
    } else if (verdict.action == PacketAction::kForward) {
      SendOpening(call, static_cast<size_t>(verdict.target->token) - 1);
    }
  });
  const Duration next = copy == 0   ? kFirstCopy
                        : copy == 1 ? kSecondCopy - kFirstCopy
                                    : kTryEnd - kSecondCopy;
  At(now_ + next, [this, call, copy, flow = call->flow] {
    if (call->opened || call->refused || !(call->flow == flow)) {
      return;
    }
    if (copy < 2) {
      SendSyn(call, copy + 1);
    } else {
      Retry(call, false);
    }
  });
}

void CrestWorld::Resend(const HeaderOnlyPacket& opening, const Target& target) {
  uint32_t number = 0;
  std::memcpy(&number, &opening[1], sizeof(number));
  SendOpening(calls_[number].get(), static_cast<size_t>(target.token) - 1);
}

void CrestWorld::SendOpening(Call* call, size_t target) {
  if (targets_[target].dead) {
    return;  // the VM repeats the opening
  }
  // Handshake, then the request.
  At(now_ + 3 * kHop, [this, call, target] {
    if (call->opened) {
      return;
    }
    call->opened = true;
    call->target = target;
    PacketHeader later;
    later.flow = call->flow;
    later.ack = true;
    later.token = TargetToken{static_cast<uint32_t>(target + 1)};
    later.acknowledged = 1;
    later.data_bytes = 100;
    if (vms_[call->vm] != nullptr) {
      vms_[call->vm]->OnPacket(later, {}, now_);
    }
    Reach(call, target);
  });
}

void CrestWorld::Reach(Call* call, size_t target) {
  TargetModel& it = targets_[target];
  if (it.dead) {
    return;
  }
  if (it.running < options_.slots) {
    Start(call, it);
  } else if (it.waiting.size() < options_.queue) {
    it.waiting.push_back(call);
  } else {
    At(now_ + kHop, [this, call] { Retry(call, true); });
  }
}

void CrestWorld::Start(Call* call, TargetModel& target) {
  ++target.running;
  At(now_ + call->work, [this, call] { Finish(call); });
}

void CrestWorld::Finish(Call* call) {
  TargetModel& target = targets_[call->target];
  --target.running;
  if (!target.waiting.empty()) {
    Call* next = target.waiting.front();
    target.waiting.pop_front();
    Start(next, target);
  }
  if (target.dead) {
    return;
  }
  const bool lost = Happens(options_.phases[call->phase].loss);
  At(now_ + kHop + (lost ? kSendAgain : Duration{0}), [this, call] {
    Tell(call);
    At(now_ + kHop, [this, call] {
      PacketHeader last;
      last.flow = call->flow;
      last.ack = true;
      last.fin = true;
      last.token = TargetToken{static_cast<uint32_t>(call->target + 1)};
      last.acknowledged = 1000;
      if (vms_[call->vm] != nullptr) {
        vms_[call->vm]->OnPacket(last, {}, now_);
      }
    });
  });
}

void CrestWorld::Retry(Call* call, bool opened) {
  const RequestClass& kind = options_.classes[call->kind];
  const bool allowed =
      !opened || kind.repeatability == Repeatability::kIdempotent;
  if (allowed && call->tries < kRetries &&
      now_ + kRetryPause < call->asked + kind.deadline) {
    ++call->tries;
    At(now_ + kRetryPause, [this, call] { Open(call); });
    return;
  }
  call->done = true;
  CrestResult& result = ResultOf(*call);
  ++(opened ? result.broken : result.refused);
}

}  // namespace marjoramhall::forward
