// Keeps the store and the configuration in force consistent. Reads and watches
// the store for the failure domain, writes proposals by compare-and-swap, reads
// back after a lost response, and repairs a store that was restored to older
// content.
#ifndef MARJORAMHALL_CONTROL_STORE_RECONCILER_H_
#define MARJORAMHALL_CONTROL_STORE_RECONCILER_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "src/base/decision.h"
#include "src/base/enum_names.h"
#include "src/base/time.h"
#include "src/config/deployment.h"
#include "src/control/gossip.h"
#include "src/control/store_client.h"

namespace marjoramhall::control {

enum class ProposeOutcome {
  // Written to the store, in force here, and being sent to the peers.
  kAccepted,
  // Another change was accepted first; this one was not written.
  kConflict,
  // The store could not be reached or used; nothing was written.
  kUnavailable,
  // The outcome could not be determined in time. Proposing again with the same
  // change id is safe and finds it out.
  kUnknown,
  // The proposal is too large or has no record of its change.
  kInvalid,
};
inline constexpr EnumName<ProposeOutcome> kProposeOutcomeNames[] = {
    {ProposeOutcome::kAccepted, "accepted"},
    {ProposeOutcome::kConflict, "conflict"},
    {ProposeOutcome::kUnavailable, "unavailable"},
    {ProposeOutcome::kUnknown, "unknown"},
    {ProposeOutcome::kInvalid, "invalid"},
};
constexpr std::span<const EnumName<ProposeOutcome>> NamesOf(ProposeOutcome) {
  return kProposeOutcomeNames;
}

struct ProposeResult {
  ProposeOutcome outcome = ProposeOutcome::kUnavailable;
  // The revision that contains the change (kAccepted), else the one in force.
  Revision revision = 0;
  std::string reason;
};

using ProposeCallback = std::function<void(const ProposeResult&)>;

struct StoreReconcilerOptions {
  std::string key = "deployment";
  // A watch whose notification was lost hides a change for up to this time,
  // so it is short. 8 readers make about 6 calls/s.
  Duration watch_timeout = std::chrono::milliseconds(1500);
  // A watch is abandoned this long after `watch_timeout`, a read or write after
  // `call_timeout`.
  Duration watch_grace = std::chrono::milliseconds(500);
  Duration call_timeout = std::chrono::seconds(4);
  Duration min_retry_delay = std::chrono::milliseconds(250);
  Duration max_retry_delay = std::chrono::milliseconds(1500);
  // A VM without a configuration waits this long for one from its seeds before
  // it reads the store.
  Duration bootstrap_wait = std::chrono::milliseconds(1500);
  Duration propose_deadline = std::chrono::seconds(8);
  // Time between the discovery of older content and its repair, during which
  // newer revisions may still arrive from peers.
  Duration repair_delay = std::chrono::seconds(1);
  // A repair writes the configuration in force with its revision raised by this
  // number. A change accepted shortly before the restore may be known only to
  // VMs behind a partition. Without the gap, the next change would get the same
  // revision number as that one.
  Revision repair_revision_gap = 1000;
};

struct StoreReconcilerStats {
  uint64_t repairs = 0;
  uint64_t older_values = 0;
  uint64_t restores_noticed = 0;
  uint64_t foreign_values = 0;
  uint64_t read_backs = 0;
  uint64_t accepted = 0;
  uint64_t conflicts = 0;
  uint64_t timed_out_calls = 0;
};

// Not thread-safe. Store callbacks must run on the same thread; they may run
// after destruction. Cost: a reader has at most one call in progress, usually a
// watch. A proposal takes one read and one write when nothing fails.
class StoreReconciler {
 public:
  StoreReconciler(StoreReconcilerOptions options,
                  StoreClient store,
                  ConfigGossip& gossip,
                  Clock clock,
                  DecisionHook decide,
                  uint64_t seed);

