// What this VM knows of one range of idempotency keys and its role there.
#ifndef MARJORAMHALL_REQUEST_KEY_RANGE_STATE_H_
#define MARJORAMHALL_REQUEST_KEY_RANGE_STATE_H_

#include <array>
#include <functional>
#include <unordered_map>

#include "src/base/time.h"
#include "src/config/control_view.h"
#include "src/request/key_name.h"

namespace marjoramhall::protocol {
class RequestMessage;
}

namespace marjoramhall::request {

enum class RangeRole { kNone, kOwner, kBackup };

// How far an owner's backup is. From kSyncedSent on the backup may take over
// without a history gap, so every grant needs its acknowledgement; before that
// a take-over by it has a gap, and the owner may grant alone.
enum class BackupSync { kNoBackup, kCopying, kSyncedSent, kSynced };

struct RangeState {
  // Newest record known; epoch 0: never recorded.
  KeyRangeRecord record;
  // The role of this process. A record that names this VM gives no role when an
  // earlier process of the VM held it, since its keys are gone.
  RangeRole role = RangeRole::kNone;
  // Newest epoch that the store is known to hold. Below the record's epoch when
  // the owner took over without the store.
  uint64_t store_epoch = 0;

  // Owner.
  BackupSync sync = BackupSync::kNoBackup;
  Incarnation backup_incarnation = 0;  // of the process that acknowledges
  uint64_t version = 0;
  size_t unacked = 0;             // entries of the range whose `acked` is false
  bool grants_stopped = false;    // handing over; never grants again
  bool recorded_in_store = true;  // false: taken over, not in the store yet
  bool backup_lost = false;       // the backup's process is gone
  bool copy_started = false;
  TimePoint synced_sent_at{};
  // A history gap, named by the epoch at which it began. Before it opens, the
  // old owner may still be granting claims, so no unknown key is run. While it
  // is open, a declared first attempt is run when it reached its entry VM after
  // that VM had learnt of the open gap: an earlier one may have been overtaken
  // by a second attempt that the old owner granted.
  uint64_t gap_epoch = 0;
  TimePoint gap_opens_at{};
  TimePoint gap_ends_at{};
  bool gap_announced = true;

  // Backup.
  bool complete = false;  // holds every key of the owner
  Incarnation owner_incarnation = 0;

  // The current processes of the record's owner and backup have said that they
  // hold no role, so no process does.
  bool owner_has_no_role = false;
  bool backup_has_no_role = false;

  // Entry VM: the history gap that the owner has said to be open.
  uint64_t known_open_gap = 0;

  // The record's owner is not in view: since when; zero while it is.
  TimePoint owner_absent_since{};
  // No role, although the record names this VM: since when.
  TimePoint role_missing_since{};
};

using RangeStates = std::array<RangeState, kKeyRanges>;

// What the units of the at-most-once ledger share.
struct KeyContext {
  VmId self = VmId::kNone;
  Incarnation incarnation = 0;
  config::ControlViewPtr view;
  RangeStates ranges;
  // Highest process incarnation seen in messages of a peer. Membership raises
  // the incarnation of a live VM too, so it proves no restart.
  std::unordered_map<VmId, Incarnation> peers;
  std::function<void(VmId to, protocol::RequestMessage& message)> send;
  // True while this VM may act as the owner of ranges (see RangeOwnership).
  std::function<bool(TimePoint now)> may_act_as_owner;
  std::function<void(uint32_t range, const char* outcome)> decide;

  const config::Member* MemberOf(VmId vm) const;
  // False when the process is known to be gone.
  bool ProcessAlive(VmId vm, Incarnation process) const;
};

}  // namespace marjoramhall::request

#endif  // MARJORAMHALL_REQUEST_KEY_RANGE_STATE_H_
