// Assigns the slots of one service's targets to VMs and divides the service's
// rate limits among them. It runs on the VM that rendezvous hashing selects.
// After a change of that VM, the new allocator rebuilds its table from the VMs'
// reports.
#ifndef MARJORAMHALL_REQUEST_SLOT_ALLOCATOR_H_
#define MARJORAMHALL_REQUEST_SLOT_ALLOCATOR_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "src/base/ids.h"
#include "src/base/time.h"
#include "src/config/control_view.h"
#include "src/request/limit_shares.h"
#include "src/request/request_options.h"

namespace marjoramhall::protocol {
class SlotGrant;
class SlotReport;
}  // namespace marjoramhall::protocol

namespace marjoramhall::request {

class SlotAllocator {
 public:
  struct Actions {
    std::vector<std::pair<VmId, protocol::SlotGrant>> grants;
    // VMs to send a SlotQuery with epoch().
    std::vector<VmId> queries;
  };

  // `epoch` must be higher than every epoch that this VM has seen for the
  // service.
  // `member_removed_at` is when this VM last saw a member leave the view, or
  // zero. The slots of that member are unknown, so no free slot is assigned
  // until its leases have expired.
  SlotAllocator(const RequestPlaneOptions& options,
                ServiceId service,
                uint64_t epoch,
                TimePoint now,
                TimePoint member_removed_at);

  void OnView(const config::ControlView& view,
              const config::Service& service,
              TimePoint now);
  // True when the reporting VM has applied a grant that this allocator did not
  // send: one of a higher epoch, or one of the same epoch that an earlier
  // process of this VM sent.
  bool IsOutdatedBy(VmId from, const protocol::SlotReport& report) const;
  void OnReport(VmId from,
                Incarnation incarnation,
                const protocol::SlotReport& report,
                TimePoint now);
  // Cost: O(VMs * targets) when something changed, else O(VMs).
  Actions Tick(TimePoint now);

  uint64_t epoch() const { return epoch_; }
  // Upper bound of the slots that VMs use at a target. It does not exceed the
  // declared slots once every VM has reported.
  uint32_t OutstandingSlots(TargetId target) const;

 private:
  struct Target {
    TargetId id = TargetId::kNone;
    std::string domain;
    uint32_t declared_slots = 0;
    bool draining = false;
    // Zero for targets of the first view, which need no slow start.
    TimePoint added_at{};
    uint32_t outstanding = 0;  // sum of Vm::outstanding
  };

  struct Vm {
    Incarnation incarnation = 0;
    std::string domain;
    bool member = false;
    bool leaving = false;
    bool reported = false;
    uint64_t report_sequence = 0;  // of the newest report
    double demand_slots = 0;
    uint32_t waiting_requests = 0;
    // By target index; outstanding >= assigned. `assigned` is what the VM
    // should hold. `outstanding` is the most that it may still be using, as far
    // as its reports show.
    std::vector<uint32_t> assigned;
    std::vector<uint32_t> outstanding;
    uint32_t total_assigned = 0;
    uint64_t grant_sequence = 0;  // of the newest grant
    // Newest grant that a report has confirmed.
    uint64_t confirmed_sequence = 0;
    bool assignment_changed = false;  // since the newest grant
    bool grant_requested = false;     // by a report
    TimePoint grant_sent_at{};
    TimePoint removed_at{};  // zero while it is a member
    double quota_slots = 0;
    double Deficit() const { return quota_slots - total_assigned; }
  };

  void SetTargets(const config::Service& service, TimePoint now);
  // Slots to assign at a target: none while it drains, fewer during its slow
  // start.
  uint32_t EffectiveSlots(const Target& target, TimePoint now) const;
  void ChangeAssignment(Vm& vm, size_t target, int change);
  void ReleaseAll(Vm& vm);
  void ComputeQuotas(uint32_t slots);
  // Revokes slots above what a target offers now.
  void RevokeExcessSlots(TimePoint now);
  // Gives slots that no VM can be using to the VMs with the highest deficit.
  void AssignFreeSlots(TimePoint now);
  // Revokes slots from VMs above their quota when others wait for slots.
  void RevokeForOtherVms();
  void PlanMoves(TimePoint now);
  // True when every member has reported, or when all leases that earlier
  // allocators granted have expired.
  bool IsReady(TimePoint now) const;
  protocol::SlotGrant MakeGrant(VmId id, Vm& vm);

  const RequestPlaneOptions& options_;
  ServiceId service_;
  uint64_t epoch_;
  TimePoint started_at_;
  TimePoint assign_none_before_;
  bool first_view_ = true;
  std::vector<Target> targets_;  // sorted by id
  std::map<VmId, Vm> vms_;
  LimitShares limit_shares_;
  bool planning_needed_ = true;
  TimePoint last_planned_at_{};
  TimePoint last_queried_at_{};
};

}  // namespace marjoramhall::request

#endif  // MARJORAMHALL_REQUEST_SLOT_ALLOCATOR_H_
