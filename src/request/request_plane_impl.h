// Implementation of RequestPlane: the live requests, one scheduler per service,
// the slot allocators that run on this VM, and the idempotency keys.
#ifndef MARJORAMHALL_REQUEST_REQUEST_PLANE_IMPL_H_
#define MARJORAMHALL_REQUEST_REQUEST_PLANE_IMPL_H_

#include <deque>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "src/request/key_claims.h"
#include "src/request/key_owner.h"
#include "src/request/range_ownership.h"
#include "src/request/request_plane.h"
#include "src/request/service_scheduler.h"
#include "src/request/slot_allocator.h"

namespace marjoramhall::request {

class RequestPlane::Impl {
 public:
  Impl(RequestPlaneOptions options,
       VmId self,
       Incarnation incarnation,
       RequestHooks hooks,
       SendToPeer send,
       DecisionHook decide,
       uint64_t seed);

  void OnView(config::ControlViewPtr view, TimePoint now);
  void OnPeerMessage(VmId from, std::string_view payload, TimePoint now);
  void OnRequest(const RequestInfo& info, TimePoint now);
  void OnAttemptEnd(RequestId id,
                    uint32_t attempt,
                    const AttemptResult& result,
                    TimePoint now);
  void OnCallerDisconnected(RequestId id, TimePoint now);
  void OnRangeStoreReply(bool ok,
                         const std::vector<KeyRangeRecord>& records,
                         TimePoint now);
  void OnTick(TimePoint now);
  void BeginDrain(TimePoint now);
  bool IsDrained() const;
  RequestStats Stats() const;

 private:
  // A service at this VM. `allocator` is set while this VM is its allocator.
  struct ServiceState {
    std::unique_ptr<ServiceScheduler> scheduler;
    std::unique_ptr<SlotAllocator> allocator;
  };

  using Deadline = std::pair<TimePoint, RequestId>;

  // request_plane.cc and request_messages.cc: views, peer messages and time.
  SchedulerHooks MakeSchedulerHooks(ServiceId id);
  ClaimHooks MakeClaimHooks();
  void UpdateServices(TimePoint now);
  void UpdateAllocator(ServiceId id, ServiceState& state, TimePoint now);
  void Send(VmId to, protocol::RequestMessage& message);
  void HandleMessage(VmId from,
                     const protocol::RequestMessage& message,
                     TimePoint now);
  bool HandleSlots(VmId from,
                   const protocol::RequestMessage& message,
                   TimePoint now);
  bool HandleLoans(VmId from,
                   const protocol::RequestMessage& message,
                   TimePoint now);
  void HandleKeys(VmId from,
                  const protocol::RequestMessage& message,
                  TimePoint now);
  void OnGrant(VmId from, const protocol::SlotGrant& grant, TimePoint now);
  // Schedules a dispatch of the service's waiting requests in FinishEvent().
  void ScheduleDispatch(ServiceId id) { services_to_dispatch_.push_back(id); }
  // Must end every event. Handles the messages of this VM to itself, then
  // dispatches the services of services_to_dispatch_.
  void FinishEvent(TimePoint now);
  void Dispatch(ServiceScheduler& scheduler, TimePoint now);
  void TickSlots(TimePoint now);

  // request_lifecycle.cc: from arrival to the end of a request.
  void ExpireDeadlines(TimePoint now);
  void StartAttempt(RequestRecord& request,
                    const config::Target& target,
                    TimePoint now);
  void OnClaimGranted(RequestId id, TimePoint now);
  // Ends the request without an answer from a target. The verdict changes to
  // kMayHaveRun when an attempt may have run. Invalidates `request`.
  void Refuse(RequestRecord& request, Refusal refusal, TimePoint now);
  void Replay(RequestRecord& request,
              const StoredAnswer& answer,
              TimePoint now);
  void EndAnswered(RequestRecord& request,
                   const AttemptResult& result,
                   TimePoint now);
  // Ends the request of a caller that has disconnected.
  void EndDisconnected(RequestRecord& request, TimePoint now);
  void Erase(RequestRecord& request);
  // Refuses a request that has no record yet.
  void RefuseNew(const RequestInfo& info, Refusal refusal, TimePoint now);
  void LogDecision(DecisionKind kind,
                   const RequestInfo& info,
                   TargetId target,
                   std::string_view outcome,
                   std::string_view reason) const;
  RequestRecord* Find(RequestId id);
  ServiceScheduler* SchedulerOf(ServiceId id);

  RequestPlaneOptions options_;
  RequestHooks hooks_;
  SendToPeer send_;
  DecisionHook decide_;
  RandomSource random_;
  RequestStats stats_;
  TimePoint now_{};

  config::ControlViewPtr view_;
  std::string own_domain_;
  // When a member was last removed from the view; zero if never.
  TimePoint member_removed_at_{};
  std::map<ServiceId, ServiceState> services_;
  std::unordered_map<RequestId, RequestRecord> requests_;
  // Holds every live request. Entries of requests that have ended are skipped.
  std::priority_queue<Deadline, std::vector<Deadline>, std::greater<>>
      deadlines_;
  // Services to dispatch when the event ends. An event must not cost a pass
  // over all services.
  std::vector<ServiceId> services_to_dispatch_;
  // Messages of this VM to itself, handled when the event ends.
  std::deque<std::string> self_messages_;

  KeyContext key_context_;
  KeyOwner key_owner_;
  RangeOwnership range_ownership_;
  KeyClaims key_claims_;

  bool draining_ = false;
  TimePoint idle_since_{};  // while draining: when the last request had ended
  TimePoint last_trimmed_at_{};
};

}  // namespace marjoramhall::request

#endif  // MARJORAMHALL_REQUEST_REQUEST_PLANE_IMPL_H_