  // Call about every 50 ms. `reader` is true when this VM reads the store for
  // its failure domain, `has_seeds` when there are peers to ask for a first
  // configuration.
  void OnTick(bool reader, bool has_seeds);

  // Proposes the successor of the revision in force. The newest entry of its
  // history must have `change_id`. `done` is called exactly once, possibly
  // before this returns. A change id that is already in the history in force is
  // reported as accepted in its revision and not written again.
  void Propose(const config::Deployment& next,
               const std::string& change_id,
               ProposeCallback done);

  // Time of the last successful store call, TimePoint() before the first.
  TimePoint last_contact() const { return last_contact_; }
  const StoreReconcilerStats& stats() const { return stats_; }

 private:
  struct Proposal {
    std::string lineage;
    Revision revision = 0;
    std::string text;
    std::string change_id;
    ProposeCallback done;
    TimePoint deadline;
    TimePoint retry_at;
    bool call_in_progress = false;
    // A write may have taken effect.
    bool maybe_written = false;
    int failures = 0;
  };
  using ProposalPtr = std::shared_ptr<Proposal>;

  // Reading and repairing; store_reconciler.cc.
  void StartCall(bool repairing);
  void EndCall(StoreStatus status, StoreValue value, bool repairing);
  void HandleValue(StoreValue value, bool repairing);
  // Records the store's version of the text in force. Returns true when the
  // store has given this text a different version before: each text is written
  // once, so the content was restored from a backup.
  bool DetectRestore(uint64_t version);
  void OnOlderValue(uint64_t version, bool repairing);
  void WriteRepair(uint64_t version);
  void ScheduleRetry();

  // Proposing; store_reconciler_propose.cc.
  void TickProposal();
  void StartProposal(const ProposalPtr& it);
  void OnProposalRead(const ProposalPtr& it,
                      StoreStatus status,
                      StoreValue value);
  void WriteProposal(const ProposalPtr& it, uint64_t version);
  void OnProposalWritten(const ProposalPtr& it, StoreStatus status);
  void RetryProposal(const ProposalPtr& it, std::string_view reason);
  void Finish(const ProposalPtr& it,
              ProposeOutcome outcome,
              Revision revision,
              std::string_view reason);
  Revision FindChange(const std::string& change_id) const;

  // Wraps a store callback so that it does nothing after destruction.
  template <typename F>
  auto Guard(F f);
  void Log(std::string_view outcome,
           Revision revision,
           std::string_view detail);

  const StoreReconcilerOptions options_;
  StoreClient store_;
  ConfigGossip& gossip_;
  Clock clock_;
  DecisionHook decide_;
  std::mt19937_64 random_;

  TimePoint started_;
  TimePoint last_contact_{};
  // Version of the store's value as last read; nothing after a failed call.
  std::optional<uint64_t> known_version_;
  // Version that the store gave to a revision when it was first seen here.
  Revision seen_revision_ = 0;
  uint64_t seen_version_ = 0;
  bool call_in_progress_ = false;
  // Number of the latest call. Responses of abandoned calls have a lower one
  // and are ignored.
  uint64_t call_number_ = 0;
  TimePoint call_deadline_;
  TimePoint next_call_at_;
  int failures_ = 0;
  // Set while the store is known to hold older content.
  std::optional<TimePoint> repair_at_;
  TimePoint older_value_since_;

  // The first one is in progress; the others wait for it.
  std::deque<ProposalPtr> proposals_;
  StoreReconcilerStats stats_;
  // Callbacks hold a weak reference, to detect destruction.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

template <typename F>
auto StoreReconciler::Guard(F f) {
  return [alive = std::weak_ptr<bool>(alive_), f = std::move(f)](
             StoreStatus status, auto answer) {
    if (!alive.expired()) {
      f(status, std::move(answer));
    }
  };
}

}  // namespace marjoramhall::control

#endif  // MARJORAMHALL_CONTROL_STORE_RECONCILER_H_
