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
// not confirmed its ownership for `ownership_confirm`, and the gap
// opens only after that time, unless both have said that they hold no role.
#ifndef MARJORAMHALL_REQUEST_RANGE_KEEPER_H_
#define MARJORAMHALL_REQUEST_RANGE_KEEPER_H_

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

class RangeKeeper {
 public:
  RangeKeeper(const RequestPlaneOptions& options,
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
  void NoteTime(TimePoint now);
  // Cost: linear in the ranges, ten times a second.
  void Tick(TimePoint now);

  // A range has no reachable owner; the store is read soon.
  void WantRead() { read_hint_ = true; }
  bool MayOwn(TimePoint now) const;

  void BeginHandover() { handing_over_ = true; }
  // True when no range has this VM as owner with a backup to give it to.
  bool HandedOver() const;

 private:
  enum class StoreCall { kNone, kRead, kRecord };

  void Accept(const KeyRangeRecord& record, bool from_store, TimePoint now);
  void BecomeOwner(uint32_t range, const KeyRangeRecord& record, TimePoint now);
  void LoseRole(uint32_t range, const KeyRangeRecord& record);
  // Takes over without the store, at the next epoch.
  void TakeOver(uint32_t range, const char* why, TimePoint now);
  VmId PickBackup(uint32_t range) const;
  bool Usable(VmId vm) const;
  // What this VM should propose for a range now, if anything.
  bool Wanted(uint32_t range, TimePoint now, KeyRangeRecord* out);
  bool WantedAsOwner(uint32_t range, TimePoint now, KeyRangeRecord* out);
  bool WantedAsOther(uint32_t range, TimePoint now, KeyRangeRecord* out);
  void SendHandovers(TimePoint now);
  void CallStore(TimePoint now);
  bool NoneHolds(uint32_t range) const;
  // Tells a VM that has come (back) what it may have owned without the store.
  void GreetMembers();
  void AnnounceGaps(TimePoint now);
  void SendAnnouncements(TimePoint now);

  const RequestPlaneOptions& options_;
  KeyContext& context_;
  KeyOwner& owner_;
  const RequestHooks& hooks_;

  StoreCall call_ = StoreCall::kNone;
  TimePoint called_at_{};
  TimePoint retry_at_{};
  Duration retry_wait_{0};
  std::vector<KeyRangeRecord> proposed_;
  // Newest epoch that this process has proposed for each range. A record of
  // that epoch with this VM as owner was made by this process.
  std::array<uint64_t, kKeyRanges> proposed_epochs_{};

  bool table_known_ = false;
  bool read_wanted_ = true;
  bool read_hint_ = false;
  bool handing_over_ = false;
  TimePoint confirmed_at_{};
  // A VM was missing or this process was paused at some time since the store
  // last confirmed its ownership; others may have taken ranges over.
  bool disturbed_ = false;
  TimePoint disturbed_at_{};
  // VMs that vanished and have not come back. They may be alive behind a
  // partition.
  std::set<VmId> missing_;
  std::set<VmId> staying_;  // members of the newest view that are not leaving
  TimePoint viewed_at_{};
  TimePoint first_view_at_{};
  std::set<VmId> members_;
  std::map<VmId, Incarnation> incarnations_;  // of members_
  TimePoint last_event_{};
  TimePoint ticked_at_{};
  TimePoint handed_at_{};
  TimePoint balanced_at_{};
  size_t moves_left_ = 0;  // of this round of balancing
  // Ranges to announce at the end of the tick, one message a VM.
  std::map<VmId, std::set<uint32_t>> announcements_;
};

}  // namespace marjoramhall::request

#endif  // MARJORAMHALL_REQUEST_RANGE_KEEPER_H_
