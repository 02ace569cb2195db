// The public interface of the request plane, and its handling of views and
// time. Peer messages are in request_messages.cc, the stages of a request in
// request_lifecycle.cc.
#include "src/request/request_plane.h"

#include <algorithm>

#include "src/config/rendezvous.h"
#include "src/protocol/request_control.pb.h"
#include "src/request/request_plane_impl.h"

namespace marjoramhall::request {
namespace {

using protocol::RequestMessage;

constexpr int kMaxSelfMessages = 1000;  // per event
constexpr Duration kTrimInterval = std::chrono::seconds(5);
constexpr Duration kHandoverTimeout = std::chrono::seconds(5);

}  // namespace

RequestPlane::Impl::Impl(RequestPlaneOptions options,
                         VmId self,
                         Incarnation incarnation,
                         RequestHooks hooks,
                         SendToPeer send,
                         DecisionHook decide,
                         uint64_t seed)
    : options_(options),
      hooks_(std::move(hooks)),
      send_(std::move(send)),
      decide_(std::move(decide)),
      random_(seed),
      key_owner_(options_, key_context_),
      range_ownership_(options_, key_context_, key_owner_, hooks_),
      key_claims_(options_, key_context_, MakeClaimHooks()) {
  key_context_.self = self;
  key_context_.incarnation = incarnation;
  key_context_.send = [this](VmId to, RequestMessage& message) {
    Send(to, message);
  };
  key_context_.may_act_as_owner = [this](TimePoint now) {
    return range_ownership_.MayActAsOwner(now);
  };
  key_context_.decide = [this](uint32_t range, const char* outcome) {
    Decision decision;
    decision.kind = DecisionKind::kKeyRange;
    decision.subject = range;
    decision.vm = key_context_.self;
    decision.outcome = outcome;
    decide_(decision);
  };
}

ClaimHooks RequestPlane::Impl::MakeClaimHooks() {
  ClaimHooks hooks;
  hooks.granted = [this](RequestId id, TimePoint now) {
    OnClaimGranted(id, now);
  };
  hooks.replay = [this](RequestId id, const StoredAnswer& answer,
                        TimePoint now) {
    if (RequestRecord* request = Find(id)) {
      Replay(*request, answer, now);
    }
  };
  hooks.refused = [this](RequestId id, const Refusal& refusal, TimePoint now) {
    if (RequestRecord* request = Find(id)) {
      Refuse(*request, refusal, now);
    }
  };
  hooks.owner_unknown = [this] { range_ownership_.RequestRead(); };
  hooks.record_learned = [this](VmId from, const protocol::KeyReply& reply,
                                TimePoint now) {
    protocol::RangesAnnounce announce;
    *announce.add_records() = reply.record();
    range_ownership_.OnAnnounce(from, announce, now);
  };
  return hooks;
}

SchedulerHooks RequestPlane::Impl::MakeSchedulerHooks(ServiceId id) {
  SchedulerHooks hooks;
  hooks.find = [this](RequestId request) -> RequestRecord& {
    return requests_.at(request);
  };
  hooks.start = [this](RequestRecord& request, const config::Target& target,
                       TimePoint now) { StartAttempt(request, target, now); };
  hooks.refuse = [this](RequestRecord& request, const Refusal& refusal,
                        TimePoint now) { Refuse(request, refusal, now); };
  hooks.loans.borrow = [this, id](VmId to, uint64_t sequence) {
    RequestMessage message;
    message.mutable_slot_borrow()->set_service(ToInteger(id));
    message.mutable_slot_borrow()->set_sequence(sequence);
    Send(to, message);
  };
  hooks.loans.lend = [this, id](VmId to, uint64_t sequence, TargetId target) {
    RequestMessage message;
    message.mutable_slot_lend()->set_service(ToInteger(id));
    message.mutable_slot_lend()->set_sequence(sequence);
    message.mutable_slot_lend()->set_target(ToInteger(target));
    Send(to, message);
  };
  hooks.loans.give_back = [this, id](VmId to, uint64_t sequence) {
    RequestMessage message;
    message.mutable_slot_give_back()->set_service(ToInteger(id));
    message.mutable_slot_give_back()->set_sequence(sequence);
    Send(to, message);
  };
  hooks.health = [this, id](TargetId target, std::string_view outcome) {
    Decision decision;
    decision.kind = DecisionKind::kTargetHealth;
    decision.service = id;
    decision.target = target;
    decision.vm = key_context_.self;
    decision.outcome = outcome;
    decide_(decision);
  };
  return hooks;
}

void RequestPlane::Impl::OnView(config::ControlViewPtr view, TimePoint now) {
  range_ownership_.OnEventTime(now);
  now_ = now;
  if (view_ != nullptr) {
    for (const config::Member& it : view_->members) {
      const bool stays = std::any_of(
          view->members.begin(), view->members.end(),
          [&](const config::Member& other) { return other.id == it.id; });
      member_removed_at_ = stays ? member_removed_at_ : now;
    }
  }
  view_ = std::move(view);
  key_context_.view = view_;
  if (const config::Member* self = key_context_.MemberOf(key_context_.self)) {
    own_domain_ = self->domain;
  }
  range_ownership_.OnView(now);
  UpdateServices(now);
  FinishEvent(now);
  for (auto& [id, state] : services_) {
    Dispatch(*state.scheduler, now);
  }
}

void RequestPlane::Impl::UpdateServices(TimePoint now) {
  for (const config::Service& it : view_->deployment->services) {
    ServiceState& state = services_[it.id];
    if (state.scheduler == nullptr) {
      state.scheduler = std::make_unique<ServiceScheduler>(
          options_, it.id, random_, MakeSchedulerHooks(it.id));
    }
  }
  std::vector<VmId> peers;
  for (const config::Member& it : view_->members) {
    if (it.id != key_context_.self && it.state == config::MemberState::kAlive) {
      peers.push_back(it.id);
    }
  }
  for (auto& [id, state] : services_) {
    state.scheduler->SetPeers(peers);
    const auto& services = view_->deployment->services;
    const auto it = std::find_if(
        services.begin(), services.end(),
        [&, wanted = id](const config::Service& s) { return s.id == wanted; });
    if (it == services.end()) {
      // The service was removed. Running requests finish, and waiting ones are
      // refused since no target is left.
      config::Service removed = state.scheduler->service();
      removed.targets.clear();
      state.scheduler->OnView(removed, own_domain_, view_->members.size(), now);
      state.allocator.reset();
      continue;
    }
    state.scheduler->OnView(*it, own_domain_, view_->members.size(), now);
    UpdateAllocator(id, state, now);
  }
}

void RequestPlane::Impl::UpdateAllocator(ServiceId id,
                                         ServiceState& state,
                                         TimePoint now) {
  const std::vector<VmId> ranked =
      config::RankMembers(config::RendezvousSpace::kSlotAllocator,
                          ToInteger(id), view_->members, 1);
  const VmId allocator = ranked.empty() ? VmId::kNone : ranked[0];
  SlotLeases& leases = state.scheduler->leases();
  leases.SetAllocator(allocator, now);
  if (allocator != key_context_.self) {
    state.allocator.reset();
    return;
  }
  if (state.allocator == nullptr) {
    state.allocator = std::make_unique<SlotAllocator>(
        options_, id, leases.epoch() + 1, now, member_removed_at_);
  }
  state.allocator->OnView(*view_, state.scheduler->service(), now);
}

void RequestPlane::Impl::OnRangeStoreReply(
    bool ok,
    const std::vector<KeyRangeRecord>& records,
    TimePoint now) {
  range_ownership_.OnEventTime(now);
  now_ = now;
  range_ownership_.OnRangeStoreReply(ok, records, now);
  FinishEvent(now);
}

void RequestPlane::Impl::FinishEvent(TimePoint now) {
  // A message to itself may cause another one. The bound keeps a message loop
  // from blocking the thread.
  for (int n = 0; n < kMaxSelfMessages && !self_messages_.empty(); ++n) {
    const std::string payload = std::move(self_messages_.front());
    self_messages_.pop_front();
    RequestMessage message;
    if (message.ParseFromString(payload)) {
      HandleMessage(key_context_.self, message, now);
    }
  }
  for (size_t i = 0; i < services_to_dispatch_.size(); ++i) {
    if (ServiceScheduler* scheduler = SchedulerOf(services_to_dispatch_[i])) {
      Dispatch(*scheduler, now);
    }
  }
  services_to_dispatch_.clear();
}

void RequestPlane::Impl::Dispatch(ServiceScheduler& scheduler, TimePoint now) {
  if (!scheduler.queue().Empty()) {
    scheduler.Dispatch(now);
  }
  scheduler.LendToRefusedBorrowers(now);
}

void RequestPlane::Impl::TickSlots(TimePoint now) {
  for (auto& [id, state] : services_) {
    state.scheduler->FallBackIfLeaseExpired(now);
    state.scheduler->CheckLoans(now);
    const auto report = state.scheduler->leases().MakeReportIfDue(
        state.scheduler->Demand(draining_, now), now);
    if (report.has_value()) {
      RequestMessage message;
      *message.mutable_slot_report() = *report;
      Send(state.scheduler->leases().allocator(), message);
    }
    if (state.allocator == nullptr) {
      continue;
    }
    SlotAllocator::Actions actions = state.allocator->Tick(now);
    for (auto& [to, grant] : actions.grants) {
      RequestMessage message;
      *message.mutable_slot_grant() = std::move(grant);
      Send(to, message);
    }
    for (const VmId it : actions.queries) {
      RequestMessage message;
      message.mutable_slot_query()->set_service(ToInteger(id));
      message.mutable_slot_query()->set_epoch(state.allocator->epoch());
      Send(it, message);
    }
  }
}

void RequestPlane::Impl::OnTick(TimePoint now) {
  range_ownership_.OnEventTime(now);
  now_ = now;
  ExpireDeadlines(now);
  TickSlots(now);
  range_ownership_.Tick(now);
  key_owner_.Tick(now);
  key_claims_.Tick(now);
  if (now - last_trimmed_at_ >= kTrimInterval) {
    last_trimmed_at_ = now;
    for (auto& [id, state] : services_) {
      state.scheduler->Trim(now);
    }
  }
  FinishEvent(now);
  for (auto& [id, state] : services_) {
    Dispatch(*state.scheduler, now);
  }
  if (requests_.empty() && idle_since_ == TimePoint{}) {
    idle_since_ = now;
  }
}

void RequestPlane::Impl::BeginDrain(TimePoint now) {
  now_ = now;
  draining_ = true;
  idle_since_ = TimePoint{};
  range_ownership_.BeginHandover();
}

bool RequestPlane::Impl::IsDrained() const {
  if (!draining_ || !requests_.empty() || idle_since_ == TimePoint{}) {
    return false;
  }
  return (range_ownership_.IsHandedOver() &&
          key_claims_.AllOutcomesAcknowledged()) ||
         now_ - idle_since_ >= kHandoverTimeout;
}

RequestStats RequestPlane::Impl::Stats() const {
  RequestStats stats = stats_;
  stats.live_requests = requests_.size();
  for (const auto& [id, request] : requests_) {
    if (request.state == RequestState::kRunning ||
        request.state == RequestState::kCancelling) {
      ++stats.in_progress[request.target];
    }
  }
  for (const auto& [id, state] : services_) {
    const ServiceScheduler& scheduler = *state.scheduler;
    stats.waiting_short += scheduler.queue().Size(config::Priority::kShort);
    stats.waiting_long += scheduler.queue().Size(config::Priority::kLong);
    stats.slots_held += scheduler.leases().total_limit();
    stats.slots_in_use += scheduler.leases().total_in_use();
    stats.targets_ejected += scheduler.health().ejected();
  }
  for (const RangeState& it : key_context_.ranges) {
    stats.ranges_owned += it.role == RangeRole::kOwner;
    stats.ranges_backed_up += it.role == RangeRole::kBackup;
  }
  stats.keys = key_owner_.table().size();
  stats.stored_answer_bytes = key_owner_.table().answer_bytes();
  return stats;
}

RequestPlane::RequestPlane(RequestPlaneOptions options,
                           VmId self,
                           Incarnation incarnation,
                           RequestHooks hooks,
                           SendToPeer send,
                           DecisionHook decide,
                           uint64_t seed)
    : impl_(std::make_unique<Impl>(options,
                                   self,
                                   incarnation,
                                   std::move(hooks),
                                   std::move(send),
                                   std::move(decide),
                                   seed)) {}

RequestPlane::~RequestPlane() = default;

void RequestPlane::OnView(config::ControlViewPtr view, TimePoint now) {
  impl_->OnView(std::move(view), now);
}

void RequestPlane::OnPeerMessage(VmId from,
                                 std::string_view payload,
                                 TimePoint now) {
  impl_->OnPeerMessage(from, payload, now);
}

void RequestPlane::OnRequest(const RequestInfo& info, TimePoint now) {
  impl_->OnRequest(info, now);
}

void RequestPlane::OnAttemptEnd(RequestId id,
                                uint32_t attempt,
                                const AttemptResult& result,
                                TimePoint now) {
  impl_->OnAttemptEnd(id, attempt, result, now);
}

void RequestPlane::OnCallerDisconnected(RequestId id, TimePoint now) {
  impl_->OnCallerDisconnected(id, now);
}

void RequestPlane::OnRangeStoreReply(bool ok,
                                     const std::vector<KeyRangeRecord>& records,
                                     TimePoint now) {
  impl_->OnRangeStoreReply(ok, records, now);
}

void RequestPlane::OnTick(TimePoint now) {
  impl_->OnTick(now);
}

void RequestPlane::BeginDrain(TimePoint now) {
  impl_->BeginDrain(now);
}

bool RequestPlane::IsDrained() const {
  return impl_->IsDrained();
}

RequestStats RequestPlane::Stats() const {
  return impl_->Stats();
}

}  // namespace marjoramhall::request
