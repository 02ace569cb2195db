// Decides which VM owns and backs up each range of idempotency keys. The store
// arbitrates: every change of a range is a compare-and-swap from epoch e to
// e + 1, so of two VMs that each believe the other dead only one goes on.
//
// A backup takes over without the store in two cases only, in which the old
// owner certainly grants nothing more: the owner handed the range over, or its
// process was replaced by a newer one. In every other case an owner that cannot
// be reached may itself have replaced the backup in the store; two such owners
// would run a key twice.
//
// A VM may also take over a range of which it holds no keys, when owner and
// backup are both gone. The range then has a history gap (RangeState), in which
// only first attempts run. The old pair may still be alive on the other side of
// a partition, so an owner that misses any VM stops granting when the store has
// not confirmed its ownership for `ownership_confirm_timeout`, and the gap
// opens only after that time, unless both have said that they hold no role.
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

  // The context holds the new view.
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
  // Must be called with the time of every event before it is handled: a gap
  // between events means that this process was paused.
  void OnEventTime(TimePoint now);
  // Cost: linear in the ranges, ten times a second.
  void Tick(TimePoint now);

  // A range has no reachable owner; the store is read soon.
  void RequestRead() { read_requested_ = true; }
  bool MayActAsOwner(TimePoint now) const;

  void BeginHandover() { handing_over_ = true; }
  // True when no range has this VM as owner with a backup to give it to.
  bool IsHandedOver() const;

 private:
  enum class StoreCall { kNone, kRead, kRecord };

  void ApplyRecord(const KeyRangeRecord& record,
                   bool from_store,
                   TimePoint now);
  void BecomeOwner(uint32_t range, const KeyRangeRecord& record, TimePoint now);
  void LoseRole(uint32_t range, const KeyRangeRecord& record);
  // Takes over without the store, at the next epoch.
  void TakeOverWithoutStore(uint32_t range, const char* outcome, TimePoint now);
  VmId PickBackup(uint32_t range) const;
  bool IsUsable(VmId vm) const;
  // What this VM should propose for a range now, if anything.
  bool ShouldPropose(uint32_t range, TimePoint now, KeyRangeRecord* out);
  bool ShouldProposeAsOwner(uint32_t range, TimePoint now, KeyRangeRecord* out);
  bool ShouldProposeAsNonOwner(uint32_t range,
                               TimePoint now,
                               KeyRangeRecord* out);
  void SendHandovers(TimePoint now);
  void CallStore(TimePoint now);
  bool NoProcessHasRole(uint32_t range) const;
  // Tells a VM that has come (back) what it may have owned without the store.
  void AnnounceToNewMembers();
  void AnnounceGaps(TimePoint now);
  void SendAnnouncements(TimePoint now);

  const RequestPlaneOptions& options_;
  KeyContext& context_;
  KeyOwner& owner_;
  const RequestHooks& hooks_;

  StoreCall pending_call_ = StoreCall::kNone;
  TimePoint called_at_{};
  TimePoint retry_at_{};
  Duration retry_wait_{0};
  std::vector<KeyRangeRecord> proposed_;
  // Newest epoch that this process has proposed for each range. A record of
  // that epoch with this VM as owner was made by this process.
  std::array<uint64_t, kKeyRanges> proposed_epochs_{};

  bool store_table_read_ = false;
  bool read_required_ = true;
  bool read_requested_ = false;
  bool handing_over_ = false;
  TimePoint confirmed_at_{};
  // A VM was missing or this process was paused at some time since the store
  // last confirmed its ownership; others may have taken ranges over.
  bool ownership_uncertain_ = false;
  TimePoint last_uncertain_at_{};
  // VMs that vanished and have not come back. They may be alive behind a
  // partition.
  std::set<VmId> missing_vms_;
  std::set<VmId>
      staying_vms_;  // members of the newest view that are not leaving
  TimePoint members_changed_at_{};
  TimePoint first_view_at_{};
  std::set<VmId> members_;
  std::map<VmId, Incarnation> incarnations_;  // of members_
  TimePoint last_event_at_{};
  TimePoint last_tick_at_{};
  TimePoint handovers_sent_at_{};
  TimePoint balancing_round_at_{};
  size_t moves_left_in_round_ = 0;  // of this round of balancing
  // Ranges to announce at the end of the tick, one message a VM.
  std::map<VmId, std::set<uint32_t>> announcements_;
};

}  // namespace marjoramhall::request

#endif  // MARJORAMHALL_REQUEST_RANGE_OWNERSHIP_H_
