// The state of one range of idempotency keys at this VM, and its role there.
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

// Progress of the copy to the backup, at the owner. From kSyncedSent on, the
// backup may take over without a history gap, so it must acknowledge every
// claim before it is granted. Before that state, a take-over by the backup has
// a history gap, and the owner may grant without acknowledgement.
enum class BackupSync {
  kNoBackup,
  kCopying,     // not every key is acknowledged yet
  kSyncedSent,  // RangesSynced is sent and not acknowledged yet
  kSynced,
};

struct RangeState {
  // Newest known record. Epoch 0: never recorded.
  KeyRangeRecord record;
  // The role of this process. It has no role in a record of an earlier process
  // of this VM, since the keys of that process are lost.
  RangeRole role = RangeRole::kNone;
  // Newest epoch that is known to be in the store. Lower than the record's
  // epoch after a take-over without the store.
  uint64_t store_epoch = 0;

  // Used by the owner.
  BackupSync sync = BackupSync::kNoBackup;
  // Of the process that RangesSynced was sent to.
  Incarnation backup_incarnation = 0;
  uint64_t version = 0;           // of the newest change of an entry
  size_t unacked = 0;             // entries whose `acked` is false
  bool grants_stopped = false;    // handing over; must not grant again
  bool recorded_in_store = true;  // false after a take-over without the store
  bool backup_lost = false;       // the backup's process has ended
  TimePoint synced_sent_at{};
  // A history gap begins when a VM becomes owner without the keys of the
  // previous owner, and is identified by the epoch at which it begins.
  //
  // Before the gap opens, the previous owner may still grant claims, so no
  // request with an unknown key runs. While the gap is open, such a request
  // runs only if it is a declared first attempt that reached its entry VM after
  // that VM had learnt of the open gap. An earlier first attempt may have been
  // overtaken by a second attempt that the previous owner granted.
  uint64_t gap_epoch = 0;
  TimePoint gap_opens_at{};
  TimePoint gap_ends_at{};
  bool gap_announced = true;

  // Used by the backup.
  bool complete = false;  // this VM holds every key of the owner
  Incarnation owner_incarnation = 0;

  // The current processes of the record's owner and backup have stated that
  // they have no role. When both are set, no process has one.
  bool owner_has_no_role = false;
  bool backup_has_no_role = false;

  // Used by the entry VM: the history gap that the owner announced as open.
  uint64_t known_open_gap = 0;

  // When the record's owner left the view; zero while it is a member.
  TimePoint owner_absent_since{};
  // Since when this process has no role although the record names this VM as
  // owner; zero otherwise.
  TimePoint role_missing_since{};
};

using RangeStates = std::array<RangeState, kKeyRanges>;

// State that KeyOwner, KeyClaims and RangeOwnership share.
struct KeyContext {
  VmId self = VmId::kNone;
  Incarnation incarnation = 0;
  config::ControlViewPtr view;
  RangeStates ranges;
  // Highest incarnation seen in the messages of each peer. The incarnation in
  // the membership is not used, because it also rises while a process lives.
  std::unordered_map<VmId, Incarnation> peers;
  std::function<void(VmId to, protocol::RequestMessage& message)> send;
  // True while this VM may act as owner of ranges (see RangeOwnership).
  std::function<bool(TimePoint now)> may_act_as_owner;
  // Records a decision about a range.
  std::function<void(uint32_t range, const char* outcome)> decide;

  // Returns null when the VM is not in the view.
  const config::Member* MemberOf(VmId vm) const;
  // False when the process is known to have ended.
  bool IsProcessAlive(VmId vm, Incarnation process) const;
};

}  // namespace marjoramhall::request

#endif  // MARJORAMHALL_REQUEST_KEY_RANGE_STATE_H_
