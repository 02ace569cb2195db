// Decides which VM holds how many slots at each target of one service, and how
// the service's rate limits are shared. Runs on the VM that rendezvous hashing
// names; a successor rebuilds the table from reports.
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
    // VMs to ask for a report (SlotQuery), with epoch().
    std::vector<VmId> queries;
  };

  // `epoch` is above every epoch this VM has seen for the service.
  // `member_removed_at` is when this VM last saw a member removed whose slots
  // are unknown; free slots are not given out until its leases have run out.
  SlotAllocator(const RequestPlaneOptions& options,
                ServiceId service,
                uint64_t epoch,
                TimePoint now,
                TimePoint member_removed_at);

  void OnView(const config::ControlView& view,
              const config::Service& service,
              TimePoint now);
  // True when the VM follows a newer allocator than this one: one of a higher
  // epoch, or an earlier process of this VM that used the same epoch.
  bool IsOutdatedBy(VmId from, const protocol::SlotReport& report) const;
  void OnReport(VmId from,
                Incarnation incarnation,
                const protocol::SlotReport& report,
                TimePoint now);
  // Cost: O(VMs * targets) when something changed, else O(VMs).
  Actions Tick(TimePoint now);

  uint64_t epoch() const { return epoch_; }
  // Slots that VMs may be using at a target; never above the declared slots
  // once those of all VMs are known.
  uint32_t OutstandingSlots(TargetId target) const;

 private:
  struct Target {
    TargetId id = TargetId::kNone;
    std::string domain;
    uint32_t declared_slots = 0;
    bool draining = false;
    // When it appeared; zero for targets of the first view, which are warm.
    TimePoint added_at{};
    uint32_t outstanding = 0;  // sum of Vm::charged
  };

  struct Vm {
    Incarnation incarnation = 0;
    std::string domain;
    bool member = false;
    bool leaving = false;
    bool reported = false;
    uint64_t report_sequence = 0;  // sequence of the newest report
    double demand_slots = 0;
    uint32_t waiting_requests = 0;
    // By target index. charged >= assigned: what the VM may be using, as far as
    // its reports prove.
    std::vector<uint32_t> assigned;
    std::vector<uint32_t> outstanding;
    uint32_t total_assigned = 0;
    uint64_t grant_sequence = 0;  // of the newest grant
    uint64_t confirmed_sequence =
        0;  // newest grant that a report has confirmed
    bool assignment_changed = false;  // the newest state is not in a grant yet
    bool grant_requested = false;     // asked for a grant
    TimePoint grant_sent_at{};
    TimePoint removed_at{};
    double quota_slots = 0;
    double Deficit() const { return quota_slots - total_assigned; }
  };

  void SetTargets(const config::Service& service, TimePoint now);
  uint32_t EffectiveSlots(const Target& target, TimePoint now) const;
  void ChangeAssignment(Vm& vm, size_t target, int change);
  void ReleaseAll(Vm& vm);
  void ComputeQuotas(uint32_t slots);
  // Takes back slots above what a target has now.
  void RevokeExcessSlots(TimePoint now);
  void AssignFreeSlots(TimePoint now);
  void RevokeForOtherVms();
  void PlanMoves(TimePoint now);
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
