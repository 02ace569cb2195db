// Decides which VM owns and which VM backs up each range of idempotency keys.
// The store arbitrates: every change of a range is a compare-and-swap from
// epoch e to e + 1. If two VMs each consider the other one dead, only one of
// them succeeds.
//
// A backup takes over without the store in only two cases: the owner handed the
// range over, or a newer process replaced the owner's process. In both cases
// the old owner certainly grants no more claims. In any other case an
// unreachable owner may itself have replaced the backup in the store, and two
// such owners could run a key twice.
//
// When owner and backup are both gone, a VM without the range's keys may take
// over. The range then has a history gap (see RangeState), in which only first
// attempts run. The old owner and backup may still be alive on the other side
// of a partition. Therefore an owner that misses any VM stops granting when the
// store has not confirmed its ownership for `ownership_confirm_timeout`. The
// gap opens only after that time, unless both have stated that they have no
// role.
#ifndef MARJORAMHALL_REQUEST_RANGE_OWNERSHIP_H_
#define MARJORAMHALL_REQUEST_RANGE_OWNERSHIP_H_

#include <map>
#include <set>
#include <string_view>
#include <vector>

#include "src/request/key_owner.h"
#include "src/request/key_range_state.h"

namespace marjoramhall::protocol {
class RangesAnnounce;
class RangesHandover;
}  // namespace marjoramhall::protocol

namespace marjoramhall::request {

class RangeOwnership {
 public:
  RangeOwnership(const RequestPlaneOptions& options,
                 KeyContext& context,
                 KeyOwner& owner,
                 const RequestHooks& hooks);

  // Handles a new view, which the context already holds.
  void OnView(TimePoint now);
  void OnRangeStoreReply(bool ok,
                         const std::vector<KeyRangeRecord>& records,
                         TimePoint now);
  void OnAnnounce(VmId from,
                  const protocol::RangesAnnounce& announce,
                  TimePoint now);
  void OnHandover(VmId from,
                  const protocol::RangesHandover& handover,
                  TimePoint now);
  // Must be called with the time of every event before the event is handled. A
  // long time between events means that this process was paused.
  void OnEventTime(TimePoint now);
  // Cost: linear in the ranges every 100 ms, otherwise constant.
  void Tick(TimePoint now);

  // Requests a read of the range table, for a range without a reachable owner.
  void RequestRead() { read_requested_ = true; }
  // False when ownership is uncertain and the store has not confirmed it for
  // `ownership_confirm_timeout`.
  bool MayActAsOwner(TimePoint now) const;

  // Hands all ranges over to their backups.
  void BeginHandover() { handing_over_ = true; }
  // True when this VM owns no range that has a backup.
  bool IsHandedOver() const;

 private:
  enum class StoreCall { kNone, kRead, kRecord };

  // Updates the range from a newer record of the store or of a peer.
  void ApplyRecord(const KeyRangeRecord& record,
                   bool from_store,
                   TimePoint now);
  void BecomeOwner(uint32_t range, const KeyRangeRecord& record, TimePoint now);
  // Applies a record in which this process is not the owner.
  void LoseRole(uint32_t range, const KeyRangeRecord& record);
  // Takes over at the next epoch without the store. `outcome` is for the log.
  void TakeOverWithoutStore(uint32_t range, const char* outcome, TimePoint now);
  // The best backup: the highest ranked alive member, else a suspect one.
  VmId PickBackup(uint32_t range) const;
  // True for members that are not leaving.
  bool IsUsable(VmId vm) const;
  // True when this VM should propose a change of the range to the store now;
  // sets `out` to the record to propose.
  bool ShouldPropose(uint32_t range, TimePoint now, KeyRangeRecord* out);
  bool ShouldProposeAsOwner(uint32_t range, TimePoint now, KeyRangeRecord* out);
  bool ShouldProposeAsNonOwner(uint32_t range,
                               TimePoint now,
                               KeyRangeRecord* out);
  void SendHandovers(TimePoint now);
  // Reads the range table or proposes records, when needed.
  void CallStore(TimePoint now);
  // True when no process has a role: the owner and the backup of the record
  // are each this VM or have stated that they have no role.
  bool NoProcessHasRole(uint32_t range) const;
  // Announces to each new or restarted member the ranges that it took over
  // without the store and that the store does not record yet.
  void AnnounceToNewMembers();
  // Announces history gaps that have opened.
  void AnnounceGaps(TimePoint now);
  void SendAnnouncements(TimePoint now);

  const RequestPlaneOptions& options_;
  KeyContext& context_;
  KeyOwner& owner_;
  const RequestHooks& hooks_;

  StoreCall pending_call_ = StoreCall::kNone;
  TimePoint called_at_{};  // start of the newest call
  TimePoint retry_at_{};
  Duration retry_wait_{0};
  std::vector<KeyRangeRecord> proposed_;
  // Newest epoch that this process has proposed for each range. Such a record
  // with this VM as owner belongs to this process, not to an earlier one.
  std::array<uint64_t, kKeyRanges> proposed_epochs_{};

  bool store_table_read_ = false;
  bool read_required_ = true;    // before the next proposal
  bool read_requested_ = false;  // at most one read per second
  bool handing_over_ = false;
  // Start of the newest store call that succeeded.
  TimePoint confirmed_at_{};
  // A VM was missing or this process was paused since the store last confirmed
  // its ownership, so other VMs may have taken ranges over.
  bool ownership_uncertain_ = false;
  TimePoint last_uncertain_at_{};
  // VMs that left the view without leaving by plan and are not back. They may
  // be alive on the other side of a partition.
  std::set<VmId> missing_vms_;
  // Members of the newest view that are not leaving.
  std::set<VmId> staying_vms_;
  TimePoint members_changed_at_{};
  TimePoint first_view_at_{};
  std::set<VmId> members_;
  std::map<VmId, Incarnation> incarnations_;  // of members_
  TimePoint last_event_at_{};
  TimePoint last_tick_at_{};
  TimePoint handovers_sent_at_{};
  TimePoint balancing_round_at_{};
  // Ranges that may still be moved in this round of balancing.
  size_t moves_left_ = 0;
  // Ranges to announce at the end of the tick, by VM.
  std::map<VmId, std::set<uint32_t>> announcements_;
};

}  // namespace marjoramhall::request

#endif  // MARJORAMHALL_REQUEST_RANGE_OWNERSHIP_H_
