// marjoramhall in the request experiment: one RequestPlane per VM, with peer
// messages and a store in virtual time.
#include <map>

#include "lab/request_sim.h"
#include "src/request/request_plane.h"

namespace marjoramhall::lab {
namespace {

using request::KeyRangeRecord;
using request::RequestPlane;

constexpr SimTime kTickUs = 10000;
constexpr SimTime kStoreCallUs = 3000;

class RequestPlanePolicy : public SimPolicy {
 public:
  void Start(RequestSim& sim) override {
    sim_ = &sim;
    MakeViews();
    for (size_t i = 0; i < sim.config().vms; ++i) {
      planes_.push_back(std::make_unique<RequestPlane>(
          request::RequestPlaneOptions{}, VmIdOf(i), 1, MakeHooks(i),
          [this, i](VmId to, PeerChannel, const std::string& payload) {
            control_bytes_ += static_cast<double>(payload.size());
            SendPeerMessage(i, ToInteger(to) - 1, payload);
          },
          [](const Decision&) {}, sim.random()()));
    }
    for (size_t i = 0; i < planes_.size(); ++i) {
      sim.At(0, [this, i] { planes_[i]->OnView(views_[i], Now()); });
      sim.At(static_cast<SimTime>(i) * 1300, [this, i] { Tick(i); });
    }
  }

  void OnArrival(RequestSim& sim, size_t index) override {
    const SimRequest& it = sim.request(index);
    const SimKind& kind = sim.config().kinds[it.kind];
    request::RequestInfo info;
    info.id = index + 1;
    info.service = static_cast<ServiceId>(kind.service + 1);
    info.kind = KindIndex(sim, it.kind);
    info.caller = "caller";
    info.deadline = Duration(kind.deadline);
    info.declared_first_attempt = true;
    if (!kind.idempotent) {
      info.idempotency_key = "k" + std::to_string(index);
    }
    planes_[it.vm]->OnRequest(info, Now());
  }

  void OnAnswer(RequestSim& sim, size_t index, size_t) override {
    sim.End(index, SimRequest::End::kAnswered);
    request::AttemptResult result;
    result.outcome = request::AttemptOutcome::kAnswered;
    result.status = 200;
    result.answer_stored = true;
    result.answer.status = 200;
    planes_[sim.request(index).vm]->OnAttemptEnd(index + 1, attempts_[index],
                                                 result, Now());
  }

  void OnCancelled(RequestSim& sim, size_t index, size_t) override {
    request::AttemptResult result;
    result.outcome = request::AttemptOutcome::kCancelled;
    planes_[sim.request(index).vm]->OnAttemptEnd(index + 1, attempts_[index],
                                                 result, Now());
  }

  double ControlBytes() const override { return control_bytes_; }

 private:
  static VmId VmIdOf(size_t vm) { return static_cast<VmId>(vm + 1); }
  TimePoint Now() const {
    return TimePoint(std::chrono::seconds(1000) + Duration(sim_->now()));
  }

  // Returns the index of a kind within its service.
  static size_t KindIndex(const RequestSim& sim, size_t kind) {
    const auto& kinds = sim.config().kinds;
    size_t index = 0;
    for (size_t i = 0; i < kind; ++i) {
      index += kinds[i].service == kinds[kind].service;
    }
    return index;
  }

  std::string DomainOf(size_t i) const {
    return "d" + std::to_string(i % sim_->config().domains);
  }

  void MakeViews() {
    auto deployment = std::make_shared<config::Deployment>();
    deployment->revision = 1;
    for (size_t s = 0; s < sim_->config().targets.size(); ++s) {
      config::Service service;
      service.id = static_cast<ServiceId>(s + 1);
      for (const SimKind& it : sim_->config().kinds) {
        if (it.service == s) {
          config::RequestKind kind;
          kind.name = it.name;
          kind.idempotent = it.idempotent;
          kind.deadline = Duration(it.deadline);
          kind.priority = it.priority;
          service.kinds.push_back(kind);
        }
      }
      const size_t first = sim_->FirstTarget(s);
      for (size_t i = first; i < first + sim_->config().targets[s]; ++i) {
        config::Target target;
        target.id = static_cast<TargetId>(i + 1);
        target.domain = DomainOf(i);
        target.slots = sim_->config().slots;
        service.targets.push_back(target);
      }
      deployment->services.push_back(service);
    }
    for (size_t self = 0; self < sim_->config().vms; ++self) {
      auto view = std::make_shared<config::ControlView>();
      view->self = VmIdOf(self);
      view->deployment = deployment;
      for (size_t i = 0; i < sim_->config().vms; ++i) {
        config::Member member;
        member.id = VmIdOf(i);
        member.domain = DomainOf(i);
        view->members.push_back(member);
      }
      views_.push_back(view);
    }
  }

  void Tick(size_t vm) {
    planes_[vm]->OnTick(Now());
    if (sim_->now() < sim_->config().length + 12000000) {
      sim_->At(sim_->now() + kTickUs, [this, vm] { Tick(vm); });
    }
  }

  void SendPeerMessage(size_t from, size_t to, const std::string& payload) {
    const SimTime delay =
        from % sim_->config().domains == to % sim_->config().domains
            ? sim_->config().local_hop_us
            : sim_->config().hop_us;
    sim_->At(sim_->now() + delay, [this, from, to, payload] {
      planes_[to]->OnPeerMessage(VmIdOf(from), payload, Now());
    });
  }

  request::RequestHooks MakeHooks(size_t vm) {
    request::RequestHooks hooks;
    hooks.start_attempt = [this](request::RequestId id, uint32_t attempt,
                                 const config::Target& target, Duration) {
      attempts_[id - 1] = attempt;
      targets_[id - 1] = ToInteger(target.id) - 1;
      sim_->Send(id - 1, ToInteger(target.id) - 1);
    };
    hooks.cancel_attempt = [this](request::RequestId id, uint32_t) {
      sim_->End(id - 1, SimRequest::End::kLate);
      sim_->Cancel(id - 1, targets_[id - 1]);
    };
    hooks.refuse = [this](request::RequestId id, const request::Refusal&) {
      sim_->End(id - 1, SimRequest::End::kRefused);
    };
    hooks.replay = [](request::RequestId, const request::StoredAnswer&) {};
    hooks.record_ranges = [this, vm](std::vector<KeyRangeRecord> records) {
      bool ok = true;
      for (const KeyRangeRecord& it : records) {
        ok = ok && store_[it.range].epoch + 1 == it.epoch;
      }
      for (size_t i = 0; ok && i < records.size(); ++i) {
        store_[records[i].range] = records[i];
      }
      ReplyFromStore(vm, ok);
    };
    hooks.read_ranges = [this, vm] { ReplyFromStore(vm, true); };
    return hooks;
  }

  void ReplyFromStore(size_t vm, bool ok) {
    std::vector<KeyRangeRecord> table;
    for (const auto& [range, record] : store_) {
      if (record.epoch > 0) {
        table.push_back(record);
      }
    }
    sim_->At(sim_->now() + kStoreCallUs, [this, vm, ok, table] {
      planes_[vm]->OnRangeStoreReply(ok, table, Now());
    });
  }

  RequestSim* sim_ = nullptr;
  std::vector<std::unique_ptr<RequestPlane>> planes_;
  std::vector<config::ControlViewPtr> views_;
  std::map<uint32_t, KeyRangeRecord> store_;
  std::map<size_t, uint32_t> attempts_;  // newest, by request
  std::map<size_t, size_t> targets_;     // of the newest attempt, by request
  double control_bytes_ = 0;
};

}  // namespace

std::unique_ptr<SimPolicy> MakeRequestPlanePolicy() {
  return std::make_unique<RequestPlanePolicy>();
}

}  // namespace marjoramhall::lab
